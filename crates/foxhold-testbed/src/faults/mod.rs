//! Faults to inject between processes, and fault schedules.
//!
//! | module | holds |
//! | --- | --- |
//! | [`peer_network`] | relays for gossip between directors, and the conditions of each path |
//! | [`relay`] | a TCP relay between two processes, with faults to inject |
//! | [`schedule`] | random fault schedules for directors that gossip, drawn from a seed |

pub mod peer_network;
pub mod relay;
pub mod schedule;
