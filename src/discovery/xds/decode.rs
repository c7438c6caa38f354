//! Decodes a response. An error anywhere rejects the whole response, so that the director never uses an
//! incomplete list.

use super::error::{FieldFault, XdsError};
use super::message::Message;
use super::{Update, CLUSTER_TYPE, LOAD_ASSIGNMENT_TYPE, METADATA_KEY, RESOURCE_TYPE};
use crate::config::settings::json::{micros, real, text};
use crate::dispatch::Endpoint;
use crate::policy::types::MemberState;
use miniserde::json::{self, Value};
use std::collections::{BTreeMap, HashSet};

/// Names of the values of Envoy's `HealthStatus` enum, by number.
const HEALTH_STATUSES: [&str; 6] = ["UNKNOWN", "HEALTHY", "UNHEALTHY", "DRAINING", "TIMEOUT", "DEGRADED"];

/// Decodes a `DiscoveryResponse` in JSON.
pub fn parse(response: &str) -> Result<Update, XdsError> {
    let json: Value = json::from_str(response).map_err(|_| XdsError::NotJson)?;
    let response = Message::new(&json, "response")?;
    let mut resources = Resources::default();
    for value in response.list("resources")? {
        resources.add(value)?;
    }
    let members = resources.endpoints()?;
    Ok(Update { version: response.string("version_info")?.to_owned(), members })
}

/// The resources of a response.
#[derive(Default)]
struct Resources<'a> {
    /// The service name of each cluster, by the cluster's name.
    clusters: BTreeMap<&'a str, &'a str>,
    /// Load assignments by the name of their cluster or service.
    assignments: BTreeMap<&'a str, LoadAssignment<'a>>,
}

struct LoadAssignment<'a> {
    message: Message<'a>,
    /// `true` if it is part of its cluster. A separate resource with the same name replaces it.
    inline: bool,
}

impl<'a> Resources<'a> {
    fn add(&mut self, value: &'a Value) -> Result<(), XdsError> {
        let mut resource = Message::new(value, "resources")?;
        if resource.type_url() == Some(RESOURCE_TYPE) {
            resource = resource.message("resource")?.ok_or(XdsError::EmptyResource)?;
        }
        match resource.type_url() {
            Some(CLUSTER_TYPE) => self.add_cluster(resource),
            Some(LOAD_ASSIGNMENT_TYPE) => self.add_assignment(resource),
            Some(other) => Err(XdsError::UnknownResource { type_url: other.to_owned() }),
            None => Err(XdsError::UntypedResource),
        }
    }

    fn add_cluster(&mut self, cluster: Message<'a>) -> Result<(), XdsError> {
        let name = cluster.string("name")?;
        if name.is_empty() || self.clusters.insert(name, service_name(cluster)?).is_some() {
            return Err(XdsError::ClusterName { name: name.to_owned() });
        }
        if let Some(message) = cluster.message("load_assignment")? {
            self.assignments.insert(name, LoadAssignment { message, inline: true });
        }
        Ok(())
    }

    fn add_assignment(&mut self, message: Message<'a>) -> Result<(), XdsError> {
        let name = message.string("cluster_name")?;
        let previous = self.assignments.insert(name, LoadAssignment { message, inline: false });
        if name.is_empty() || previous.is_some_and(|previous| !previous.inline) {
            return Err(XdsError::LoadAssignmentName { name: name.to_owned() });
        }
        Ok(())
    }

    /// Decodes the endpoints of all load assignments and returns them sorted by name.
    fn endpoints(&self) -> Result<Vec<Endpoint>, XdsError> {
        let mut endpoints = Vec::new();
        for (name, assignment) in &self.assignments {
            decode_assignment(self.cluster_of(name), assignment.message, &mut endpoints)
                .map_err(|e| XdsError::LoadAssignment { name: (*name).to_owned(), source: Box::new(e) })?;
        }
        let mut names = HashSet::new();
        if let Some(duplicate) = endpoints.iter().find(|endpoint| !names.insert(endpoint.name.clone())) {
            return Err(XdsError::DuplicateEndpoint { name: duplicate.name.to_string() });
        }
        endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(endpoints)
    }

    /// Returns the cluster name of a load assignment. The load assignment of an EDS cluster is found by the
    /// cluster's service name, if it has one.
    fn cluster_of(&self, assignment: &'a str) -> &'a str {
        let cluster = self.clusters.iter().find(|(_, service)| **service == assignment);
        cluster.map_or(assignment, |(cluster, _)| *cluster)
    }
}

fn service_name(cluster: Message<'_>) -> Result<&str, XdsError> {
    let config = cluster.message("eds_cluster_config")?;
    match config.map_or(Ok(""), |config| config.string("service_name"))? {
        "" => cluster.string("name"),
        service => Ok(service),
    }
}

fn decode_assignment(
    kind: &str,
    assignment: Message<'_>,
    endpoints: &mut Vec<Endpoint>,
) -> Result<(), XdsError> {
    for group in assignment.list("endpoints")? {
        let group = Message::new(group, "endpoints")?;
        let zone = group.message("locality")?.map_or(Ok(""), |locality| locality.string("zone"))?;
        for entry in group.list("lb_endpoints")? {
            endpoints.push(decode_endpoint(kind, zone, Message::new(entry, "lb_endpoints")?)?);
        }
    }
    Ok(())
}

fn decode_endpoint(kind: &str, zone: &str, entry: Message<'_>) -> Result<Endpoint, XdsError> {
    let endpoint =
        entry.message("endpoint")?.ok_or(XdsError::Incomplete("lb_endpoints: an entry has no 'endpoint'"))?;
    let address = decode_address(endpoint)?;
    let size = match entry.integer("load_balancing_weight")? {
        Some(0) => return Err(XdsError::ZeroWeight { address }),
        weight => f64::from(weight.unwrap_or(1)),
    };
    let metadata = entry.message("metadata")?.map_or(Ok(None), |m| m.message("filter_metadata"))?;
    let metadata = metadata.map_or(Ok(None), |m| m.message(METADATA_KEY))?;
    let id = metadata.map_or(Ok(""), |m| m.string("id"))?;
    let number = |name| metadata.map_or(Ok(0.0), |m| m.number(name));
    let names = [id, endpoint.string("hostname")?, &address];
    let name = names.into_iter().find(|name| !name.is_empty()).unwrap_or_default();
    if !crate::dispatch::is_name(name) {
        return Err(XdsError::InvalidName { address });
    }
    Ok(Endpoint {
        name: name.into(),
        state: decode_state(entry)?,
        zone: zone.to_owned(),
        kind: kind.to_owned(),
        cell: number("cell")? as u32,
        size,
        started_at: micros(number("up_since_ms")?),
        address: address.into(),
    })
}

/// Returns the host and port of an endpoint, with an IPv6 address in brackets.
fn decode_address(endpoint: Message<'_>) -> Result<String, XdsError> {
    let address =
        endpoint.message("address")?.ok_or(XdsError::Incomplete("endpoint: 'address' is missing"))?;
    let socket = address
        .message("socket_address")?
        .ok_or(XdsError::Incomplete("address: expected a 'socket_address', got none"))?;
    let (host, port) = (socket.string("address")?, socket.integer("port_value")?);
    let port = port
        .filter(|port| (1..=65_535).contains(port))
        .ok_or(XdsError::Incomplete("socket_address: 'port_value' is missing or not between 1 and 65535"))?;
    if host.is_empty() {
        return Err(XdsError::Incomplete("socket_address: 'address' is missing or empty"));
    }
    Ok(if host.contains(':') { format!("[{host}]:{port}") } else { format!("{host}:{port}") })
}

/// Maps a health status to a state. An endpoint that is not healthy drains, as in Envoy: it gets no new
/// requests, and requests in flight continue.
fn decode_state(entry: Message<'_>) -> Result<MemberState, XdsError> {
    const FIELD: &str = "health_status";
    let status = match entry.get(FIELD)? {
        None => "UNKNOWN",
        Some(value) => match (text(value), real(value).map(|number| number as i64)) {
            (Some(name), _) => name,
            (None, Some(number @ 0..=5)) => HEALTH_STATUSES[number as usize],
            _ => return Err(FieldFault::NotAnEnumValue.in_field(FIELD)),
        },
    };
    match status {
        "UNKNOWN" | "HEALTHY" | "DEGRADED" => Ok(MemberState::Running),
        "DRAINING" | "UNHEALTHY" | "TIMEOUT" => Ok(MemberState::Draining),
        other => Err(FieldFault::UnknownName(other.to_owned()).in_field(FIELD)),
    }
}
