//! What requests of one class take.

/// Times seen in one class of requests, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Mean sending time, and whether any was told.
    pub work: f64,
    /// See `work`.
    pub told: bool,
    /// Mean time beyond the own sending time.
    pub extra: f64,
}

impl Pace {
    /// What an answer took; `blend` is its weight. Where sizes are not told, the median time stands for the
    /// mean sending time: most answers are hits, and long fills, which would swell a mean, leave the median
    /// alone.
    pub fn took(&mut self, took: f64, work: f64, blend: f64) {
        self.extra += blend * ((took - work).max(0.0) - self.extra);
        if !self.told {
            self.work *= if took > self.work { 1.0 + blend } else { 1.0 - blend };
        }
    }

    /// A request's sending time was told; the first stands for the mean as it is.
    pub fn tell(&mut self, work: f64, blend: f64) -> f64 {
        self.work += if self.told { blend * (work - self.work) } else { work - self.work };
        self.told = true;
        work
    }
}
