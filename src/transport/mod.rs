//! How servers are reached: each way opens an actor for a server and speaks its wire.

pub mod host;
pub mod lines;
pub mod servers;
