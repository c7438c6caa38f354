//! Decides when which entries are written to the disk.

use super::store::{BatchScope, Store};
use crate::policy::types::Micros;
use crate::replication::entry::{Key, Kind};
use crate::replication::state::ReplicatedState;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Changes are written this often.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// After a failed write all entries are written, this often until it succeeds: the actor does nothing else
/// while it encodes them.
const FULL_WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// Without a change the time of the last write is renewed this often.
const TIMESTAMP_INTERVAL: Duration = Duration::from_secs(5);
/// How long the last writes are waited for when the director ends.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Entries that are to be written; without a store nothing is.
pub(super) struct Persistence {
    store: Option<Store>,
    dirty: BTreeSet<Key>,
    next_write: Instant,
    /// When all entries may be written next, where a write has failed.
    next_full_write: Instant,
    last_write: Instant,
}

impl Persistence {
    /// With nothing to write. Without a store the state is kept in memory only.
    pub(super) fn new(store: Option<Store>, now: Instant) -> Persistence {
        let dirty = BTreeSet::new();
        Persistence { store, dirty, next_write: now, next_full_write: now, last_write: now }
    }

    /// Marks an entry as changed.
    pub(super) fn mark(&mut self, key: &Key) {
        if self.store.is_some() {
            self.dirty.insert(key.clone());
        }
    }

    /// Writes if it is time to.
    pub(super) fn write_if_due(&mut self, state: &ReplicatedState, now: Instant, unix: Micros) {
        let is_due = now >= self.next_write;
        if is_due && !(self.is_incomplete() && now < self.next_full_write) {
            self.write(state, now, unix);
        }
    }

    /// Whether the store lacks entries, since a write failed.
    fn is_incomplete(&self) -> bool {
        self.store.as_ref().is_some_and(|store| store.status.incomplete.load(Ordering::Relaxed))
    }

    /// Hands what has changed to the writer, or all entries after a write that failed.
    pub(super) fn write(&mut self, state: &ReplicatedState, now: Instant, unix: Micros) {
        let scope = if self.is_incomplete() { BatchScope::AllEntries } else { BatchScope::Changes };
        let Some(store) = &self.store else { return };
        self.next_write = now + WRITE_INTERVAL;
        if self.dirty.is_empty() && scope == BatchScope::Changes && now - self.last_write < TIMESTAMP_INTERVAL
        {
            return;
        }
        let keys = std::mem::take(&mut self.dirty);
        let batch = match scope {
            BatchScope::Changes => {
                keys.into_iter().map(|key| (key.clone(), state.get(&key).cloned())).collect()
            }
            BatchScope::AllEntries => {
                self.next_full_write = now + FULL_WRITE_INTERVAL;
                let all = Kind::ALL.into_iter().flat_map(|kind| state.entries_of_kind(kind));
                all.map(|(key, value)| (key.clone(), Some(value.clone()))).collect()
            }
        };
        match store.write(batch, scope, unix) {
            Ok(()) => self.last_write = now,
            Err(keys) => self.dirty.extend(keys),
        }
    }

    /// Waits, for a bounded time, until all that was handed over is written.
    pub(super) async fn close(self) {
        if let Some(store) = self.store {
            store.close(CLOSE_TIMEOUT).await;
        }
    }

    /// Batches written and batches that failed, since the start.
    pub(super) fn counts(&self) -> (u64, u64) {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        self.store.as_ref().map_or((0, 0), |store| (read(&store.status.written), read(&store.status.failed)))
    }
}
