//! Delivers replicated updates to the core, without ever waiting for it.

use super::drain_feed::{wanted_drain, DrainFeed};
use crate::dispatch::{DispatcherMessage as CoreMessage, DispatcherSender};
use crate::policy::types::Micros;
use crate::replication::entry::{Key, Value};
use crate::replication::gossip::Update;
use crate::replication::state::ReplicatedState;
use std::collections::VecDeque;
use tokio::time::Instant;

/// Updates on their way to the core. What its mailbox has no room for is tried again later.
pub(super) struct CoreFeed {
    core: DispatcherSender,
    /// How long the core is to keep a purge.
    purges_kept: Micros,
    updates: VecDeque<Update>,
    drains: DrainFeed,
}

impl CoreFeed {
    /// With nothing to deliver.
    pub(super) fn new(core: DispatcherSender, purges_kept: Micros) -> CoreFeed {
        CoreFeed { core, purges_kept, updates: VecDeque::new(), drains: DrainFeed::default() }
    }

    /// Takes an update of the replicated state.
    pub(super) fn accept(&mut self, update: Update, state: &ReplicatedState) {
        match (&update.key, &update.value) {
            (Key::Drain(name), Value::Drain(drain)) => self.drains.changed(name, drain.is_draining()),
            (Key::Endpoint(name), Value::Endpoint(..)) => {
                self.recheck_drain(name, state);
                self.updates.push_back(update);
            }
            _ => self.updates.push_back(update),
        }
    }

    /// Takes an update past the handling of drains.
    pub(super) fn push(&mut self, update: Update) {
        self.updates.push_back(update);
    }

    /// Delivers a server's drain anew if it is in force: the core forgets it when another process runs under
    /// the server's name.
    pub(super) fn recheck_drain(&mut self, name: &str, state: &ReplicatedState) {
        if wanted_drain(state, name) == Some(true) {
            self.drains.schedule(name);
        }
    }

    /// Whether all updates are in the core's mailbox.
    pub(super) fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// Sets or clears the age below which the core serves no copy, waiting for room.
    pub(super) async fn not_before(&self, unix: Option<Micros>) {
        self.core.send(CoreMessage::NotBefore(unix)).await;
    }

    /// Delivers what the core has room for.
    pub(super) fn flush(&mut self, state: &ReplicatedState, now: Instant) {
        if !self.flush_updates() {
            return;
        }
        self.drains.collect_replies(now);
        self.updates.extend(self.drains.flush(&self.core, state, now));
    }

    /// Whether all updates could be delivered.
    fn flush_updates(&mut self) -> bool {
        while let Some(update) = self.updates.front() {
            if let Some(message) = self.core_message(update) {
                if !self.core.try_send(message) {
                    return false;
                }
            }
            self.updates.pop_front();
        }
        true
    }

    /// The message to the core; none: the core has no use for the update.
    fn core_message(&self, update: &Update) -> Option<CoreMessage> {
        let keep = self.purges_kept;
        match (&update.key, &update.value) {
            (Key::Object(name), Value::Purged(at)) => Some(CoreMessage::Purged {
                object: Some(name.as_str().into()),
                group: 0,
                at: *at,
                retention: keep,
            }),
            (Key::Group(group), Value::Purged(at)) => {
                Some(CoreMessage::Purged { object: None, group: *group, at: *at, retention: keep })
            }
            (Key::Endpoint(name), Value::Endpoint(_, place)) => {
                Some(CoreMessage::Members { full: false, members: vec![place.to_endpoint(name)] })
            }
            _ => None,
        }
    }
}
