//! Members in xDS form: a `DiscoveryResponse` in proto3 JSON, as Envoy reads it from a file, and back.
//!
//! A `Cluster` is a kind of server and carries its name; its endpoints stand in a `ClusterLoadAssignment`,
//! its own or one beside it. An endpoint's zone is its locality's `zone`, its size its load balancing
//! weight. Its name, cell and start stand in the metadata under `foxhold`; without a name it goes by its
//! host name, and without that by its address. Fields may be spelt in either form; what is not known is
//! passed over.

use crate::config::settings::{micros, real, text};
use crate::dispatch::Endpoint;
use crate::policy::types::MemberState;
use miniserde::json::{self, Array, Number, Object, Value};
use std::collections::{BTreeMap, HashSet};

const CLUSTER: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
const ASSIGNMENT: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
const METADATA: &str = "foxhold";

/// What a good response holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Its version.
    pub version: String,
    /// All members, in the order of their names.
    pub members: Vec<Endpoint>,
}

/// A message, its fields looked up by their proto name.
#[derive(Clone, Copy)]
struct Fields<'a>(&'a Object);

impl<'a> Fields<'a> {
    fn of(value: &'a Value, what: &str) -> Result<Self, String> {
        match value {
            Value::Object(object) => Ok(Fields(object)),
            _ => Err(format!("{what}: not an object")),
        }
    }

    /// A field as the proto file spells it or in lowerCamelCase; null is absent, both at once are wrong.
    fn get(self, name: &str) -> Result<Option<&'a Value>, String> {
        let (proto, camel) = (self.0.get(name), self.0.get(&camel(name)).filter(|_| camel(name) != name));
        if proto.is_some() && camel.is_some() {
            return Err(format!("{name}: there in both spellings"));
        }
        Ok(proto.or(camel).filter(|v| !matches!(v, Value::Null)))
    }

    fn message(self, name: &str) -> Result<Option<Fields<'a>>, String> {
        self.get(name)?.map(|v| Fields::of(v, name)).transpose()
    }

    fn list(self, name: &str) -> Result<&'a [Value], String> {
        match self.get(name)? {
            None => Ok(&[]),
            Some(Value::Array(list)) => Ok(list),
            Some(_) => Err(format!("{name}: not a list")),
        }
    }

    fn word(self, name: &str) -> Result<&'a str, String> {
        self.get(name)?.map_or(Ok(""), |v| text(v).ok_or_else(|| format!("{name}: not a text")))
    }

    /// A whole number, which proto3 JSON may also write as a text.
    fn whole(self, name: &str) -> Result<Option<u32>, String> {
        let Some(value) = self.get(name)? else { return Ok(None) };
        let number = real(value).or_else(|| text(value).and_then(|t| t.parse().ok()));
        let fits = |n: &f64| n.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(n);
        number.filter(fits).map(|n| Some(n as u32)).ok_or_else(|| format!("{name}: not a whole number"))
    }

    fn number(self, name: &str) -> Result<f64, String> {
        self.get(name)?.map_or(Ok(0.0), |v| real(v).ok_or_else(|| format!("{name}: not a number")))
    }
}

fn camel(name: &str) -> String {
    let mut words = name.split('_');
    let first = words.next().unwrap_or("").to_owned();
    words.fold(first, |all, word| {
        let mut letters = word.chars();
        let head = letters.next().map(|c| c.to_ascii_uppercase());
        all + &head.into_iter().chain(letters).collect::<String>()
    })
}

/// Reads a response. Any fault turns it down whole, so that nobody acts on half of a list.
pub fn parse(response: &str) -> Result<Update, String> {
    let json: Value = json::from_str(response).map_err(|_| "not JSON".to_owned())?;
    let top = Fields::of(&json, "response")?;
    let (mut clusters, mut assignments) = (BTreeMap::new(), BTreeMap::new());
    for value in top.list("resources")? {
        let mut resource = Fields::of(value, "resources")?;
        if resource.0.get("@type").and_then(text)
            == Some("type.googleapis.com/envoy.service.discovery.v3.Resource")
        {
            resource = resource.message("resource")?.ok_or("resources: a wrapper without a resource")?;
        }
        match resource.0.get("@type").and_then(text) {
            Some(CLUSTER) => {
                let name = resource.word("name")?;
                if name.is_empty() || clusters.insert(name, service(resource)?).is_some() {
                    return Err(format!("cluster '{name}': without a name of its own"));
                }
                if let Some(inline) = resource.message("load_assignment")? {
                    assignments.insert(name, (inline, true));
                }
            }
            Some(ASSIGNMENT) => {
                let name = resource.word("cluster_name")?;
                if name.is_empty() || matches!(assignments.insert(name, (resource, false)), Some((_, false)))
                {
                    return Err(format!("load assignment '{name}': without a name of its own"));
                }
            }
            Some(other) => return Err(format!("resources: '{other}' is neither a cluster nor endpoints")),
            None => return Err("resources: one without '@type'".into()),
        }
    }
    let mut members = Vec::new();
    for (name, (assignment, _)) in &assignments {
        // The assignment of an EDS cluster goes by its service name, where it has one.
        let owner = clusters.iter().find(|(_, service)| *service == name).map_or(*name, |(owner, _)| *owner);
        endpoints(owner, *assignment, &mut members).map_err(|e| format!("load assignment '{name}': {e}"))?;
    }
    let mut seen = HashSet::new();
    if let Some(twice) = members.iter().find(|m| !seen.insert(m.name.clone())) {
        return Err(format!("endpoint '{}': there twice", twice.name));
    }
    members.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(Update { version: top.word("version_info")?.to_owned(), members })
}

fn service(cluster: Fields<'_>) -> Result<String, String> {
    let config = cluster.message("eds_cluster_config")?;
    let service = config.map_or(Ok(""), |c| c.word("service_name"))?;
    Ok(if service.is_empty() { cluster.word("name")? } else { service }.to_owned())
}

fn endpoints(kind: &str, assignment: Fields<'_>, members: &mut Vec<Endpoint>) -> Result<(), String> {
    for group in assignment.list("endpoints")? {
        let group = Fields::of(group, "endpoints")?;
        let zone = group.message("locality")?.map_or(Ok(""), |l| l.word("zone"))?;
        for endpoint in group.list("lb_endpoints")? {
            members.push(member(kind, zone, Fields::of(endpoint, "lb_endpoints")?)?);
        }
    }
    Ok(())
}

fn member(kind: &str, zone: &str, entry: Fields<'_>) -> Result<Endpoint, String> {
    let endpoint = entry.message("endpoint")?.ok_or("an entry without an endpoint")?;
    let address = endpoint.message("address")?.ok_or("an endpoint without an address")?;
    let socket = address.message("socket_address")?.ok_or("an address that is not a socket's")?;
    let (host, port) = (socket.word("address")?, socket.whole("port_value")?);
    let port = port.filter(|p| (1..=65_535).contains(p)).ok_or("an address without a port")?;
    if host.is_empty() {
        return Err("an address without a host".into());
    }
    let address = if host.contains(':') { format!("[{host}]:{port}") } else { format!("{host}:{port}") };
    let size = match entry.whole("load_balancing_weight")? {
        Some(0) => return Err(format!("endpoint {address}: a weight of 0")),
        weight => f64::from(weight.unwrap_or(1)),
    };
    let own = entry.message("metadata")?.map_or(Ok(None), |m| m.message("filter_metadata"))?;
    let own = own.map_or(Ok(None), |m| m.message(METADATA))?;
    let own_word = |name| own.map_or(Ok(""), |o| o.word(name));
    let own_number = |name| own.map_or(Ok(0.0), |o| o.number(name));
    let names = [own_word("id")?, endpoint.word("hostname")?, &address];
    let name = names.into_iter().find(|n| !n.is_empty()).unwrap_or_default();
    if !crate::dispatch::is_name(name) {
        return Err(format!("endpoint {address}: its name can't be passed on"));
    }
    Ok(Endpoint {
        name: name.into(),
        state: state(entry)?,
        zone: zone.to_owned(),
        kind: kind.to_owned(),
        cell: own_number("cell")? as u32,
        size,
        started_at: micros(own_number("up_since_ms")?),
        address: address.into(),
    })
}

/// What the health says of sending something new: Envoy sends nothing new to what is not healthy, and leaves
/// what is under way there alone.
fn state(entry: Fields<'_>) -> Result<MemberState, String> {
    let status = entry.get("health_status")?;
    let name = match status {
        None => "UNKNOWN",
        Some(value) => match (text(value), real(value).map(|n| n as i64)) {
            (Some(name), _) => name,
            (None, Some(number @ 0..=5)) => {
                ["UNKNOWN", "HEALTHY", "UNHEALTHY", "DRAINING", "TIMEOUT", "DEGRADED"][number as usize]
            }
            _ => return Err("health_status: not one that is known".into()),
        },
    };
    match name {
        "UNKNOWN" | "HEALTHY" | "DEGRADED" => Ok(MemberState::Running),
        "DRAINING" | "UNHEALTHY" | "TIMEOUT" => Ok(MemberState::Draining),
        other => Err(format!("health_status: '{other}' is not known")),
    }
}

/// Writes members as a response: for each kind a cluster with its load assignment.
pub fn format(update: &Update) -> String {
    let mut kinds: BTreeMap<&str, BTreeMap<&str, Vec<Value>>> = BTreeMap::new();
    for member in update.members.iter().filter(|m| m.state != MemberState::Gone) {
        kinds.entry(&member.kind).or_default().entry(&member.zone).or_default().push(entry(member));
    }
    let cluster = |(kind, zones): (&str, BTreeMap<&str, Vec<Value>>)| {
        let group = |(zone, entries): (&str, Vec<Value>)| {
            message([
                ("locality", message([("zone", word(zone))])),
                ("lb_endpoints", Value::Array(entries.into_iter().collect())),
            ])
        };
        let groups: Array = zones.into_iter().map(group).collect();
        let assignment = [("cluster_name", word(kind)), ("endpoints", Value::Array(groups))];
        message([
            ("@type", word(CLUSTER)),
            ("name", word(kind)),
            ("type", word("STATIC")),
            ("load_assignment", message(assignment)),
        ])
    };
    let resources: Array = kinds.into_iter().map(cluster).collect();
    json::to_string(&message([
        ("version_info", word(&update.version)),
        ("type_url", word(CLUSTER)),
        ("resources", Value::Array(resources)),
    ]))
}

fn entry(member: &Endpoint) -> Value {
    let (host, port) = member.address.rsplit_once(':').unwrap_or((&member.address, "0"));
    let host = host.trim_start_matches('[').trim_end_matches(']');
    let number = |n: f64| Value::Number(Number::F64(n));
    let whole = |n: u64| Value::Number(Number::U64(n));
    let socket = message([("address", word(host)), ("port_value", whole(port.parse().unwrap_or_default()))]);
    let own = message([
        ("id", word(&member.name)),
        ("cell", whole(member.cell.into())),
        ("up_since_ms", number(member.started_at as f64 / 1e3)),
    ]);
    let status = if member.state == MemberState::Running { "HEALTHY" } else { "DRAINING" };
    message([
        ("endpoint", message([("address", message([("socket_address", socket)]))])),
        ("health_status", word(status)),
        // Envoy knows whole weights from 1 on.
        ("load_balancing_weight", whole(member.size.round().max(1.0) as u64)),
        ("metadata", message([("filter_metadata", message([(METADATA, own)]))])),
    ])
}

fn word(text: &str) -> Value {
    Value::String(text.to_owned())
}

fn message<const N: usize>(fields: [(&str, Value); N]) -> Value {
    Value::Object(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}
