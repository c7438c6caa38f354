//! Maps the outcomes of requests with a credential to HTTP statuses, and counts them. Shared by the frontend
//! and the middleware.

use super::CredentialError;
use crate::dispatch::request::{ClientResponse, FailureReason};
use bytes::Bytes;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The response to a request with a credential, independent of the HTTP library that sends it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpOutcome {
    /// HTTP status code.
    pub status: u16,
    /// Label of the outcome in [`OutcomeCounters`].
    pub outcome: &'static str,
    /// Value of the `Retry-After` header in seconds. `None` if the header is not sent.
    pub retry_after: Option<u64>,
    /// The entity tag, without quotes.
    pub etag: Option<Arc<str>>,
    /// The served representation. Empty for all statuses except 200.
    pub body: Bytes,
}

/// Converts a response of the dispatcher, or a denied credential, to an HTTP status and a counter label.
pub fn to_http_outcome(answer: Result<ClientResponse, CredentialError>) -> HttpOutcome {
    match answer {
        Ok(ClientResponse::Served(copy)) => {
            HttpOutcome { etag: copy.etag, body: copy.body, ..without_body(200, "served") }
        }
        Ok(ClientResponse::NotModified(etag)) => HttpOutcome { etag, ..without_body(304, "unchanged") },
        Ok(ClientResponse::Rejected { retry_after, reason }) => rejected(retry_after, reason),
        Ok(ClientResponse::Failed(reason)) => failed(reason),
        Err(denied) => without_body(403, denied.reason()),
    }
}

fn without_body(status: u16, outcome: &'static str) -> HttpOutcome {
    HttpOutcome { status, outcome, ..HttpOutcome::default() }
}

/// Returns the outcome of a rejected request. No attempt ran that must not be repeated, so a retry is safe.
fn rejected(retry_after: Option<Duration>, reason: FailureReason) -> HttpOutcome {
    let retry_after = Some(retry_after_seconds(retry_after));
    match reason {
        FailureReason::Overloaded => HttpOutcome { retry_after, ..without_body(503, "refused") },
        FailureReason::UpstreamFailed | FailureReason::DuplicateRequest | FailureReason::ShuttingDown => {
            HttpOutcome { retry_after, ..without_body(502, "upstream") }
        }
        FailureReason::DeadlineExceeded => without_body(504, "deadline"),
        FailureReason::CredentialExpired => without_body(403, CredentialError::Expired.reason()),
    }
}

/// Returns the wait in seconds, rounded up and at least 1.
fn retry_after_seconds(wait: Option<Duration>) -> u64 {
    wait.map_or(1, |wait| wait.as_millis().div_ceil(1000).max(1) as u64)
}

/// Returns the outcome of a failed request, whose attempts may have run.
fn failed(reason: FailureReason) -> HttpOutcome {
    match reason {
        FailureReason::DeadlineExceeded => without_body(504, "deadline"),
        // A 403 would mean that the request did not run.
        FailureReason::CredentialExpired => without_body(504, "expired_unknown"),
        // DuplicateRequest is not expected: the dispatcher generates the ids of these requests, so they are
        // unique.
        FailureReason::Overloaded
        | FailureReason::UpstreamFailed
        | FailureReason::DuplicateRequest
        | FailureReason::ShuttingDown => without_body(502, "upstream"),
    }
}

/// All labels in [`HttpOutcome::outcome`], and `bad_request` for requests that cannot be dispatched.
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

/// Number of responses for each outcome.
#[derive(Debug, Default)]
pub struct OutcomeCounters([AtomicU64; OUTCOMES.len()]);

impl OutcomeCounters {
    /// Increments the counter for a label in [`HttpOutcome::outcome`]. Ignores unknown labels.
    pub fn increment(&self, outcome: &str) {
        if let Some(index) = OUTCOMES.iter().position(|o| *o == outcome) {
            self.0[index].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the counter for a label. Returns 0 for unknown labels.
    pub fn get(&self, outcome: &str) -> u64 {
        let index = OUTCOMES.iter().position(|o| *o == outcome);
        index.map_or(0, |index| self.0[index].load(Ordering::Relaxed))
    }

    /// Encodes all counters in the Prometheus text format.
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
