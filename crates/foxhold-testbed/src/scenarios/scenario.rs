//! A scenario as data: the processes that take part, the load, and the fault schedule.
//!
//! ```yaml
//! name: a cache is killed
//! directors: 200
//! caches: 24
//! seconds: 12
//! rate: 800
//! faults:
//!   - {at: 4, for: 4, do: kill, who: cache-3}
//!   - {at: 3, for: 5, do: link, who: "directors 1-66", to: cache-2, hurt: one-way}
//!   - {at: 2, do: hot, share: 0.25, object: 9001}
//! ```

mod checks;

use crate::faults::relay::LinkFault;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Largest number of processes in one run.
pub const MAX_PROCESSES: usize = 700;
/// Largest number of requests in one run.
pub const MAX_REQUESTS: f64 = 2_000_000.0;
/// Longest duration of the load, in seconds.
pub const MAX_SECONDS: f64 = 5_400.0;

/// A class of requests, with its share of the load and its latency objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// The class name in request URLs and in the report.
    pub name: String,
    /// Share of the requests, relative to the shares of the other classes.
    pub share: f64,
    /// Mean transfer time at full rate, in milliseconds.
    pub work_ms: f64,
    /// Latency objective in milliseconds, to which `stretch` times the transfer time is added.
    #[serde(rename = "aim_ms", alias = "objective_ms")]
    pub objective_ms: f64,
    /// Multiple of the transfer time that is added to `aim_ms`.
    #[serde(default)]
    pub stretch: f64,
    /// The client's deadline, in milliseconds.
    #[serde(rename = "give_up_ms", alias = "deadline_ms")]
    pub deadline_ms: f64,
    /// The request is executed at the origin and must not be executed more than once.
    #[serde(default)]
    pub write: bool,
}

/// An entry of the fault schedule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds after the start of the load.
    pub at: f64,
    /// Duration in seconds. `None`: a killed process restarts at once; any other fault lasts to the end of
    /// the run.
    #[serde(default, rename = "for")]
    pub lasts: Option<f64>,
    /// Kind of the fault.
    #[serde(rename = "do")]
    pub kind: FaultKind,
    /// Participants that are affected: `cache-3`, `parents`, `directors 1-100`, `directors 1/3`, `origin-1`.
    #[serde(default)]
    pub who: String,
    /// The other end of a link: participants, or `board` for the discovery service.
    #[serde(default)]
    pub to: String,
    /// The condition of a faulty link.
    #[serde(default, rename = "hurt", alias = "link_fault")]
    pub link_fault: LinkFault,
    /// Share of the requests (`hot`) or of the groups (`purge`).
    #[serde(default)]
    pub share: f64,
    /// Number of the object (`hot`, `purge`); 0 purges groups instead of an object.
    #[serde(default)]
    pub object: u64,
    /// Factor of the service time (`slow`) or of the load (`burst`).
    #[serde(default)]
    pub times: f64,
    /// The rule that a `plant` fault breaks.
    #[serde(default)]
    pub breach: Option<RuleBreach>,
    /// The director at whose admin endpoint a drain, undrain or purge is requested. `None`: the discovery
    /// service publishes it.
    #[serde(default)]
    pub by: Option<String>,
    /// Share of gossip messages that are lost; 1 loses all.
    #[serde(default)]
    pub lost: f64,
    /// Longest delay of a gossip message, in milliseconds.
    #[serde(default)]
    pub late_ms: u64,
}

/// Kinds of faults that a scenario can inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Kills processes (SIGKILL). They restart when the fault ends, cold and with an empty cache.
    Kill,
    /// Starts participants that did not run before: servers start cold and are then listed.
    Join,
    /// Stops processes (SIGSTOP), and continues them (SIGCONT) when the fault ends.
    Stall,
    /// Makes links faulty, as `hurt` says.
    Link,
    /// Directs this share of all requests to one object.
    Hot,
    /// Purges an object, or a share of all groups, at the directors and the servers.
    Purge,
    /// Drains servers, by the discovery service or by a director's admin endpoint.
    Drain,
    /// Removes a drain override at a director's admin endpoint.
    Undrain,
    /// Loses or delays gossip between `who` and `to`, in both directions.
    #[serde(rename = "talk", alias = "gossip-link")]
    GossipLink,
    /// Multiplies the service time of servers.
    Slow,
    /// Multiplies the load.
    Burst,
    /// Makes a participant break a rule, to show that the checks detect it.
    Plant,
}

impl FaultKind {
    /// Returns whether a fault of this kind needs `who`.
    fn names_participants(self) -> bool {
        !matches!(self, FaultKind::Hot | FaultKind::Purge | FaultKind::Burst)
    }
}

/// Rules that a `plant` fault can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RuleBreach {
    /// The server returns copies older than a purge and older than the request allows.
    OldCopy,
    /// The server drains without notifying the directors.
    SecretDrain,
    /// The server executes every write twice.
    #[serde(rename = "twice", alias = "duplicate-write")]
    DuplicateWrite,
    /// The server alters the last byte of each representation, as if it were of another object.
    OtherBytes,
    /// The director's clients that disconnect are recorded as having left 0.2 s before they send their
    /// requests.
    AskedAfterLeave,
    /// The server restarts cold and with an empty cache, and the discovery service does not report it.
    SecretRestart,
}

/// A scenario: participants, load and fault schedule. Missing keys have default values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Name of the scenario in reports.
    pub name: String,
    /// Number of director processes.
    pub directors: usize,
    /// Number of cache servers.
    pub caches: usize,
    /// Number of parent servers; at least two.
    pub parents: usize,
    /// Seconds of measured load.
    pub seconds: f64,
    /// Seconds of load before the measured load, in which caches fill.
    #[serde(rename = "settle", alias = "warm_up_seconds")]
    pub warm_up_seconds: f64,
    /// Requests a second, over all directors.
    pub rate: f64,
    /// Number of objects that clients request.
    pub objects: u64,
    /// Exponent of the Zipf distribution of object popularity.
    pub zipf: f64,
    /// Mean number of transfers that a cache's link carries at full rate; `uneven` spreads it over the
    /// caches.
    pub cache_link: f64,
    /// Largest deviation of a cache's `cache_link` from the mean, as a share of the mean.
    pub uneven: f64,
    /// Number of transfers that a parent's link carries at full rate.
    pub parent_link: f64,
    /// Memory of a cache, as a share of the bytes of all objects.
    pub cache_keeps: f64,
    /// Requests a second that the origin can serve.
    pub origin_rate: f64,
    /// Share of the directors that receive `often` times as many requests as the others.
    pub often_part: f64,
    /// Load of a director in `often_part`, as a multiple of that of another director.
    pub often: f64,
    /// Share of requests whose client closes or resets its connection, at a time drawn from the
    /// `leave_within_ms` after the request.
    pub leave: f64,
    /// Latest disconnect after a request, in milliseconds; see `leave`.
    pub leave_within_ms: f64,
    /// Longest delay of discovery events, in seconds. Each director has one fixed delay up to this.
    pub list_late: f64,
    /// Directors gossip with each other.
    pub peers: bool,
    /// Request classes of the load.
    pub classes: Vec<RequestClass>,
    /// The fault schedule.
    pub faults: Vec<Fault>,
    /// Seed of all random draws.
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Scenario {
        let class = |name: &str, share, work_ms, aim_ms, give_up_ms, write| RequestClass {
            name: name.into(),
            share,
            work_ms,
            objective_ms: aim_ms,
            stretch: if write { 0.0 } else { 2.0 },
            deadline_ms: give_up_ms,
            write,
        };
        Scenario {
            name: "calm".into(),
            directors: 20,
            caches: 24,
            parents: 3,
            seconds: 12.0,
            warm_up_seconds: 4.0,
            rate: 800.0,
            objects: 5_000,
            zipf: 0.9,
            cache_link: 6.0,
            uneven: 0.0,
            parent_link: 16.0,
            cache_keeps: 0.1,
            origin_rate: 400.0,
            often_part: 0.0,
            often: 1.0,
            leave: 0.0,
            leave_within_ms: 400.0,
            list_late: 0.0,
            peers: false,
            classes: vec![
                class("page-bits", 0.97, 40.0, 250.0, 3_000.0, false),
                class("filing-submit", 0.03, 4.0, 700.0, 3_000.0, true),
            ],
            faults: Vec::new(),
            seed: 1,
        }
    }
}

/// Reason why a scenario is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {what}")]
pub struct ScenarioError {
    /// The key, or the number of the fault, counted from 1.
    pub place: String,
    /// What was met, and what is allowed.
    pub what: String,
}

impl Scenario {
    /// Parses a scenario (YAML or JSON) and checks it.
    pub fn read(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = serde_saphyr::from_str(text)
            .map_err(|e| ScenarioError { place: "plan".into(), what: e.to_string() })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Returns whether a `plant` fault makes participant `who` break the rule at time `at`, in seconds of
    /// load.
    pub fn is_planted(&self, breach: RuleBreach, who: &str, at: f64) -> bool {
        let planted = |f: &&Fault| f.kind == FaultKind::Plant && f.breach == Some(breach) && at >= f.at;
        self.faults
            .iter()
            .filter(planted)
            .any(|f| self.resolve(&f.who).is_some_and(|participants| participants.contains(who)))
    }

    /// Returns the name prefix and the number of members of a group, or `None` if there is no such group.
    pub fn group(&self, name: &str) -> Option<(&'static str, usize)> {
        Some(match name {
            "director" | "directors" => ("director", self.directors),
            "cache" | "caches" => ("cache", self.caches),
            "parent" | "parents" => ("parent", self.parents),
            "origin" => ("origin", 1),
            _ => return None,
        })
    }

    /// Returns the participants that a text names: a single name, a group, a range of numbers (`directors
    /// 1-100`) or a fraction of a group (`directors 1/3`: every third). Returns `None` if it names an unknown
    /// one.
    pub fn resolve(&self, text: &str) -> Option<BTreeSet<String>> {
        let (name, numbers) = match text.split_once([' ', '-']) {
            Some((name, rest)) => (name, Some(rest.trim())),
            None => (text, None),
        };
        let (name, count) = self.group(name)?;
        let number = |t: &str| t.trim().parse::<usize>().ok();
        let numbers: Vec<usize> = match numbers {
            None => (1..=count).collect(),
            Some(part) if part.contains('/') => {
                let (part_size, of) = part.split_once('/')?;
                let (part_size, of) = (number(part_size)?, number(of).filter(|of| *of > 0)?);
                (1..=count).filter(|n| n % of < part_size).collect()
            }
            Some(span) => match span.split_once('-') {
                Some((first, last)) => (number(first)?..=number(last)?).collect(),
                None => vec![number(span)?],
            },
        };
        let known = numbers.iter().all(|n| (1..=count).contains(n));
        known.then(|| numbers.into_iter().map(|n| format!("{name}-{n}")).collect())
    }
}
