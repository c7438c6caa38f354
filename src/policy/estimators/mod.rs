//! Statistical estimators over what one director observes: pure, without clock or I/O, bounded in memory.
//!
//! The lowest layer of the program: it imports no other module and takes no decision. Times are microseconds
//! and are given by the caller.
//!
//! | module | holds |
//! | --- | --- |
//! | [`admitted_share`] | the share of work admitted to a congested resource (AIMD) |
//! | [`congestion`] | congestion of servers, estimated from response times |
//! | [`decaying_counter`] | an exponentially decaying counter |
//! | [`gamma_prior`] | rates and shares from few events, with their error |
//! | [`generational_cache`] | a bounded map that forgets entries not used lately |
//! | [`hash`] | a hash function that gives the same values in every director |
//! | [`load_sharing`] | how independent routers split a load |
//! | [`pending_purges`] | purges that servers may not have completed yet |
//! | [`service_time`] | the service time of one class of requests |
//!
//! One director of three hundred observes a three-hundredth of all events. Each estimate therefore starts
//! from a prior and moves away from it as observations arrive.

pub mod admitted_share;
pub mod congestion;
pub mod decaying_counter;
pub mod gamma_prior;
pub mod generational_cache;
pub mod hash;
pub mod load_sharing;
pub mod pending_purges;
pub mod service_time;
