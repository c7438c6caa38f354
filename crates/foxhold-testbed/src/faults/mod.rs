//! Faults that are injected between processes, and schedules of them.
//!
//! | module | holds |
//! | --- | --- |
//! | [`peer_network`] | the relays between directors that share state, and the paths between them |
//! | [`relay`] | a link between two processes, and the faults injected into it |
//! | [`schedule`] | faults among directors that gossip, drawn from a seed |

pub mod peer_network;
pub mod relay;
pub mod schedule;
