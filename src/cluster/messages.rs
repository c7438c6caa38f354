//! The actor's handling of messages of the membership and replication protocols.

use super::actor::Actor;
use super::frame::Body;
use super::members::{Member, ProtocolOutput};
use super::LOG_TARGET;
use crate::replication::gossip::{GossipMessage, Outbox};
use crate::replication::state::ClockReading;
use std::net::SocketAddr;
use tokio::time::Instant;

impl Actor {
    /// Verifies a received datagram and passes its message to the protocol that it belongs to.
    pub(super) fn handle_datagram(&mut self, datagram: &[u8]) {
        let Some(message) = self.transport.decode(datagram) else { return };
        let now = self.now();
        if let Some(greeting) = self.membership.received(&message.from, now.monotonic) {
            self.apply_membership(greeting);
        }
        match message.body {
            Body::Swim(bytes) => {
                let output = self.membership.members.handle_message(&bytes);
                self.apply_membership(output);
            }
            Body::Gossip(body) => self.handle_replication(&message.from, body, now),
        }
    }

    fn handle_replication(&mut self, from: &Member, body: GossipMessage, now: ClockReading) {
        let before = self.replication.counters().clone();
        let mut replies = Vec::new();
        self.replication.handle_message(&from.address, body, now, &mut replies);
        let after = self.replication.counters();
        if after.conflicts > before.conflicts {
            tracing::warn!(target: LOG_TARGET, peer = %from.name, "peer sent a conflicting entry");
        }
        if after.rejected != before.rejected {
            tracing::debug!(
                target: LOG_TARGET,
                peer = %from.name,
                rejected = ?after.rejected,
                "rejected entries from peer"
            );
        }
        self.send_replication(replies);
    }

    /// Sends the messages of the replication protocol that are due.
    pub(super) fn tick_replication(&mut self, now: ClockReading) {
        let mut messages = Vec::new();
        self.replication.tick(now, &mut messages);
        self.send_replication(messages);
    }

    /// Sends messages of the replication protocol, and queues the entries changed since the last call for the
    /// disk and the dispatcher.
    fn send_replication(&mut self, messages: Outbox<SocketAddr>) {
        for (to, message) in messages {
            self.transport.send(self.membership.members.local(), to, Body::Gossip(message));
        }
        let updates = self.replication.take_updates();
        if !updates.is_empty() {
            updates.into_iter().for_each(|update| self.accept(update));
            self.dispatcher_feed.flush(&self.replication.state, Instant::now());
        }
    }

    /// Sends the announcements that are due and checks for duplicate names.
    pub(super) fn tick_membership(&mut self, now: Instant) {
        if let Some(seeds) = self.membership.seeds_due(now) {
            self.announce(seeds);
            self.membership.check_names(now);
        }
        let peers = self.membership.discovery_due(self.replication.peers(), now);
        self.announce(peers);
    }

    fn announce(&mut self, addresses: Vec<SocketAddr>) {
        for address in addresses {
            let output = self.membership.members.announce(address);
            self.apply_membership(output);
        }
    }

    /// Handles the expired timers of the membership protocol.
    pub(super) fn expire_timers(&mut self) {
        let now = Instant::now();
        while let Some(output) = self.membership.expire(now) {
            self.apply_membership(output);
        }
    }

    /// Executes the actions that the membership protocol requests.
    pub(super) fn apply_membership(&mut self, output: ProtocolOutput) {
        for (to, bytes) in output.messages {
            self.transport.send(self.membership.members.local(), to, Body::Swim(bytes));
        }
        self.membership.schedule(output.timers);
        if output.changes.is_empty() {
            return;
        }
        for change in output.changes {
            change.log();
        }
        let peers = self.membership.refresh();
        self.replication.set_members(peers);
    }
}
