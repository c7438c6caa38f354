//! Codec of the platform's HTTP: the one place that knows its paths, headers and statuses.
//!
//! | platform | here |
//! | --- | --- |
//! | `GET /alive` | whether this process is ready: 200, or 503 once its dispatcher has ended |
//! | `/ops/CLASS/OBJECT` | [`ClientRequest::class`] and [`ClientRequest::object`] |
//! | `?block=NUMBER` | [`ClientRequest::part`] |
//! | `X-Job-Id` | [`ClientRequest::id`] |
//! | `X-Family` | [`ClientRequest::group`] |
//! | `X-Ram-Kb` | [`ClientRequest::size_kb`] |
//! | `X-Again` | [`ClientRequest::is_retry`]: anything but `0` |
//! | `X-Allow-Ms` | [`ClientRequest::timeout`]; the class's deadline where it is absent |
//! | `X-Unique` | [`ClientRequest::idempotency_key`] |
//! | `If-None-Match` | [`ClientRequest::if_none_match`] |
//! | `X-Wait-Ms` on a 503 | `retry_after` of [`ClientResponse::Rejected`] |
//!
//! | response | status |
//! | --- | --- |
//! | served, not modified | 200, 304 |
//! | rejected: nothing ran that may not run again | 503 |
//! | failed: duplicate id, deadline exceeded, else | 409, 504, 502 |

use super::http::{BadRequest, RequestHead, Response};
use super::serve::Frontend;
use crate::dispatch::{
    bare_tag, is_name, ClientRequest, ClientResponse, Dispatcher, FailureReason, Representation,
};
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

/// The value of [`IS_RETRY`] for a first attempt.
const FIRST_ATTEMPT: &str = "0";
/// What clients may say: how long they wait in milliseconds, an object's size in KB, and its group. What lies
/// beyond is no figure of a client's.
const TIMEOUTS_MS: RangeInclusive<f64> = 0.0..=3_600_000.0;
const SIZES_KB: RangeInclusive<f64> = 0.0..=1e9;
const GROUPS: RangeInclusive<f64> = 0.0..=255.0;
/// Hex digits of an id and of an object.
const ID_DIGITS: usize = 16;

/// The frontend for clients that speak the platform's HTTP.
pub struct PlatformFrontend(
    /// Where requests go.
    pub Dispatcher,
);

impl Frontend for PlatformFrontend {
    const NAME: &'static str = "clients";

    fn parse_request(&self, head: &RequestHead, body: Bytes) -> Result<ClientRequest, Response> {
        if head.target == READINESS_PATH {
            return Err(Response::empty(self.readiness_status(&head.method)));
        }
        let target = Target::parse(&head.target).ok_or_else(|| Response::empty(404))?;
        let settings = self.0.settings();
        let class = settings.class_index(target.class).ok_or_else(|| Response::empty(404))?;
        let is_write = settings.classes[class].write;
        let method = if is_write { "PUT" } else { "GET" };
        if head.method != method {
            return Err(Response::empty(405).with_header("Allow", method.into()));
        }
        // What a server can't use would cost an attempt, and what it can't read the connection and all on it.
        if !is_write && !body.is_empty() {
            return Err(bad_request(BadRequest::Malformed));
        }
        let default_timeout = Duration::from_micros(settings.classes[class].deadline);
        let request = parse_fields(head, &target, default_timeout).map_err(bad_request)?;
        Ok(ClientRequest { class, body, ..request })
    }

    fn to_response(&self, answer: ClientResponse) -> Response {
        match answer {
            ClientResponse::Served(Representation { etag, body }) => {
                let response = Response { body, ..Response::empty(200) };
                with_etag(response.with_header("Content-Type", "application/octet-stream".into()), etag)
            }
            ClientResponse::NotModified(etag) => with_etag(Response::empty(304), etag),
            ClientResponse::Rejected { retry_after, .. } => {
                match retry_after.and_then(|wait| self.effective_retry_after(wait)) {
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
    /// The status that says whether this process is ready: it is where its dispatcher can be asked.
    fn readiness_status(&self, method: &str) -> u16 {
        match method {
            "GET" if self.0.has_ended() => 503,
            "GET" => 200,
            _ => 405,
        }
    }

    /// The retry-after that a client is sent: no longer than clients heed, and only where they do.
    fn effective_retry_after(&self, wait: Duration) -> Option<Duration> {
        let settings = self.0.settings();
        let max_retry_after = Duration::from_micros(settings.max_retry_after);
        settings.retry_after.then_some(wait.min(max_retry_after)).filter(|wait| !wait.is_zero())
    }
}

/// The parts of a request's target.
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

    /// The part that is asked for; none: all of the object.
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

/// The request without its class and body.
fn parse_fields(
    head: &RequestHead,
    target: &Target<'_>,
    default_timeout: Duration,
) -> Result<ClientRequest, BadRequest> {
    let id = head.single_header(REQUEST_ID).filter(|id| is_hex_id(id)).ok_or(BadRequest::Malformed)?;
    let object = Some(target.object).filter(|object| is_hex_id(object)).ok_or(BadRequest::Malformed)?;
    let group = parse_number(head, GROUP, GROUPS)?;
    if group.is_some_and(|group| group.fract() != 0.0) {
        return Err(BadRequest::Malformed);
    }
    let timeout_ms = parse_number(head, TIMEOUT_MS, TIMEOUTS_MS)?;
    let timeout_ms = timeout_ms.unwrap_or(default_timeout.as_micros() as f64 / 1e3);
    let if_none_match = head.header(IF_NONE_MATCH).map(bare_tag).filter(|tag| is_name(tag));
    Ok(ClientRequest {
        id: id.into(),
        object: object.into(),
        part: target.part()?,
        group: group.map(|group| group as u32),
        size_kb: parse_number(head, SIZE_KB, SIZES_KB)?.unwrap_or(0.0),
        is_retry: head.header(IS_RETRY).is_some_and(|value| value != FIRST_ATTEMPT),
        timeout: Duration::from_secs_f64(timeout_ms / 1e3),
        if_none_match: if_none_match.map(Into::into),
        idempotency_key: parse_idempotency_key(head)?,
        ..ClientRequest::default()
    })
}

/// The number in a header, where that is there.
fn parse_number(
    head: &RequestHead,
    name: &str,
    range: RangeInclusive<f64>,
) -> Result<Option<f64>, BadRequest> {
    let Some(text) = head.header(name) else { return Ok(None) };
    let number = text.parse::<f64>().ok().filter(|number| range.contains(number));
    number.map(Some).ok_or(BadRequest::Malformed)
}

/// The idempotency key, where there is one.
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

/// Ids and objects are 16 hex digits on the platform.
fn is_hex_id(text: &str) -> bool {
    text.len() == ID_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit())
}
