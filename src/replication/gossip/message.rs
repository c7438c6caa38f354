//! The messages of the gossip and anti-entropy protocol.
//!
//! The messages are encoded by postcard, which writes enum variants by index and fields in declaration order,
//! without names. Reordering either changes the wire format.

use crate::replication::digest::{ChildSums, EntrySum};
use crate::replication::entry::{Key, Value};
use serde::{Deserialize, Serialize};

/// A message between two directors.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Entries that are gossiped, or that anti-entropy found missing at the receiver.
    Updates(Vec<(Key, Value)>),
    /// The root sum of the sender's digest tree.
    RootDigest(u64),
    /// Nodes of the sender's digest tree, each with the sums of its children.
    ChildDigests(Vec<ChildSums>),
    /// The hashes of all entries of the sender within a range of key hashes.
    RangeSummary(RangeSummary),
    /// Requests the entries with these key hashes.
    RequestEntries(Vec<u64>),
    /// Requests the next entries of a transfer lane.
    TransferRequest(TransferRequest),
    /// Answers a [`TransferRequest`].
    TransferChunk(TransferChunk),
}

/// The hashes of the sender's entries within a range of key hashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeSummary {
    /// The first key hash of the range.
    pub first: u64,
    /// The last key hash of the range, inclusive.
    pub last: u64,
    /// The hashes of each entry, in ascending order of the key hashes.
    pub entries: Vec<EntrySum>,
}

/// A request for entries, sent by a director during catch-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// The index of the lane, assigned by the sender and returned in the response.
    pub lane: u8,
    /// The first key hash of the requested range.
    pub first: u64,
    /// The last key hash of the requested range, inclusive.
    pub last: u64,
}

/// The response to a [`TransferRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferChunk {
    /// The index of the lane, copied from the request.
    pub lane: u8,
    /// The first key hash, copied from the request.
    pub first: u64,
    /// The entries from `first` on, in ascending order of their key hashes.
    pub entries: Vec<(Key, Value)>,
    /// The key hash to continue from, or `None` if this is the last chunk of the lane.
    pub next: Option<u64>,
    /// Whether the sender of the chunk is past catch-up itself.
    pub sender_caught_up: bool,
}
