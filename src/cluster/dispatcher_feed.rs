//! Delivers replicated updates to the dispatcher, without ever waiting for it.

use super::drain_feed::{drain_in_force, DrainFeed};
use crate::dispatch::{DispatcherMessage, DispatcherSender};
use crate::policy::types::Micros;
use crate::replication::entry::{DrainCommand, Key, Value};
use crate::replication::gossip::Update;
use crate::replication::state::ReplicatedState;
use std::collections::VecDeque;
use tokio::time::Instant;

/// Updates on their way to the dispatcher. What its mailbox has no capacity for is tried again later.
pub(super) struct DispatcherFeed {
    dispatcher: DispatcherSender,
    /// How long the dispatcher is to keep a purge.
    purge_retention: Micros,
    updates: VecDeque<Update>,
    drains: DrainFeed,
}

impl DispatcherFeed {
    /// With nothing to deliver.
    pub(super) fn new(dispatcher: DispatcherSender, purge_retention: Micros) -> DispatcherFeed {
        DispatcherFeed { dispatcher, purge_retention, updates: VecDeque::new(), drains: DrainFeed::default() }
    }

    /// Takes an update of the replicated state.
    pub(super) fn accept(&mut self, update: Update, state: &ReplicatedState) {
        match (&update.key, &update.value) {
            (Key::Drain(server), Value::Drain(record)) => self.drains.handle_change(server, record.command()),
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

    /// Delivers a server's drain anew if it is in force: the dispatcher forgets it when another process runs
    /// under the server's name.
    pub(super) fn recheck_drain(&mut self, server: &str, state: &ReplicatedState) {
        if drain_in_force(state, server) == Some(DrainCommand::Drain) {
            self.drains.schedule(server);
        }
    }

    /// Whether all updates are in the dispatcher's mailbox.
    pub(super) fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// Sets or clears the Unix time before which copies are not served, waiting for capacity.
    pub(super) async fn not_before(&self, unix: Option<Micros>) {
        self.dispatcher.send(DispatcherMessage::NotBefore(unix)).await;
    }

    /// Delivers what the dispatcher has capacity for.
    pub(super) fn flush(&mut self, state: &ReplicatedState, now: Instant) {
        if !self.flush_updates() {
            return;
        }
        self.drains.collect_replies(now);
        self.updates.extend(self.drains.flush(&self.dispatcher, state, now));
    }

    /// Whether all updates could be delivered.
    fn flush_updates(&mut self) -> bool {
        while let Some(update) = self.updates.front() {
            if let Some(message) = self.dispatcher_message(update) {
                if !self.dispatcher.try_send(message) {
                    return false;
                }
            }
            self.updates.pop_front();
        }
        true
    }

    /// The message to the dispatcher; none: the dispatcher has no use for the update.
    fn dispatcher_message(&self, update: &Update) -> Option<DispatcherMessage> {
        match (&update.key, &update.value) {
            (Key::Object(name), Value::Purged(at)) => Some(DispatcherMessage::Purged {
                object: Some(name.as_str().into()),
                group: 0,
                at: *at,
                retention: self.purge_retention,
            }),
            (Key::Group(group), Value::Purged(at)) => Some(DispatcherMessage::Purged {
                object: None,
                group: *group,
                at: *at,
                retention: self.purge_retention,
            }),
            (Key::Endpoint(name), Value::Endpoint(_, record)) => {
                Some(DispatcherMessage::Members { full: false, members: vec![record.to_endpoint(name)] })
            }
            _ => None,
        }
    }
}
