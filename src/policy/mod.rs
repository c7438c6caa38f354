//! The routing policy: pure decisions, without clock or I/O.
//!
//! | module | holds |
//! | --- | --- |
//! | [`types`] | settings, events, actions and the ids that they carry |
//! | `rendezvous` | the order in which an object prefers servers |
//! | `router` | the state machine: events in, actions out |
//! | [`estimators`] | estimates from few observations, each bounded in memory |

pub mod estimators;
mod rendezvous;
mod router;
pub mod types;

pub use router::Router;
