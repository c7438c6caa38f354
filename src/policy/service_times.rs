//! Service times per class of requests.

use crate::policy::estimators::service_time::ServiceTime;
use crate::policy::types::Class;
use std::collections::{BTreeMap, BTreeSet};

/// Mean transfer time assumed for a class without observations, in microseconds.
const DEFAULT_TRANSFER_TIME: f64 = 200_000.0;
/// Service time of a class without observations.
const DEFAULT_SERVICE_TIME: ServiceTime =
    ServiceTime { transfer_time: DEFAULT_TRANSFER_TIME, size_known: false, overhead: 0.0 };
/// Weight of a new observation in a running mean.
const OBSERVATION_WEIGHT: f64 = 0.02;

/// Identifies the estimate of one class. It is never reused, so that a class cannot get the estimate of
/// another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EstimateId(u64);

/// A service time, and the class that it was observed for.
struct ClassEstimate {
    class_name: String,
    service_time: ServiceTime,
}

/// The service time of each class. A class keeps its estimate when its rules change. The estimate of a class
/// that is no longer configured exists while pending requests use it.
pub(super) struct ServiceTimes {
    estimates: BTreeMap<EstimateId, ClassEstimate>,
    /// The estimate of each class in the settings in force, by class index.
    configured: Vec<EstimateId>,
    next_id: u64,
}

impl ServiceTimes {
    pub(super) fn new(classes: &[Class]) -> Self {
        let mut service_times =
            ServiceTimes { estimates: BTreeMap::new(), configured: Vec::new(), next_id: 0 };
        service_times.configured = classes.iter().map(|class| service_times.add(&class.name)).collect();
        service_times
    }

    /// Adapts to the classes of new settings. Added classes have no observations. Estimates that are neither
    /// configured nor `in_use` are removed.
    pub(super) fn update(&mut self, classes: &[Class], in_use: &BTreeSet<EstimateId>) {
        let mut configured = Vec::with_capacity(classes.len());
        for class in classes {
            let existing = self.find(&class.name, |id| !configured.contains(&id));
            configured.push(existing.unwrap_or_else(|| self.add(&class.name)));
        }
        self.estimates.retain(|id, _| configured.contains(id) || in_use.contains(id));
        self.configured = configured;
    }

    /// Returns the estimate of a class of the settings in force. The index must be valid.
    pub(super) fn of_index(&self, class: usize) -> EstimateId {
        self.configured[class]
    }

    /// Returns the estimate of the class with this name, which need not be configured.
    pub(super) fn of_name(&mut self, class_name: &str) -> EstimateId {
        self.find(class_name, |_| true).unwrap_or_else(|| self.add(class_name))
    }

    pub(super) fn len(&self) -> usize {
        self.estimates.len()
    }

    pub(super) fn get(&self, id: EstimateId) -> &ServiceTime {
        self.estimates.get(&id).map_or(&DEFAULT_SERVICE_TIME, |estimate| &estimate.service_time)
    }

    /// Returns the mean transfer time of the class with the largest objects, in microseconds; at least 1.
    pub(super) fn max_transfer_time(&self) -> f64 {
        self.estimates.values().map(|estimate| estimate.service_time.transfer_time).fold(1.0, f64::max)
    }

    /// Returns the transfer time of a request in microseconds: `from_size` if it is above 0 and finite,
    /// otherwise the mean of its class. A known size is recorded for the class.
    pub(super) fn transfer_time(&mut self, id: EstimateId, from_size: f64) -> f64 {
        if from_size <= 0.0 || !from_size.is_finite() {
            return self.get(id).transfer_time;
        }
        if let Some(estimate) = self.estimates.get_mut(&id) {
            estimate.service_time.record_known_size(from_size, OBSERVATION_WEIGHT);
        }
        from_size
    }

    /// Records the response time (`elapsed`) and the transfer time of a request, both in microseconds.
    pub(super) fn record_response(&mut self, id: EstimateId, elapsed: f64, transfer_time: f64) {
        if let Some(estimate) = self.estimates.get_mut(&id) {
            estimate.service_time.record_response(elapsed, transfer_time, OBSERVATION_WEIGHT);
        }
    }

    fn find(&self, class_name: &str, accepts: impl Fn(EstimateId) -> bool) -> Option<EstimateId> {
        let matching = self.estimates.iter().filter(|(_, estimate)| estimate.class_name == class_name);
        matching.map(|(id, _)| *id).find(|id| accepts(*id))
    }

    fn add(&mut self, class_name: &str) -> EstimateId {
        let id = EstimateId(self.next_id);
        self.next_id += 1;
        let estimate =
            ClassEstimate { class_name: class_name.to_owned(), service_time: DEFAULT_SERVICE_TIME };
        self.estimates.insert(id, estimate);
        id
    }
}
