//! Choice of the cache that serves a request.

use crate::policy::admission::would_miss_objective;
use crate::policy::estimators::hash::{mix, unit_interval};
use crate::policy::estimators::load_sharing::{excess_share, stochastic_round};
use crate::policy::requests::PendingRequest;
use crate::policy::retry::is_safe_attempt;
use crate::policy::router::Router;
use crate::policy::slow_start::SlowStart;
use crate::policy::types::{Micros, ServerId};

/// Most caches over which an object's parts are spread.
const MAX_CACHES_PER_OBJECT: usize = 3;
/// A cache whose demand is over this multiple of its share of the capacity passes requests on.
const MAX_RELATIVE_DEMAND: f64 = 1.25;
/// A cache whose hits take this multiple of the quickest cache's is slow, whatever this router has there.
const OUTLIER_SLOWDOWN: f64 = 2.0;

impl Router {
    /// Chooses the cache: the part's first among the object's three. For a hot object it is the less loaded
    /// of two drawn from as many of the three as the object's share of requests asks for, so that a fleet
    /// spreads it right though no router can be sure of the share.
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
        // Guards against shedding while one cache has more than its share and others have capacity.
        let in_time = |id: &ServerId| !pending.is_first_attempt() || !self.is_too_slow(now, pending, *id);
        caches.iter().copied().find(in_time).or(caches.first().copied())
    }

    /// The object's caches in the order of the part, then the next in hash order, without those that can't be
    /// used: ejected, overloaded, tried before, or warming up without tokens.
    fn usable_caches(&mut self, now: Micros, pending: &PendingRequest) -> Vec<ServerId> {
        let object = pending.request.object;
        let class_transfer_time = self.service_times.of_class(pending.request.class).transfer_time;
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
                && is_safe_attempt(&self.settings, &self.endpoints, pending, *id, now);
            is_usable
                && self
                    .endpoints
                    .get_mut(*id)
                    .is_some_and(|endpoint| slow_start.admits(endpoint, class_transfer_time, now))
        });
        caches
    }

    /// Moves the less loaded of two caches, drawn from these, to the front. Where this router has nothing in
    /// flight, as one of many, it is the one that got less of it lately.
    fn prefer_less_loaded(&self, now: Micros, caches: &mut [ServerId], draw: u64) {
        let width = caches.len();
        let one = (draw >> 8) as usize % width;
        let two = (one + 1 + (draw >> 16) as usize % (width - 1)) % width;
        let load =
            |id: ServerId| (self.endpoints.load(id, &self.settings), self.relative_demand(id, now, 0.0));
        let is_less = load(caches[two]) < load(caches[one]);
        caches[..=if is_less { two } else { one }].rotate_right(1);
    }

    /// Whether the object is one of the share that its first cache, which has too much demand, passes on: the
    /// same objects at every router.
    fn passes_on(&self, now: Micros, first: ServerId, pending: &PendingRequest) -> bool {
        let own_requests = pending.popularity.object_requests;
        let excess = excess_share(self.relative_demand(first, now, own_requests), MAX_RELATIVE_DEMAND);
        unit_interval(mix(pending.request.object.0, !u64::from(first.0))) < excess
    }

    /// Moves the next cache that has not too much demand to the front, if there is one.
    fn prefer_cache_within_demand(&self, now: Micros, caches: &mut [ServerId]) {
        let is_within = |n: &usize| self.relative_demand(caches[*n], now, 0.0) <= MAX_RELATIVE_DEMAND;
        if let Some(next) = (1..caches.len()).find(is_within) {
            caches[..=next].rotate_right(1);
        }
    }

    /// Estimated demand for a cache relative to its share of the capacity, without `excluded` requests.
    fn relative_demand(&self, id: ServerId, now: Micros, excluded: f64) -> f64 {
        let Some(endpoint) = self.endpoints.get(id) else { return 0.0 };
        let capacity_share = endpoint.size(&self.settings) / self.endpoints.caches.total_weight();
        endpoint.demand.relative(self.objects.total_requests(now), capacity_share, excluded, now)
    }

    /// Whether a response of this cache would come too late to be of much use.
    pub(super) fn is_too_slow(&self, now: Micros, pending: &PendingRequest, cache: ServerId) -> bool {
        let class = self.service_times.of_class(pending.request.class);
        would_miss_objective(pending, class, self.congestion_of(cache), now)
    }

    /// How many times as long as when idle a cache takes to send, by this router's transfers there and by its
    /// recent hits. Guards against a cache that answers all requests and sends slowly.
    fn congestion_of(&self, cache: ServerId) -> f64 {
        let load = self.endpoints.load(cache, &self.settings);
        let slowdown = self.congestion.relative_to_quickest(cache.0);
        slowdown.filter(|s| *s >= OUTLIER_SLOWDOWN).map_or(load, |slowdown| slowdown * load.max(1.0))
    }
}
