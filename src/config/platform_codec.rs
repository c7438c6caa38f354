//! Codec of the platform's configuration file. Its keys are used in this module only.
//!
//! | key | decoded as |
//! | --- | --- |
//! | `listen` | [`PlatformConfig::listen`] |
//! | `board` | [`PlatformConfig::discovery_address`] |
//! | `ops` | [`PlatformConfig::admin_address`] |
//! | `seed`, a hexadecimal string or a number | [`PlatformConfig::seed`] |
//! | `limits.sockets` | [`PlatformConfig::max_descriptors`] |
//! | `limits.memory_mb` | [`PlatformConfig::max_memory_bytes`] |
//! | `known.rev` | [`PlatformConfig::discovery_revision`] |
//! | `known.notices` | [`PlatformConfig::initial_events`], in the wire format of the [discovery codec] |
//! | `settings` | [`PlatformConfig::settings`] and `connections`, by the [settings codec] |
//!
//! [discovery codec]: crate::discovery::codec
//! [settings codec]: crate::config::settings::codec

use super::key_tree::{KeyRules, KeyTree};
use super::platform::{PlatformConfig, PlatformConfigError};
use crate::config::settings::json::real;
use crate::config::settings::{check_limits, decode_connection_settings, decode_settings};
use crate::discovery::codec::{EventError, WireEvent};
use crate::discovery::WatchEvent;
use miniserde::json::{self, Value};
use miniserde::Deserialize;

/// Limit on the descriptors of the process if the file sets none.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Minimum number of descriptors that a director needs. Lower values of `limits.sockets` are raised to it.
const MIN_DESCRIPTORS: f64 = 64.0;
/// Maximum number of descriptors. Higher values of `limits.sockets` are reduced to it.
const MAX_DESCRIPTORS: f64 = 1e6;

/// Limit on the memory of the process if the file sets none, in MB.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Range of `limits.memory_mb`. Other values are replaced by the nearest one in it.
const MEMORY_RANGE_MB: (f64, f64) = (8.0, 1e6);
/// The smaller of the two meanings of MB, so that the limit holds with both.
const BYTES_PER_MB: f64 = 1e6;

/// Rules for the comparison of a file with the one that it replaces.
pub(super) const KEY_RULES: KeyRules = KeyRules {
    identities: &["name", "id", "rev"],
    optional: &["settings.penalties.fleet", "settings.services[].aimStretch"],
    alternatives: &[
        "known.notices[].pool",
        "known.notices[].flush",
        "known.notices[].flush.asset",
        "known.notices[].flush.collection",
    ],
};

#[derive(Deserialize)]
struct WireConfig {
    listen: String,
    board: Option<String>,
    ops: Option<String>,
    seed: Option<Value>,
    limits: Option<WireLimits>,
    known: Option<WireKnown>,
    settings: Value,
}

#[derive(Deserialize)]
struct WireLimits {
    memory_mb: Option<f64>,
    sockets: Option<f64>,
}

#[derive(Deserialize)]
struct WireKnown {
    rev: u64,
    notices: Vec<WireEvent>,
}

/// Decodes the text of a configuration file.
pub(super) fn decode(text: &str) -> Result<PlatformConfig, PlatformConfigError> {
    let wire: WireConfig = json::from_str(text).map_err(|_| PlatformConfigError::Malformed)?;
    let value: Value = json::from_str(text).map_err(|_| PlatformConfigError::Malformed)?;
    check_limits(&wire.settings)?;
    let settings = decode_settings(&wire.settings)?;
    let connections = decode_connection_settings(&wire.settings)?;
    let seed = decode_seed(wire.seed.as_ref())?;
    let (discovery_revision, events) = wire.known.map_or((0, Vec::new()), |k| (k.rev, k.notices));
    let events: Result<Vec<WatchEvent>, EventError> = events.into_iter().map(WatchEvent::try_from).collect();
    let (sockets, memory_mb) = wire.limits.map_or((None, None), |it| (it.sockets, it.memory_mb));
    Ok(PlatformConfig {
        listen: wire.listen,
        discovery_address: wire.board.unwrap_or_default(),
        admin_address: wire.ops.unwrap_or_default(),
        seed,
        max_descriptors: sockets
            .map_or(DEFAULT_DESCRIPTORS, |n| n.clamp(MIN_DESCRIPTORS, MAX_DESCRIPTORS) as usize),
        max_memory_bytes: decode_memory_limit(memory_mb),
        settings,
        connections,
        discovery_revision,
        initial_events: events?,
        keys: KeyTree::new(&value, &KEY_RULES),
    })
}

fn decode_memory_limit(memory_mb: Option<f64>) -> usize {
    let (min, max) = MEMORY_RANGE_MB;
    (memory_mb.unwrap_or(DEFAULT_MEMORY_MB).clamp(min, max) * BYTES_PER_MB) as usize
}

fn decode_seed(value: Option<&Value>) -> Result<u64, PlatformConfigError> {
    match value {
        None => Ok(0),
        Some(Value::String(hex)) => u64::from_str_radix(hex, 16).map_err(PlatformConfigError::SeedNotHex),
        Some(value) => real(value).map(|number| number as u64).ok_or(PlatformConfigError::SeedNotANumber),
    }
}
