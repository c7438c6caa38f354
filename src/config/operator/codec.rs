//! Codec of the operator's file. Its keys are used only in this module and in
//! [`peers_codec`](super::peers_codec).
//!
//! | key | decoded as |
//! | --- | --- |
//! | `signed.listen`; empty turns the frontend off | [`SignedSection::listen`] |
//! | `signed.metrics` | [`SignedSection::metrics_listen`] |
//! | `signed.keys` | [`SignedSection::keys_file`] |
//! | `members.xds` | [`OperatorConfig::xds_file`] |
//! | `library.descriptors` | [`LibrarySection::max_descriptors`] |
//! | `library.body_budget_kb` | [`LibrarySection::body_budget_kb`] |
//! | `library.open` | [`LibrarySection::max_open_requests`] |
//! | `log.level`, `log.form` | [`LogSection`] |
//! | `peers` | [`PeersSection`](super::PeersSection), decoded by [`peers_codec`](super::peers_codec) |

use super::error::{Location, OperatorParseError};
use super::peers_codec::WirePeers;
use super::{LibrarySection, LogForm, LogSection, OperatorConfig, SignedSection};
use serde::Deserialize;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

/// Maximum value of the limits in the section `library`.
const MAX_LIBRARY_LIMIT: u64 = 1 << 24;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WireFile {
    signed: Option<WireSigned>,
    members: Option<WireMembers>,
    library: Option<WireLibrary>,
    log: Option<WireLog>,
    peers: Option<WirePeers>,
    // Keys of the flat form.
    listen: Option<String>,
    metrics: Option<String>,
    keys: Option<String>,
    xds: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WireSigned {
    listen: Option<String>,
    metrics: Option<String>,
    keys: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WireMembers {
    xds: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct WireLibrary {
    descriptors: usize,
    body_budget_kb: usize,
    open: usize,
}

impl Default for WireLibrary {
    fn default() -> Self {
        let LibrarySection { max_descriptors, body_budget_kb, max_open_requests } = LibrarySection::default();
        WireLibrary { descriptors: max_descriptors, body_budget_kb, open: max_open_requests }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct WireLog {
    level: String,
    form: WireLogForm,
}

impl Default for WireLog {
    fn default() -> Self {
        WireLog { level: LogSection::default().level, form: WireLogForm::Text }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireLogForm {
    Text,
    Json,
}

/// Decodes the text of a file. Relative paths in it are resolved against `folder`.
pub(super) fn decode(text: &str, folder: &Path) -> Result<OperatorConfig, OperatorParseError> {
    let file: Option<WireFile> = serde_saphyr::from_str(text).map_err(|error| syntax_error(&error))?;
    let Some(file) = file else { return Ok(OperatorConfig::default()) };
    let file = file.without_flat_form()?;
    Ok(OperatorConfig {
        signed: file.signed.map(|signed| signed.decode(folder)).transpose()?.flatten(),
        xds_file: file.members.and_then(|members| members.xds).map(|path| folder.join(path)),
        library: file.library.unwrap_or_default().decode()?,
        log: file.log.unwrap_or_default().decode(),
        peers: file.peers.map(|peers| peers.decode(folder)).transpose()?,
    })
}

impl WireFile {
    /// Moves the keys of the flat form into their sections. Returns an error if the file has both.
    fn without_flat_form(mut self) -> Result<WireFile, OperatorParseError> {
        let is_flat =
            self.listen.is_some() || self.metrics.is_some() || self.keys.is_some() || self.xds.is_some();
        if !is_flat {
            return Ok(self);
        }
        if self.has_sections() {
            return Err(OperatorParseError::MixedForms);
        }
        // In the flat form, the xDS file is ignored too if no frontend is configured.
        let is_on = self.listen.as_ref().is_some_and(|listen| !listen.is_empty());
        self.members = Some(WireMembers { xds: self.xds.take().filter(|_| is_on) });
        self.signed = Some(WireSigned {
            listen: self.listen.take(),
            metrics: self.metrics.take(),
            keys: self.keys.take(),
        });
        Ok(self)
    }

    fn has_sections(&self) -> bool {
        self.signed.is_some()
            || self.members.is_some()
            || self.library.is_some()
            || self.log.is_some()
            || self.peers.is_some()
    }
}

impl WireSigned {
    fn decode(self, folder: &Path) -> Result<Option<SignedSection>, OperatorParseError> {
        let Some(listen) = self.listen.filter(|listen| !listen.is_empty()) else { return Ok(None) };
        let keys_file: PathBuf = folder.join(self.keys.ok_or(OperatorParseError::MissingKeysFile)?);
        let metrics_listen = self.metrics.filter(|metrics| !metrics.is_empty());
        Ok(Some(SignedSection { listen, metrics_listen, keys_file }))
    }
}

impl WireLibrary {
    fn decode(self) -> Result<LibrarySection, OperatorParseError> {
        let limit = |key: &str, value: usize| {
            check_range(format!("library.{key}"), value as u64, 1..=MAX_LIBRARY_LIMIT).map(|_| value)
        };
        Ok(LibrarySection {
            max_descriptors: limit("descriptors", self.descriptors)?,
            body_budget_kb: limit("body_budget_kb", self.body_budget_kb)?,
            max_open_requests: limit("open", self.open)?,
        })
    }
}

impl WireLog {
    fn decode(self) -> LogSection {
        let form = match self.form {
            WireLogForm::Text => LogForm::Text,
            WireLogForm::Json => LogForm::Json,
        };
        LogSection { level: self.level, form }
    }
}

/// Returns the value, or an error if it is not within the range.
pub(super) fn check_range(
    key: String,
    value: u64,
    range: RangeInclusive<u64>,
) -> Result<u64, OperatorParseError> {
    if range.contains(&value) {
        return Ok(value);
    }
    Err(OperatorParseError::OutOfRange { key, value, min: *range.start(), max: *range.end() })
}

/// Returns the first line of the parser's message, with the position if that line does not contain it.
fn syntax_error(error: &serde_saphyr::Error) -> OperatorParseError {
    let text = error.to_string();
    let first = text.lines().find(|line| !line.trim().is_empty()).unwrap_or("not valid YAML").trim();
    let message = first.strip_prefix("error: ").unwrap_or(first).to_owned();
    let location = error.location().filter(|_| !message.contains("line "));
    let location = location.map(|at| Location { line: at.line(), column: at.column() });
    OperatorParseError::Syntax { location, message }
}
