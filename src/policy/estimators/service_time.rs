//! The service time of one class of requests.

/// Running means of one class, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// Mean transfer time at full rate.
    pub transfer_time: f64,
    /// Whether any request had a known size.
    pub size_known: bool,
    /// Mean time beyond the request's own transfer time.
    pub overhead: f64,
}

impl ServiceTime {
    /// Records the response time of a request; `weight` is that of the new observation. Where sizes are
    /// unknown, the median response time stands for the mean transfer time: most responses are hits, and long
    /// fills, which would raise a mean, leave the median alone.
    pub fn record_response(&mut self, elapsed: f64, transfer_time: f64, weight: f64) {
        self.overhead += weight * ((elapsed - transfer_time).max(0.0) - self.overhead);
        if !self.size_known {
            self.transfer_time *= if elapsed > self.transfer_time { 1.0 + weight } else { 1.0 - weight };
        }
    }

    /// Records a request whose transfer time is known from its size, and returns that time. The first one
    /// replaces the default.
    pub fn record_known_size(&mut self, transfer_time: f64, weight: f64) -> f64 {
        self.transfer_time += if self.size_known {
            weight * (transfer_time - self.transfer_time)
        } else {
            transfer_time - self.transfer_time
        };
        self.size_known = true;
        transfer_time
    }
}
