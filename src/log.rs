//! The daemon's log: its filter, and a non-blocking writer to standard error.

use crate::config::operator::{LogForm, LogSection};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use tracing_subscriber::filter::{ParseError, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};
use tracing_subscriber::{fmt, Layer};

/// Environment variable that overrides the level in the operator's file.
const LEVEL_VARIABLE: &str = "FOXHOLD_LOG";
/// The longest write, in bytes: a pipe that polls as writable accepts this many without blocking
/// (`PIPE_BUF`).
const MAX_LINE_BYTES: usize = 4096;
/// Bytes of [`MAX_LINE_BYTES`] that are reserved for the count of dropped lines and a final newline.
const RESERVED_LINE_BYTES: usize = 64;

/// Module names of earlier versions, which filters may still use, with the present names.
const MODULE_ALIASES: [(&str, &str); 11] = [
    ("foxhold::core", "foxhold::dispatch"),
    ("foxhold::decide", "foxhold::policy"),
    ("foxhold::fronts", "foxhold::frontend"),
    ("foxhold::operator", "foxhold::config::operator"),
    ("foxhold::peers", "foxhold::cluster"),
    ("foxhold::replica", "foxhold::replication"),
    ("foxhold::settings", "foxhold::config::settings"),
    ("foxhold::director::config", "foxhold::config::platform"),
    ("foxhold::sources", "foxhold::discovery"),
    ("foxhold::transport", "foxhold::upstream"),
    ("foxhold::wire", "foxhold::simulator"),
];

/// An error that prevents logging from starting.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The filter is invalid.
    #[error("log level '{level}': {source}")]
    Level {
        /// The filter as given, in the operator's file or in `FOXHOLD_LOG`.
        level: String,
        /// The parser's error.
        source: ParseError,
    },
    /// A global tracing subscriber is already set.
    #[error(transparent)]
    AlreadyInitialized(#[from] TryInitError),
}

/// Lines dropped since the last line that was written.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// A writer to standard error that never blocks: a line that would block is dropped and counted, and the
/// count is written before the next line that would not.
#[derive(Clone, Copy, Debug, Default)]
pub struct LossyStderr;

impl Write for LossyStderr {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let stderr = io::stderr();
        if !is_writable(&stderr) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        let mut out = Vec::with_capacity(line.len().min(MAX_LINE_BYTES) + RESERVED_LINE_BYTES);
        if dropped > 0 {
            let _ = writeln!(out, "{dropped} log lines dropped: stderr was full");
        }
        out.extend_from_slice(&line[..line.len().min(MAX_LINE_BYTES - RESERVED_LINE_BYTES)]);
        if out.last() != Some(&b'\n') {
            out.push(b'\n');
        }
        let _ = stderr.lock().write_all(&out); // fails if the reader has closed the pipe
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns whether a line can be written without blocking.
fn is_writable(stderr: &io::Stderr) -> bool {
    let mut polled = [PollFd::new(stderr, PollFlags::OUT)];
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    matches!(poll(&mut polled, Some(&no_wait)), Ok(n) if n > 0)
        && polled[0].revents().contains(PollFlags::OUT)
}

/// Parses a filter: a level, or levels of modules as in `info,foxhold::dispatch=debug`. Module names of
/// earlier versions are accepted.
pub fn parse_filter(level: &str) -> Result<Targets, LogError> {
    let parsed: Result<Targets, ParseError> = level.parse();
    let given = parsed.map_err(|source| LogError::Level { level: level.to_owned(), source })?;
    let mut filter = Targets::new();
    if let Some(default) = given.default_level() {
        filter = filter.with_default(default);
    }
    Ok(filter.with_targets(given.iter().map(|(module, level)| (resolve_alias(module), level))))
}

/// Returns a module's present name, or the name unchanged if it is not an alias.
fn resolve_alias(module: &str) -> String {
    for (alias, name) in MODULE_ALIASES {
        match module.strip_prefix(alias) {
            Some(submodule) if submodule.is_empty() || submodule.starts_with("::") => {
                return format!("{name}{submodule}");
            }
            _ => {}
        }
    }
    module.to_owned()
}

/// Starts logging. The environment variable `FOXHOLD_LOG` overrides the section's level.
pub fn init(section: &LogSection) -> Result<(), LogError> {
    let level = std::env::var(LEVEL_VARIABLE).unwrap_or_else(|_| section.level.clone());
    let filter = parse_filter(&level)?;
    let lines = fmt::layer()
        .with_writer(|| LossyStderr)
        .with_target(false)
        .with_ansi(false)
        .log_internal_errors(false);
    let lines = match section.form {
        LogForm::Text => lines.without_time().with_filter(filter).boxed(),
        LogForm::Json => lines.json().with_filter(filter).boxed(),
    };
    tracing_subscriber::registry().with(lines).try_init()?;
    Ok(())
}
