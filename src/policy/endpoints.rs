//! The endpoint table: the state of each server of the member list.

use crate::policy::fill_source::FillWindow;
use crate::policy::outlier_detection::Health;
use crate::policy::placement::Demand;
use crate::policy::rendezvous::{ServerPool, WeightedServer};
use crate::policy::slow_start::TokenBucket;
use crate::policy::types::{Member, MemberState, Micros, ServerId, Settings};
use std::collections::BTreeMap;

/// Capacity assumed for a server of unknown size, in concurrent transfers at full rate. A low estimate.
const DEFAULT_SIZE: f64 = 4.0;

/// A server of the member list, and this router's view of it.
pub(super) struct Endpoint {
    pub(super) member: Member,
    /// This router's attempts in flight at the server.
    pub(super) attempts_in_flight: u32,
    /// This router's fills in flight that name the server as their source.
    pub(super) fills_in_flight: u32,
    pub(super) demand: Demand,
    pub(super) health: Health,
    pub(super) fill_window: FillWindow,
    pub(super) slow_start: TokenBucket,
}

impl Endpoint {
    fn new(member: Member, fill_window: FillWindow, slow_start: TokenBucket) -> Self {
        Endpoint {
            member,
            attempts_in_flight: 0,
            fills_in_flight: 0,
            demand: Demand::default(),
            health: Health::default(),
            fill_window,
            slow_start,
        }
    }

    /// Resets health, failures of fills and slow start, because a new process runs on the server. What was
    /// known about the old process no longer holds.
    fn restarted(&mut self, slow_start: TokenBucket) {
        self.health.reset();
        self.fill_window.reset_failures();
        self.slow_start = slow_start;
    }

    pub(super) fn is_running(&self) -> bool {
        self.member.state == MemberState::Running
    }

    pub(super) fn is_parent(&self, settings: &Settings) -> bool {
        Some(self.member.kind) == settings.parent_kind
    }

    pub(super) fn is_origin(&self, settings: &Settings) -> bool {
        self.member.kind == settings.origin_kind
    }

    /// Returns the capacity in concurrent transfers at full rate; [`DEFAULT_SIZE`] if it is unknown.
    pub(super) fn size(&self, settings: &Settings) -> f64 {
        let registered = Some(self.member.size).filter(|size| settings.sizes_known && *size > 0.0);
        registered.unwrap_or(DEFAULT_SIZE)
    }

    /// Returns whether a request may be sent to the server now. An ejected server receives one probation
    /// request at a time.
    pub(super) fn is_available(&self, now: Micros) -> bool {
        self.is_running() && self.health.is_available(now)
    }

    /// Returns the estimated load: transfers in flight divided by the server's capacity. Every other router
    /// of its zone is assumed to have as many in flight as this one.
    pub(super) fn load(&self, settings: &Settings) -> f64 {
        let routers = settings.routers_by_zone.get(self.member.zone).copied().unwrap_or(1).max(1);
        f64::from(self.attempts_in_flight) * f64::from(routers) / self.size(settings)
    }
}

/// All known servers, and pools of the running ones.
#[derive(Default)]
pub(super) struct EndpointTable {
    endpoints: BTreeMap<ServerId, Endpoint>,
    /// The running caches of the router's zone.
    pub(super) caches: ServerPool,
    /// All running parents.
    pub(super) parents: ServerPool,
    pub(super) origin: Option<ServerId>,
    /// Number of updates of the member list so far. A stored hash order is valid for one version only.
    pub(super) list_version: u32,
}

impl EndpointTable {
    pub(super) fn get(&self, id: ServerId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: ServerId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(&id)
    }

    pub(super) fn is_available(&self, id: ServerId, now: Micros) -> bool {
        self.get(id).is_some_and(|endpoint| endpoint.is_available(now))
    }

    /// Returns the load of a server; 0 if the server is unknown.
    pub(super) fn load(&self, id: ServerId, settings: &Settings) -> f64 {
        self.get(id).map_or(0.0, |endpoint| endpoint.load(settings))
    }

    /// Returns the number of servers that receive no regular requests because they drain or are ejected.
    pub(super) fn excluded(&self) -> usize {
        let is_excluded = |endpoint: &&Endpoint| {
            endpoint.member.state == MemberState::Draining
                || endpoint.is_running() && endpoint.health.is_ejected()
        };
        self.endpoints.values().filter(is_excluded).count()
    }

    /// Begins a full update. Members that the update does not contain are removed at its end.
    pub(super) fn mark_all_gone(&mut self) {
        self.endpoints.values_mut().for_each(|endpoint| endpoint.member.state = MemberState::Gone);
    }

    /// Inserts or updates a member. Returns whether a known server has restarted. Slow start of a new process
    /// begins with the given bucket. A known server keeps its registered size.
    pub(super) fn update(&mut self, member: Member, slow_start: TokenBucket, settings: &Settings) -> bool {
        let Some(known) = self.endpoints.get_mut(&member.server) else {
            let is_origin = member.kind == settings.origin_kind;
            let window = if is_origin { FillWindow::for_origin(settings) } else { FillWindow::default() };
            self.endpoints.insert(member.server, Endpoint::new(member, window, slow_start));
            return false;
        };
        let restarted = member.started_at > known.member.started_at;
        if restarted {
            known.restarted(slow_start);
        }
        known.member = Member { size: known.member.size, ..member };
        restarted
    }

    /// Completes an update: removes servers that are gone and have nothing in flight, then rebuilds the
    /// pools.
    pub(super) fn rebuild_pools(&mut self, settings: &Settings) {
        self.endpoints.retain(|_, endpoint| {
            endpoint.member.state != MemberState::Gone
                || endpoint.attempts_in_flight + endpoint.fills_in_flight > 0
        });
        let (mut caches, mut parents, mut origin) = (Vec::new(), Vec::new(), None);
        for (id, endpoint) in self.endpoints.iter().filter(|(_, endpoint)| endpoint.is_running()) {
            let weighted = WeightedServer { id: *id, weight: endpoint.size(settings) };
            if endpoint.is_parent(settings) {
                parents.push(weighted);
            } else if endpoint.is_origin(settings) {
                origin = origin.or(Some(*id));
            } else if endpoint.member.zone == settings.zone {
                caches.push(weighted);
            }
        }
        self.caches = ServerPool::new(caches);
        self.parents = ServerPool::new(parents);
        self.origin = origin;
        self.list_version += 1;
    }
}

impl std::ops::Index<ServerId> for EndpointTable {
    type Output = Endpoint;

    /// Returns a server of one of the pools, which are always in the table. Panics for an unknown id.
    fn index(&self, id: ServerId) -> &Endpoint {
        &self.endpoints[&id]
    }
}
