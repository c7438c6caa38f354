//! The clocks: a monotonic clock for durations, and the system's Unix clock for times set by others.

use crate::policy::types::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A clock that reads the time in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The instant at which the monotonic clock read `start_micros`.
    start: Instant,
    start_micros: Micros,
    unix_source: UnixSource,
}

/// The source of the Unix time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnixSource {
    System,
    /// The monotonic clock, which was set by a test.
    Monotonic,
}

impl Clock {
    /// Creates a clock that reads the system's clocks.
    pub fn system() -> Self {
        Clock { start: Instant::now(), start_micros: system_unix(), unix_source: UnixSource::System }
    }

    /// Creates a clock that reads `unix` now and advances with tokio's clock, which tests can pause.
    pub fn starting_at(unix: Micros) -> Self {
        Clock { start: Instant::now(), start_micros: unix, unix_source: UnixSource::Monotonic }
    }

    /// Returns the time by the monotonic clock, which starts near Unix time and never goes back.
    pub fn now(&self) -> Micros {
        self.start_micros + self.start.elapsed().as_micros() as Micros
    }

    /// Returns the Unix time, which an operator may set back.
    pub fn unix(&self) -> Micros {
        match self.unix_source {
            UnixSource::System => system_unix(),
            UnixSource::Monotonic => self.now(),
        }
    }

    /// Converts a Unix time to the monotonic clock. 0 stays 0.
    pub fn unix_to_monotonic(&self, unix: Micros) -> Micros {
        if unix == 0 {
            return 0;
        }
        let offset = self.now() as i64 - self.unix() as i64;
        unix.saturating_add_signed(offset)
    }

    /// Returns the instant at which the monotonic clock reads `at`.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.start_micros))
    }
}

fn system_unix() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_micros() as Micros)
}
