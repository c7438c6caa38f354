//! What is reckoned from what one director sees: pure numbers, no clock, no I/O, in bounded memory.
//!
//! The lowest part of the program: it imports nothing of it, and decides nothing. Times are microseconds and
//! are given by whoever asks.
//!
//! | module | holds |
//! | --- | --- |
//! | [`admission`] | the share of work that a crowded resource is still given |
//! | [`fade`] | counts that fade |
//! | [`gamma`] | rates and shares from few events, with their error |
//! | [`hash`] | a hash that is the same at every director |
//! | [`pace`] | what requests of a class take |
//! | [`purged`] | purges that servers may not have heeded yet |
//! | [`recent`] | a map that forgets what was not met lately, bounded in entries |
//! | [`crowd`] | how crowded servers are, by what their answers took |
//!
//! One director of three hundred sees a three hundredth of what happens. Every estimate here is therefore a
//! mean that leans on what is usual (the prior) until it has seen enough, and says how far off it may be.

pub mod admission;
pub mod crowd;
pub mod fade;
pub mod gamma;
pub mod hash;
pub mod pace;
pub mod purged;
pub mod recent;
