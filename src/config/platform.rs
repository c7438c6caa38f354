//! The configuration file that the platform writes for a director.

use super::key_tree::KeyTree;
use super::platform_codec;
use crate::config::settings::{ConnectionSettings, SettingsDecodeError};
use crate::discovery::codec::EventError;
use crate::discovery::WatchEvent;
use crate::policy::types::Settings;
use crate::upstream::UpstreamConnector;
use std::path::{Path, PathBuf};

/// The configuration of a director, as decoded from the platform's file.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Address at which clients connect.
    pub listen: String,
    /// Address of the discovery service; empty if there is none.
    pub discovery_address: String,
    /// Address of the admin endpoint; empty if there is none.
    pub admin_address: String,
    /// Seed of the router's random number generator.
    pub seed: u64,
    /// Maximum number of file descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Maximum memory of the process, in bytes.
    pub max_memory_bytes: usize,
    /// Settings of the router.
    pub settings: Settings,
    /// Settings of connections to servers.
    pub connections: ConnectionSettings,
    /// Revision of the latest event in `initial_events`.
    pub discovery_revision: u64,
    /// Events of the discovery service that the file contains. The dispatcher gets them before the director
    /// starts.
    pub initial_events: Vec<WatchEvent>,
    /// All keys of the file.
    pub(super) keys: KeyTree,
}

/// An error that prevents a configuration from being used. Its message is a single line.
#[derive(Debug, thiserror::Error)]
pub enum PlatformConfigError {
    /// The file can't be read.
    #[error("configuration {}: {source}", .path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The content of the file is invalid.
    #[error("configuration {}: {source}", .path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// The error in the content.
        source: Box<PlatformConfigError>,
    },
    /// The text is not valid JSON, or a key is missing or has the wrong type.
    #[error(
        "not valid JSON, or 'listen' or 'settings' is missing, or a key such as 'known' has the wrong type"
    )]
    Malformed,
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsDecodeError),
    /// An event in `known.notices` is invalid.
    #[error("known.notices: {0}")]
    InitialEvent(#[from] EventError),
    /// The seed is a string but not a hexadecimal number of at most 64 bits.
    #[error("seed: expected a string of up to 16 hexadecimal digits: {0}")]
    SeedNotHex(#[source] std::num::ParseIntError),
    /// The seed is neither a string nor a number.
    #[error("seed: expected a number or a string of hexadecimal digits")]
    SeedNotANumber,
    /// A new configuration lacks a key that the current configuration has.
    #[error("key '{key}': missing, but the current configuration has it")]
    MissingKey {
        /// Path of the key, such as `limits.sockets` or `settings.services[guide-videos].worth`.
        key: String,
    },
}

impl PlatformConfig {
    /// Reads and decodes a configuration file.
    pub fn read(path: &Path) -> Result<PlatformConfig, PlatformConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| PlatformConfigError::Read { path: path.to_owned(), source })?;
        PlatformConfig::parse(&text)
            .map_err(|e| PlatformConfigError::Invalid { path: path.to_owned(), source: Box::new(e) })
    }

    /// Decodes the text of a configuration file.
    pub fn parse(text: &str) -> Result<PlatformConfig, PlatformConfigError> {
        platform_codec::decode(text)
    }

    /// Creates the connector to servers for a host application that serves its clients itself. Its
    /// connections may use two fifths of the descriptors. The daemon instead allocates its descriptors by
    /// [`crate::daemon::descriptors`].
    pub fn upstream_connector(&self) -> UpstreamConnector {
        UpstreamConnector::new(self.connections.clone(), self.max_descriptors * 2 / 5)
    }

    /// Checks that this configuration may replace the `current` one: it must have every key that the current
    /// one has, in the entries of lists as well. This detects files that were truncated or assembled wrongly
    /// but are still valid.
    pub fn can_replace(&self, current: &PlatformConfig) -> Result<(), PlatformConfigError> {
        match current.keys.first_missing_in(&self.keys, &platform_codec::KEY_RULES) {
            Some(key) => Err(PlatformConfigError::MissingKey { key }),
            None => Ok(()),
        }
    }
}
