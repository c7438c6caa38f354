//! The configuration of a router: request classes, topology, limits and capabilities of the platform.

use super::Micros;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    #[default]
    Idempotent,
    /// Carries an idempotency key, by which servers recognize and drop duplicates.
    IdempotencyKey {
        /// The servers that recognize a duplicate.
        scope: KeyScope,
        /// How long they recognize it, in microseconds from sending the first attempt that may have run.
        window: Micros,
    },
    /// Must not run twice.
    AtMostOnce,
}

/// The servers that recognize a duplicate by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every server.
    All,
    /// Servers in the zone of the first attempt's server.
    Zone,
    /// Servers in the cell of the first attempt's server.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Identifies the class in requests, log lines and metrics. The policy uses it only to keep its estimates
    /// when the settings change.
    pub name: String,
    /// A response within this time, in microseconds, has full weight.
    pub latency_objective: Micros,
    /// Multiple of the request's own transfer time that is added to the latency objective.
    pub objective_stretch: f64,
    /// Time after which a client gives up, in microseconds from the arrival of the request.
    pub deadline: Micros,
    /// Weight of a response within the latency objective.
    pub priority_weight: f64,
    /// Share of `priority_weight` that a later response has.
    pub late_weight_share: f64,
    /// Decides which attempts may follow one that may have run.
    pub idempotency: Idempotency,
    /// How long a copy is fresh, in microseconds; 0 if it stays fresh until it is purged.
    pub freshness_lifetime: Micros,
    /// How long after `freshness_lifetime` a stale copy may still be served, in microseconds.
    pub stale_grace: Micros,
    /// Share of the weight that a response from a stale copy has.
    pub stale_weight_share: f64,
    /// Whether requests run at the origin and responses are never cached.
    pub write: bool,
}

/// Which caches may be the source of another cache's fill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Siblings {
    /// Fills come from parents and the origin only.
    #[default]
    None,
    /// Caches in the same zone as the filled one.
    Zone,
    /// Caches in all zones.
    Any,
}

/// The detail in which responses report their cache status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CacheStatusLevel {
    /// Responses report no cache status.
    #[default]
    None,
    /// Whether a response was a hit, filled, collapsed or stale.
    Hit,
    /// As `Hit`, and how the response was filled, why a fill failed and how long it waited for the source.
    All,
}

/// The capacity of a server during slow start, which grows linearly with the time since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartRule {
    /// Minimum share of its full capacity that a server has at its start, from 0 to 1.
    pub initial_capacity_share: f64,
    /// Time after the start at which the server has its full capacity, in microseconds.
    pub warm_up_time: Micros,
    /// The server fails if its load exceeds this multiple of its present capacity for `overload_window`.
    pub overload_multiple: f64,
    /// How long a load above `overload_multiple` makes the server fail, in microseconds.
    pub overload_window: Micros,
}

/// The configuration of a router.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Request classes; [`Request::class`](super::Request::class) is an index in this list. Their order may
    /// differ from that in earlier settings.
    pub classes: Vec<Class>,
    /// Names of the kinds of servers; [`Member::kind`](super::Member::kind) is an index in this list.
    pub kinds: Vec<String>,
    /// Index in `kinds` of the parents; `None` if the platform has no parents.
    pub parent_kind: Option<usize>,
    /// Index in `kinds` of the origin.
    pub origin_kind: usize,
    /// Names of the zones; [`Member::zone`](super::Member::zone) is an index in this list.
    pub zones: Vec<String>,
    /// Index in `zones` of this router's zone.
    pub zone: usize,
    /// Number of routers in each zone, in the order of `zones`; empty if only the total is known.
    pub routers_by_zone: Vec<u32>,
    /// Number of routers in all zones, including this one.
    pub routers: u32,
    /// Capacity of the link into each zone, in KB/s and in the order of `zones`; 0 or absent if unknown.
    pub zone_link_kb_per_s: Vec<f64>,
    /// Full rate of one transfer to a client, in KB/s; 0 if unknown.
    pub transfer_kb_per_s: f64,
    /// Whether [`Member::size`](super::Member::size) is the server's capacity in such transfers.
    pub sizes_known: bool,
    /// Whether the member list has to be polled, by [`Action::Subscribe`](super::Action::Subscribe);
    /// otherwise changes are pushed.
    pub poll_members: bool,
    /// Whether the platform can cancel an attempt.
    pub can_cancel: bool,
    /// Whether two attempts of a request may be in flight at the same time (hedged requests).
    pub hedging: bool,
    /// Whether clients of rejected requests receive Retry-After.
    pub retry_after: bool,
    /// Longest Retry-After that clients obey, in microseconds.
    pub max_retry_after: Micros,
    /// Maximum number of attempts for a request; 0 for no limit.
    pub max_attempts: u32,
    /// Whether the router may send health checks.
    pub health_checks: bool,
    /// Whether routers may send messages to each other.
    pub peer_messages: bool,
    /// Names of the values in a load report, in their order there.
    pub load_report: Vec<String>,
    /// Whether parents and the origin accept requests that do not come through a cache.
    pub direct_requests: bool,
    /// Whether a request can collapse into a running fill.
    pub request_collapsing: bool,
    /// Which caches may be the source of another cache's fill.
    pub siblings: Siblings,
    /// The detail in which responses report their cache status.
    pub cache_status_level: CacheStatusLevel,
    /// How long a server may still receive new requests after its drain was announced, in microseconds.
    pub drain_grace: Micros,
    /// Limits the capacity of a cache after its start.
    pub cache_slow_start: SlowStartRule,
    /// Limits the capacity of a parent after its start.
    pub parent_slow_start: SlowStartRule,
    /// Time within which a purge has to be applied, in microseconds.
    pub purge_grace: Micros,
    /// Time after which servers have dropped purged copies without the routers' help, in microseconds.
    pub purge_complete_within: Micros,
}

impl Settings {
    /// Checks that there is a class, and that `zone` and `parent_kind` are valid indices.
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

    /// Returns the index of the class with this name, or `None` if there is none.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }
}

/// The reason why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// No class of requests is configured.
    #[error("settings: no request classes are configured")]
    NoClasses,
    /// The router's zone is not a valid index in the list of zones.
    #[error("settings: index {zone} of the router's zone is out of range for {zones} zones")]
    UnknownZone {
        /// Value of [`Settings::zone`].
        zone: usize,
        /// Length of [`Settings::zones`].
        zones: usize,
    },
    /// The parents' kind is not a valid index in the list of kinds.
    #[error("settings: index {kind} of the parents' kind is out of range for {kinds} kinds")]
    UnknownParentKind {
        /// Value of [`Settings::parent_kind`].
        kind: usize,
        /// Length of [`Settings::kinds`].
        kinds: usize,
    },
}
