//! The HTTP frontends that clients connect to, and the admin endpoint for operators.
//!
//! | module | content |
//! | --- | --- |
//! | [`serve`] | the HTTP server: listeners, connection slots, connections |
//! | [`http`] | the HTTP/1.1 codec, shared by all frontends |
//! | [`platform`] | the frontend for clients that use the platform's paths and headers |
//! | [`signed`] | the frontend for signed URLs and tokens |
//! | [`metrics`] | the Prometheus endpoint with the counters of the `signed` frontend |
//! | [`stream`] | a client connection that the dispatcher can check for disconnection |
//! | [`admin`] | the admin endpoint |

pub mod admin;
pub mod http;
pub mod metrics;
pub mod platform;
pub mod serve;
pub mod signed;
pub mod stream;
