//! The service time of one class of requests.

/// Running means over the requests of one class, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// Mean transfer time at full rate; an approximate median of the response time while sizes are unknown.
    pub transfer_time: f64,
    /// Whether at least one request had a known size.
    pub size_known: bool,
    /// Mean of the response time less the request's own transfer time.
    pub overhead: f64,
}

impl ServiceTime {
    /// Records the response time of a request; `weight` is the weight of the new observation. Where sizes are
    /// unknown, the median response time is used as the mean transfer time: most responses are hits, and long
    /// fills would raise a mean but not the median.
    pub fn record_response(&mut self, elapsed: f64, transfer_time: f64, weight: f64) {
        self.overhead += weight * ((elapsed - transfer_time).max(0.0) - self.overhead);
        if !self.size_known {
            self.transfer_time *= if elapsed > self.transfer_time { 1.0 + weight } else { 1.0 - weight };
        }
    }

    /// Records a request whose transfer time is known from its size, and returns that time. The first
    /// recorded time replaces the default.
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
