//! Limits how often an event is logged.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum interval between log events of one kind.
const INTERVAL: Duration = Duration::from_secs(1);

/// The time at which an event was last logged.
#[derive(Debug, Default)]
pub(super) struct LogLimit(Cell<Option<Instant>>);

impl LogLimit {
    /// Calls `log` unless it was called less than [`INTERVAL`] ago.
    pub(super) fn log(&self, log: impl FnOnce()) {
        let is_due = self.0.get().is_none_or(|logged_at| logged_at.elapsed() >= INTERVAL);
        if is_due {
            log();
            self.0.set(Some(Instant::now()));
        }
    }
}
