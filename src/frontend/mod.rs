//! The HTTP frontends for clients, and the admin endpoint for operators.
//!
//! | module | job |
//! | --- | --- |
//! | [`serve`] | the HTTP server: listeners, connection slots, connections |
//! | [`http`] | HTTP codec |
//! | [`platform`] | codec of the platform's HTTP |
//! | [`signed`] | the frontend for signed URLs and tokens |
//! | [`metrics`] | the endpoint of that frontend's counters |
//! | [`stream`] | a client's connection, shared with the dispatcher |
//! | [`admin`] | the admin endpoint |

pub mod admin;
pub mod http;
pub mod metrics;
pub mod platform;
pub mod serve;
pub mod signed;
pub mod stream;
