//! Placement of objects on servers: popularity of objects, and the demand that this puts on each cache.

use crate::policy::estimators::decaying_counter::DecayingCounter;
use crate::policy::estimators::gamma_prior::GammaPrior;
use crate::policy::estimators::generational_cache::GenerationalCache;
use crate::policy::fill_source::ResidencyEstimate;
use crate::policy::rendezvous::HashOrder;
use crate::policy::types::{Micros, ObjectId, Request};

/// Time constant of popularity in microseconds: four requests a second count eighty.
const POPULARITY_TIME_CONSTANT: f64 = 20_000_000.0;
/// An object part is hot once its requests are over this share of what a server gets if all get the same; one
/// server should not serve it alone.
const HOT_SHARE: f64 = 0.4;
/// Prior mean of an object's share of all requests.
const OBJECT_SHARE_PRIOR_MEAN: f64 = 0.01;
/// Prior weight of that share, in events for each hot part.
const OBJECT_SHARE_PRIOR_WEIGHT: f64 = 2.2;
/// Prior of the demand for a cache by all but hot objects, relative to its share of the pool's capacity.
const RELATIVE_DEMAND_PRIOR: GammaPrior = GammaPrior { mean: 1.0, shape: 2.0 };
/// Most objects remembered in each of two generations.
const MAX_OBJECTS: usize = 20_000;
/// The longest a generation lasts.
const MAX_GENERATION_AGE: Micros = 30_000_000;

/// What is known of one object.
#[derive(Default)]
pub(super) struct ObjectStats {
    requests: DecayingCounter,
    /// Requests for its first part that clients did not mark as retries; for any part of a single one.
    first_part_requests: u32,
    /// Number of parts, as far as requests have shown.
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
    /// The parts among which the object's requests are divided.
    parts: f64,
    /// Whether the object was requested before.
    pub(super) requested_before: bool,
}

impl Popularity {
    /// How many servers of a pool should serve one part of the object: one for each [`HOT_SHARE`] of the
    /// requests that a server of this size gets.
    pub(super) fn wanted_servers(&self, size: f64, total_size: f64) -> f64 {
        let hot_share = HOT_SHARE * size / total_size;
        let prior_mean = OBJECT_SHARE_PRIOR_MEAN.min(hot_share / 2.0);
        let prior = GammaPrior::new(prior_mean, OBJECT_SHARE_PRIOR_WEIGHT * hot_share);
        prior.posterior(self.object_requests, self.total_requests).mean / self.parts / hot_share
    }
}

/// Objects requested lately, and the number of all requests.
#[derive(Default)]
pub(super) struct ObjectTable {
    objects: GenerationalCache<ObjectStats, MAX_OBJECTS, MAX_GENERATION_AGE>,
    requests: DecayingCounter,
}

impl ObjectTable {
    /// The object as it is known, or a new one.
    pub(super) fn entry(&mut self, object: ObjectId, now: Micros) -> &mut ObjectStats {
        self.objects.entry(object.0, now)
    }

    /// Counts a request, and returns the popularity before it: a request tells nothing of how often the
    /// object is requested beside it.
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

    /// Recent requests for all objects.
    pub(super) fn total_requests(&self, now: Micros) -> f64 {
        self.requests.value(now, POPULARITY_TIME_CONSTANT)
    }
}

/// Recent requests for which this router picked a cache first.
#[derive(Default)]
pub(super) struct Demand {
    /// For objects that have one cache.
    single: DecayingCounter,
    /// For objects that are spread over several caches.
    spread: DecayingCounter,
}

impl Demand {
    /// Counts a request for an object that has one cache, or is spread over several.
    pub(super) fn count(&mut self, is_spread: bool, now: Micros) {
        let counter = if is_spread { &mut self.spread } else { &mut self.single };
        counter.add(now, 1.0, POPULARITY_TIME_CONSTANT);
    }

    /// Estimated demand relative to the cache's share of the pool's capacity, without `excluded` requests.
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
