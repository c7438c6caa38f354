//! The state that directors share: an update at one director reaches all others. Pure: no clock, no I/O;
//! times, randomness and messages are given.
//!
//! | module | contents |
//! | --- | --- |
//! | [`entry`] | what is replicated, and how two copies are merged |
//! | [`state`] | all entries of one director, bounded, with their expiry |
//! | [`digest`] | digests over ranges, by which two directors find what differs |
//! | [`gossip`] | the protocol: gossip, anti-entropy, catching up; messages in, messages out |
//! | [`replay_window`] | which messages are new and which are replayed |
//!
//! The state of a director is a map from [`entry::Key`] to [`entry::Value`]. Two maps are merged entry by
//! entry, and each merge is commutative, associative and idempotent (a CRDT): directors that have received
//! the same updates hold the same state, in whatever order and however often these arrived.
//! `docs/design/replica.md` compares the alternatives; `docs/replication.md` is for operators.

pub mod digest;
pub mod entry;
pub mod gossip;
pub mod replay_window;
pub mod state;
