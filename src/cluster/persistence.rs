//! Schedules writes of changed entries to disk.

use super::store::{BatchScope, Store};
use crate::policy::types::Micros;
use crate::replication::entry::{Key, Kind};
use crate::replication::state::ReplicatedState;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which changes are written.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// After a failed write, interval between attempts to write all entries. Longer than [`WRITE_INTERVAL`],
/// because the actor is blocked while it encodes them.
const FULL_WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which the stored time of the last write is updated if nothing has changed.
const TIMESTAMP_INTERVAL: Duration = Duration::from_secs(5);
/// Time limit for the last writes at shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The entries to be written to the store, and the schedule of writes. Does nothing without a store.
pub(super) struct Persistence {
    store: Option<Store>,
    dirty: BTreeSet<Key>,
    next_write: Instant,
    /// After a failed write, the earliest time of the next attempt to write all entries.
    next_full_write: Instant,
    last_write: Instant,
}

impl Persistence {
    /// Creates a schedule with nothing to write. If `store` is `None`, the state is kept in memory only.
    pub(super) fn new(store: Option<Store>, now: Instant) -> Persistence {
        let dirty = BTreeSet::new();
        Persistence { store, dirty, next_write: now, next_full_write: now, last_write: now }
    }

    /// Marks an entry to be written with the next batch.
    pub(super) fn mark_changed(&mut self, key: &Key) {
        if self.store.is_some() {
            self.dirty.insert(key.clone());
        }
    }

    /// Writes changed entries if a write is due.
    pub(super) fn write_if_due(&mut self, state: &ReplicatedState, now: Instant, unix: Micros) {
        let is_due = now >= self.next_write;
        if is_due && !(self.is_incomplete() && now < self.next_full_write) {
            self.write(state, now, unix);
        }
    }

    /// Returns whether the store needs all entries.
    fn is_incomplete(&self) -> bool {
        self.store.as_ref().is_some_and(|store| store.status.incomplete.load(Ordering::Relaxed))
    }

    /// Passes the changed entries to the writer, or all entries if it needs them.
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

    /// Waits until the writer has written all batches, for [`CLOSE_TIMEOUT`] at most.
    pub(super) async fn close(self) {
        if let Some(store) = self.store {
            store.close(CLOSE_TIMEOUT).await;
        }
    }

    /// Returns the numbers of batches written and failed since the start.
    pub(super) fn counts(&self) -> (u64, u64) {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        self.store.as_ref().map_or((0, 0), |store| (read(&store.status.written), read(&store.status.failed)))
    }
}
