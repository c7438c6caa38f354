//! Selection of the source of a fill: an object's two parents, residency estimates, concurrency windows.

use crate::policy::requests::PendingRequest;
use crate::policy::router::Router;
use crate::policy::slow_start::SlowStart;
use crate::policy::types::{Micros, ServerId, Settings};

/// A parent that cached a copy is estimated to hold it for this long.
const RESIDENCY_TTL: Micros = 30_000_000;
/// The second parent is chosen when the first has more than this multiple of the second's fills.
const PARENT_IMBALANCE_RATIO: f64 = 1.5;
/// Number of parents that may fill an object.
const PARENTS_PER_OBJECT: usize = 2;
/// Largest concurrency window: fills of one router in flight from one source.
const MAX_FILL_WINDOW: f64 = 64.0;
/// Initial concurrency window of the origin: fills of all routers together in flight.
const DEFAULT_ORIGIN_WINDOW: f64 = 48.0;
/// Smallest concurrency window. It is above 0 so that the source is tried again.
const MIN_FILL_WINDOW: f64 = 0.1;
/// A bad fill (late or failed) shrinks the window to this share of the fills in flight, if
/// [`MAX_BAD_FILL_SHARE`] is exceeded.
const WINDOW_DECREASE_FACTOR: f64 = 0.7;
/// Largest share of bad fills among recent ones at which a window does not shrink: some fills are late only
/// because of their size.
const MAX_BAD_FILL_SHARE: f64 = 0.35;
/// Weight of the latest fill in the running share of bad fills.
const FILL_OBSERVATION_WEIGHT: f64 = 0.1;
/// Amount that a fill in time adds to a window. For a window below 1 it is multiplied by the window.
const WINDOW_INCREASE: f64 = 0.3;

/// How a fill ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FillResult {
    InTime,
    Late,
    Failed,
}

/// A concurrency window: limits this router's fills in flight from one source. It protects the origin, and
/// sources that are overloaded by other routers, which this router's own fills in flight do not show.
pub(super) struct FillWindow {
    limit: f64,
    /// Number of fills that failed since the last one that did not.
    consecutive_failures: u32,
    /// Running share of late and failed fills.
    bad_share: f64,
}

impl Default for FillWindow {
    fn default() -> Self {
        FillWindow { limit: MAX_FILL_WINDOW, consecutive_failures: 0, bad_share: 0.0 }
    }
}

impl FillWindow {
    /// Creates the window of the origin: this router's equal share of [`DEFAULT_ORIGIN_WINDOW`].
    pub(super) fn for_origin(settings: &Settings) -> Self {
        let routers = f64::from(settings.routers.max(1));
        FillWindow { limit: DEFAULT_ORIGIN_WINDOW / routers, ..FillWindow::default() }
    }

    /// Resets the count of failures, because another process now runs on the source.
    pub(super) fn reset_failures(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Returns the fill load of the source: its fills in flight plus its consecutive failures.
    pub(super) fn fill_load(&self, in_flight: u32) -> f64 {
        f64::from(in_flight + self.consecutive_failures)
    }

    /// Returns whether one more fill may start. The random `draw`, in [0, 1), decides on the fractional part
    /// of the window: with many routers, even one fill from each may be too much.
    fn admits(&self, in_flight: u32, draw: f64) -> bool {
        f64::from(in_flight) + draw < self.limit
    }

    /// Records how a fill ended. A fill in time widens the window; a late or failed one narrows it if too
    /// many of the recent fills were bad.
    pub(super) fn record(&mut self, result: FillResult, in_flight: u32) {
        let is_bad = result != FillResult::InTime;
        let failed = result == FillResult::Failed;
        self.consecutive_failures = if failed { self.consecutive_failures + 1 } else { 0 };
        self.bad_share += FILL_OBSERVATION_WEIGHT * (f64::from(u8::from(is_bad)) - self.bad_share);
        if !is_bad {
            self.limit = (self.limit + WINDOW_INCREASE * self.limit.min(1.0)).min(MAX_FILL_WINDOW);
        } else if self.bad_share > MAX_BAD_FILL_SHARE {
            let used = self.limit.min(f64::from(in_flight + 1));
            self.limit = (used * WINDOW_DECREASE_FACTOR).max(MIN_FILL_WINDOW);
        }
    }
}

/// A parent that cached a copy, and when.
#[derive(Clone, Copy, Default)]
struct Resident {
    parent: ServerId,
    filled_at: Micros,
}

/// The parents estimated to hold a copy of one object.
#[derive(Default)]
pub(super) struct ResidencyEstimate {
    parents: [Resident; PARENTS_PER_OBJECT],
}

impl ResidencyEstimate {
    /// Records that a parent cached a copy. Replaces the parent's earlier record, or else the oldest one.
    pub(super) fn record_fill(&mut self, parent: ServerId, now: Micros) {
        let [first, second] = &self.parents;
        let replaces_first =
            first.parent == parent || (second.parent != parent && first.filled_at <= second.filled_at);
        self.parents[usize::from(!replaces_first)] = Resident { parent, filled_at: now };
    }

    /// Returns whether a parent is estimated to hold a copy. A copy cached before `started_at`, the start of
    /// the parent's present process, does not count.
    fn is_resident(&self, parent: ServerId, started_at: Micros, now: Micros) -> bool {
        self.parents.iter().any(|resident| {
            resident.filled_at > started_at
                && resident.parent == parent
                && now.saturating_sub(resident.filled_at) <= RESIDENCY_TTL
        })
    }
}

impl Router {
    /// Selects the source of a fill: one of the object's two parents, or the origin as the last choice. A
    /// parent that can't be used is replaced by the next in hash order. A parent whose window is full is not:
    /// a third parent would have to fetch the same object again, so the origin is chosen if both windows are
    /// full.
    pub(super) fn select_source(&mut self, now: Micros, pending: &PendingRequest) -> Option<ServerId> {
        let origin = self.endpoints.origin;
        if pending.rules.class().write {
            return origin;
        }
        let mut sources = self.parents_in_hash_order(now, pending);
        if let [first, second, ..] = sources[..] {
            if self.prefers_second_parent(now, pending, first, second) {
                sources.swap(0, 1);
            }
        }
        sources.retain(|id| pending.may_use_source(*id) && self.can_fill(now, *id, pending));
        sources.truncate(PARENTS_PER_OBJECT);
        sources
            .extend(origin.filter(|id| pending.may_use_source(*id) && self.endpoints.is_available(*id, now)));
        sources.into_iter().find(|id| self.has_fill_capacity(now, *id))
    }

    /// Selects the object's first parent to serve only what it has cached. This needs no fill capacity at the
    /// parent and puts no load on the origin. Returns `None` for a write, after the first attempt, or if the
    /// parent can't be used.
    pub(super) fn select_cached_source(&mut self, now: Micros, pending: &PendingRequest) -> Option<ServerId> {
        let first = *self.parents_in_hash_order(now, pending).first()?;
        let is_eligible = !pending.rules.class().write
            && pending.is_first_attempt()
            && !self.endpoints[first].health.is_overloaded(now);
        (is_eligible && self.can_fill(now, first, pending)).then_some(first)
    }

    fn parents_in_hash_order(&mut self, now: Micros, pending: &PendingRequest) -> Vec<ServerId> {
        let object = pending.request.object;
        let order = &mut self.objects.entry(object, now).parent_order;
        order.candidates(object, &self.endpoints.parents, self.endpoints.list_version)
    }

    /// Returns whether the second parent should fill instead of the first: the object is hot or estimated to
    /// be cached at the second, and the first has clearly more fills.
    fn prefers_second_parent(
        &mut self,
        now: Micros,
        pending: &PendingRequest,
        first: ServerId,
        second: ServerId,
    ) -> bool {
        let size = self.endpoints[first].size(&self.settings);
        let wanted = pending.popularity.wanted_servers(size, self.endpoints.parents.total_weight());
        let started_at = self.endpoints[second].member.started_at;
        let may_use_second = wanted >= 1.0
            || self.objects.entry(pending.request.object, now).residency.is_resident(second, started_at, now);
        let fill_load = |id: ServerId| {
            let endpoint = &self.endpoints[id];
            endpoint.fill_window.fill_load(endpoint.fills_in_flight)
        };
        may_use_second && fill_load(first) > PARENT_IMBALANCE_RATIO * fill_load(second)
    }

    /// Returns whether a source is available and, if it is in slow start, may take the request's transfer.
    fn can_fill(&mut self, now: Micros, id: ServerId, pending: &PendingRequest) -> bool {
        let slow_start = SlowStart { settings: &self.settings, service_times: &self.service_times };
        self.endpoints.get_mut(id).is_some_and(|endpoint| {
            endpoint.is_available(now) && slow_start.admits(endpoint, pending.transfer_time, now)
        })
    }

    /// Returns whether a source has capacity for one more fill from this router.
    fn has_fill_capacity(&mut self, now: Micros, id: ServerId) -> bool {
        let draw = self.random.next_unit();
        self.endpoints.get(id).is_some_and(|endpoint| {
            !endpoint.health.is_overloaded(now) && endpoint.fill_window.admits(endpoint.fills_in_flight, draw)
        })
    }

    /// Records how a fill from a source ended in the window of that source.
    pub(super) fn record_fill(&mut self, source: ServerId, result: FillResult) {
        if let Some(endpoint) = self.endpoints.get_mut(source) {
            endpoint.fill_window.record(result, endpoint.fills_in_flight);
        }
    }
}
