//! How endpoints are reached: the director's own connections, or a transport of the host application.
//!
//! | module | holds |
//! | --- | --- |
//! | [`connector`] | the entry: starts an actor for each endpoint |
//! | `endpoint` | the actor that places attempts on the endpoint's connections |
//! | `connection_pool` | the connections to one endpoint |
//! | `connection` | one multiplexed connection |
//! | `descriptor_permits` | the limit on connections to all endpoints together |
//! | [`line_codec`] | the line protocol |
//! | [`host`] | a transport of the host application |
//! | `socket` | what the system tells of a socket |

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

/// Commands that wait for an endpoint's actor or for a connection. An attempt that finds no room ends as not
/// sent.
const COMMAND_QUEUE: usize = 512;
