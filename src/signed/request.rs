//! What the second front makes of a checked request, and how it words an answer: shared by the daemon's
//! listener and the middleware.

use super::{CredentialError, Grant};
use crate::dispatch::request::{is_name, ClientRequest, ClientResponse, FailureReason};
use crate::policy::types::Settings;
use bytes::Bytes;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Why a checked request is for nothing that is here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRequest {
    /// The status.
    pub status: u16,
    /// With 405: the method that would do.
    pub allowed_method: Option<&'static str>,
}

const fn unfit(status: u16) -> InvalidRequest {
    InvalidRequest { status, allowed_method: None }
}

/// Reads `/CLASS/OBJECT`, the object's name with as many slashes as it has, and the parameters `block` (the
/// part) and `family` (the group).
pub fn parse_request(
    settings: &Settings,
    method: &str,
    grant: &Grant,
    id: Arc<str>,
    known: Option<&str>,
    body: Bytes,
) -> Result<ClientRequest, InvalidRequest> {
    let (path, query) = grant.target.split_once('?').unwrap_or((&grant.target, ""));
    let (class, object) = path.strip_prefix('/').and_then(|p| p.split_once('/')).ok_or(unfit(404))?;
    let class = settings.class_index(class).ok_or(unfit(404))?;
    let facts = &settings.classes[class];
    let needed = if facts.write { "PUT" } else { "GET" };
    if method != needed {
        return Err(InvalidRequest { status: 405, allowed_method: Some(needed) });
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
    Ok(ClientRequest {
        id,
        class,
        object: object.into(),
        part,
        group,
        timeout: Duration::from_micros(facts.deadline),
        if_none_match: known.filter(|tag| is_name(tag)).map(Into::into),
        body,
        credential_expires_at: grant.expires_at,
        ..ClientRequest::default()
    })
}

/// An answer as this front words it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpOutcome {
    /// The status.
    pub status: u16,
    /// Under what it is counted.
    pub outcome: &'static str,
    /// Whole seconds to stay away, for `Retry-After`.
    pub retry_after: Option<u64>,
    /// The copy's tag, without quotes.
    pub etag: Option<Arc<str>>,
    /// The bytes.
    pub body: Bytes,
}

/// The one place where this front's outcomes become statuses.
pub fn to_http_outcome(answer: Result<ClientResponse, CredentialError>) -> HttpOutcome {
    let plain = |status, outcome| HttpOutcome { status, outcome, ..HttpOutcome::default() };
    let seconds = |wait: Option<Duration>| wait.map_or(1, |w| w.as_millis().div_ceil(1000).max(1) as u64);
    match answer {
        Ok(ClientResponse::Served(copy)) => {
            HttpOutcome { etag: copy.etag, body: copy.body, ..plain(200, "served") }
        }
        Ok(ClientResponse::NotModified(tag)) => HttpOutcome { etag: tag, ..plain(304, "unchanged") },
        Ok(ClientResponse::Rejected { retry_after: wait, reason: cause }) => match cause {
            FailureReason::Overloaded => {
                HttpOutcome { retry_after: Some(seconds(wait)), ..plain(503, "refused") }
            }
            FailureReason::UpstreamFailed | FailureReason::DuplicateRequest | FailureReason::ShuttingDown => {
                HttpOutcome { retry_after: Some(seconds(wait)), ..plain(502, "upstream") }
            }
            FailureReason::DeadlineExceeded => plain(504, "deadline"),
            FailureReason::CredentialExpired => plain(403, CredentialError::Expired.reason()),
        },
        Ok(ClientResponse::Failed(FailureReason::DeadlineExceeded)) => plain(504, "deadline"),
        // It may have run: a 403 would say that it did not.
        Ok(ClientResponse::Failed(FailureReason::CredentialExpired)) => plain(504, "expired_unknown"),
        // Ids on this front are the core's own, so that no two are alike.
        Ok(ClientResponse::Failed(
            FailureReason::Overloaded
            | FailureReason::UpstreamFailed
            | FailureReason::DuplicateRequest
            | FailureReason::ShuttingDown,
        )) => plain(502, "upstream"),
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
pub struct OutcomeCounters([AtomicU64; OUTCOMES.len()]);

impl OutcomeCounters {
    /// Counts one outcome, by the word of [`HttpOutcome`].
    pub fn increment(&self, outcome: &str) {
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
    pub fn to_prometheus(&self) -> String {
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
