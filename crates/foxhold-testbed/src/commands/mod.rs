//! The commands, each with its options. Each returns whether what it checks held.

pub mod fleet;
pub mod gossip;
pub mod overhead;
pub mod simulate;
pub mod trace;
