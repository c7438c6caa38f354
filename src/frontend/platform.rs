//! Frontend for clients that use the platform's HTTP interface. All of its paths, headers and statuses are
//! defined in this module.
//!
//! | HTTP | meaning |
//! | --- | --- |
//! | `GET /alive` | readiness: 200, or 503 after the dispatcher has ended |
//! | `/ops/CLASS/OBJECT` | [`ClientRequest::rules`] and [`ClientRequest::object`] |
//! | `?block=NUMBER` | [`ClientRequest::part`] |
//! | `X-Job-Id` | [`ClientRequest::id`] |
//! | `X-Family` | [`ClientRequest::group`] |
//! | `X-Ram-Kb` | [`ClientRequest::size_kb`] |
//! | `X-Again` | [`ClientRequest::is_retry`]: true for any value except `0` |
//! | `X-Allow-Ms` | [`ClientRequest::timeout`]; default: the deadline of the class |
//! | `X-Unique` | [`ClientRequest::idempotency_key`] |
//! | `If-None-Match` | [`ClientRequest::if_none_match`] |
//! | `X-Wait-Ms` in a 503 response | `retry_after` of [`ClientResponse::Rejected`] |
//!
//! | response | status |
//! | --- | --- |
//! | served, not modified | 200, 304 |
//! | rejected: a retry is safe, no attempt ran that must not be repeated | 503 |
//! | failed: duplicate id, deadline exceeded, other | 409, 504, 502 |

use super::http::{BadRequest, RequestHead, Response};
use super::serve::Frontend;
use crate::dispatch::{
    bare_tag, is_name, ClientRequest, ClientResponse, Dispatcher, FailureReason, Representation,
};
use crate::policy::types::{RequestRules, Settings};
use bytes::Bytes;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

const READINESS_PATH: &str = "/alive";
const REQUEST_PATH_PREFIX: &str = "/ops/";
const PART_PARAMETER: &str = "block=";

const REQUEST_ID: &str = "x-job-id";
const GROUP: &str = "x-family";
const SIZE_KB: &str = "x-ram-kb";
const IS_RETRY: &str = "x-again";
const TIMEOUT_MS: &str = "x-allow-ms";
const IDEMPOTENCY_KEY: &str = "x-unique";
const IF_NONE_MATCH: &str = "if-none-match";
const RETRY_AFTER_MS: &str = "X-Wait-Ms";

/// Value of the header [`IS_RETRY`] in a request that is not a retry.
const FIRST_ATTEMPT: &str = "0";
// Accepted ranges of the numeric headers. No valid client sends a number outside, so it makes the request
// malformed.

/// Accepted range of [`TIMEOUT_MS`], in milliseconds.
const TIMEOUTS_MS: RangeInclusive<f64> = 0.0..=3_600_000.0;
/// Accepted range of [`SIZE_KB`], in KB.
const SIZES_KB: RangeInclusive<f64> = 0.0..=1e9;
/// Accepted range of [`GROUP`].
const GROUPS: RangeInclusive<f64> = 0.0..=255.0;
/// Number of hex digits in a request id and in an object name.
const ID_DIGITS: usize = 16;

/// The frontend for clients that use the platform's HTTP interface.
pub struct PlatformFrontend(
    /// The dispatcher that handles the requests.
    pub Dispatcher,
);

impl Frontend for PlatformFrontend {
    const NAME: &'static str = "clients";

    fn parse_request(&self, head: &RequestHead, body: Bytes) -> Result<ClientRequest, Response> {
        if head.target == READINESS_PATH {
            return Err(Response::empty(self.readiness_status(&head.method)));
        }
        let target = Target::parse(&head.target).ok_or_else(|| Response::empty(404))?;
        let rules = self.0.class_rules(target.class).ok_or_else(|| Response::empty(404))?;
        let is_write = rules.class().write;
        let method = if is_write { "PUT" } else { "GET" };
        if head.method != method {
            return Err(Response::empty(405).with_header("Allow", method.into()));
        }
        // Rejected here, because at a server a request that it cannot use takes up an attempt, and one that
        // it cannot parse makes it close the connection, which fails all other requests on it.
        if !is_write && !body.is_empty() {
            return Err(bad_request(BadRequest::Malformed));
        }
        let request = parse_fields(head, &target, rules).map_err(bad_request)?;
        Ok(ClientRequest { body, ..request })
    }

    fn to_response(&self, answer: ClientResponse, settings: &Settings) -> Response {
        match answer {
            ClientResponse::Served(Representation { etag, body }) => {
                let response = Response { body, ..Response::empty(200) };
                with_etag(response.with_header("Content-Type", "application/octet-stream".into()), etag)
            }
            ClientResponse::NotModified(etag) => with_etag(Response::empty(304), etag),
            ClientResponse::Rejected { retry_after, .. } => {
                match retry_after.and_then(|wait| effective_retry_after(wait, settings)) {
                    Some(wait) => {
                        let milliseconds = wait.as_millis().max(1).to_string();
                        Response::empty(503).with_header(RETRY_AFTER_MS, milliseconds)
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
    /// Returns the status for a readiness check. The process is ready while its dispatcher runs.
    fn readiness_status(&self, method: &str) -> u16 {
        match method {
            "GET" if self.0.has_ended() => 503,
            "GET" => 200,
            _ => 405,
        }
    }
}

/// Returns the retry-after sent to the client, capped at the longest that clients respect
/// (`max_retry_after`). Returns `None` if clients ignore it (`retry_after` is off) or if it is zero.
fn effective_retry_after(wait: Duration, settings: &Settings) -> Option<Duration> {
    let max_retry_after = Duration::from_micros(settings.max_retry_after);
    settings.retry_after.then_some(wait.min(max_retry_after)).filter(|wait| !wait.is_zero())
}

/// A request target `/ops/CLASS/OBJECT?QUERY`, split into its components.
struct Target<'a> {
    class: &'a str,
    object: &'a str,
    query: &'a str,
}

impl<'a> Target<'a> {
    fn parse(target: &'a str) -> Option<Self> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let (class, object) = path.strip_prefix(REQUEST_PATH_PREFIX)?.split_once('/')?;
        Some(Target { class, object, query })
    }

    /// Parses the number of the requested part. Returns `None` if the whole object is requested.
    fn part(&self) -> Result<Option<u32>, BadRequest> {
        if self.query.is_empty() {
            return Ok(None);
        }
        let digits = self.query.strip_prefix(PART_PARAMETER).ok_or(BadRequest::Malformed)?;
        if !digits.bytes().all(|b| b.is_ascii_digit()) {
            return Err(BadRequest::Malformed);
        }
        digits.parse().map(Some).map_err(|_| BadRequest::Malformed)
    }
}

fn bad_request(error: BadRequest) -> Response {
    Response::empty(error.status())
}

/// Parses all fields of the request except its body. The timeout is that of the class by default.
fn parse_fields(
    head: &RequestHead,
    target: &Target<'_>,
    rules: RequestRules,
) -> Result<ClientRequest, BadRequest> {
    let id = head.single_header(REQUEST_ID).filter(|id| is_hex_id(id)).ok_or(BadRequest::Malformed)?;
    let object = Some(target.object).filter(|object| is_hex_id(object)).ok_or(BadRequest::Malformed)?;
    let group = parse_number(head, GROUP, GROUPS)?;
    if group.is_some_and(|group| group.fract() != 0.0) {
        return Err(BadRequest::Malformed);
    }
    let timeout_ms = parse_number(head, TIMEOUT_MS, TIMEOUTS_MS)?;
    let request = ClientRequest::new(rules);
    let if_none_match = head.header(IF_NONE_MATCH).map(bare_tag).filter(|tag| is_name(tag));
    Ok(ClientRequest {
        id: id.into(),
        object: object.into(),
        part: target.part()?,
        group: group.map(|group| group as u32),
        size_kb: parse_number(head, SIZE_KB, SIZES_KB)?.unwrap_or(0.0),
        is_retry: head.header(IS_RETRY).is_some_and(|value| value != FIRST_ATTEMPT),
        timeout: timeout_ms.map_or(request.timeout, |timeout| Duration::from_secs_f64(timeout / 1e3)),
        if_none_match: if_none_match.map(Into::into),
        idempotency_key: parse_idempotency_key(head)?,
        ..request
    })
}

/// Parses the number in a header. Returns `None` if the header is absent.
fn parse_number(
    head: &RequestHead,
    name: &str,
    range: RangeInclusive<f64>,
) -> Result<Option<f64>, BadRequest> {
    let Some(text) = head.header(name) else { return Ok(None) };
    let number = text.parse::<f64>().ok().filter(|number| range.contains(number));
    number.map(Some).ok_or(BadRequest::Malformed)
}

/// Parses the idempotency key. Returns `None` if the header is absent.
fn parse_idempotency_key(head: &RequestHead) -> Result<Option<Arc<str>>, BadRequest> {
    if head.header(IDEMPOTENCY_KEY).is_none() {
        return Ok(None);
    }
    let key = head.single_header(IDEMPOTENCY_KEY).filter(|key| is_name(key));
    key.map(|key| Some(key.into())).ok_or(BadRequest::Malformed)
}

fn with_etag(response: Response, etag: Option<Arc<str>>) -> Response {
    match etag {
        Some(etag) => response.with_header("ETag", format!("\"{etag}\"")),
        None => response,
    }
}

/// Returns whether a text is a valid request id or object name: 16 hex digits.
fn is_hex_id(text: &str) -> bool {
    text.len() == ID_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit())
}
