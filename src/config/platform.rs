//! The configuration that the platform hands a director.

use crate::config::settings::{
    check_limits, decode_connection_settings, decode_settings, ConnectionSettings,
};
use crate::discovery::codec::WireEvent;
use crate::discovery::WatchEvent;
use crate::policy::types::Settings;
use crate::upstream::servers::UpstreamConnector;
use miniserde::json::{self, Value};
use miniserde::Deserialize;
use std::collections::BTreeSet;
use std::path::Path;

/// What a director is told at its start.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Where clients connect.
    pub listen: String,
    /// The notice board's address.
    pub discovery_address: String,
    /// Where operators call; empty: nowhere.
    pub admin_address: String,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The module's settings.
    pub settings: Settings,
    /// What they say of connections.
    pub connections: ConnectionSettings,
    /// The last event that `known` holds.
    pub discovery_revision: u64,
    /// The notice board's events of the start.
    pub initial_events: Vec<WatchEvent>,
    /// The names of all keys, those within objects with the way there.
    keys: BTreeSet<String>,
}

#[derive(Deserialize)]
struct Raw {
    listen: String,
    board: Option<String>,
    ops: Option<String>,
    seed: Option<Value>,
    limits: Option<Limits>,
    known: Option<Known>,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: Option<f64>,
}

#[derive(Deserialize)]
struct Known {
    rev: u64,
    notices: Vec<WireEvent>,
}

impl PlatformConfig {
    /// Reads a configuration from its file; the error is one plain line.
    pub fn read(path: &Path) -> Result<PlatformConfig, String> {
        let name = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("configuration {name}: {e}"))?;
        PlatformConfig::parse(&text).map_err(|e| format!("configuration {name}: {e}"))
    }

    /// Reads a configuration; the error is one plain line.
    pub fn parse(text: &str) -> Result<PlatformConfig, String> {
        let raw: Raw = json::from_str(text)
            .map_err(|_| "not JSON, or without 'listen', 'settings' or a readable 'known'".to_owned())?;
        let mut keys = BTreeSet::new();
        list_keys(&json::from_str(text).map_err(|_| "not JSON")?, "", &mut keys);
        check_limits(&raw.settings).map_err(|e| format!("settings: {e}"))?;
        let settings = decode_settings(&raw.settings).map_err(|e| format!("settings: {e}"))?;
        let transport = decode_connection_settings(&raw.settings).map_err(|e| format!("settings: {e}"))?;
        let (rev, notices) = raw.known.map_or((0, Vec::new()), |k| (k.rev, k.notices));
        let known = notices.into_iter().map(WatchEvent::try_from).collect::<Result<_, _>>();
        Ok(PlatformConfig {
            listen: raw.listen,
            discovery_address: raw.board.unwrap_or_default(),
            admin_address: raw.ops.unwrap_or_default(),
            seed: seed(raw.seed.as_ref())?,
            max_descriptors: raw.limits.and_then(|l| l.sockets).map_or(1024, |n| n.clamp(64.0, 1e6) as usize),
            settings,
            connections: transport,
            discovery_revision: rev,
            initial_events: known.map_err(|e| format!("known: {e}"))?,
            keys,
        })
    }

    /// How servers are reached by it where a host application serves the clients: two fifths of the
    /// descriptors are for connections to them. The daemon shares them out by [`crate::daemon::descriptors`].
    pub fn upstream_connector(&self) -> UpstreamConnector {
        UpstreamConnector::new(self.connections.clone(), self.max_descriptors * 2 / 5)
    }

    /// Whether a later configuration may take this one's place. Guards against a file that was cut or put
    /// together badly and can be read all the same: what this one tells it must tell too.
    pub fn can_replace(&self, before: &PlatformConfig) -> Result<(), String> {
        match before.keys.difference(&self.keys).next() {
            Some(key) => Err(format!("key '{key}': missing")),
            None => Ok(()),
        }
    }
}

/// Lists the keys of an object and of the objects in it; lists have entries that differ.
fn list_keys(value: &Value, path: &str, keys: &mut BTreeSet<String>) {
    let Value::Object(object) = value else { return };
    for (name, value) in object.iter().filter(|(_, v)| !matches!(v, Value::Null)) {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        list_keys(value, &path, keys);
        keys.insert(path);
    }
}

fn seed(value: Option<&Value>) -> Result<u64, String> {
    match value {
        None => Ok(0),
        Some(Value::String(hex)) => {
            u64::from_str_radix(hex, 16).map_err(|_| "seed: not 16 hex digits".into())
        }
        Some(number) => {
            crate::config::settings::real(number).map(|n| n as u64).ok_or_else(|| "seed: not a number".into())
        }
    }
}
