//! The commands with their options. Each returns whether its checks passed.

pub mod fleet;
pub mod gossip;
pub mod overhead;
pub mod simulate;
pub mod trace;
