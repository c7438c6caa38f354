//! The budget of a server in slow start. Within any window, the work of all senders may be at most
//! `N + 2 * sqrt(N) + 2` mean requests, where `N` is what the settings allow at that time.
//!
//! A mean request is a request with the mean work of all classes. Times are in seconds.

use crate::servers::model::ServerSpec;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;

/// Tolerance for random variation: the work may exceed the allowed requests by this many times their square
/// root plus this many requests.
const CHANCE: f64 = 2.0;

/// The window that ends with the arrival of some work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlowStartWindow {
    /// Mean requests that arrived within the window.
    pub count: f64,
    /// Mean requests that the settings allow at the end of the window.
    pub allowed: f64,
    /// Mean requests that the server could process since the previous arrival.
    pub capacity: f64,
    /// Mean requests that arrived since the previous arrival.
    pub came: f64,
}

impl SlowStartWindow {
    /// Returns the ratio of the work that arrived to the limit of the budget. Above 1 the server fails by
    /// overload.
    pub fn share(&self) -> f64 {
        self.count / (self.allowed + CHANCE * self.allowed.sqrt() + CHANCE)
    }
}

/// A counter of the work that arrives at a server in slow start.
#[derive(Debug)]
pub struct Budget {
    mean: f64,
    work: VecDeque<(f64, f64)>,
    last: Option<f64>,
}

impl Budget {
    /// Creates the budget of a server whose mean request takes `mean` seconds of work.
    pub fn new(mean: f64) -> Budget {
        Budget { mean: mean.max(1e-9), work: VecDeque::new(), last: None }
    }

    /// Counts work that arrives at `now`, when the share `warmth` of the link's capacity is available.
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

/// The work that arrived at a server in slow start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SlowStartUse {
    /// The window with the highest [`SlowStartWindow::share`].
    pub worst: SlowStartWindow,
    /// Mean requests that arrived.
    pub came: f64,
    /// Mean requests that the server could have processed.
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

    /// Returns the ratio of the work that arrived to the work that the server could have processed.
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
