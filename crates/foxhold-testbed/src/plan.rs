//! A play of many processes as data: who takes part, what is asked, and what goes wrong when.
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

use crate::relay::LinkFault as Hurt;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Most processes of one play.
pub const MOST_PROCESSES: usize = 700;
/// Most requests of one play.
pub const MOST_REQUESTS: f64 = 2_000_000.0;
/// Longest play, in seconds.
pub const LONGEST: f64 = 5_400.0;

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPlan {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// Milliseconds of sending at full pace, on average.
    pub work_ms: f64,
    /// Milliseconds in which an answer is wanted, beside `stretch` times its own sending time.
    pub aim_ms: f64,
    /// See `aim_ms`.
    #[serde(default)]
    pub stretch: f64,
    /// Milliseconds after which the client gives up.
    pub give_up_ms: f64,
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
    pub what: What,
    /// Whom it meets: `cache-3`, `parents`, `directors 1-100`, `directors 1/3`, `origin-1`.
    #[serde(default)]
    pub who: String,
    /// The other end of a link: a server's name, or `board`.
    #[serde(default)]
    pub to: String,
    /// What is done to a link.
    #[serde(default)]
    pub hurt: Hurt,
    /// A share of the requests (hot), of the groups (purge).
    #[serde(default)]
    pub share: f64,
    /// An object's number.
    #[serde(default)]
    pub object: u64,
    /// How many times slower.
    #[serde(default)]
    pub times: f64,
    /// The rule that a planted fault breaks.
    #[serde(default)]
    pub breach: Option<Breach>,
    /// The director whose operators tell of a drain, undrain or purge; none: the board does.
    #[serde(default)]
    pub by: Option<String>,
    /// The share of messages that the talk between directors loses; 1: all.
    #[serde(default)]
    pub lost: f64,
    /// And up to how many milliseconds late each comes.
    #[serde(default)]
    pub late_ms: u64,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// SIGKILL; started again when it is over, cold and empty.
    Kill,
    /// Not there before: a server starts cold and is listed then, a director starts then.
    Join,
    /// SIGSTOP; SIGCONT when it is over.
    Stall,
    /// A link hurt.
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
    Talk,
    /// A server takes so many times as long.
    Slow,
    /// So many times the load.
    Burst,
    /// A server breaks a rule by itself, to show that the check finds it.
    Plant,
}

/// Rules that can be broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Breach {
    /// The server gives copies older than a purge, and than it was asked for.
    OldCopy,
    /// It drains, and no director is told.
    SecretDrain,
    /// It runs every write twice.
    Twice,
    /// It says of each fill that it has the bytes of another object.
    OtherBytes,
    /// Clients of this director that leave are said to have left 0.2 s before they ask.
    AskedAfterLeave,
    /// It starts anew, cold and empty, and the list does not tell.
    SecretRestart,
}

/// All of a play.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
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
    pub settle: f64,
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
    /// Directors talk among themselves.
    pub peers: bool,
    /// The classes.
    pub classes: Vec<ClassPlan>,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// Seed of all that is drawn.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Plan {
        let class = |name: &str, share, work_ms, aim_ms, give_up_ms, write| ClassPlan {
            name: name.into(),
            share,
            work_ms,
            aim_ms,
            stretch: if write { 0.0 } else { 2.0 },
            give_up_ms,
            write,
        };
        Plan {
            name: "calm".into(),
            directors: 20,
            caches: 24,
            parents: 3,
            seconds: 12.0,
            settle: 4.0,
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

/// Why a plan can't be played.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {what}")]
pub struct PlanError {
    /// The key, or the fault by its number from 1.
    pub place: String,
    /// What is wrong.
    pub what: String,
}

impl Plan {
    /// Reads a plan and checks it.
    pub fn read(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan = serde_saphyr::from_str(text)
            .map_err(|e| PlanError { place: "plan".into(), what: e.to_string() })?;
        plan.check()?;
        Ok(plan)
    }

    /// Whether it can be played.
    pub fn check(&self) -> Result<(), PlanError> {
        let error = |place: &str, what: String| Err(PlanError { place: place.into(), what });
        let processes = self.directors + self.caches + self.parents + 1;
        if processes > MOST_PROCESSES {
            return error("directors", format!("{processes} processes in all, {MOST_PROCESSES} at most"));
        }
        if !(0.1..=LONGEST).contains(&self.seconds) {
            return error("seconds", format!("{} is not between 0.1 and {LONGEST}", self.seconds));
        }
        if !(self.rate > 0.0 && self.rate * self.seconds <= MOST_REQUESTS) {
            return error("rate", format!("over all the time 1 to {MOST_REQUESTS} requests"));
        }
        for (key, good) in [
            ("directors", self.directors > 0),
            ("caches", self.caches > 0),
            ("settle", (0.0..=60.0).contains(&self.settle)),
            ("parents", self.parents > 1),
            ("objects", self.objects > 0),
            ("zipf", self.zipf > 0.0 && self.zipf.is_finite()),
            ("cache_link", self.cache_link > 0.0),
            ("uneven", (0.0..1.0).contains(&self.uneven)),
            ("parent_link", self.parent_link > 0.0),
            ("origin_rate", self.origin_rate > 0.0),
            ("list_late", (0.0..=10.0).contains(&self.list_late)),
            ("often_part", (0.0..=1.0).contains(&self.often_part)),
            ("leave", (0.0..=1.0).contains(&self.leave)),
            ("leave_within_ms", self.leave_within_ms > 0.0 && self.leave_within_ms.is_finite()),
            ("classes", !self.classes.is_empty() && self.classes.iter().all(|c| c.share >= 0.0)),
        ] {
            if !good {
                return error(key, "out of range".into());
            }
        }
        for (n, fault) in self.faults.iter().enumerate() {
            let place = format!("faults, number {}", n + 1);
            if !(0.0..=self.seconds).contains(&fault.at) {
                return error(&place, format!("at {} is outside of the play", fault.at));
            }
            let named = matches!(
                fault.what,
                What::Kill
                    | What::Join
                    | What::Stall
                    | What::Drain
                    | What::Undrain
                    | What::Talk
                    | What::Slow
                    | What::Link
                    | What::Plant
            );
            if named && self.whom(&fault.who).is_none_or(|w| w.is_empty()) {
                return error(&place, format!("who: nobody here is called '{}'", fault.who));
            }
            if fault.what == What::Plant && fault.breach.is_none() {
                return error(&place, "breach: the rule to break is missing".into());
            }
            let talks = fault.by.is_some() || matches!(fault.what, What::Talk | What::Undrain);
            if talks && !self.peers {
                return error(&place, "directors talk only where the plan says peers: true".into());
            }
            let one =
                |name: &String| self.whom(name).filter(|w| w.len() == 1 && name.starts_with("director"));
            if fault.by.as_ref().is_some_and(|by| one(by).is_none()) {
                return error(&place, "by: is not one director".into());
            }
            if fault.what == What::Undrain && fault.by.is_none() {
                return error(&place, "by: the director that is told is missing".into());
            }
            if fault.what == What::Talk && self.whom(&fault.to).is_none() {
                return error(&place, format!("to: nobody here is called '{}'", fault.to));
            }
            if fault.what == What::Link && fault.to != "board" && self.whom(&fault.to).is_none() {
                return error(&place, format!("to: nobody here is called '{}'", fault.to));
            }
        }
        Ok(())
    }

    /// Whether a rule is broken on purpose by, or for, this one at a moment.
    pub fn is_planted(&self, breach: Breach, who: &str, at: f64) -> bool {
        let planted = |f: &&Fault| f.what == What::Plant && f.breach == Some(breach) && at >= f.at;
        self.faults.iter().filter(planted).any(|f| self.whom(&f.who).is_some_and(|whom| whom.contains(who)))
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
    pub fn whom(&self, text: &str) -> Option<BTreeSet<String>> {
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_plan_is_read_and_its_names_are_found() {
        let plan = Plan::read(
            "name: x\ndirectors: 9\nfaults:\n  - {at: 4, for: 4, do: kill, who: cache-3}\n  \
             - {at: 3, for: 5, do: link, who: directors 1/3, to: cache-2, hurt: one-way}\n  \
             - {at: 3, do: link, who: directors 2-3, to: board, hurt: {delay: 20}}\n",
        )
        .expect("a plan");
        assert_eq!(plan.faults[1].hurt, Hurt::OneWay);
        assert_eq!(plan.faults[2].hurt, Hurt::Delay(20));
        assert_eq!(plan.whom("directors 1/3").map(|w| w.len()), Some(3));
        let two: Vec<_> = plan.whom("directors 2-3").into_iter().flatten().collect();
        assert_eq!(two, ["director-2", "director-3"]);
        assert_eq!(plan.whom("cache-25"), None);
        assert_eq!(Plan::read(&serde_json::to_string(&plan).expect("text")), Ok(plan));
    }

    #[test]
    fn what_can_t_be_played_is_refused_with_its_place() {
        for (text, place) in [
            ("directors: 900", "directors"),
            ("rate: 1e9", "rate"),
            ("seconds: 0", "seconds"),
            ("parents: 1", "parents"),
            ("leave: 1.1", "leave"),
            ("leave_within_ms: 0", "leave_within_ms"),
            ("faults: [{at: 99, do: burst}]", "faults, number 1"),
            ("faults: [{at: 1, do: kill, who: cache-99}]", "faults, number 1"),
            ("faults: [{at: 1, do: link, who: directors, to: nobody}]", "faults, number 1"),
            ("faults: [{at: 1, do: drain, who: cache-1, by: director-1}]", "faults, number 1"),
            ("peers: true\nfaults: [{at: 1, do: undrain, who: cache-1}]", "faults, number 1"),
            ("peers: true\nfaults: [{at: 1, do: talk, who: directors}]", "faults, number 1"),
            ("faults: [{at: 1, do: burn}]", "plan"),
            ("colour: red", "plan"),
        ] {
            assert_eq!(Plan::read(text).expect_err(text).place, place, "{text}");
        }
    }
}
