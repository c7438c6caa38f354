//! Service times per class of requests.

use crate::policy::estimators::service_time::ServiceTime;

/// Mean transfer time assumed for a class without observations, in microseconds.
const DEFAULT_TRANSFER_TIME: f64 = 200_000.0;
/// Service time of a class without observations.
const DEFAULT_SERVICE_TIME: ServiceTime =
    ServiceTime { transfer_time: DEFAULT_TRANSFER_TIME, size_known: false, overhead: 0.0 };
/// Weight of a new observation in a running mean.
const OBSERVATION_WEIGHT: f64 = 0.02;

/// The service time of each class, by class index.
pub(super) struct ServiceTimes(Vec<ServiceTime>);

impl ServiceTimes {
    pub(super) fn new(classes: usize) -> Self {
        ServiceTimes(vec![DEFAULT_SERVICE_TIME; classes])
    }

    /// Adapts to a changed number of classes. Added classes have no observations.
    pub(super) fn resize(&mut self, classes: usize) {
        self.0.resize(classes, DEFAULT_SERVICE_TIME);
    }

    pub(super) fn of_class(&self, class: usize) -> &ServiceTime {
        &self.0[class]
    }

    /// Returns the mean transfer time of the class with the largest objects, in microseconds; at least 1.
    pub(super) fn max_transfer_time(&self) -> f64 {
        self.0.iter().map(|class| class.transfer_time).fold(1.0, f64::max)
    }

    /// Returns the transfer time of a request in microseconds: `from_size` if it is above 0 and finite,
    /// otherwise the mean of its class. A known size is recorded for the class.
    pub(super) fn transfer_time(&mut self, class: usize, from_size: f64) -> f64 {
        let class = &mut self.0[class];
        if from_size > 0.0 && from_size.is_finite() {
            class.record_known_size(from_size, OBSERVATION_WEIGHT)
        } else {
            class.transfer_time
        }
    }

    /// Records the response time (`elapsed`) and the transfer time of a request, both in microseconds.
    pub(super) fn record_response(&mut self, class: usize, elapsed: f64, transfer_time: f64) {
        self.0[class].record_response(elapsed, transfer_time, OBSERVATION_WEIGHT);
    }
}
