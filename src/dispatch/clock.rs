//! The clocks: a steady one for durations, the system's Unix clock for what others put a time on.

use crate::policy::types::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Reads the time; a test sets its own Unix time, which then goes by tokio's (pausable) clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Instant,
    base_micros: Micros,
    fixed: bool,
}

impl Clock {
    /// The system's clocks.
    pub fn system() -> Self {
        Clock { base: Instant::now(), base_micros: system_unix(), fixed: false }
    }

    /// A clock that reads this Unix time now and goes on by tokio's clock.
    pub fn starting_at(unix: Micros) -> Self {
        Clock { base: Instant::now(), base_micros: unix, fixed: true }
    }

    /// The steady clock; it starts near Unix time and never goes back.
    pub fn now(&self) -> Micros {
        self.base_micros + self.base.elapsed().as_micros() as Micros
    }

    /// The Unix time, which an operator may set back.
    pub fn unix(&self) -> Micros {
        if self.fixed {
            self.now()
        } else {
            system_unix()
        }
    }

    /// The steady clock's reading for a Unix time; 0 stays 0.
    pub fn steady(&self, unix: Micros) -> Micros {
        if unix == 0 {
            return 0;
        }
        let shift = self.now() as i64 - self.unix() as i64;
        unix.saturating_add_signed(shift)
    }

    /// When the steady clock reads this.
    pub fn instant(&self, at: Micros) -> Instant {
        self.base + Duration::from_micros(at.saturating_sub(self.base_micros))
    }
}

fn system_unix() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}
