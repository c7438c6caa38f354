//! The interface of the decision module: settings, events, actions and the ids they carry.
//!
//! Times and durations are whole microseconds on the gateway's own clock; sizes are KB.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// What a wake-up asked for brings back; only the router reads it.
pub type TimerToken = u128;

/// A cache, a parent or the origin. The number says nothing of place, kind or age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// A request; never used twice in the life of a router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An object, the same for each of its parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectId(pub u64);

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated freely.
    #[default]
    Idempotent,
    /// Repeats are dropped within a scope and for a time.
    IdempotencyKey {
        /// Who drops repeats.
        scope: KeyScope,
        /// For how long, counted from the send of the first attempt that may have run.
        window: Micros,
    },
    /// Must never run twice.
    AtMostOnce,
}

/// The servers that drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All of them.
    All,
    /// Those in the zone of the server first asked.
    Zone,
    /// Those in the cell of the server first asked.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Its name, for log lines only.
    pub name: String,
    /// An answer within this time has its full worth.
    pub latency_objective: Micros,
    /// The aim grows by this multiple of the request's own sending time.
    pub objective_stretch: f64,
    /// The time in which a client gives up for good.
    pub deadline: Micros,
    /// Worth of an answer in time.
    pub priority_weight: f64,
    /// Share of the worth for a late answer.
    pub late_weight_share: f64,
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// How long a copy is fresh; 0: until it is purged.
    pub freshness_lifetime: Micros,
    /// How long past that it may still be served.
    pub stale_grace: Micros,
    /// Share of the worth of an answer from a copy past its fresh time.
    pub stale_weight_share: f64,
    /// Runs at the origin and is never kept.
    pub write: bool,
    /// No longer configured: only requests that came before have it.
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

/// What outcomes tell of hits and fills.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CacheStatusLevel {
    /// Nothing.
    #[default]
    None,
    /// Whether it was a hit, filled, joined or stale.
    Hit,
    /// Also the way of a fill, its failure and its waiting time.
    All,
}

/// Limits on servers that started lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartRule {
    /// Share of its capacity a server has at its start, at least.
    pub initial_capacity_share: f64,
    /// It has all of it after this time, at the latest.
    pub warm_up_time: Micros,
    /// It falls over at this multiple of its present capacity.
    pub overload_multiple: f64,
    /// Asked for that much during this time.
    pub overload_window: Micros,
}

/// The facts a router is told once, at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Classes of requests; a request names one by its place.
    pub classes: Vec<Class>,
    /// Kinds of servers.
    pub kinds: Vec<String>,
    /// Place in `kinds` of the parents, where there are any.
    pub parent_kind: Option<usize>,
    /// Place in `kinds` of the origin.
    pub origin_kind: usize,
    /// Zones.
    pub zones: Vec<String>,
    /// Place in `zones` of this router.
    pub zone: usize,
    /// Routers in each zone (empty: only the total is known).
    pub routers_by_zone: Vec<u32>,
    /// Routers in all.
    pub routers: u32,
    /// Capacity of the link into each zone, KB a second; 0 or absent: not told.
    pub zone_link_kb_per_s: Vec<f64>,
    /// KB a second of one transfer to a client at full pace; 0: not told.
    pub transfer_kb_per_s: f64,
    /// Whether a member's size counts such transfers.
    pub sizes_known: bool,
    /// Whether the member list must be asked for.
    pub poll_members: bool,
    /// Whether an attempt may be called off.
    pub can_cancel: bool,
    /// Whether two attempts of a request may be out together.
    pub hedging: bool,
    /// Whether clients hear when to return.
    pub retry_after: bool,
    /// The longest advice that a client follows.
    pub max_retry_after: Micros,
    /// Most attempts for a request; 0: no limit told.
    pub max_attempts: u32,
    /// Whether servers may be probed.
    pub health_checks: bool,
    /// Whether routers may send each other messages.
    pub peer_messages: bool,
    /// Names of the values in a load report.
    pub load_report: Vec<String>,
    /// Whether parents and the origin take requests straight.
    pub direct_requests: bool,
    /// Whether a request can join a fill under way.
    pub request_collapsing: bool,
    /// Which caches may fill others.
    pub siblings: Siblings,
    /// What outcomes tell.
    pub cache_status_level: CacheStatusLevel,
    /// Nothing new to a draining server later than this after its drain was told.
    pub drain_grace: Micros,
    /// What a cache that started lately can take.
    pub cache_slow_start: SlowStartRule,
    /// What a parent that started lately can take.
    pub parent_slow_start: SlowStartRule,
    /// Time to heed a purge.
    pub purge_grace: Micros,
    /// By then servers have dropped purged copies by themselves.
    pub purge_complete_within: Micros,
}

impl Settings {
    /// The place of a class that is configured now.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| !c.retired && c.name == name)
    }

    /// Takes later settings over. Open requests name their class by its place and keep its rules: a class
    /// that stayed as it was keeps its place, one with other rules gets a new one, and those not configured
    /// any more are retired. A retired place that no request has any more is used again, so that the table
    /// stays small.
    pub fn updated_to(&self, mut later: Settings, in_use: impl Fn(usize) -> bool) -> Settings {
        let mut classes: Vec<Class> =
            self.classes.iter().map(|c| Class { retired: true, ..c.clone() }).collect();
        let mut fresh = Vec::new();
        for class in std::mem::take(&mut later.classes) {
            match classes.iter_mut().find(|c| c.retired && Class { retired: false, ..(*c).clone() } == class)
            {
                Some(kept) => *kept = class,
                None => fresh.push(class),
            }
        }
        for class in fresh {
            // Its class was retired by an earlier change: a request read just before this one still has its
            // own.
            let free = |i: &usize| self.classes[*i].retired && classes[*i].retired && !in_use(*i);
            match (0..self.classes.len()).find(free) {
                Some(place) => classes[place] = class,
                None => classes.push(class),
            }
        }
        later.classes = classes;
        later
    }
}

/// Why settings were turned down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// Where a member is in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberState {
    /// Takes requests.
    #[default]
    Running,
    /// Finishes what it has; nothing new.
    Draining,
    /// Taken away.
    Gone,
}

/// An entry of the member list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Member {
    /// Which server.
    pub server: ServerId,
    /// Place in `zones`.
    pub zone: usize,
    /// Place in `kinds`.
    pub kind: usize,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: MemberState,
    /// Its registered size.
    pub size: f64,
    /// When it last started; 0: long ago.
    pub started_at: Micros,
}

/// What a member event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberUpdate {
    /// Only what changed.
    Incremental,
    /// The whole list.
    Full,
    /// The whole list as last held, perhaps out of date.
    Stale,
    /// No news: a call failed or the subscription broke.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Place in `classes`.
    pub class: usize,
    /// What it asks for.
    pub object: ObjectId,
    /// The part of it.
    pub part: u32,
    /// The object's group, which purges may name; none: not told, so that it may be any.
    pub group: Option<u32>,
    /// When this client gives up.
    pub deadline: Micros,
    /// Size in KB; 0: not told.
    pub size_kb: f64,
    /// A client's repeat, where clients mark it.
    pub is_retry: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error; it may have run.
    Failed,
    /// Turned away for want of room, here or at the source; it never ran.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectError,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
    /// Nothing suitable held there; it never ran.
    Miss,
}

impl Outcome {
    /// Whether it proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectError | Outcome::NotSent | Outcome::Miss)
    }
}

/// What an outcome tells of its copy or fill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CacheStatus {
    /// Nothing told.
    #[default]
    Unknown,
    /// Served from a copy.
    Hit,
    /// Filled.
    Filled,
    /// Filled by way of the origin.
    FilledFromOrigin,
    /// Joined a fill; with a miss: one is under way.
    Collapsed,
    /// From a copy past its fresh time.
    Stale,
    /// The source turned the fill away.
    SourceRejected,
    /// The source was not reached, broke off or ran out of time.
    SourceUnreachable,
    /// The source lacks the object.
    SourceMiss,
    /// No place for a fill at the cache.
    FillLimitReached,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Its request.
    pub request: RequestId,
    /// Its number: 0 for the request's first, then upwards.
    pub attempt: u32,
    /// Where it was sent.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since its send.
    pub elapsed: Micros,
    /// The request is over, by this or before.
    pub request_finished: bool,
    /// What is told of the copy.
    pub cache_status: CacheStatus,
    /// Time to the source's first byte or failure; 0: not told.
    pub source_wait: Micros,
    /// Load report, in the order of `Settings::report`; empty: none.
    pub load_report: Vec<f64>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the member list.
    Members {
        /// What `members` holds.
        kind: MemberUpdate,
        /// The entries.
        members: Vec<Member>,
    },
    /// A client's request came in.
    Request(Request),
    /// A streamed answer began: the attempt belongs to the client now.
    ResponseStarted {
        /// Its request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client left, or the final answer is overdue.
    ClientCancelled(RequestId),
    /// A wake-up asked for earlier.
    Timer(TimerToken),
    /// A probe ended.
    HealthChecked {
        /// Which server.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// Time since its send.
        elapsed: Micros,
        /// Load report; empty: none.
        load_report: Vec<f64>,
    },
    /// Another router's message.
    Message {
        /// Its number.
        from: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Other settings from now on, for requests to come; those that are open keep the old ones. Classes keep
    /// their places, see [`Settings::renewed`]; zones and kinds stay as they were.
    Settings(Box<Settings>),
    /// Copies older than this purge must not be served.
    Purged {
        /// One object, or all of the group.
        object: Option<ObjectId>,
        /// The group.
        group: u32,
        /// Time since the purge.
        age: Micros,
    },
}

/// How a miss is filled and what is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fill {
    /// A parent, the origin, another cache, or the server itself for no fill.
    pub source: ServerId,
    /// 0: keep no copy; 1 to 3: rank at which it is kept, low ranks leave first.
    pub cache_rank: u8,
    /// Oldest copy that will do; 0: the class's fresh time.
    pub max_age: Micros,
    /// Wait for a fill that runs already.
    pub collapse: bool,
    /// The source gives only what it holds.
    pub only_if_cached: bool,
    /// Serve an ageing copy and fetch it anew behind.
    pub revalidate: bool,
}

/// What the gateway is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Attempt {
        /// For this request.
        request: RequestId,
        /// To this server.
        server: ServerId,
        /// Time-out; 0: when the client gives up.
        timeout: Micros,
        /// The way of a fill; none: only what the server holds (the origin holds all).
        fill: Option<Fill>,
    },
    /// Call an attempt off.
    Cancel {
        /// Its request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: turned away, a new try does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// When to come back; 0: no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing promised.
    Fail(RequestId),
    /// Wake the router at or after this time.
    SetTimer {
        /// When.
        at: Micros,
        /// Comes back with the event.
        token: TimerToken,
    },
    /// Probe a server.
    HealthCheck(ServerId),
    /// Ask for changes of the member list from now on.
    Subscribe,
    /// Ask for the whole member list once.
    FetchMembers,
    /// Send a message to one router, or to all.
    SendMessage {
        /// Its number; none: all.
        to: Option<u32>,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// A line for the operators' log.
    Log(String),
}
