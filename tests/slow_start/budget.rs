//! The budget of a server that started lately, as the acceptance's page reckons it: within any window
//! the work that
//! reaches it, in mean requests, may be `N + 2 * sqrt(N) + 2`, `N` being what the settings allow it then.

use foxhold::{Micros, SlowStartRule};

/// Work that reached a server.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// When.
    pub at: Micros,
    /// Microseconds of sending at full pace.
    pub work: f64,
    /// Whether the router had been told of the server's start.
    pub told: bool,
}

/// A server that started lately, and all that reached it since.
#[derive(Clone, Debug)]
pub struct ColdServer {
    /// What the settings say of such servers.
    pub rule: SlowStartRule,
    /// Its size, in transfers at full pace.
    pub size: f64,
    /// The mean work of a request.
    pub mean: f64,
    /// When it started.
    pub since: Micros,
    /// In the order of time.
    pub log: Vec<Sent>,
}

/// The window that came nearest to a fall, or is past it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Worst {
    /// What came within it over what may come.
    pub ratio: f64,
    /// Mean requests that were left below the fall (negative: the server fell).
    pub margin: f64,
    /// What the settings allowed, in mean requests.
    pub allowed: f64,
    /// Seconds from the server's start to the window's end.
    pub age: f64,
    /// The share that came from routers that had been told of the start.
    pub told: f64,
}

impl ColdServer {
    /// The share of its capacity at a time, reckoned as low as the settings allow.
    fn warmth(&self, at: Micros) -> f64 {
        let age = at.saturating_sub(self.since) as f64 / self.rule.warm_up_time as f64;
        (self.rule.initial_capacity_share + (1.0 - self.rule.initial_capacity_share) * age).min(1.0)
    }

    /// Mean requests that the settings allow it in one window at a time.
    pub fn allowed(&self, at: Micros) -> f64 {
        self.rule.overload_multiple * self.size * self.warmth(at) * self.rule.overload_window as f64
            / self.mean
    }

    /// The window with the least margin of those that end with some work, while the server is cold.
    pub fn worst(&self) -> Worst {
        let (mut worst, mut first, mut sum, mut told) = (Worst::default(), 0, 0.0, 0.0);
        for sent in self.log.iter().filter(|s| s.at < self.since + self.rule.warm_up_time) {
            sum += sent.work;
            told += if sent.told { sent.work } else { 0.0 };
            while self.log[first].at + self.rule.overload_window <= sent.at {
                sum -= self.log[first].work;
                told -= if self.log[first].told { self.log[first].work } else { 0.0 };
                first += 1;
            }
            let (allowed, count) = (self.allowed(sent.at), sum / self.mean);
            let fall = allowed + 2.0 * allowed.sqrt() + 2.0;
            if count / fall > worst.ratio {
                let age = (sent.at - self.since) as f64 / 1e6;
                let told = told / sum.max(1e-9);
                worst = Worst { ratio: count / fall, margin: fall - count, allowed, age, told };
            }
        }
        worst
    }

    /// By whole windows from its start until it is warm: the mean requests that came.
    pub fn windows(&self) -> Vec<f64> {
        let mut counts = vec![0.0; (self.rule.warm_up_time / self.rule.overload_window) as usize];
        for sent in &self.log {
            let place = (sent.at.saturating_sub(self.since) / self.rule.overload_window) as usize;
            if let Some(count) = counts.get_mut(place) {
                *count += sent.work / self.mean;
            }
        }
        counts
    }

    /// What it could bear in each of these windows: a multiple of its capacity in the middle, or all
    /// that is asked.
    pub fn bearable(&self, asked: &[f64], multiple: f64) -> Vec<f64> {
        let middle =
            |n: usize| self.since + self.rule.overload_window * n as Micros + self.rule.overload_window / 2;
        let bears = |n: usize| self.allowed(middle(n)) * multiple / self.rule.overload_multiple;
        asked.iter().enumerate().map(|(n, asked)| asked.min(bears(n))).collect()
    }
}
