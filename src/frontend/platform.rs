//! The platform's front: clients that speak the platform's HTTP.

use super::http::{RequestHead, Response};
use super::serve::Frontend;
use crate::dispatch::{bare_tag, is_name, ClientRequest, ClientResponse, Dispatcher, FailureReason};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// The longest that a client may wait, in milliseconds, and the largest size that it may tell, in KB: what
/// lies beyond is no figure of a client's.
const MAX_TIMEOUT_MS: f64 = 3_600_000.0;
const MAX_SIZE_KB: f64 = 1e9;

/// The platform's own protocol.
pub struct PlatformFrontend(
    /// Where requests go.
    pub Dispatcher,
);

impl Frontend for PlatformFrontend {
    const NAME: &'static str = "clients";

    fn parse_request(&self, head: &RequestHead, body: Bytes) -> Result<ClientRequest, Response> {
        if head.target == "/alive" {
            return Err(Response::empty(self.alive(&head.method)));
        }
        let bad = || Response::empty(400);
        let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
        let (class, object) =
            path.strip_prefix("/ops/").and_then(|p| p.split_once('/')).ok_or_else(|| Response::empty(404))?;
        let settings = self.0.settings();
        let class = settings.class_index(class).ok_or_else(|| Response::empty(404))?;
        let facts = &settings.classes[class];
        let method = if facts.write { "PUT" } else { "GET" };
        if head.method != method {
            return Err(Response::empty(405).with_header("Allow", method.into()));
        }
        // What a server can't use would cost an attempt, and what it can't read the connection and all on it.
        if !is_hex(object) || !facts.write && !body.is_empty() {
            return Err(bad());
        }
        let digits = |n: &str| n.parse().ok().filter(|_| n.bytes().all(|b| b.is_ascii_digit()));
        let part = match query {
            "" => None,
            _ => Some(query.strip_prefix("block=").and_then(digits).ok_or_else(bad)?),
        };
        let id = head.single_header("x-job-id").filter(|id| is_hex(id)).ok_or_else(bad)?;
        let number = |name: &str, least: f64, most: f64| match head.header(name) {
            None => Ok(None),
            Some(text) => {
                let number = text.parse::<f64>().ok().filter(|n| (least..=most).contains(n));
                number.map(Some).ok_or_else(bad)
            }
        };
        let family = number("x-family", 0.0, 255.0)?;
        if family.is_some_and(|n| n.fract() != 0.0) {
            return Err(bad());
        }
        let allow = number("x-allow-ms", 0.0, MAX_TIMEOUT_MS)?.unwrap_or(facts.deadline as f64 / 1e3);
        let token = match head.header("x-unique") {
            None => None,
            Some(_) => Some(head.single_header("x-unique").filter(|token| is_name(token)).ok_or_else(bad)?),
        };
        let known = head.header("if-none-match").map(bare_tag).filter(|tag| is_name(tag));
        Ok(ClientRequest {
            id: id.into(),
            class,
            object: object.into(),
            part,
            group: family.map(|n| n as u32),
            size_kb: number("x-ram-kb", 0.0, MAX_SIZE_KB)?.unwrap_or(0.0),
            is_retry: head.header("x-again").is_some_and(|v| v != "0"),
            timeout: Duration::from_secs_f64(allow / 1e3),
            if_none_match: known.map(Into::into),
            idempotency_key: token.map(Into::into),
            body,
            credential_expires_at: None,
        })
    }

    fn to_response(&self, answer: ClientResponse) -> Response {
        let tagged = |response: Response, tag: Option<Arc<str>>| match tag {
            Some(tag) => response.with_header("ETag", format!("\"{tag}\"")),
            None => response,
        };
        match answer {
            ClientResponse::Served(copy) => tagged(
                Response { body: copy.body, ..Response::empty(200) }
                    .with_header("Content-Type", "application/octet-stream".into()),
                copy.etag,
            ),
            ClientResponse::NotModified(tag) => tagged(Response::empty(304), tag),
            ClientResponse::Rejected { retry_after: wait, .. } => {
                match wait.and_then(|wait| self.advice(wait)) {
                    Some(wait) => {
                        Response::empty(503).with_header("X-Wait-Ms", wait.as_millis().max(1).to_string())
                    }
                    None => Response::empty(503),
                }
            }
            ClientResponse::Failed(FailureReason::DeadlineExceeded) => Response::empty(504),
            ClientResponse::Failed(FailureReason::DuplicateRequest) => Response::empty(409),
            ClientResponse::Failed(_) => Response::empty(502),
        }
    }
}

impl PlatformFrontend {
    /// The status of the answer to whether this director is ready: it is where its core can be asked.
    fn alive(&self, method: &str) -> u16 {
        match method {
            "GET" if self.0.has_ended() => 503,
            "GET" => 200,
            _ => 405,
        }
    }

    /// What a client is told of when to come back: no longer than clients heed, and only where they do.
    fn advice(&self, wait: Duration) -> Option<Duration> {
        let settings = self.0.settings();
        let most = Duration::from_micros(settings.max_retry_after);
        settings.retry_after.then_some(wait.min(most)).filter(|wait| !wait.is_zero())
    }
}

/// Ids and objects are 16 hex digits on the platform.
fn is_hex(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit())
}
