//! The operator's own file: YAML, of which JSON is a part, read by the daemon and by hosts that embed the
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
//! Every section may be left out, and is off or at its usual values then. Unknown keys are refused with their
//! place, `${ENV}` is not expanded, and relative paths are taken from the file's own folder. The flat form of
//! earlier versions (`listen`, `metrics`, `keys`, `xds` at the top) is still read.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why the file can't be used; one line that names the file and, where there is one, the place in it.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum OperatorConfigError {
    /// It can't be read.
    #[error("{file}: {source}")]
    Read {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// It is no YAML of this form.
    #[error("{file}: {what}")]
    Form {
        /// The file.
        file: PathBuf,
        /// What is wrong, with line and column.
        what: String,
    },
}

/// The signed front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignedSection {
    /// Where clients connect.
    pub listen: String,
    /// Where the counts can be read; none: nowhere.
    pub metrics_listen: Option<String>,
    /// The file that says how credentials are checked.
    pub keys_file: PathBuf,
}

/// What embeds the director.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LibrarySection {
    /// Descriptors that connections to servers may hold.
    #[serde(rename = "descriptors")]
    pub max_descriptors: usize,
    /// KB of request bodies that the middleware holds at a time, of all requests together.
    pub body_budget_kb: usize,
    /// Requests that the middleware has open at a time.
    #[serde(rename = "open")]
    pub max_open_requests: usize,
}

impl Default for LibrarySection {
    fn default() -> Self {
        LibrarySection { max_descriptors: 256, body_budget_kb: 8 * 1024, max_open_requests: 1024 }
    }
}

/// Talk among directors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeersSection {
    /// Where this director hears the others (UDP).
    pub listen: SocketAddr,
    /// Where the others reach it, if elsewhere.
    pub advertise: SocketAddr,
    /// Its name, which no other has.
    pub name: String,
    /// The fleet's name: directors of another say nothing to it.
    pub fleet: String,
    /// The file with the fleet's keys.
    pub key_file: PathBuf,
    /// Some of the others, by which it joins.
    pub seeds: Vec<SocketAddr>,
    /// How many directors the fleet has, about: how often news of members is told on goes by it.
    pub expected_directors: u32,
    /// None: it serves at once. Else until it has caught up, and for so long at most, it serves no copy that
    /// is older than its own start.
    pub catch_up_timeout: Option<Duration>,
    /// The folder in which its state lasts; none: in memory only.
    pub state_folder: Option<PathBuf>,
    /// Purges are kept for so long after their time.
    pub purge_retention: Duration,
    /// Who was away for longer forgets its list and fetches it anew.
    pub tombstone_retention: Duration,
    /// Entries held at most.
    pub max_entries: usize,
}

/// How the log is written.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSection {
    /// `error`, `warn`, `info`, `debug` or `trace`, or such for modules: `info,foxhold::dispatch=debug`. The
    /// variable `FOXHOLD_LOG` stands above it.
    pub level: String,
    /// Lines of text or of JSON.
    pub form: LogForm,
}

impl Default for LogSection {
    fn default() -> Self {
        LogSection { level: "info".into(), form: LogForm::Text }
    }
}

/// The form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogForm {
    /// For people.
    #[default]
    Text,
    /// For programs: an object a line.
    Json,
}

/// All of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorConfig {
    /// The signed front; none: off.
    pub signed: Option<SignedSection>,
    /// A file in xDS form to take the members from, instead of the board; none: off.
    pub xds_file: Option<PathBuf>,
    /// What embeds the director.
    pub library: LibrarySection,
    /// How the log is written.
    pub log: LogSection,
    /// Talk among directors; none: off.
    pub peers: Option<PeersSection>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    signed: Option<RawSigned>,
    members: Option<RawMembers>,
    library: Option<LibrarySection>,
    log: Option<LogSection>,
    peers: Option<RawPeers>,
    // The flat form.
    listen: Option<String>,
    metrics: Option<String>,
    keys: Option<String>,
    xds: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSigned {
    listen: Option<String>,
    metrics: Option<String>,
    keys: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMembers {
    xds: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPeers {
    listen: String,
    advertise: Option<String>,
    name: String,
    fleet: String,
    key: String,
    #[serde(default)]
    seeds: Vec<String>,
    about: Option<u32>,
    mode: Option<PeersMode>,
    careful_ms: Option<u64>,
    folder: Option<String>,
    purges_kept_s: Option<u64>,
    horizon_s: Option<u64>,
    entries: Option<usize>,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum PeersMode {
    Serve,
    Careful,
}

impl RawPeers {
    fn read(self, beside: &impl Fn(String) -> PathBuf) -> Result<PeersSection, String> {
        let address = |key: &str, text: &str| {
            text.parse::<SocketAddr>().map_err(|_| format!("peers.{key}: '{text}' is no address and port"))
        };
        let listen = address("listen", &self.listen)?;
        let advertise = self.advertise.as_deref().map_or(Ok(listen), |text| address("advertise", text))?;
        if advertise.port() == 0 || advertise.ip().is_unspecified() {
            return Err(format!("peers.advertise: nobody can reach a director at {advertise}"));
        }
        for (key, name) in [("name", &self.name), ("fleet", &self.fleet)] {
            let fits = (1..=64).contains(&name.len()) && name.bytes().all(|b| b.is_ascii_graphic());
            if !fits {
                return Err(format!("peers.{key}: '{name}' is not 1 to 64 characters without spaces"));
            }
        }
        let seeds = self.seeds.iter().enumerate().map(|(n, seed)| address(&format!("seeds[{n}]"), seed));
        let bounded = |key: &str, value: u64, within: std::ops::RangeInclusive<u64>| {
            let (first, last) = (within.start(), within.end());
            let wrong = || format!("peers.{key}: {value} is not within {first} and {last}");
            within.contains(&value).then_some(value).ok_or_else(wrong)
        };
        let seconds = |key, value: Option<u64>| {
            bounded(key, value.unwrap_or(600), 10..=7 * 86_400).map(Duration::from_secs)
        };
        let careful = match (self.mode.unwrap_or(PeersMode::Serve), self.careful_ms) {
            (PeersMode::Serve, Some(_)) => return Err("peers.careful_ms: goes with mode: careful".into()),
            (PeersMode::Serve, None) => None,
            (PeersMode::Careful, ms) => {
                Some(Duration::from_millis(bounded("careful_ms", ms.unwrap_or(10_000), 1..=600_000)?))
            }
        };
        Ok(PeersSection {
            listen,
            advertise,
            seeds: seeds.collect::<Result<_, _>>()?,
            expected_directors: bounded("about", self.about.unwrap_or(100).into(), 1..=10_000)? as u32,
            catch_up_timeout: careful,
            key_file: beside(self.key),
            state_folder: self.folder.map(beside),
            purge_retention: seconds("purges_kept_s", self.purges_kept_s)?,
            tombstone_retention: seconds("horizon_s", self.horizon_s)?,
            max_entries: bounded("entries", self.entries.unwrap_or(200_000) as u64, 100..=10_000_000)?
                as usize,
            name: self.name,
            fleet: self.fleet,
        })
    }
}

impl OperatorConfig {
    /// Reads the file.
    pub fn read(file: &Path) -> Result<OperatorConfig, OperatorConfigError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| OperatorConfigError::Read { file: file.to_owned(), source })?;
        let folder = file.parent().unwrap_or(Path::new(""));
        OperatorConfig::parse(&text, folder)
            .map_err(|what| OperatorConfigError::Form { file: file.to_owned(), what })
    }

    /// Reads a text whose relative paths are taken from this folder. The error is one line with its place.
    pub fn parse(text: &str, folder: &Path) -> Result<OperatorConfig, String> {
        let raw: Option<Raw> = serde_saphyr::from_str(text).map_err(|e| place(&e))?;
        let Some(raw) = raw else { return Ok(OperatorConfig::default()) };
        let beside = |path: String| folder.join(path);
        let flat = raw.listen.is_some() || raw.metrics.is_some() || raw.keys.is_some() || raw.xds.is_some();
        let sections = raw.signed.is_some()
            || raw.members.is_some()
            || raw.library.is_some()
            || raw.log.is_some()
            || raw.peers.is_some();
        if flat && sections {
            return Err("sections and the flat form of earlier versions in one file".into());
        }
        let on = raw.listen.as_ref().is_some_and(|listen| !listen.is_empty());
        let (signed, xds) = match flat {
            // There everything hung on the front.
            true => {
                let signed = RawSigned { listen: raw.listen, metrics: raw.metrics, keys: raw.keys };
                (Some(signed), raw.xds.filter(|_| on))
            }
            false => (raw.signed, raw.members.and_then(|m| m.xds)),
        };
        let signed = signed.map(|s| s.read(&beside)).transpose()?.flatten();
        let library = raw.library.unwrap_or_default();
        for (name, value) in [
            ("descriptors", library.max_descriptors),
            ("body_budget_kb", library.body_budget_kb),
            ("open", library.max_open_requests),
        ] {
            if value == 0 || value > 1 << 24 {
                return Err(format!("library.{name}: {value} is not within 1 and {}", 1 << 24));
            }
        }
        let peers = raw.peers.map(|p| p.read(&beside)).transpose()?;
        Ok(OperatorConfig {
            signed,
            xds_file: xds.map(beside),
            library,
            log: raw.log.unwrap_or_default(),
            peers,
        })
    }
}

impl RawSigned {
    fn read(self, beside: &impl Fn(String) -> PathBuf) -> Result<Option<SignedSection>, String> {
        let Some(listen) = self.listen.filter(|l| !l.is_empty()) else { return Ok(None) };
        let keys = beside(self.keys.ok_or("signed.keys: names no file")?);
        Ok(Some(SignedSection {
            listen,
            metrics_listen: self.metrics.filter(|m| !m.is_empty()),
            keys_file: keys,
        }))
    }
}

/// An error's first line, with line and column where they are known.
fn place(error: &serde_saphyr::Error) -> String {
    let text = error.to_string();
    let first = text.lines().find(|l| !l.trim().is_empty()).unwrap_or("not YAML").trim();
    let first = first.strip_prefix("error: ").unwrap_or(first);
    match error.location() {
        Some(at) if !first.contains("line ") => {
            format!("line {}, column {}: {first}", at.line(), at.column())
        }
        _ => first.to_owned(),
    }
}
