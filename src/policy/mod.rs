//! The routing policy: a pure state machine that reads no clock and does no I/O.
//!
//! | module | holds |
//! | --- | --- |
//! | [`types`] | settings, events, actions and the ids in them |
//! | `router` | the state machine: events in, actions out |
//! | `member_list` | updates of the member list |
//! | `endpoints` | the endpoint table: the state of each server |
//! | `rendezvous` | the order in which an object prefers servers |
//! | `placement` | popularity of objects, demand for caches |
//! | `cache_selection` | the cache that serves a request |
//! | `fill_source` | the source of a fill: two parents, residency estimates, concurrency windows |
//! | `admission` | shares of requests admitted to the zone's link and to the origin, load shedding |
//! | `requests` | pending requests and their attempts |
//! | `attempts` | sending attempts: route, fill, reserved capacity |
//! | `attempt_outcome` | handling of the end of an attempt |
//! | `retry` | retries, hedged requests and their budget |
//! | `outlier_detection` | ejection of failing servers, probation requests |
//! | `slow_start` | limits on the work sent to recently started servers |
//! | `service_times` | service times of each class of requests |
//! | `timers` | timers and their encoding as tokens |
//! | `random` | the router's pseudo-random numbers |
//! | [`estimators`] | statistical estimators, each bounded in memory |

mod admission;
mod attempt_outcome;
mod attempts;
mod cache_selection;
mod endpoints;
pub mod estimators;
mod fill_source;
mod member_list;
mod outlier_detection;
mod placement;
mod random;
mod rendezvous;
mod requests;
mod retry;
mod router;
mod service_times;
mod slow_start;
mod timers;
pub mod types;

pub use router::Router;
