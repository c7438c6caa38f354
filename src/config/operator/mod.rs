//! The operator's own file: YAML, of which JSON is a subset, read by the daemon and by hosts that embed the
//! director.
//!
//! ```yaml
//! signed: {listen: "127.0.0.1:7101", metrics: "127.0.0.1:7102", keys: keys.json}
//! members: {xds: members.json}
//! library: {descriptors: 256, body_budget_kb: 8192, open: 1024}
//! log: {level: info, form: text}
//! peers: {listen: "127.0.0.1:7300", name: director-1, fleet: toy, key: peers.key, seeds: ["127.0.0.1:7301"]}
//! ```
//!
//! Every section is optional, and off or at its defaults without it. Unknown keys are rejected with their
//! place, `${ENV}` is not expanded, and relative paths are taken from the file's own folder. The flat form of
//! earlier versions (`listen`, `metrics`, `keys`, `xds` at the top) is still read.

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
    /// The frontend for signed URLs; `None`: off.
    pub signed: Option<SignedSection>,
    /// A file in xDS form to take the endpoints from in place of the discovery service; `None`: off.
    pub xds_file: Option<PathBuf>,
    /// Limits for a host application that embeds the director.
    pub library: LibrarySection,
    /// How the log is written.
    pub log: LogSection,
    /// Gossip among directors; `None`: off.
    pub peers: Option<PeersSection>,
}

/// The frontend for signed URLs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignedSection {
    /// Address at which clients connect.
    pub listen: String,
    /// Address at which the metrics can be read; `None`: nowhere.
    pub metrics_listen: Option<String>,
    /// The file with the keys that check credentials.
    pub keys_file: PathBuf,
}

/// Limits for a host application that embeds the director.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LibrarySection {
    /// Descriptors that connections to servers may hold.
    pub max_descriptors: usize,
    /// Kilobytes of request bodies that the middleware holds at a time, of all requests together.
    pub body_budget_kb: usize,
    /// Requests that the middleware has open at a time.
    pub max_open_requests: usize,
}

impl Default for LibrarySection {
    fn default() -> Self {
        LibrarySection { max_descriptors: 256, body_budget_kb: 8 * 1024, max_open_requests: 1024 }
    }
}

/// Gossip among directors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeersSection {
    /// UDP address of this director.
    pub listen: SocketAddr,
    /// Address at which the others reach it, if that is another.
    pub advertise: SocketAddr,
    /// Its name, which no other director has.
    pub name: String,
    /// Name of the fleet: directors of another fleet are ignored.
    pub fleet: String,
    /// The file with the fleet's keys.
    pub key_file: PathBuf,
    /// Addresses of some other directors, by which it joins.
    pub seeds: Vec<SocketAddr>,
    /// Rough number of directors in the fleet, which decides how often an update is forwarded.
    pub expected_directors: u32,
    /// `None`: it serves at once. Otherwise, until it has caught up and for this long at most, it serves no
    /// copy that is older than its own start.
    pub catch_up_timeout: Option<Duration>,
    /// The folder in which its state is stored; `None`: in memory only.
    pub state_folder: Option<PathBuf>,
    /// Purges are retained for this long.
    pub purge_retention: Duration,
    /// A director that was away for longer forgets its endpoints and fetches them anew.
    pub tombstone_retention: Duration,
    /// Most replicated entries that are held.
    pub max_entries: usize,
}

/// How the log is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSection {
    /// `error`, `warn`, `info`, `debug` or `trace`, also by module: `info,foxhold::dispatch=debug`. The
    /// variable `FOXHOLD_LOG` overrides it.
    pub level: String,
    /// Form of its lines.
    pub form: LogForm,
}

impl Default for LogSection {
    fn default() -> Self {
        LogSection { level: "info".into(), form: LogForm::Text }
    }
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogForm {
    /// For people.
    #[default]
    Text,
    /// For programs: one object per line.
    Json,
}

impl OperatorConfig {
    /// Reads the file.
    pub fn read(file: &Path) -> Result<OperatorConfig, OperatorConfigError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| OperatorConfigError::Read { file: file.to_owned(), source })?;
        let folder = file.parent().unwrap_or(Path::new(""));
        OperatorConfig::parse(&text, folder)
            .map_err(|source| OperatorConfigError::Invalid { file: file.to_owned(), source })
    }

    /// Decodes a text whose relative paths are taken from this folder.
    pub fn parse(text: &str, folder: &Path) -> Result<OperatorConfig, OperatorParseError> {
        codec::decode(text, folder)
    }
}
