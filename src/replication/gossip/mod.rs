//! The gossip and anti-entropy protocol between directors. It handles received messages and returns the
//! messages to send; it uses no socket and no clock. The caller passes in the times and a random seed.
//!
//! Three mechanisms run concurrently. Each alone would bring two directors to the same state:
//!
//! - **Gossip** (`pending_updates`). A director sends an update to [`FANOUT`] random members in each of
//!   [`ROUNDS`] rounds. Each member to which the update is new does the same. Nearly all members have the
//!   update within a few rounds.
//! - **Anti-entropy** (`anti_entropy`). At intervals a director sends the root of its digest tree to one
//!   random member. If the roots differ, the two descend the trees to the leaves that differ, and each sends
//!   the entries that the other lacks. This reaches members that gossip missed, and those that were
//!   partitioned.
//! - **Catch-up** (`catch_up`). A director that starts, or that was disconnected for longer than tombstones
//!   are kept, transfers all entries of other members.
//!
//! All resources are bounded: messages by [`MAX_MESSAGE_BYTES`], pending updates by [`MAX_PENDING_UPDATES`],
//! a step of a tree comparison by its number of nodes. A message causes a bounded number of replies, so a
//! peer that floods a director gets back at most a fixed multiple of what it sends.

mod anti_entropy;
mod catch_up;
mod counters;
mod message;
mod packing;
mod pending_updates;
mod random;

pub use catch_up::{Stage, LANES};
pub use counters::GossipCounters;
pub use message::{GossipMessage, RangeSummary, TransferChunk, TransferRequest};
pub use packing::MAX_MESSAGE_BYTES;
pub use pending_updates::{FANOUT, MAX_PENDING_UPDATES, ROUNDS};

use super::digest::Node;
use super::entry::{Key, MergeOutcome, Value};
use super::state::{ClockReading, ReplicatedState};
use crate::policy::types::Micros;
use anti_entropy::AntiEntropy;
use catch_up::CatchUp;
use pending_updates::PendingUpdates;
use random::Random;
use std::fmt::Debug;
use std::hash::Hash;

/// Interval between removals of expired entries, in microseconds.
const EXPIRY_INTERVAL: Micros = 1_000_000;

/// Messages to send, each with its destination.
pub type Outbox<P> = Vec<(P, GossipMessage)>;

/// An entry of this director that a received message has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// The key of the changed entry.
    pub key: Key,
    /// The value after the merge.
    pub value: Value,
}

/// Selects whether merged entries that are new to this director are gossiped to other members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Forward {
    Yes,
    /// Entries from catch-up are not gossiped: other members have them already.
    No,
}

/// The state of the protocol at one director. `P` identifies a member.
#[derive(Debug)]
pub struct GossipProtocol<P> {
    /// The replicated entries of this director.
    pub state: ReplicatedState,
    /// The members other than this director.
    peers: Vec<P>,
    pending: PendingUpdates,
    anti_entropy: AntiEntropy<P>,
    catch_up: CatchUp<P>,
    next_expiry: Micros,
    /// Monotonic time at which a message was last received from any member.
    last_received: Micros,
    /// Entries that received messages have changed since the last call of `take_updates`.
    updates: Vec<Update>,
    counters: GossipCounters,
    random: Random,
}

impl<P: Clone + Debug + Eq + Hash> GossipProtocol<P> {
    /// Creates the protocol with a state that may contain entries from disk. Catch-up begins at once, and
    /// requests entries as soon as there are members.
    pub fn new(state: ReplicatedState, seed: u64, now: ClockReading) -> GossipProtocol<P> {
        GossipProtocol {
            state,
            peers: Vec::new(),
            pending: PendingUpdates::default(),
            anti_entropy: AntiEntropy::new(now.monotonic),
            catch_up: CatchUp::new(now.monotonic),
            next_expiry: now.monotonic,
            last_received: now.monotonic,
            updates: Vec::new(),
            counters: GossipCounters::default(),
            random: Random::new(seed),
        }
    }

    /// Returns the stage of catch-up of this director.
    pub fn stage(&self) -> Stage {
        self.catch_up.stage()
    }

    /// Returns the counters since the start of the director.
    pub fn counters(&self) -> &GossipCounters {
        &self.counters
    }

    /// Returns the members other than this director.
    pub fn peers(&self) -> &[P] {
        &self.peers
    }

    /// Returns the monotonic time at which a member was last in sync: its root digest was the same as the
    /// local one. Returns `None` if it never was.
    pub fn last_in_sync(&self, peer: &P) -> Option<Micros> {
        self.anti_entropy.last_in_sync(peer)
    }

    /// Sets the members other than this director.
    pub fn set_members(&mut self, peers: Vec<P>) {
        self.anti_entropy.retain(&peers);
        self.peers = peers;
    }

    /// Takes the entries that received messages have changed since the last call.
    pub fn take_updates(&mut self) -> Vec<Update> {
        std::mem::take(&mut self.updates)
    }

    /// Queues an entry that was changed at this director for gossip. Does nothing for `None`.
    pub fn publish(&mut self, change: Option<(Key, Value)>) {
        if let Some((key, _)) = change {
            self.enqueue_update(key);
        }
    }

    /// Removes expired entries and sends all messages that are due. Must be called some tens of times a
    /// second.
    pub fn tick(&mut self, now: ClockReading, out: &mut Outbox<P>) {
        self.expire_entries(now);
        self.send_pending_updates(out);
        self.send_transfer_requests(now, out);
        self.send_root_digest(now, out);
    }

    /// Handles a message from a member, and adds the replies to `out`.
    pub fn handle_message(
        &mut self,
        from: &P,
        message: GossipMessage,
        now: ClockReading,
        out: &mut Outbox<P>,
    ) {
        self.record_contact(now);
        let replies = match message {
            GossipMessage::Updates(entries) => {
                self.merge_entries(entries, Forward::Yes, now);
                return;
            }
            GossipMessage::TransferChunk(chunk) => return self.handle_chunk(from, chunk, now, out),
            GossipMessage::RootDigest(sum) => self.compare_root(from, sum, now),
            GossipMessage::ChildDigests(nodes) => {
                anti_entropy::compare_children(&self.state, &nodes, &mut self.random)
            }
            GossipMessage::RangeSummary(theirs) => anti_entropy::repair(&self.state, &theirs),
            GossipMessage::RequestEntries(key_hashes) => {
                anti_entropy::requested_entries(&self.state, key_hashes)
            }
            GossipMessage::TransferRequest(request) => vec![self.next_chunk(request)],
        };
        out.extend(replies.into_iter().map(|reply| (from.clone(), reply)));
    }

    fn expire_entries(&mut self, now: ClockReading) {
        if now.monotonic >= self.next_expiry {
            self.next_expiry = now.monotonic + EXPIRY_INTERVAL;
            self.state.expire(now);
        }
    }

    fn enqueue_update(&mut self, key: Key) {
        if !self.pending.add(key) {
            self.counters.updates_dropped += 1;
        }
    }

    /// Sends all pending updates to a random sample of members (one gossip round).
    fn send_pending_updates(&mut self, out: &mut Outbox<P>) {
        if self.pending.is_empty() || self.peers.is_empty() {
            return;
        }
        let messages = packing::pack_updates(self.pending.next_round(&self.state));
        for peer in self.random.sample(&self.peers, FANOUT) {
            out.extend(messages.iter().map(|message| (peer.clone(), message.clone())));
        }
    }

    fn send_transfer_requests(&mut self, now: ClockReading, out: &mut Outbox<P>) {
        self.counters.source_changes +=
            self.catch_up.send_requests(&self.peers, now.monotonic, &mut self.random, out);
    }

    fn send_root_digest(&mut self, now: ClockReading, out: &mut Outbox<P>) {
        if self.anti_entropy.digest_due(now.monotonic, &mut self.random) && !self.peers.is_empty() {
            let peer = &self.peers[self.random.below(self.peers.len())];
            out.push((peer.clone(), anti_entropy::root_digest(&self.state)));
        }
    }

    /// Records that a message was received. If none was received for longer than tombstones are kept, other
    /// members may have removed servers that this director still lists: it discards its endpoint list and
    /// restarts catch-up.
    fn record_contact(&mut self, now: ClockReading) {
        let silence = now.monotonic.saturating_sub(self.last_received);
        self.last_received = now.monotonic;
        if silence > self.state.bounds().tombstone_retention && !self.catch_up.is_catching_up() {
            self.state.forget_members();
            self.catch_up.restart(now.monotonic);
        }
    }

    fn merge_entries(&mut self, entries: Vec<(Key, Value)>, forward: Forward, now: ClockReading) {
        for (key, value) in entries {
            self.merge_entry(key, &value, forward, now);
        }
    }

    fn merge_entry(&mut self, key: Key, value: &Value, forward: Forward, now: ClockReading) {
        let outcome = match self.state.merge(&key, value, now) {
            Ok(outcome) => outcome,
            Err(cause) => {
                *self.counters.rejected.entry(cause).or_default() += 1;
                return;
            }
        };
        if outcome == MergeOutcome::Unchanged {
            self.counters.unchanged += 1;
            return;
        }
        self.counters.conflicts += u64::from(outcome != MergeOutcome::Changed);
        if outcome == (MergeOutcome::Conflict { changed: false }) {
            return;
        }
        self.counters.merged += 1;
        if let Some(value) = self.state.get(&key).cloned() {
            if forward == Forward::Yes {
                self.enqueue_update(key.clone());
            }
            self.updates.push(Update { key, value });
        }
    }

    fn compare_root(&mut self, from: &P, sum: u64, now: ClockReading) -> Vec<GossipMessage> {
        if sum == self.state.digest().sum(Node::ROOT) {
            self.anti_entropy.record_in_sync(from, now.monotonic);
            return Vec::new();
        }
        if self.catch_up.is_catching_up() {
            return Vec::new();
        }
        self.counters.digest_mismatches += 1;
        vec![anti_entropy::root_children(&self.state)]
    }

    fn next_chunk(&self, request: TransferRequest) -> GossipMessage {
        let caught_up = !self.catch_up.is_catching_up();
        GossipMessage::TransferChunk(catch_up::next_chunk(&self.state, request, caught_up))
    }

    fn handle_chunk(&mut self, from: &P, mut chunk: TransferChunk, now: ClockReading, out: &mut Outbox<P>) {
        // Merged even if this director did not request the chunk: an entry is valid regardless of its sender.
        self.merge_entries(std::mem::take(&mut chunk.entries), Forward::No, now);
        self.catch_up.handle_chunk(from, &chunk, now.monotonic, out);
    }
}
