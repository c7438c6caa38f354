//! Selection of the cache that serves a request.

use crate::policy::admission::would_miss_objective;
use crate::policy::estimators::hash::{mix, unit_interval};
use crate::policy::estimators::load_sharing::{excess_share, stochastic_round};
use crate::policy::requests::PendingRequest;
use crate::policy::retry::is_safe_attempt;
use crate::policy::router::Router;
use crate::policy::slow_start::SlowStart;
use crate::policy::types::{Micros, ServerId};

/// Largest number of caches over which an object's parts are spread.
const MAX_CACHES_PER_OBJECT: usize = 3;
/// Some requests are passed on to other caches when the demand for a cache exceeds this multiple of its share
/// of the capacity.
const MAX_RELATIVE_DEMAND: f64 = 1.25;
/// A cache is slow when its slowdown on hits is at least this multiple of the quickest cache's, regardless of
/// how much this router has in flight there.
const OUTLIER_SLOWDOWN: f64 = 2.0;

impl Router {
    /// Selects the cache of the next attempt: the first of the object's three caches in the order of the
    /// part. For a hot object, two caches are drawn at random and the less loaded one is chosen. They are
    /// drawn from as many of the three as the object's share of requests needs, rounded at random: the
    /// routers of a fleet together then spread the object correctly although no single router knows the share
    /// exactly. Returns `None` if no cache can be used.
    pub(super) fn select_cache(&mut self, now: Micros, pending: &PendingRequest) -> Option<ServerId> {
        let mut caches = self.usable_caches(now, pending);
        let first = *caches.first()?;
        let size = self.endpoints[first].size(&self.settings);
        let wanted = pending.popularity.wanted_servers(size, self.endpoints.caches.total_weight());
        let draw = if wanted > 1.0 { self.random.next_u64() } else { 0 };
        let width = stochastic_round(wanted, caches.len().min(MAX_CACHES_PER_OBJECT), unit_interval(draw));
        if width > 1 {
            self.prefer_less_loaded(now, &mut caches[..width], draw);
        }
        if pending.is_first_attempt() {
            let passes_on = width == 1 && self.passes_on(now, first, pending);
            if let Some(endpoint) = self.endpoints.get_mut(caches[0]) {
                endpoint.demand.count(width > 1, now);
            }
            if passes_on {
                self.prefer_cache_within_demand(now, &mut caches);
            }
        }
        // The first attempt prefers a cache that can respond in time. Otherwise requests would be shed while
        // one cache has more than its share and others have capacity.
        let in_time = |id: &ServerId| !pending.is_first_attempt() || !self.is_too_slow(now, pending, *id);
        caches.iter().copied().find(in_time).or(caches.first().copied())
    }

    /// Returns the object's caches in the order of the part, followed by the next caches in hash order.
    /// Leaves out caches that can't be used: ejected, overloaded, excluded by an earlier attempt, or in slow
    /// start without tokens.
    fn usable_caches(&mut self, now: Micros, pending: &PendingRequest) -> Vec<ServerId> {
        let object = pending.request.object;
        let class_transfer_time = self.service_times.get(pending.estimate).transfer_time;
        let order = &mut self.objects.entry(object, now).cache_order;
        let mut caches = order.candidates(object, &self.endpoints.caches, self.endpoints.list_version);
        let spread = caches.len().min(MAX_CACHES_PER_OBJECT);
        let part = u64::from(pending.request.part) + 1;
        caches[..spread].sort_by_key(|id| mix(object.0 ^ u64::from(id.0), part));
        let slow_start = SlowStart { settings: &self.settings, service_times: &self.service_times };
        caches.retain(|id| {
            let endpoint = &self.endpoints[*id];
            let is_usable = !endpoint.health.is_overloaded(now)
                && pending.may_use_server(*id)
                && endpoint.is_available(now)
                && is_safe_attempt(&self.endpoints, pending, *id, now);
            is_usable
                && self
                    .endpoints
                    .get_mut(*id)
                    .is_some_and(|endpoint| slow_start.admits(endpoint, class_transfer_time, now))
        });
        caches
    }

    /// Draws two of these caches and moves the less loaded one to the front. One of many routers often has
    /// nothing in flight at either; with equal loads, the cache with the lower recent demand from this router
    /// is chosen.
    fn prefer_less_loaded(&self, now: Micros, caches: &mut [ServerId], draw: u64) {
        let width = caches.len();
        let one = (draw >> 8) as usize % width;
        let two = (one + 1 + (draw >> 16) as usize % (width - 1)) % width;
        let load =
            |id: ServerId| (self.endpoints.load(id, &self.settings), self.relative_demand(id, now, 0.0));
        let is_less = load(caches[two]) < load(caches[one]);
        caches[..=if is_less { two } else { one }].rotate_right(1);
    }

    /// Returns whether requests for the object are passed on because the demand for its first cache is too
    /// high. A hash selects the objects, so that all routers pass on the same ones.
    fn passes_on(&self, now: Micros, first: ServerId, pending: &PendingRequest) -> bool {
        let own_requests = pending.popularity.object_requests;
        let excess = excess_share(self.relative_demand(first, now, own_requests), MAX_RELATIVE_DEMAND);
        unit_interval(mix(pending.request.object.0, !u64::from(first.0))) < excess
    }

    /// Moves the next cache whose demand is within the limit to the front, if there is one.
    fn prefer_cache_within_demand(&self, now: Micros, caches: &mut [ServerId]) {
        let is_within = |n: &usize| self.relative_demand(caches[*n], now, 0.0) <= MAX_RELATIVE_DEMAND;
        if let Some(next) = (1..caches.len()).find(is_within) {
            caches[..=next].rotate_right(1);
        }
    }

    /// Returns the estimated demand for a cache relative to its share of the capacity; 0 for an unknown
    /// cache. `excluded` is a number of requests to leave out.
    fn relative_demand(&self, id: ServerId, now: Micros, excluded: f64) -> f64 {
        let Some(endpoint) = self.endpoints.get(id) else { return 0.0 };
        let capacity_share = endpoint.size(&self.settings) / self.endpoints.caches.total_weight();
        endpoint.demand.relative(self.objects.total_requests(now), capacity_share, excluded, now)
    }

    /// Returns whether a response from this cache would come too late to be of much use.
    pub(super) fn is_too_slow(&self, now: Micros, pending: &PendingRequest, cache: ServerId) -> bool {
        let class = self.service_times.get(pending.estimate);
        would_miss_objective(pending, class, self.congestion_of(cache), now)
    }

    /// Returns how many times longer than when idle a transfer from a cache takes. The estimate is this
    /// router's load there, raised by the slowdown of recent hits if the cache is an outlier. The latter
    /// detects a cache that answers all requests but sends slowly.
    fn congestion_of(&self, cache: ServerId) -> f64 {
        let load = self.endpoints.load(cache, &self.settings);
        let slowdown = self.congestion.relative_to_quickest(cache.0);
        slowdown.filter(|s| *s >= OUTLIER_SLOWDOWN).map_or(load, |slowdown| slowdown * load.max(1.0))
    }
}
