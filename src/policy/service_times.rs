//! The service times of all classes of requests.

use crate::policy::estimators::service_time::ServiceTime;

/// Mean transfer time, in microseconds, that is assumed for a class without observations.
const DEFAULT_TRANSFER_TIME: f64 = 200_000.0;
/// A class without observations.
const DEFAULT_SERVICE_TIME: ServiceTime =
    ServiceTime { transfer_time: DEFAULT_TRANSFER_TIME, size_known: false, overhead: 0.0 };
/// Weight of a new observation in a running mean.
const OBSERVATION_WEIGHT: f64 = 0.02;

/// One service time for each class, by the class's index.
pub(super) struct ServiceTimes(Vec<ServiceTime>);

impl ServiceTimes {
    pub(super) fn new(classes: usize) -> Self {
        ServiceTimes(vec![DEFAULT_SERVICE_TIME; classes])
    }

    /// Adapts to a changed number of classes.
    pub(super) fn resize(&mut self, classes: usize) {
        self.0.resize(classes, DEFAULT_SERVICE_TIME);
    }

    pub(super) fn of_class(&self, class: usize) -> &ServiceTime {
        &self.0[class]
    }

    /// Mean transfer time of the class of the largest objects, in microseconds: at least 1.
    pub(super) fn max_transfer_time(&self) -> f64 {
        self.0.iter().map(|class| class.transfer_time).fold(1.0, f64::max)
    }

    /// The transfer time of a request in microseconds: `from_size` if the size is known, else its class's
    /// mean.
    pub(super) fn transfer_time(&mut self, class: usize, from_size: f64) -> f64 {
        let class = &mut self.0[class];
        if from_size > 0.0 && from_size.is_finite() {
            class.record_known_size(from_size, OBSERVATION_WEIGHT)
        } else {
            class.transfer_time
        }
    }

    /// Records the response time of a request with this transfer time, both in microseconds.
    pub(super) fn record_response(&mut self, class: usize, elapsed: f64, transfer_time: f64) {
        self.0[class].record_response(elapsed, transfer_time, OBSERVATION_WEIGHT);
    }
}
