//! Delivers replicated updates to the dispatcher without waiting for capacity in its mailbox.

use super::drain_feed::DrainFeed;
use crate::discovery::WatchScope;
use crate::dispatch::{DispatcherMessage, DispatcherSender};
use crate::policy::types::Micros;
use crate::replication::entry::{Key, Value};
use crate::replication::gossip::Update;
use crate::replication::state::ReplicatedState;
use std::collections::VecDeque;
use tokio::time::Instant;

/// A queue of updates for the dispatcher. Updates that do not fit into its mailbox are sent with a later
/// flush.
pub(super) struct DispatcherFeed {
    dispatcher: DispatcherSender,
    /// How long the dispatcher keeps a purge, in microseconds.
    purge_retention: Micros,
    /// Whether the replicated endpoint list is applied.
    scope: WatchScope,
    updates: VecDeque<Update>,
    drains: DrainFeed,
}

impl DispatcherFeed {
    /// Creates an empty queue.
    pub(super) fn new(
        dispatcher: DispatcherSender,
        purge_retention: Micros,
        scope: WatchScope,
    ) -> DispatcherFeed {
        let (updates, drains) = (VecDeque::new(), DrainFeed::new(scope));
        DispatcherFeed { dispatcher, purge_retention, scope, updates, drains }
    }

    /// Queues an update of the replicated state. Drain overrides go through [`DrainFeed`]; an endpoint update
    /// may also cause the server's drain to be sent again.
    pub(super) fn accept(&mut self, update: Update, state: &ReplicatedState) {
        match (&update.key, &update.value) {
            (Key::Drain(server), Value::Drain(record)) => self.drains.handle_change(server, record.command()),
            // The director's list comes from a source of its own, which is not replicated.
            (Key::Endpoint(_), _) if self.scope == WatchScope::PurgesOnly => {}
            (Key::Endpoint(name), Value::Endpoint(..)) => {
                self.drains.recheck(name, state);
                self.updates.push_back(update);
            }
            _ => self.updates.push_back(update),
        }
    }

    /// Returns whether all updates have been put into the dispatcher's mailbox.
    pub(super) fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// Sets the Unix time in microseconds before which copies are not served, or clears it with `None`. Waits
    /// for capacity in the mailbox.
    pub(super) async fn set_not_before(&self, unix: Option<Micros>) {
        self.dispatcher.send(DispatcherMessage::NotBefore(unix)).await;
    }

    /// Sends queued updates, then drain overrides, as far as the dispatcher's mailbox has capacity.
    pub(super) fn flush(&mut self, state: &ReplicatedState, now: Instant) {
        if !self.flush_updates() {
            return;
        }
        self.drains.collect_replies(now);
        self.drains.flush(&self.dispatcher, state, now);
    }

    /// Sends queued updates. Returns `false` if the mailbox is full.
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

    /// Returns the message for an update, or `None` if the dispatcher does not use updates of this kind.
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
                Some(DispatcherMessage::ReplicatedMember(Box::new(record.to_endpoint(name))))
            }
            _ => None,
        }
    }
}
