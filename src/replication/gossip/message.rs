//! The messages of the gossip and anti-entropy protocol.
//!
//! They are encoded by postcard, which writes enum variants by their number and fields by their order,
//! without names: the order of both is the wire format.

use crate::replication::digest::{ChildSums, EntrySum};
use crate::replication::entry::{Key, Value};
use serde::{Deserialize, Serialize};

/// A message between two directors.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Entries: updates that are gossiped, and repairs.
    Updates(Vec<(Key, Value)>),
    /// The sum of the root of the sender's digest tree.
    RootDigest(u64),
    /// Nodes of the sender's digest tree, each with the sums of its children.
    ChildDigests(Vec<ChildSums>),
    /// All entries of the sender within a range, by their sums.
    RangeSummary(RangeSummary),
    /// Asks for the entries with these key hashes.
    RequestEntries(Vec<u64>),
    /// Asks for the next entries of a transfer lane.
    TransferRequest(TransferRequest),
    /// Answers a [`TransferRequest`].
    TransferChunk(TransferChunk),
}

/// What the sender holds within a range of key hashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeSummary {
    /// The first key hash of the range.
    pub first: u64,
    /// The last key hash of the range, included.
    pub last: u64,
    /// The entries, in the order of their key hashes.
    pub entries: Vec<EntrySum>,
}

/// A request for entries, sent by a director that catches up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// The sender's number of the lane.
    pub lane: u8,
    /// The first key hash that is asked for.
    pub first: u64,
    /// The last key hash that is asked for, included.
    pub last: u64,
}

/// Entries for a director that catches up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferChunk {
    /// The lane, from the request.
    pub lane: u8,
    /// The first key hash, from the request.
    pub first: u64,
    /// The entries.
    pub entries: Vec<(Key, Value)>,
    /// The key hash to continue from; none: this was the last chunk of the lane.
    pub next: Option<u64>,
    /// Whether the sender itself has caught up.
    pub sender_caught_up: bool,
}
