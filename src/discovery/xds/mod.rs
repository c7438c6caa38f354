//! Endpoint lists in xDS format: a `DiscoveryResponse` in proto3 JSON, as Envoy reads it from a file.
//!
//! | xDS field | decoded as |
//! | --- | --- |
//! | `Cluster.name` | [`Endpoint::kind`] |
//! | `ClusterLoadAssignment`, within its cluster or as a separate resource | the endpoints of that kind |
//! | `locality.zone` | [`Endpoint::zone`] |
//! | `socket_address` | [`Endpoint::address`] |
//! | `load_balancing_weight` | [`Endpoint::size`]; default 1 |
//! | `health_status` | [`Endpoint::state`] |
//! | metadata under `foxhold`: `id`, `cell`, `up_since_ms` | [`Endpoint::name`], `cell`, `started_at` |
//!
//! The name of an endpoint without an `id` is its `hostname`, or its address if it has neither. Field names
//! may be in snake_case or lowerCamelCase. Unknown fields are ignored.

mod decode;
mod encode;
mod error;
mod message;

use crate::dispatch::Endpoint;
pub use decode::parse;
pub use encode::format;
pub use error::{FieldFault, XdsError};

const CLUSTER_TYPE: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
const LOAD_ASSIGNMENT_TYPE: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
const RESOURCE_TYPE: &str = "type.googleapis.com/envoy.service.discovery.v3.Resource";
/// Key of foxhold's entry in the filter metadata of an endpoint.
const METADATA_KEY: &str = "foxhold";

/// The content of a valid response.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// `version_info` of the response; empty if absent.
    pub version: String,
    /// All endpoints, sorted by name.
    pub members: Vec<Endpoint>,
}
