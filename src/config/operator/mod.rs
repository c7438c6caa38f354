//! The operator's configuration file in YAML, of which JSON is a subset. The daemon and host applications
//! that embed the director read it.
//!
//! ```yaml
//! signed: {listen: "127.0.0.1:7101", metrics: "127.0.0.1:7102", keys: keys.json}
//! members: {xds: members.json}
//! library: {descriptors: 256, body_budget_kb: 8192, open: 1024}
//! log: {level: info, form: text}
//! peers: {listen: "127.0.0.1:7300", name: director-1, fleet: toy, key: peers.key, seeds: ["127.0.0.1:7301"]}
//! ```
//!
//! Every section is optional. Without its section, a feature is off or has its default settings. An unknown
//! key is an error that gives its line and column. `${ENV}` is not expanded. Relative paths are resolved
//! against the folder of the file. The flat form of earlier versions (`listen`, `metrics`, `keys` and `xds`
//! at the top level) is still accepted.

mod codec;
mod error;
mod peers_codec;

pub use error::{Location, OperatorConfigError, OperatorParseError};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The content of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorConfig {
    /// The frontend for signed URLs; `None` turns it off.
    pub signed: Option<SignedSection>,
    /// A file in xDS format that replaces the discovery service as the source of endpoints. `None` if the
    /// discovery service is the source.
    pub xds_file: Option<PathBuf>,
    /// Limits for a host application that embeds the director.
    pub library: LibrarySection,
    /// Level and format of the log.
    pub log: LogSection,
    /// Gossip among directors; `None` turns it off.
    pub peers: Option<PeersSection>,
}

/// The frontend for signed URLs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignedSection {
    /// Address on which the frontend accepts connections of clients.
    pub listen: String,
    /// Address at which the metrics are served; `None` if they are not served.
    pub metrics_listen: Option<String>,
    /// The file with the keys that verify credentials.
    pub keys_file: PathBuf,
}

/// Limits for a host application that embeds the director.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LibrarySection {
    /// Maximum number of descriptors that connections to servers may use.
    pub max_descriptors: usize,
    /// Maximum size of the request bodies that the middleware holds at a time, of all requests together, in
    /// kilobytes.
    pub body_budget_kb: usize,
    /// Maximum number of requests that the middleware has open at a time.
    pub max_open_requests: usize,
}

impl Default for LibrarySection {
    fn default() -> Self {
        LibrarySection { max_descriptors: 256, body_budget_kb: 8 * 1024, max_open_requests: 1024 }
    }
}

/// Settings of the gossip among directors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeersSection {
    /// UDP address on which this director listens.
    pub listen: SocketAddr,
    /// Address at which the other directors reach this one; `listen` unless the file gives another.
    pub advertise: SocketAddr,
    /// Name of this director, unique in the fleet.
    pub name: String,
    /// Name of the fleet. Directors of other fleets are ignored.
    pub fleet: String,
    /// The file with the fleet's keys.
    pub key_file: PathBuf,
    /// Addresses of other directors that this one contacts to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Approximate number of directors in the fleet, from which the number of times that an update is
    /// forwarded is derived.
    pub expected_directors: u32,
    /// Longest time in fresh-only mode: until this director has caught up, or for this time if that is
    /// shorter, it serves no copy that is older than its start. `None` turns the mode off: it serves all
    /// copies from the start.
    pub catch_up_timeout: Option<Duration>,
    /// The folder in which the replicated state is stored; `None` to hold it in memory only.
    pub state_folder: Option<PathBuf>,
    /// Time for which purges are retained.
    pub purge_retention: Duration,
    /// Time for which removed entries are remembered. A director that was away for longer discards its
    /// endpoint list and fetches it again.
    pub tombstone_retention: Duration,
    /// Maximum number of replicated entries that a director holds.
    pub max_entries: usize,
}

/// Level and format of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSection {
    /// `error`, `warn`, `info`, `debug` or `trace`. Modules can have their own level:
    /// `info,foxhold::dispatch=debug`. The environment variable `FOXHOLD_LOG` overrides this setting.
    pub level: String,
    /// Format of the log lines.
    pub form: LogForm,
}

impl Default for LogSection {
    fn default() -> Self {
        LogSection { level: "info".into(), form: LogForm::Text }
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogForm {
    /// Text for human readers.
    #[default]
    Text,
    /// JSON for programs, one object per line.
    Json,
}

impl OperatorConfig {
    /// Reads and decodes a file. Relative paths in it are resolved against its folder.
    pub fn read(file: &Path) -> Result<OperatorConfig, OperatorConfigError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| OperatorConfigError::Read { file: file.to_owned(), source })?;
        let folder = file.parent().unwrap_or(Path::new(""));
        OperatorConfig::parse(&text, folder)
            .map_err(|source| OperatorConfigError::Invalid { file: file.to_owned(), source })
    }

    /// Decodes the text of a file. Relative paths in it are resolved against `folder`.
    pub fn parse(text: &str, folder: &Path) -> Result<OperatorConfig, OperatorParseError> {
        codec::decode(text, folder)
    }
}
