//! The operator's own file: YAML, of which JSON is a part, read by the daemon and by hosts that embed the
//! director.
//!
//! ```yaml
//! signed: {listen: "127.0.0.1:7101", metrics: "127.0.0.1:7102", keys: keys.json}
//! members: {xds: members.json}
//! library: {descriptors: 256, body_budget_kb: 8192, open: 1024}
//! log: {level: info, form: text}
//! ```
//!
//! Every section may be left out, and is off or at its usual values then. Unknown keys are refused with their
//! place, `${ENV}` is not expanded, and relative paths are taken from the file's own folder. The flat form of
//! earlier versions (`listen`, `metrics`, `keys`, `xds` at the top) is still read.

use serde::Deserialize;
use std::path::{Path, PathBuf};

/// Why the file can't be used; one line that names the file and, where there is one, the place in it.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum OperatorError {
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
    pub metrics: Option<String>,
    /// The file that says how credentials are checked.
    pub keys: PathBuf,
}

/// What embeds the director.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LibrarySection {
    /// Descriptors that connections to servers may hold.
    pub descriptors: usize,
    /// KB of request bodies that the middleware holds at a time, of all requests together.
    pub body_budget_kb: usize,
    /// Requests that the middleware has open at a time.
    pub open: usize,
}

impl Default for LibrarySection {
    fn default() -> Self {
        LibrarySection { descriptors: 256, body_budget_kb: 8 * 1024, open: 1024 }
    }
}

/// How the log is written.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSection {
    /// `error`, `warn`, `info`, `debug` or `trace`, or such for modules: `info,foxhold::core=debug`. The
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
pub struct Operator {
    /// The signed front; none: off.
    pub signed: Option<SignedSection>,
    /// A file in xDS form to take the members from, instead of the board; none: off.
    pub xds: Option<PathBuf>,
    /// What embeds the director.
    pub library: LibrarySection,
    /// How the log is written.
    pub log: LogSection,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    signed: Option<RawSigned>,
    members: Option<RawMembers>,
    library: Option<LibrarySection>,
    log: Option<LogSection>,
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

impl Operator {
    /// Reads the file.
    pub fn read(file: &Path) -> Result<Operator, OperatorError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| OperatorError::Read { file: file.to_owned(), source })?;
        let folder = file.parent().unwrap_or(Path::new(""));
        Operator::parse(&text, folder).map_err(|what| OperatorError::Form { file: file.to_owned(), what })
    }

    /// Reads a text whose relative paths are taken from this folder. The error is one line with its place.
    pub fn parse(text: &str, folder: &Path) -> Result<Operator, String> {
        let raw: Option<Raw> = serde_saphyr::from_str(text).map_err(|e| place(&e))?;
        let Some(raw) = raw else { return Ok(Operator::default()) };
        let beside = |path: String| folder.join(path);
        let flat = raw.listen.is_some() || raw.metrics.is_some() || raw.keys.is_some() || raw.xds.is_some();
        let sections =
            raw.signed.is_some() || raw.members.is_some() || raw.library.is_some() || raw.log.is_some();
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
            ("descriptors", library.descriptors),
            ("body_budget_kb", library.body_budget_kb),
            ("open", library.open),
        ] {
            if value == 0 || value > 1 << 24 {
                return Err(format!("library.{name}: {value} is not within 1 and {}", 1 << 24));
            }
        }
        Ok(Operator { signed, xds: xds.map(beside), library, log: raw.log.unwrap_or_default() })
    }
}

impl RawSigned {
    fn read(self, beside: &impl Fn(String) -> PathBuf) -> Result<Option<SignedSection>, String> {
        let Some(listen) = self.listen.filter(|l| !l.is_empty()) else { return Ok(None) };
        let keys = beside(self.keys.ok_or("signed.keys: names no file")?);
        Ok(Some(SignedSection { listen, metrics: self.metrics.filter(|m| !m.is_empty()), keys }))
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
