//! Sending attempts: the route, the fill that it asks for, and the capacity that it reserves.

use crate::policy::requests::{Attempt, PendingRequest, Route};
use crate::policy::retry::is_safe_attempt;
use crate::policy::router::Router;
use crate::policy::slow_start::SlowStart;
use crate::policy::timers::Timer;
use crate::policy::types::{Action, Fill, Micros, RequestId, ServerId};

/// A response is late when this share of the time from the send to the latency objective has passed.
const LATE_SHARE: f64 = 0.75;
/// Number of caches asked for a cached copy when no fill is allowed. More than one is asked because the parts
/// of an object, and hot objects, are cached at several.
const MAX_MISSES_WITHOUT_FILL: usize = 2;
/// Cache rank: the response is not cached.
const RANK_UNCACHED: u8 = 0;
/// Cache rank of an object that was requested once; evicted first.
const RANK_REQUESTED_ONCE: u8 = 1;
/// Cache rank of an object that was requested more than once.
const RANK_REQUESTED_REPEATEDLY: u8 = 2;

impl Router {
    /// Sends an attempt for a request. Returns whether a route was found.
    pub(super) fn send_attempt(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(mut pending) = self.requests.remove(id) else { return false };
        let route = self.select_route(now, &pending);
        if let Some(route) = &route {
            let fill = self.fill_for(now, &pending, route);
            let reserved_tokens = self.reserve_capacity(now, &pending, route);
            pending.attempts.push(Attempt::new(route, now, reserved_tokens));
            let late_at = now + (LATE_SHARE * pending.time_to_objective(now)) as Micros;
            actions.push(Action::SetTimer { at: late_at, token: Timer::ResponseLate(id).token() });
            actions.push(Action::Attempt { request: id, server: route.server, timeout: 0, fill });
        }
        self.requests.insert(pending);
        route.is_some()
    }

    /// Selects the route of the next attempt: through a cache of the zone, or directly to the source if no
    /// cache can be used. Writes go directly to the origin where the platform allows direct requests. Returns
    /// `None` if there is no route.
    fn select_route(&mut self, now: Micros, pending: &PendingRequest) -> Option<Route> {
        let direct_requests = pending.rules.settings().direct_requests;
        if pending.rules.class().write && direct_requests {
            if let Some(origin) = self.endpoints.origin.filter(|id| self.may_write_to(now, *id, pending)) {
                return Some(Route { server: origin, source: None, only_if_cached: false });
            }
        }
        if let Some(cache) = self.select_cache(now, pending) {
            return self.route_by_cache(now, pending, cache);
        }
        if !direct_requests {
            return None;
        }
        let source = self.select_source(now, pending).filter(|id| self.is_safe_attempt(now, *id, pending))?;
        Some(Route { server: source, source: Some(source), only_if_cached: false })
    }

    fn may_write_to(&self, now: Micros, origin: ServerId, pending: &PendingRequest) -> bool {
        let is_untried = pending.attempts.iter().all(|attempt| attempt.server != origin);
        is_untried && self.is_safe_attempt(now, origin, pending)
    }

    fn is_safe_attempt(&self, now: Micros, server: ServerId, pending: &PendingRequest) -> bool {
        is_safe_attempt(&self.endpoints, pending, server, now)
    }

    /// Returns the route through a cache, with a source for its fill if admission control allows a fill.
    /// Returns `None` if the cache would respond too late, or if no fill is allowed and enough caches have
    /// been asked for a cached copy.
    fn route_by_cache(&mut self, now: Micros, pending: &PendingRequest, cache: ServerId) -> Option<Route> {
        if pending.is_first_attempt() && self.is_too_slow(now, pending, cache) {
            return None;
        }
        let class_transfer_time = self.service_times.get(pending.estimate).transfer_time;
        let relative_size = class_transfer_time / self.service_times.max_transfer_time();
        // A write is never cached, so sending it without a source would be useless. Admission does not apply.
        let is_write = pending.rules.class().write;
        let link_admits = is_write || self.admission.admits_to_zone_link(relative_size, &mut self.random);
        let may_fill = is_write || link_admits && self.admission.admits_to_origin(&mut self.random);
        let source = if may_fill { self.select_source(now, pending) } else { None };
        let only_if_cached = source.is_none();
        let source = source.or_else(|| self.select_cached_source(now, pending).filter(|_| link_admits));
        let misses = pending.attempts.iter().filter(|attempt| attempt.missed).count();
        let may_hit = !only_if_cached || misses < MAX_MISSES_WITHOUT_FILL;
        may_hit.then_some(Route { server: cache, source, only_if_cached })
    }

    /// Returns the fill that an attempt asks for: source, cache rank and greatest acceptable age of a copy.
    /// Returns `None` for a write without a source.
    fn fill_for(&self, now: Micros, pending: &PendingRequest, route: &Route) -> Option<Fill> {
        let (request, class) = (&pending.request, pending.rules.class());
        if class.write && route.source.is_none() {
            return None;
        }
        let bypasses_cache = class.write || route.is_direct();
        let purge_age = self.purges.max_age(request.object.0, request.group, now);
        let max_age = self.max_copy_age(pending, route);
        let has_lifetime = class.freshness_lifetime > 0;
        let requested_before = pending.popularity.requested_before;
        let cache_rank = match (bypasses_cache, requested_before) {
            (true, _) => RANK_UNCACHED,
            (false, false) => RANK_REQUESTED_ONCE,
            (false, true) => RANK_REQUESTED_REPEATEDLY,
        };
        Some(Fill {
            source: route.source.unwrap_or(route.server),
            cache_rank,
            max_age: purge_age.map_or(max_age, |age| if max_age > 0 { age.min(max_age) } else { age }),
            collapse: pending.rules.settings().request_collapsing && purge_age.is_none() && !bypasses_cache,
            only_if_cached: route.only_if_cached && route.source.is_some(),
            revalidate: has_lifetime && requested_before && !bypasses_cache,
        })
    }

    /// Returns the greatest acceptable age of a copy according to the class; 0 for any age. Without a source,
    /// or after a source failed, a stale copy within the class's grace time is better than no response
    /// (stale-if-error, RFC 5861).
    fn max_copy_age(&self, pending: &PendingRequest, route: &Route) -> Micros {
        let class = pending.rules.class();
        let stale_if_error = class.freshness_lifetime > 0
            && (route.source.is_none() || pending.attempts.iter().any(|attempt| attempt.source_failed));
        if stale_if_error {
            class.freshness_lifetime.saturating_add(class.stale_grace)
        } else {
            class.freshness_lifetime
        }
    }

    /// Counts an attempt at its server and its source. Returns the slow-start tokens reserved at a source
    /// behind a cache; 0 without such a source.
    fn reserve_capacity(&mut self, now: Micros, pending: &PendingRequest, route: &Route) -> f64 {
        let slow_start = SlowStart { settings: &self.settings, service_times: &self.service_times };
        let class_transfer_time = self.service_times.get(pending.estimate).transfer_time;
        let transfer_time = if route.is_direct() { pending.transfer_time } else { class_transfer_time };
        if let Some(server) = self.endpoints.get_mut(route.server) {
            slow_start.spend(server, transfer_time, now);
            server.attempts_in_flight += 1;
            server.health.request_sent(now);
        }
        let Some(source) = route.source else { return 0.0 };
        if let Some(endpoint) = self.endpoints.get_mut(source) {
            if !route.is_direct() {
                slow_start.spend(endpoint, pending.transfer_time, now);
            }
            endpoint.fills_in_flight += 1;
            endpoint.health.request_sent(now);
        }
        if route.is_direct() {
            0.0
        } else {
            pending.transfer_time
        }
    }
}
