//! The budget of a server that started cold: within any window the work of all who send, in mean requests,
//! may be `N + 2 * sqrt(N) + 2`, `N` being what the settings allow it then. Times are seconds.

use crate::servers::model::ServerSpec;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;

/// What is put down to chance: so many roots of what is allowed, and so many requests.
const CHANCE: f64 = 2.0;

/// A window that ends with some work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlowStartWindow {
    /// Mean requests that came within it.
    pub count: f64,
    /// Mean requests that the settings allow at its end.
    pub allowed: f64,
    /// Mean requests that the server could do at full pace meanwhile, and those that came, since the last
    /// word.
    pub capacity: f64,
    /// See `capacity`.
    pub came: f64,
}

impl SlowStartWindow {
    /// What came over what pushes the server over; above 1 it falls.
    pub fn share(&self) -> f64 {
        self.count / (self.allowed + CHANCE * self.allowed.sqrt() + CHANCE)
    }
}

/// Counts the work that comes to a cold server.
#[derive(Debug)]
pub struct Budget {
    mean: f64,
    work: VecDeque<(f64, f64)>,
    last: Option<f64>,
}

impl Budget {
    /// Of a server whose requests are work of so many seconds on average.
    pub fn new(mean: f64) -> Budget {
        Budget { mean: mean.max(1e-9), work: VecDeque::new(), last: None }
    }

    /// Counts work that comes now, at this share of the server's link.
    pub fn push(&mut self, now: f64, work: f64, warmth: f64, spec: &ServerSpec) -> SlowStartWindow {
        while self.work.front().is_some_and(|(at, _)| *at <= now - spec.window) {
            self.work.pop_front();
        }
        self.work.push_back((now, work));
        let since = self.last.replace(now).unwrap_or(now);
        SlowStartWindow {
            count: self.work.iter().map(|w| w.1).sum::<f64>() / self.mean,
            allowed: spec.multiple * spec.link * warmth * spec.window / self.mean,
            capacity: spec.link * warmth * (now - since) / self.mean,
            came: work / self.mean,
        }
    }
}

/// What came to a server while it was cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SlowStartUse {
    /// The window that came nearest to a fall.
    pub worst: SlowStartWindow,
    /// Mean requests that came.
    pub came: f64,
    /// And that it could have done at full pace.
    pub capacity: f64,
}

impl SlowStartUse {
    /// Adds a window.
    pub fn add(&mut self, window: &SlowStartWindow) {
        if window.share() > self.worst.share() {
            self.worst = *window;
        }
        self.came += window.came;
        self.capacity += window.capacity;
    }

    /// What came over what it could have done at full pace.
    pub fn used(&self) -> f64 {
        self.came / self.capacity.max(1e-9)
    }
}

impl fmt::Display for SlowStartUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SlowStartWindow { count, allowed, .. } = self.worst;
        write!(
            f,
            "worst window {count:.1} mean requests of {allowed:.1} allowed ({:.2} of a fall), {:.2} of its capacity used",
            self.worst.share(),
            self.used()
        )
    }
}
