//! The budget of a server in slow start. The work that the server receives in any window, in mean requests,
//! may be at most `N + 2 * sqrt(N) + 2`, where `N` is what the settings allow at that time.

use foxhold::{Micros, SlowStartRule};

/// A request that a server received.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedWork {
    /// The time of arrival.
    pub at: Micros,
    /// Transfer time at full rate, in microseconds.
    pub transfer_time: f64,
    /// Whether the router knew of the server's start.
    pub start_known: bool,
}

/// A server in slow start, and all work that it has received since its start.
#[derive(Clone, Debug)]
pub struct WarmingServer {
    /// The slow-start rule of the settings.
    pub rule: SlowStartRule,
    /// Its capacity, in transfers at full rate.
    pub size: f64,
    /// The mean transfer time of a request, in microseconds.
    pub mean_transfer_time: f64,
    /// When it started.
    pub started_at: Micros,
    /// All work received, sorted by time.
    pub received: Vec<ReceivedWork>,
}

/// The window with the highest ratio of received work to the budget.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorstWindow {
    /// Received work relative to the budget; a ratio above 1 is an overload.
    pub ratio: f64,
    /// The unused part of the budget, in mean requests; negative if the server was overloaded.
    pub margin: f64,
    /// The work that the settings allowed, in mean requests.
    pub allowed: f64,
    /// Seconds from the server's start to the window's end.
    pub age: f64,
    /// The share of the work that came from routers that knew of the start.
    pub start_known_share: f64,
}

impl WarmingServer {
    /// Returns the smallest share of its capacity that the settings allow at a time. It grows linearly from
    /// the initial share to 1 over the warm-up time.
    fn capacity_share(&self, at: Micros) -> f64 {
        let age = at.saturating_sub(self.started_at) as f64 / self.rule.warm_up_time as f64;
        (self.rule.initial_capacity_share + (1.0 - self.rule.initial_capacity_share) * age).min(1.0)
    }

    /// Returns the mean requests that the settings allow in one window at a time.
    pub fn allowed_requests(&self, at: Micros) -> f64 {
        self.rule.overload_multiple * self.size * self.capacity_share(at) * self.rule.overload_window as f64
            / self.mean_transfer_time
    }

    /// Returns the worst of the windows that end with a request while the server warms up.
    pub fn worst_window(&self) -> WorstWindow {
        let (mut worst, mut first, mut sum, mut known) = (WorstWindow::default(), 0, 0.0, 0.0);
        for sent in self.received.iter().filter(|s| s.at < self.started_at + self.rule.warm_up_time) {
            sum += sent.transfer_time;
            known += if sent.start_known { sent.transfer_time } else { 0.0 };
            while self.received[first].at + self.rule.overload_window <= sent.at {
                sum -= self.received[first].transfer_time;
                known -=
                    if self.received[first].start_known { self.received[first].transfer_time } else { 0.0 };
                first += 1;
            }
            let (allowed, count) = (self.allowed_requests(sent.at), sum / self.mean_transfer_time);
            let budget = allowed + 2.0 * allowed.sqrt() + 2.0;
            if count / budget > worst.ratio {
                let age = (sent.at - self.started_at) as f64 / 1e6;
                let known = known / sum.max(1e-9);
                worst = WorstWindow {
                    ratio: count / budget,
                    margin: budget - count,
                    allowed,
                    age,
                    start_known_share: known,
                };
            }
        }
        worst
    }

    /// Returns the mean requests received in each whole window, from the start until the server is warm.
    pub fn requests_by_window(&self) -> Vec<f64> {
        let mut counts = vec![0.0; (self.rule.warm_up_time / self.rule.overload_window) as usize];
        for sent in &self.received {
            let index = (sent.at.saturating_sub(self.started_at) / self.rule.overload_window) as usize;
            if let Some(count) = counts.get_mut(index) {
                *count += sent.transfer_time / self.mean_transfer_time;
            }
        }
        counts
    }

    /// Returns the mean requests that the server could serve in each window: the demand, up to a multiple of
    /// the capacity in the middle of the window.
    pub fn serviceable_requests(&self, demand: &[f64], multiple: f64) -> Vec<f64> {
        let middle = |n: usize| {
            self.started_at + self.rule.overload_window * n as Micros + self.rule.overload_window / 2
        };
        let limit = |n: usize| self.allowed_requests(middle(n)) * multiple / self.rule.overload_multiple;
        demand.iter().enumerate().map(|(n, demand)| demand.min(limit(n))).collect()
    }
}
