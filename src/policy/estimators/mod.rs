//! Statistical estimators for the observations of one director. They are deterministic, use no clock and no
//! I/O, and have bounded memory.
//!
//! This is the lowest layer of the program: it imports no other module and makes no decisions. Times are in
//! microseconds and are passed in by the caller.
//!
//! | module | holds |
//! | --- | --- |
//! | [`admitted_share`] | the share of work admitted to a congested resource (AIMD) |
//! | [`congestion`] | congestion of servers, estimated from response times |
//! | [`decaying_counter`] | an exponentially decaying counter |
//! | [`gamma_prior`] | rates and shares estimated from few events, with their error |
//! | [`generational_cache`] | a bounded map that drops entries not used recently |
//! | [`hash`] | a hash function that gives the same values in every director |
//! | [`load_sharing`] | functions by which independent routers split a load |
//! | [`pending_purges`] | purges that servers may not have completed yet |
//! | [`service_time`] | the service time of one class of requests |
//!
//! In a fleet of 300 directors, one director observes 1/300 of all events. Each estimate therefore starts
//! from a prior, whose influence shrinks as observations arrive.

pub mod admitted_share;
pub mod congestion;
pub mod decaying_counter;
pub mod gamma_prior;
pub mod generational_cache;
pub mod hash;
pub mod load_sharing;
pub mod pending_purges;
pub mod service_time;
