//! The clocks: a monotonic one for durations, the system's Unix clock for times that others set.

use crate::policy::types::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Reads the time, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The instant at which the monotonic clock read `start_micros`.
    start: Instant,
    start_micros: Micros,
    unix_source: UnixSource,
}

/// Where the Unix time is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnixSource {
    System,
    /// The monotonic clock, which a test has set.
    Monotonic,
}

impl Clock {
    /// The system's clocks.
    pub fn system() -> Self {
        Clock { start: Instant::now(), start_micros: system_unix(), unix_source: UnixSource::System }
    }

    /// A clock that reads this Unix time now and goes on by tokio's clock, which tests can pause.
    pub fn starting_at(unix: Micros) -> Self {
        Clock { start: Instant::now(), start_micros: unix, unix_source: UnixSource::Monotonic }
    }

    /// The monotonic clock; it starts near Unix time and never goes back.
    pub fn now(&self) -> Micros {
        self.start_micros + self.start.elapsed().as_micros() as Micros
    }

    /// The Unix time, which an operator may set back.
    pub fn unix(&self) -> Micros {
        match self.unix_source {
            UnixSource::System => system_unix(),
            UnixSource::Monotonic => self.now(),
        }
    }

    /// The monotonic clock's reading for a Unix time; 0 stays 0.
    pub fn unix_to_monotonic(&self, unix: Micros) -> Micros {
        if unix == 0 {
            return 0;
        }
        let offset = self.now() as i64 - self.unix() as i64;
        unix.saturating_add_signed(offset)
    }

    /// The instant at which the monotonic clock reads this.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.start_micros))
    }
}

fn system_unix() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_micros() as Micros)
}
