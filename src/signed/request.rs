//! What the second front makes of a checked request, and how it words an answer: shared by the daemon's
//! listener and the middleware.

use super::{Denied, Grant};
use crate::dispatch::request::{is_name, Answer, Ask, Cause};
use crate::policy::types::Settings;
use bytes::Bytes;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Why a checked request is for nothing that is here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unfit {
    /// The status.
    pub status: u16,
    /// With 405: the method that would do.
    pub allow: Option<&'static str>,
}

const fn unfit(status: u16) -> Unfit {
    Unfit { status, allow: None }
}

/// Reads `/CLASS/OBJECT`, the object's name with as many slashes as it has, and the parameters `block` (the
/// part) and `family` (the group).
pub fn ask(
    settings: &Settings,
    method: &str,
    grant: &Grant,
    id: Arc<str>,
    known: Option<&str>,
    body: Bytes,
) -> Result<Ask, Unfit> {
    let (path, query) = grant.target.split_once('?').unwrap_or((&grant.target, ""));
    let (class, object) = path.strip_prefix('/').and_then(|p| p.split_once('/')).ok_or(unfit(404))?;
    let class = settings.class(class).ok_or(unfit(404))?;
    let facts = &settings.classes[class];
    let needed = if facts.write { "PUT" } else { "GET" };
    if method != needed {
        return Err(Unfit { status: 405, allow: Some(needed) });
    }
    // An object has one name: no other path leads to it.
    if object.split('/').any(|segment| matches!(segment, "" | "." | "..")) {
        return Err(unfit(400));
    }
    // The line protocol sets fields apart with these.
    let object = object.replace(',', "%2C").replace('=', "%3D");
    if !is_name(&object) {
        return Err(unfit(400));
    }
    let (mut part, mut group) = (None, None);
    for parameter in query.split('&').filter(|p| !p.is_empty()) {
        let (name, value) = parameter.split_once('=').ok_or(unfit(400))?;
        let place = match name {
            "block" => &mut part,
            "family" => &mut group,
            _ => return Err(unfit(400)),
        };
        if place.replace(value.parse::<u32>().map_err(|_| unfit(400))?).is_some() {
            return Err(unfit(400));
        }
    }
    Ok(Ask {
        id,
        class,
        object: object.into(),
        part,
        group,
        allow: Duration::from_micros(facts.deadline),
        known: known.filter(|tag| is_name(tag)).map(Into::into),
        body,
        valid_until: grant.valid_until,
        ..Ask::default()
    })
}

/// An answer as this front words it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Worded {
    /// The status.
    pub status: u16,
    /// Under what it is counted.
    pub outcome: &'static str,
    /// Whole seconds to stay away, for `Retry-After`.
    pub retry_after: Option<u64>,
    /// The copy's tag, without quotes.
    pub tag: Option<Arc<str>>,
    /// The bytes.
    pub body: Bytes,
}

/// The one place where this front's outcomes become statuses.
pub fn word(answer: Result<Answer, Denied>) -> Worded {
    let plain = |status, outcome| Worded { status, outcome, ..Worded::default() };
    let seconds = |wait: Option<Duration>| wait.map_or(1, |w| w.as_millis().div_ceil(1000).max(1) as u64);
    match answer {
        Ok(Answer::Served(copy)) => Worded { tag: copy.tag, body: copy.body, ..plain(200, "served") },
        Ok(Answer::Unchanged(tag)) => Worded { tag, ..plain(304, "unchanged") },
        Ok(Answer::Refused { wait, cause }) => match cause {
            Cause::Busy => Worded { retry_after: Some(seconds(wait)), ..plain(503, "refused") },
            Cause::Upstream | Cause::Duplicate | Cause::Ended => {
                Worded { retry_after: Some(seconds(wait)), ..plain(502, "upstream") }
            }
            Cause::Deadline => plain(504, "deadline"),
            Cause::Expired => plain(403, Denied::Expired.reason()),
        },
        Ok(Answer::Failed(Cause::Deadline)) => plain(504, "deadline"),
        // It may have run: a 403 would say that it did not.
        Ok(Answer::Failed(Cause::Expired)) => plain(504, "expired_unknown"),
        // Ids on this front are the core's own, so that no two are alike.
        Ok(Answer::Failed(Cause::Busy | Cause::Upstream | Cause::Duplicate | Cause::Ended)) => {
            plain(502, "upstream")
        }
        Err(denied) => plain(403, denied.reason()),
    }
}

const OUTCOMES: [&str; 11] = [
    "served",
    "unchanged",
    "forged",
    "expired",
    "not_yet_valid",
    "malformed",
    "refused",
    "upstream",
    "deadline",
    "expired_unknown",
    "bad_request",
];

/// How often each outcome came.
#[derive(Debug, Default)]
pub struct Counts([AtomicU64; OUTCOMES.len()]);

impl Counts {
    /// Counts one outcome, by the word of [`Worded`].
    pub fn add(&self, outcome: &str) {
        if let Some(place) = OUTCOMES.iter().position(|o| *o == outcome) {
            self.0[place].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// How often an outcome came.
    pub fn get(&self, outcome: &str) -> u64 {
        let place = OUTCOMES.iter().position(|o| *o == outcome);
        place.map_or(0, |place| self.0[place].load(Ordering::Relaxed))
    }

    /// All of them, in Prometheus' text format.
    pub fn exposition(&self) -> String {
        let mut text = "# HELP foxhold_signed_responses_total Answers of the signed front by outcome.\n\
                        # TYPE foxhold_signed_responses_total counter\n"
            .to_owned();
        for outcome in OUTCOMES {
            let count = self.get(outcome);
            text.push_str(&format!("foxhold_signed_responses_total{{outcome=\"{outcome}\"}} {count}\n"));
        }
        text
    }
}
