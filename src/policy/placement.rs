//! Popularity of objects, and the resulting demand for each cache: the inputs to the placement of objects.

use crate::policy::estimators::decaying_counter::DecayingCounter;
use crate::policy::estimators::gamma_prior::GammaPrior;
use crate::policy::estimators::generational_cache::GenerationalCache;
use crate::policy::fill_source::ResidencyEstimate;
use crate::policy::rendezvous::HashOrder;
use crate::policy::types::{Micros, ObjectId, Request};

/// Time constant of popularity, in microseconds. A steady rate of 4 requests a second gives a count of 80.
const POPULARITY_TIME_CONSTANT: f64 = 20_000_000.0;
/// A part of an object is hot when its requests exceed this share of the requests that one server gets if all
/// servers get the same. A hot part should not be served by one server alone.
const HOT_SHARE: f64 = 0.4;
/// Prior mean of an object's share of all requests.
const OBJECT_SHARE_PRIOR_MEAN: f64 = 0.01;
/// Weight of that prior, in events. It is multiplied by the share of all requests from which a part is hot.
const OBJECT_SHARE_PRIOR_WEIGHT: f64 = 2.2;
/// Prior for the demand for a cache from objects that are not hot, relative to the cache's share of the
/// pool's capacity.
const RELATIVE_DEMAND_PRIOR: GammaPrior = GammaPrior { mean: 1.0, shape: 2.0 };
/// Largest number of objects kept in each of the two generations of the object table.
const MAX_OBJECTS: usize = 20_000;
/// Age at which a generation of the object table is replaced by a new one.
const MAX_GENERATION_AGE: Micros = 30_000_000;

/// Request counts, residency estimate and hash orders of one object.
#[derive(Default)]
pub(super) struct ObjectStats {
    requests: DecayingCounter,
    /// Requests for the first part that clients did not mark as retries. For an object of a single part these
    /// are all its requests but retries.
    first_part_requests: u32,
    /// Number of parts: the highest part number requested so far, plus one.
    parts: u32,
    pub(super) residency: ResidencyEstimate,
    pub(super) cache_order: HashOrder,
    pub(super) parent_order: HashOrder,
}

/// An object's popularity just before a request for it.
#[derive(Default)]
pub(super) struct Popularity {
    /// Recent requests for the object.
    pub(super) object_requests: f64,
    /// Recent requests for all objects.
    total_requests: f64,
    /// Number of parts among which the object's requests are divided.
    parts: f64,
    /// Whether the object's first part was requested more than once, including this request but not retries.
    pub(super) requested_before: bool,
}

impl Popularity {
    /// Returns how many servers of a pool should serve one part of the object: one for each [`HOT_SHARE`] of
    /// the requests that a server of this size gets. Values above 1 mean that the part is hot.
    pub(super) fn wanted_servers(&self, size: f64, total_size: f64) -> f64 {
        let hot_share = HOT_SHARE * size / total_size;
        let prior_mean = OBJECT_SHARE_PRIOR_MEAN.min(hot_share / 2.0);
        let prior = GammaPrior::new(prior_mean, OBJECT_SHARE_PRIOR_WEIGHT * hot_share);
        prior.posterior(self.object_requests, self.total_requests).mean / self.parts / hot_share
    }
}

/// The recently requested objects, and the recent number of requests for all objects.
#[derive(Default)]
pub(super) struct ObjectTable {
    objects: GenerationalCache<ObjectStats, MAX_OBJECTS, MAX_GENERATION_AGE>,
    requests: DecayingCounter,
}

impl ObjectTable {
    /// Returns the entry of an object; creates it if the object is unknown.
    pub(super) fn entry(&mut self, object: ObjectId, now: Micros) -> &mut ObjectStats {
        self.objects.entry(object.0, now)
    }

    /// Counts a request and returns the object's popularity before it. The request itself is left out because
    /// it is no evidence of how often the object is requested otherwise.
    pub(super) fn count_request(&mut self, request: &Request, now: Micros) -> Popularity {
        let object = self.objects.entry(request.object.0, now);
        let object_requests = object.requests.value(now, POPULARITY_TIME_CONSTANT);
        let total_requests = self.requests.value(now, POPULARITY_TIME_CONSTANT);
        object.requests.add(now, 1.0, POPULARITY_TIME_CONSTANT);
        self.requests.add(now, 1.0, POPULARITY_TIME_CONSTANT);
        object.parts = object.parts.max(request.part.saturating_add(1));
        let is_first = request.part == 0 && !request.is_retry && object.first_part_requests < u32::MAX;
        object.first_part_requests += u32::from(is_first);
        Popularity {
            object_requests,
            total_requests,
            parts: f64::from(object.parts),
            requested_before: object.first_part_requests > 1,
        }
    }

    /// Returns the recent number of requests for all objects.
    pub(super) fn total_requests(&self, now: Micros) -> f64 {
        self.requests.value(now, POPULARITY_TIME_CONSTANT)
    }
}

/// The demand for one cache: recent requests for which it was this router's first choice, including those
/// that were then passed on to another cache.
#[derive(Default)]
pub(super) struct Demand {
    /// Requests for objects that one cache serves.
    single: DecayingCounter,
    /// Requests for objects that are spread over several caches.
    spread: DecayingCounter,
}

impl Demand {
    /// Counts a request. `is_spread` is whether its object is spread over several caches.
    pub(super) fn count(&mut self, is_spread: bool, now: Micros) {
        let counter = if is_spread { &mut self.spread } else { &mut self.single };
        counter.add(now, 1.0, POPULARITY_TIME_CONSTANT);
    }

    /// Returns the estimated demand relative to the cache's share of the pool's capacity; 1 is an equal
    /// share. `excluded` is a number of requests to leave out.
    pub(super) fn relative(
        &self,
        total_requests: f64,
        capacity_share: f64,
        excluded: f64,
        now: Micros,
    ) -> f64 {
        let single = (self.single.value(now, POPULARITY_TIME_CONSTANT) - excluded).max(0.0);
        let single = RELATIVE_DEMAND_PRIOR.posterior(single, total_requests * capacity_share).mean;
        let spread = self.spread.value(now, POPULARITY_TIME_CONSTANT);
        single + spread / ((total_requests + 2.0 * OBJECT_SHARE_PRIOR_WEIGHT) * capacity_share)
    }
}
