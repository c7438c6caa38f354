//! State that is replicated between directors: an update made at one director reaches all others. This module
//! reads no clock and does no I/O; the caller passes in the times, the random seed and the messages.
//!
//! | module | contents |
//! | --- | --- |
//! | [`entry`] | keys, values and the merge of two copies of a value |
//! | [`state`] | all entries of one director, with their bounds and expiry |
//! | [`digest`] | digests over ranges of keys, by which two directors find the entries that differ |
//! | [`gossip`] | the protocol: gossip, anti-entropy and catch-up |
//! | [`replay_window`] | detection of replayed messages |
//!
//! The state of a director is a map from [`entry::Key`] to [`entry::Value`]. Two maps are merged entry by
//! entry, and each merge is commutative, associative and idempotent (a CRDT). Directors that have received
//! the same updates therefore hold the same state, regardless of the order and number of deliveries.
//! `docs/design/replica.md` compares the alternatives; `docs/replication.md` is for operators.

pub mod digest;
pub mod entry;
pub mod gossip;
pub mod replay_window;
pub mod state;
