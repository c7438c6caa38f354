//! State that directors share: what one was told, all come to hold. Pure: no clock, no I/O; times, randomness
//! and messages are given.
//!
//! | module | holds |
//! | --- | --- |
//! | [`entry`] | what is replicated, and the rule for copies that differ |
//! | [`state`] | all entries of one director, bounded, with what changed and what is old |
//! | [`digest`] | digests over ranges, by which two directors find what differs |
//! | [`gossip`] | the conversation: rumours, digests, catching up; messages in, messages out |
//! | [`replay_window`] | which messages are new, which come a second time |
//!
//! A director's state is a map from [`entry::Key`] to [`entry::Value`]. Two maps are merged entry by entry,
//! and each merge is commutative, associative and idempotent: whoever has heard the same words holds the same
//! state, in whatever order and however often they came. `docs/design/replica.md` weighs the ways;
//! `docs/replica.md` is for operators.

pub mod digest;
pub mod entry;
pub mod gossip;
pub mod replay_window;
pub mod state;
