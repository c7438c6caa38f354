//! The configuration that the platform gives a director in a file.

use super::platform_codec;
use crate::config::settings::{ConnectionSettings, SettingsDecodeError};
use crate::discovery::codec::EventError;
use crate::discovery::WatchEvent;
use crate::policy::types::Settings;
use crate::upstream::UpstreamConnector;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The configuration of a director.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Address at which clients connect.
    pub listen: String,
    /// Address of the discovery service; empty: there is none.
    pub discovery_address: String,
    /// Address of the admin endpoint; empty: there is none.
    pub admin_address: String,
    /// Seed of the router's random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The router's settings.
    pub settings: Settings,
    /// The settings of connections to servers.
    pub connections: ConnectionSettings,
    /// Revision of the latest event in `initial_events`.
    pub discovery_revision: u64,
    /// Events of the discovery service that are known at the start.
    pub initial_events: Vec<WatchEvent>,
    /// All keys of the file, those within objects with the way to them.
    pub(super) keys: BTreeSet<String>,
}

/// Why a configuration can't be used; one line.
#[derive(Debug, thiserror::Error)]
pub enum PlatformConfigError {
    /// The file can't be read.
    #[error("configuration {}: {source}", .path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: std::io::Error,
    },
    /// The content of the file is not valid.
    #[error("configuration {}: {source}", .path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: Box<PlatformConfigError>,
    },
    /// The text is not JSON of the form of a configuration.
    #[error("not JSON, or without 'listen', 'settings' or a readable 'known'")]
    Malformed,
    /// The settings are not valid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsDecodeError),
    /// An event that is known at the start is not valid.
    #[error("known: {0}")]
    InitialEvent(#[from] EventError),
    /// The seed is a text but not a hexadecimal number.
    #[error("seed: not 16 hex digits")]
    SeedNotHex(#[source] std::num::ParseIntError),
    /// The seed is neither a text nor a number.
    #[error("seed: not a number")]
    SeedNotANumber,
    /// A key of the configuration in force is missing in its successor.
    #[error("key '{key}': missing")]
    MissingKey {
        /// The key, with the way to it.
        key: String,
    },
}

impl PlatformConfig {
    /// Reads a configuration from its file.
    pub fn read(path: &Path) -> Result<PlatformConfig, PlatformConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| PlatformConfigError::Read { path: path.to_owned(), source })?;
        PlatformConfig::parse(&text)
            .map_err(|e| PlatformConfigError::Invalid { path: path.to_owned(), source: Box::new(e) })
    }

    /// Decodes a configuration.
    pub fn parse(text: &str) -> Result<PlatformConfig, PlatformConfigError> {
        platform_codec::decode(text)
    }

    /// The connections to servers for a host application that serves its clients itself: two fifths of the
    /// descriptors are for them. The daemon shares them out by [`crate::daemon::descriptors`].
    pub fn upstream_connector(&self) -> UpstreamConnector {
        UpstreamConnector::new(self.connections.clone(), self.max_descriptors * 2 / 5)
    }

    /// Whether this configuration may replace the one in force. Guards against a file that was truncated or
    /// put together badly and is valid all the same: it must have every key that the one in force has.
    pub fn can_replace(&self, before: &PlatformConfig) -> Result<(), PlatformConfigError> {
        match before.keys.difference(&self.keys).next() {
            Some(key) => Err(PlatformConfigError::MissingKey { key: key.clone() }),
            None => Ok(()),
        }
    }
}
