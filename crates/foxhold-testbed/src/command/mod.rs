//! The commands, each with its options. Each returns whether what it checks held.

pub mod fleet;
pub mod hollow;
pub mod overhead;
pub mod talk;
pub mod trace;
