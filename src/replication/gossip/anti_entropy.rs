//! Anti-entropy: two directors find the entries that differ by comparing their digest trees from the root
//! down.
//!
//! One director sends the sum of its root. If the other's root differs, it replies with the sums of the
//! root's children, and so on down to the leaves that differ. For these leaves they exchange summaries of the
//! entries, and each sends the entries that the other lacks.

use super::message::RangeSummary;
use super::packing::pack_entries_at;
use super::random::Random;
use super::GossipMessage;
use crate::policy::types::Micros;
use crate::replication::digest::{ChildSums, EntrySum, Node};
use crate::replication::state::{leaf_key_hashes, ReplicatedState};
use std::collections::HashMap;
use std::hash::Hash;

/// Maximum number of nodes of a received message that are compared, and of differing children that are
/// handled in reply.
const MAX_NODES_PER_STEP: usize = 16;
/// Maximum number of inner nodes in one message.
const NODES_PER_MESSAGE: usize = 4;
/// Maximum number of entry hashes or key hashes in one message.
const MAX_SUMS_PER_MESSAGE: usize = 50;
/// Maximum number of local entries that are compared with one received summary.
const MAX_COMPARED_ENTRIES: usize = 4 * MAX_SUMS_PER_MESSAGE;
/// Mean time between two root digests, in microseconds.
const DIGEST_INTERVAL: Micros = 500_000;

/// The time at which the next root digest is due, and the members known to have been in sync.
#[derive(Debug)]
pub(super) struct AntiEntropy<P> {
    next_digest: Micros,
    last_in_sync: HashMap<P, Micros>,
}

impl<P: Clone + Eq + Hash> AntiEntropy<P> {
    /// Creates the state with a root digest due immediately.
    pub(super) fn new(now: Micros) -> AntiEntropy<P> {
        AntiEntropy { next_digest: now, last_in_sync: HashMap::new() }
    }

    /// Returns whether a root digest is due, and if so schedules the next one.
    pub(super) fn digest_due(&mut self, now: Micros, random: &mut Random) -> bool {
        if now < self.next_digest {
            return false;
        }
        // The interval is drawn from 0.5 to 1.5 times the mean, so that directors do not synchronise.
        self.next_digest = now + DIGEST_INTERVAL / 2 + random.below(DIGEST_INTERVAL as usize) as Micros;
        true
    }

    /// Records that a member's root digest is the same as the local one.
    pub(super) fn record_in_sync(&mut self, peer: &P, now: Micros) {
        self.last_in_sync.insert(peer.clone(), now);
    }

    /// Returns the time at which a member was last recorded as in sync, if ever.
    pub(super) fn last_in_sync(&self, peer: &P) -> Option<Micros> {
        self.last_in_sync.get(peer).copied()
    }

    /// Removes the records of all members that are not in `peers`.
    pub(super) fn retain(&mut self, peers: &[P]) {
        self.last_in_sync.retain(|peer, _| peers.contains(peer));
    }
}

/// Returns the message that starts a comparison.
pub(super) fn root_digest(state: &ReplicatedState) -> GossipMessage {
    GossipMessage::RootDigest(state.digest().sum(Node::ROOT))
}

/// Returns the reply to a root digest that differs: the sums of the root's children.
pub(super) fn root_children(state: &ReplicatedState) -> GossipMessage {
    GossipMessage::ChildDigests(vec![state.digest().child_sums(Node::ROOT)])
}

/// Compares received sums with the local digest. Returns the next messages of the comparison: child sums of
/// the inner nodes that differ, and summaries of the leaves that differ, for at most [`MAX_NODES_PER_STEP`]
/// nodes.
pub(super) fn compare_children(
    state: &ReplicatedState,
    nodes: &[ChildSums],
    random: &mut Random,
) -> Vec<GossipMessage> {
    let mut differing = differing_children(state, nodes);
    // Starts at a random node: if more nodes differ than one step may handle, later comparisons reach the
    // rest.
    let start = random.below(differing.len());
    differing.rotate_left(start);
    differing.truncate(MAX_NODES_PER_STEP);
    let (leaves, inner): (Vec<Node>, Vec<Node>) = differing.into_iter().partition(|node| node.is_leaf());
    let mut messages = Vec::new();
    for nodes in inner.chunks(NODES_PER_MESSAGE) {
        let sums = nodes.iter().map(|node| state.digest().child_sums(*node)).collect();
        messages.push(GossipMessage::ChildDigests(sums));
    }
    messages.extend(leaves.into_iter().flat_map(|leaf| summarize_leaf(state, leaf)));
    messages
}

/// Completes a comparison within a range: returns messages with the entries that the member lacks, and
/// requests for the entries that this director lacks.
pub(super) fn repair(state: &ReplicatedState, theirs: &RangeSummary) -> Vec<GossipMessage> {
    let ours = state.entry_sums(theirs.first..=theirs.last);
    let ours: Vec<EntrySum> = ours.take(MAX_COMPARED_ENTRIES).collect();
    let missing_there =
        ours.iter().filter(|entry| !theirs.entries.contains(entry)).map(|entry| entry.key_hash);
    let mut messages = pack_entries_at(state, missing_there);
    let missing_here =
        theirs.entries.iter().filter(|entry| !ours.contains(entry)).map(|entry| entry.key_hash);
    let missing_here: Vec<u64> = missing_here.collect();
    for key_hashes in missing_here.chunks(MAX_SUMS_PER_MESSAGE) {
        messages.push(GossipMessage::RequestEntries(key_hashes.to_vec()));
    }
    messages
}

/// Returns the entries that a member requested.
pub(super) fn requested_entries(state: &ReplicatedState, key_hashes: Vec<u64>) -> Vec<GossipMessage> {
    pack_entries_at(state, key_hashes.into_iter().take(MAX_SUMS_PER_MESSAGE))
}

fn differing_children(state: &ReplicatedState, nodes: &[ChildSums]) -> Vec<Node> {
    let digest = state.digest();
    let mut differing = Vec::new();
    for ChildSums { node, sums } in nodes.iter().take(MAX_NODES_PER_STEP) {
        let children = node.children().zip(sums);
        differing.extend(children.filter(|(child, sum)| digest.sum(*child) != **sum).map(|(child, _)| child));
    }
    differing
}

/// Returns summaries that together cover the whole key hash range of a leaf, without gaps.
fn summarize_leaf(state: &ReplicatedState, leaf: Node) -> Vec<GossipMessage> {
    let range = leaf_key_hashes(leaf.index);
    let entries: Vec<EntrySum> = state.entry_sums(range.clone()).collect();
    let mut first = *range.start();
    let mut parts = entries.chunks(MAX_SUMS_PER_MESSAGE).peekable();
    let mut summaries = Vec::new();
    loop {
        let part = parts.next().unwrap_or_default();
        let last = match (parts.peek(), part.last()) {
            (Some(_), Some(last_entry)) => last_entry.key_hash,
            _ => *range.end(),
        };
        summaries.push(GossipMessage::RangeSummary(RangeSummary { first, last, entries: part.to_vec() }));
        if last == *range.end() {
            return summaries;
        }
        first = last + 1;
    }
}
