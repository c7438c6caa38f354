//! Endpoint lists in xDS form: a `DiscoveryResponse` in proto3 JSON, as Envoy reads it from a file.
//!
//! | xDS | here |
//! | --- | --- |
//! | `Cluster.name` | [`Endpoint::kind`] |
//! | `ClusterLoadAssignment`, inline or beside its cluster | the endpoints of that kind |
//! | `locality.zone` | [`Endpoint::zone`] |
//! | `socket_address` | [`Endpoint::address`] |
//! | `load_balancing_weight` | [`Endpoint::size`]; absent: 1 |
//! | `health_status` | [`Endpoint::state`] |
//! | metadata under `foxhold`: `id`, `cell`, `up_since_ms` | [`Endpoint::name`], `cell`, `started_at` |
//!
//! An endpoint without an `id` goes by its host name, and without that by its address. Fields may be spelt in
//! snake_case or lowerCamelCase; unknown fields are ignored.

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
/// Key of our own entry in an endpoint's filter metadata.
const METADATA_KEY: &str = "foxhold";

/// The content of a valid response.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Its version.
    pub version: String,
    /// All endpoints, sorted by name.
    pub members: Vec<Endpoint>,
}
