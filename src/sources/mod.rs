//! Where the list of members and purges come from.

pub mod board;
pub mod watched;
pub mod xds;
