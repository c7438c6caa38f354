//! A run of many processes as data: who takes part, what is asked, and what goes wrong when.
//!
//! ```yaml
//! name: a cache dies
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

/// Most processes of one play.
pub const MAX_PROCESSES: usize = 700;
/// Most requests of one play.
pub const MAX_REQUESTS: f64 = 2_000_000.0;
/// Longest play, in seconds.
pub const MAX_SECONDS: f64 = 5_400.0;

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// Milliseconds of sending at full pace, on average.
    pub work_ms: f64,
    /// Milliseconds in which an answer is wanted, beside `stretch` times its own sending time.
    #[serde(rename = "aim_ms", alias = "objective_ms")]
    pub objective_ms: f64,
    /// See `aim_ms`.
    #[serde(default)]
    pub stretch: f64,
    /// Milliseconds after which the client gives up.
    #[serde(rename = "give_up_ms", alias = "deadline_ms")]
    pub deadline_ms: f64,
    /// Runs at the origin, and must never run twice.
    #[serde(default)]
    pub write: bool,
}

/// What goes wrong at a moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds after the load's start.
    pub at: f64,
    /// Seconds until it is over; none: not at all, or (of restarts) at once.
    #[serde(default, rename = "for")]
    pub lasts: Option<f64>,
    /// What is done.
    #[serde(rename = "do")]
    pub kind: FaultKind,
    /// Whom it meets: `cache-3`, `parents`, `directors 1-100`, `directors 1/3`, `origin-1`.
    #[serde(default)]
    pub who: String,
    /// The other end of a link: a server's name, or `board`.
    #[serde(default)]
    pub to: String,
    /// What is done to a link.
    #[serde(default, rename = "hurt", alias = "link_fault")]
    pub link_fault: LinkFault,
    /// A share of the requests (hot), of the groups (purge).
    #[serde(default)]
    pub share: f64,
    /// An object's number.
    #[serde(default)]
    pub object: u64,
    /// How many times slower.
    #[serde(default)]
    pub times: f64,
    /// The rule that a scenarioted fault breaks.
    #[serde(default)]
    pub breach: Option<RuleBreach>,
    /// The director whose operators tell of a drain, undrain or purge; none: the discovery service does.
    #[serde(default)]
    pub by: Option<String>,
    /// The share of messages that the gossip between directors loses; 1: all.
    #[serde(default)]
    pub lost: f64,
    /// And up to how many milliseconds late each comes.
    #[serde(default)]
    pub late_ms: u64,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// SIGKILL; started again when it is over, cold and empty.
    Kill,
    /// Not there before: a server starts cold and is listed then, a director starts then.
    Join,
    /// SIGSTOP; SIGCONT when it is over.
    Stall,
    /// A link faulty.
    Link,
    /// An object draws this share of all requests.
    Hot,
    /// The board and the servers are told of a purge: of an object, or of a share of all groups.
    Purge,
    /// The board tells that a server drains, or a director's operators do.
    Drain,
    /// A director's operators take that back.
    Undrain,
    /// What directors say to each other, between `who` and `to` both ways, is lost or late.
    #[serde(rename = "talk", alias = "gossip-link")]
    GossipLink,
    /// A server takes so many times as long.
    Slow,
    /// So many times the load.
    Burst,
    /// A server breaks a rule by itself, to show that the check finds it.
    Plant,
}

impl FaultKind {
    /// Whether a fault of this kind needs `who`.
    fn names_participants(self) -> bool {
        !matches!(self, FaultKind::Hot | FaultKind::Purge | FaultKind::Burst)
    }
}

/// Rules that can be broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RuleBreach {
    /// The server gives copies older than a purge, and than it was asked for.
    OldCopy,
    /// It drains, and no director is told.
    SecretDrain,
    /// It runs every write twice.
    #[serde(rename = "twice", alias = "duplicate-write")]
    DuplicateWrite,
    /// It says of each fill that it has the bytes of another object.
    OtherBytes,
    /// Clients of this director that leave are said to have left 0.2 s before they ask.
    AskedAfterLeave,
    /// It starts anew, cold and empty, and the list does not tell.
    SecretRestart,
}

/// All of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// What it is called.
    pub name: String,
    /// Processes of the director.
    pub directors: usize,
    /// Caches.
    pub caches: usize,
    /// Parents.
    pub parents: usize,
    /// Seconds of load.
    pub seconds: f64,
    /// Seconds of load before these, in which caches fill and nothing is measured.
    #[serde(rename = "settle", alias = "warm_up_seconds")]
    pub warm_up_seconds: f64,
    /// Requests a second over the fleet.
    pub rate: f64,
    /// Objects.
    pub objects: u64,
    /// How uneven their popularity is.
    pub zipf: f64,
    /// Transfers at full pace on a cache's link; sizes of single caches follow `uneven`.
    pub cache_link: f64,
    /// The smallest and largest cache are so far from the mean, as a share of it.
    pub uneven: f64,
    /// Transfers at full pace on a parent's link.
    pub parent_link: f64,
    /// What a cache keeps, as a share of all objects' bytes.
    pub cache_keeps: f64,
    /// Calls a second that the origin can answer.
    pub origin_rate: f64,
    /// This part of the directors sees `often` times what the others see.
    pub often_part: f64,
    /// See `often_part`.
    pub often: f64,
    /// The clients of this part of the requests leave, each at a moment drawn from those within
    /// `leave_within_ms` after its request, by closing or resetting its connection.
    pub leave: f64,
    /// See `leave`.
    pub leave_within_ms: f64,
    /// Each director hears of the list up to so many seconds late, always the same.
    pub list_late: f64,
    /// Directors gossip among themselves.
    pub peers: bool,
    /// The classes.
    pub classes: Vec<RequestClass>,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// Seed of all that is drawn.
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

/// Why a scenario can't be run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {what}")]
pub struct ScenarioError {
    /// The key, or the fault by its number from 1.
    pub place: String,
    /// What is wrong.
    pub what: String,
}

impl Scenario {
    /// Reads a scenario and checks it.
    pub fn read(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = serde_saphyr::from_str(text)
            .map_err(|e| ScenarioError { place: "plan".into(), what: e.to_string() })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Whether a rule is broken on purpose by, or for, this one at a moment.
    pub fn is_planted(&self, breach: RuleBreach, who: &str, at: f64) -> bool {
        let planted = |f: &&Fault| f.kind == FaultKind::Plant && f.breach == Some(breach) && at >= f.at;
        self.faults
            .iter()
            .filter(planted)
            .any(|f| self.resolve(&f.who).is_some_and(|whom| whom.contains(who)))
    }

    /// Everybody's name, by the group's.
    pub fn group(&self, name: &str) -> Option<(&'static str, usize)> {
        Some(match name {
            "director" | "directors" => ("director", self.directors),
            "cache" | "caches" => ("cache", self.caches),
            "parent" | "parents" => ("parent", self.parents),
            "origin" => ("origin", 1),
            _ => return None,
        })
    }

    /// Who is meant: one by its name, a group, a stretch of it by numbers (`directors 1-100`) or a part of it
    /// (`directors 1/3`: every third).
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
                let (some, of) = part.split_once('/')?;
                let (some, of) = (number(some)?, number(of).filter(|of| *of > 0)?);
                (1..=count).filter(|n| n % of < some).collect()
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
