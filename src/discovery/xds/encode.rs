//! Encodes endpoints as a response with one cluster per kind. Each cluster contains its load assignment.

use super::{Update, CLUSTER_TYPE, METADATA_KEY};
use crate::dispatch::Endpoint;
use crate::policy::types::MemberState;
use miniserde::json::{self, Array, Number, Value};
use std::collections::BTreeMap;

/// Encoded endpoints of one kind, by zone.
type Zones<'a> = BTreeMap<&'a str, Array>;

/// Encodes an update as a `DiscoveryResponse` in JSON. Endpoints in the state `Gone` are left out.
pub fn format(update: &Update) -> String {
    let mut kinds: BTreeMap<&str, Zones> = BTreeMap::new();
    for endpoint in update.members.iter().filter(|endpoint| endpoint.state != MemberState::Gone) {
        let zones = kinds.entry(&endpoint.kind).or_default();
        zones.entry(&endpoint.zone).or_default().push(encode_endpoint(endpoint));
    }
    let resources: Array = kinds.into_iter().map(|(kind, zones)| encode_cluster(kind, zones)).collect();
    json::to_string(&message([
        ("version_info", string(&update.version)),
        ("type_url", string(CLUSTER_TYPE)),
        ("resources", Value::Array(resources)),
    ]))
}

fn encode_cluster(kind: &str, zones: Zones) -> Value {
    let group = |(zone, entries): (&str, Array)| {
        message([("locality", message([("zone", string(zone))])), ("lb_endpoints", Value::Array(entries))])
    };
    let groups: Array = zones.into_iter().map(group).collect();
    let assignment = [("cluster_name", string(kind)), ("endpoints", Value::Array(groups))];
    message([
        ("@type", string(CLUSTER_TYPE)),
        ("name", string(kind)),
        ("type", string("STATIC")),
        ("load_assignment", message(assignment)),
    ])
}

fn encode_endpoint(endpoint: &Endpoint) -> Value {
    let (host, port) = endpoint.address.rsplit_once(':').unwrap_or((&endpoint.address, "0"));
    let host = host.trim_start_matches('[').trim_end_matches(']');
    let port = port.parse().unwrap_or_default();
    let socket = message([("address", string(host)), ("port_value", integer(port))]);
    let metadata = message([
        ("id", string(&endpoint.name)),
        ("cell", integer(endpoint.cell.into())),
        ("up_since_ms", Value::Number(Number::F64(endpoint.started_at as f64 / 1e3))),
    ]);
    let status = if endpoint.state == MemberState::Running { "HEALTHY" } else { "DRAINING" };
    message([
        ("endpoint", message([("address", message([("socket_address", socket)]))])),
        ("health_status", string(status)),
        // Envoy accepts integer weights of at least 1.
        ("load_balancing_weight", integer(endpoint.size.round().max(1.0) as u64)),
        ("metadata", message([("filter_metadata", message([(METADATA_KEY, metadata)]))])),
    ])
}

fn string(text: &str) -> Value {
    Value::String(text.to_owned())
}

fn integer(number: u64) -> Value {
    Value::Number(Number::U64(number))
}

fn message<const N: usize>(fields: [(&str, Value); N]) -> Value {
    Value::Object(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}
