//! What a router is configured with: classes of requests, topology, limits and capabilities of the platform.

use super::Micros;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    #[default]
    Idempotent,
    /// Carries an idempotency key, by which servers drop duplicates.
    IdempotencyKey {
        /// The servers that recognize a duplicate.
        scope: KeyScope,
        /// For how long, from the send of the first attempt that may have run.
        window: Micros,
    },
    /// Must not run twice.
    AtMostOnce,
}

/// The servers that recognize a duplicate by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    All,
    /// Those in the zone of the first attempt's server.
    Zone,
    /// Those in the cell of the first attempt's server.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Its name, for log lines only.
    pub name: String,
    /// A response within this time has full weight.
    pub latency_objective: Micros,
    /// The latency objective grows by this multiple of the request's own transfer time.
    pub objective_stretch: f64,
    /// The time after which a client gives up.
    pub deadline: Micros,
    /// Weight of a response within the latency objective.
    pub priority_weight: f64,
    /// Share of that weight for a later response.
    pub late_weight_share: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// How long a copy is fresh; 0 if until it is purged.
    pub freshness_lifetime: Micros,
    /// How long after that a stale copy may be served.
    pub stale_grace: Micros,
    /// Share of the weight for a response from a stale copy.
    pub stale_weight_share: f64,
    /// Requests run at the origin and responses are never cached.
    pub write: bool,
    /// No longer configured: only requests that arrived before belong to it.
    pub retired: bool,
}

/// Which caches may be the source of another cache's fill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Siblings {
    /// None.
    #[default]
    None,
    /// Those of the same zone.
    Zone,
    /// Any.
    Any,
}

/// How much responses tell of hits and fills.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CacheStatusLevel {
    /// Nothing.
    #[default]
    None,
    /// Whether a response was a hit, filled, collapsed or stale.
    Hit,
    /// Also how it was filled, why a fill failed, and how long it waited.
    All,
}

/// Capacity of a server that started lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartRule {
    /// Least share of its capacity that a server has at its start.
    pub initial_capacity_share: f64,
    /// Time after which it has all of its capacity.
    pub warm_up_time: Micros,
    /// The server fails when its load is over this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... during this time.
    pub overload_window: Micros,
}

/// The configuration of a router.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Classes of requests; a request names one by its index.
    pub classes: Vec<Class>,
    /// Kinds of servers.
    pub kinds: Vec<String>,
    /// Index in `kinds` of parents, if there are any.
    pub parent_kind: Option<usize>,
    /// Index in `kinds` of the origin.
    pub origin_kind: usize,
    /// Zones.
    pub zones: Vec<String>,
    /// Index in `zones` of this router.
    pub zone: usize,
    /// Number of routers in each zone; empty if only the total is known.
    pub routers_by_zone: Vec<u32>,
    /// Total number of routers.
    pub routers: u32,
    /// Capacity of the link into each zone, in KB a second; 0 or absent if unknown.
    pub zone_link_kb_per_s: Vec<f64>,
    /// Rate of one transfer to a client at full rate, in KB a second; 0 if unknown.
    pub transfer_kb_per_s: f64,
    /// Whether a member's size is its capacity in such transfers.
    pub sizes_known: bool,
    /// Whether the member list has to be polled.
    pub poll_members: bool,
    /// Whether attempts can be cancelled.
    pub can_cancel: bool,
    /// Whether two attempts of a request may be in flight together.
    pub hedging: bool,
    /// Whether rejected clients receive Retry-After.
    pub retry_after: bool,
    /// The longest Retry-After that clients obey.
    pub max_retry_after: Micros,
    /// Most attempts for a request; 0 for no limit.
    pub max_attempts: u32,
    /// Whether the router may send health checks.
    pub health_checks: bool,
    /// Whether routers may send messages to each other.
    pub peer_messages: bool,
    /// Names of the values in a load report.
    pub load_report: Vec<String>,
    /// Whether parents and the origin accept requests directly.
    pub direct_requests: bool,
    /// Whether a request can collapse into a running fill.
    pub request_collapsing: bool,
    /// Which caches may be the source of another cache's fill.
    pub siblings: Siblings,
    /// How much responses tell of hits and fills.
    pub cache_status_level: CacheStatusLevel,
    /// How long after the notice of its drain a server may still receive new requests.
    pub drain_grace: Micros,
    /// Capacity of a cache that started lately.
    pub cache_slow_start: SlowStartRule,
    /// Capacity of a parent that started lately.
    pub parent_slow_start: SlowStartRule,
    /// Time within which a purge has to be obeyed.
    pub purge_grace: Micros,
    /// Time after which servers have dropped purged copies by themselves.
    pub purge_complete_within: Micros,
}

impl Settings {
    /// Checks the indices that a router relies on.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.zone >= self.zones.len() {
            return Err(SettingsError::UnknownZone { zone: self.zone, zones: self.zones.len() });
        }
        match self.parent_kind {
            Some(kind) if kind >= self.kinds.len() => {
                Err(SettingsError::UnknownParentKind { kind, kinds: self.kinds.len() })
            }
            _ => Ok(()),
        }
    }

    /// The index of a class that is configured now.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| !c.retired && c.name == name)
    }

    /// `later` with its classes arranged so that indices stay valid for pending requests, which keep the
    /// rules of their class: an unchanged class keeps its index, a changed one gets a new index, and one that
    /// is not configured any more is retired. The index of a class that was retired before is used again once
    /// `in_use` is false for it, so that the table stays small.
    pub fn updated_to(&self, mut later: Settings, in_use: impl Fn(usize) -> bool) -> Settings {
        let mut classes: Vec<Class> =
            self.classes.iter().map(|c| Class { retired: true, ..c.clone() }).collect();
        let mut added = Vec::new();
        for class in std::mem::take(&mut later.classes) {
            let unchanged = |c: &&mut Class| c.retired && Class { retired: false, ..(**c).clone() } == class;
            match classes.iter_mut().find(unchanged) {
                Some(kept) => *kept = class,
                None => added.push(class),
            }
        }
        for class in added {
            // Only a class that an earlier update retired: a request read just before this update still has
            // one that is retired now.
            let is_free = |i: &usize| self.classes[*i].retired && classes[*i].retired && !in_use(*i);
            match (0..self.classes.len()).find(is_free) {
                Some(index) => classes[index] = class,
                None => classes.push(class),
            }
        }
        later.classes = classes;
        later
    }
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// No class of requests is configured.
    #[error("settings: no classes")]
    NoClasses,
    /// The router's zone is not an index of the zones.
    #[error("settings: own zone is not among the zones")]
    UnknownZone {
        /// The router's zone.
        zone: usize,
        /// The number of zones.
        zones: usize,
    },
    /// The parents' kind is not an index of the kinds.
    #[error("settings: parents' kind is not among the kinds")]
    UnknownParentKind {
        /// The parents' kind.
        kind: usize,
        /// The number of kinds.
        kinds: usize,
    },
}
