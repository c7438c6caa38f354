//! The log of the daemon: structured events on standard error.

use crate::config::operator::{LogForm, LogSection};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{fmt, Layer};

/// The longest line, in bytes: a pipe that has room for anything takes that much without blocking (PIPE_BUF).
const LONGEST: usize = 4096;

/// Lines that found no room.
static LOST: AtomicU64 = AtomicU64::new(0);

/// Standard error for a program that must not wait for its readers: a line that finds no room is dropped and
/// counted, and the count goes ahead of the next that does.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lossy;

impl Write for Lossy {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let error = io::stderr();
        let mut ready = [PollFd::new(&error, PollFlags::OUT)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        let room = matches!(poll(&mut ready, Some(&at_once)), Ok(n) if n > 0)
            && ready[0].revents().contains(PollFlags::OUT);
        if !room {
            LOST.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let lost = LOST.swap(0, Ordering::Relaxed);
        let mut out = Vec::with_capacity(line.len().min(LONGEST) + 32);
        if lost > 0 {
            let _ = writeln!(out, "{lost} lines of the log found no room");
        }
        out.extend_from_slice(&line[..line.len().min(LONGEST - 64)]);
        if out.last() != Some(&b'\n') {
            out.push(b'\n');
        }
        let _ = error.lock().write_all(&out); // a reader that has gone is none
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Begins the log. `FOXHOLD_LOG` stands above what the file says; a level that can't be read is an error of
/// one line.
pub fn begin(section: &LogSection) -> Result<(), String> {
    let level = std::env::var("FOXHOLD_LOG").unwrap_or_else(|_| section.level.clone());
    let targets: Targets = level.parse().map_err(|e| format!("log level '{level}': {e}"))?;
    let lines =
        fmt::layer().with_writer(|| Lossy).with_target(false).with_ansi(false).log_internal_errors(false);
    let lines = match section.form {
        LogForm::Text => lines.without_time().with_filter(targets).boxed(),
        LogForm::Json => lines.json().with_filter(targets).boxed(),
    };
    tracing_subscriber::registry().with(lines).try_init().map_err(|e| e.to_string())
}
