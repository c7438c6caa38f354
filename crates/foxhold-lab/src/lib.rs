//! foxhold's laboratory: what only tests, measurements and experiments need.
//!
//! | module | holds |
//! | --- | --- |
//! | [`fleet`] | stand-in caches, parents, origin and notice board on loopback |
//! | [`overhead`] | what the director costs a request, as daemon and as library |
//! | [`trace`] | traces of requests and troubles: the file, and how one is drawn |
//! | [`replay`] | a trace through the daemon's process or the library in an axum host, and the comparison |
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod fleet;
pub mod overhead;
pub mod replay;
pub mod trace;
