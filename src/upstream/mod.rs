//! Transports to endpoints: the director's own connections, or a transport that the host application
//! provides.
//!
//! | module | contents |
//! | --- | --- |
//! | [`connector`] | entry point: starts an actor for each endpoint |
//! | `endpoint` | the actor that assigns attempts to the endpoint's connections |
//! | `connection_pool` | the connections to one endpoint |
//! | `connection` | one multiplexed connection |
//! | `descriptor_permits` | the limit on the total number of connections to all endpoints |
//! | [`line_codec`] | the line protocol |
//! | [`host`] | a transport that the host application provides |
//! | `socket` | queries of the state of a socket |

mod connection;
mod connection_pool;
pub mod connector;
mod descriptor_permits;
mod endpoint;
pub mod host;
pub mod line_codec;
mod socket;

pub use connector::UpstreamConnector;
pub use socket::{has_closed, has_ended, is_short_of_descriptors, peek_available};

/// Capacity, in commands, of the channel to an endpoint's actor and of the channel to a connection. An
/// attempt that finds the channel full ends with `NotWritten`.
const COMMAND_QUEUE: usize = 512;
