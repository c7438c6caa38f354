//! Decodes a response. Any fault rejects all of it, so that nobody acts on half of a list.

use super::error::{FieldFault, XdsError};
use super::message::Message;
use super::{Update, CLUSTER_TYPE, LOAD_ASSIGNMENT_TYPE, METADATA_KEY, RESOURCE_TYPE};
use crate::config::settings::json::{micros, real, text};
use crate::dispatch::Endpoint;
use crate::policy::types::MemberState;
use miniserde::json::{self, Value};
use std::collections::{BTreeMap, HashSet};

/// Values of `HealthStatus`, by their number.
const HEALTH_STATUSES: [&str; 6] = ["UNKNOWN", "HEALTHY", "UNHEALTHY", "DRAINING", "TIMEOUT", "DEGRADED"];

/// Decodes a response.
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
    /// By the name of their cluster or service.
    assignments: BTreeMap<&'a str, LoadAssignment<'a>>,
}

struct LoadAssignment<'a> {
    message: Message<'a>,
    /// Whether it stands within its cluster; one beside it takes its place.
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
        let before = self.assignments.insert(name, LoadAssignment { message, inline: false });
        if name.is_empty() || before.is_some_and(|before| !before.inline) {
            return Err(XdsError::LoadAssignmentName { name: name.to_owned() });
        }
        Ok(())
    }

    /// All endpoints, sorted by name.
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

    /// The cluster of a load assignment: that of an EDS cluster goes by its service name, if it has one.
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
    let endpoint = entry.message("endpoint")?.ok_or(XdsError::Incomplete("an entry without an endpoint"))?;
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

/// Host and port of an endpoint, an IPv6 address in brackets.
fn decode_address(endpoint: Message<'_>) -> Result<String, XdsError> {
    let address =
        endpoint.message("address")?.ok_or(XdsError::Incomplete("an endpoint without an address"))?;
    let socket = address
        .message("socket_address")?
        .ok_or(XdsError::Incomplete("an address that is not a socket's"))?;
    let (host, port) = (socket.string("address")?, socket.integer("port_value")?);
    let port = port
        .filter(|port| (1..=65_535).contains(port))
        .ok_or(XdsError::Incomplete("an address without a port"))?;
    if host.is_empty() {
        return Err(XdsError::Incomplete("an address without a host"));
    }
    Ok(if host.contains(':') { format!("[{host}]:{port}") } else { format!("{host}:{port}") })
}

/// The state that a health status stands for: Envoy sends nothing new to an endpoint that is not healthy, and
/// leaves what is in flight there alone.
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
