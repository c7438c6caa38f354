//! Outcomes of requests with a credential: their statuses, and how often each came. Shared by the frontend
//! and the middleware.

use super::CredentialError;
use crate::dispatch::request::{ClientResponse, FailureReason};
use bytes::Bytes;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A response to a request with a credential, before it is HTTP.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpOutcome {
    /// The status.
    pub status: u16,
    /// The name under which it is counted.
    pub outcome: &'static str,
    /// The seconds of `Retry-After`.
    pub retry_after: Option<u64>,
    /// The entity tag, without quotes.
    pub etag: Option<Arc<str>>,
    /// The body.
    pub body: Bytes,
}

/// The one place where these outcomes become statuses.
pub fn to_http_outcome(answer: Result<ClientResponse, CredentialError>) -> HttpOutcome {
    match answer {
        Ok(ClientResponse::Served(copy)) => {
            HttpOutcome { etag: copy.etag, body: copy.body, ..plain(200, "served") }
        }
        Ok(ClientResponse::NotModified(etag)) => HttpOutcome { etag, ..plain(304, "unchanged") },
        Ok(ClientResponse::Rejected { retry_after, reason }) => rejected(retry_after, reason),
        Ok(ClientResponse::Failed(reason)) => failed(reason),
        Err(denied) => plain(403, denied.reason()),
    }
}

fn plain(status: u16, outcome: &'static str) -> HttpOutcome {
    HttpOutcome { status, outcome, ..HttpOutcome::default() }
}

/// Nothing ran that may not run again.
fn rejected(retry_after: Option<Duration>, reason: FailureReason) -> HttpOutcome {
    let retry_after = Some(retry_after_seconds(retry_after));
    match reason {
        FailureReason::Overloaded => HttpOutcome { retry_after, ..plain(503, "refused") },
        FailureReason::UpstreamFailed | FailureReason::DuplicateRequest | FailureReason::ShuttingDown => {
            HttpOutcome { retry_after, ..plain(502, "upstream") }
        }
        FailureReason::DeadlineExceeded => plain(504, "deadline"),
        FailureReason::CredentialExpired => plain(403, CredentialError::Expired.reason()),
    }
}

/// Whole seconds, one at least.
fn retry_after_seconds(wait: Option<Duration>) -> u64 {
    wait.map_or(1, |wait| wait.as_millis().div_ceil(1000).max(1) as u64)
}

/// It may have run.
fn failed(reason: FailureReason) -> HttpOutcome {
    match reason {
        FailureReason::DeadlineExceeded => plain(504, "deadline"),
        // A 403 would say that it did not run.
        FailureReason::CredentialExpired => plain(504, "expired_unknown"),
        // Request ids are the dispatcher's own here, so that no two are alike.
        FailureReason::Overloaded
        | FailureReason::UpstreamFailed
        | FailureReason::DuplicateRequest
        | FailureReason::ShuttingDown => plain(502, "upstream"),
    }
}

/// Every name in [`HttpOutcome::outcome`], and `bad_request` for requests that can't be dispatched.
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
    /// Counts one outcome, by the name in [`HttpOutcome::outcome`].
    pub fn increment(&self, outcome: &str) {
        if let Some(index) = OUTCOMES.iter().position(|o| *o == outcome) {
            self.0[index].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// How often an outcome came.
    pub fn get(&self, outcome: &str) -> u64 {
        let index = OUTCOMES.iter().position(|o| *o == outcome);
        index.map_or(0, |index| self.0[index].load(Ordering::Relaxed))
    }

    /// All counters, in Prometheus' text format.
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
