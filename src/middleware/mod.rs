//! Middleware for tower and axum that verifies signed URLs and tokens, and serves requests through the
//! director.
//!
//! | type | job |
//! | --- | --- |
//! | [`SignedLayer`] | strips valid credentials and passes the request on; responds 403 to invalid ones |
//! | [`DirectorLayer`] | serves requests that match its [`Routes`], and passes others to the inner service |
//! | [`DirectorService`] | serves every request through the director |
//!
//! [`SignedLayer`] adds a [`Grant`](crate::signed::Grant) to the extensions of each request that it passes
//! on. With the feature `axum`, the grant is also an extractor. All three follow the rules of the daemon's
//! frontends.
//!
//! A request is cancelled when its future is dropped. Some servers drop it late, for example one that does
//! not check the connection while bytes of a next request are unread. Such a server should add a
//! [`ClientHandle`](crate::dispatch::ClientHandle) to the request's extensions: the director then checks
//! whether the client has disconnected before it sends anything for the request.
//!
//! A body is read completely before it is forwarded, up to
//! [`MAX_WRITE_BYTES`](crate::dispatch::MAX_WRITE_BYTES) and within a [`BodyBudget`] shared by all requests.
//! Without capacity, a request gets status 503 with `Retry-After` immediately.

mod budget;
mod director;
mod handler;
mod routes;
mod signed;

pub use budget::{BodyBudget, BudgetExhausted, Reservation};
pub use director::{DirectorHandle, DirectorLayer, DirectorService, RoutedService};
pub use routes::{Route, Routes, RoutesError};
pub use signed::{SignedLayer, SignedService};

use crate::signed::{HttpOutcome, OutcomeCounters};
use bytes::Bytes;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, ETAG, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};

/// Returns the value of a header, or `None` unless it occurs exactly once and is visible ASCII.
fn single_header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?.to_str().ok()?;
    values.next().is_none().then_some(value)
}

fn empty_response<R: From<Bytes>>(status: u16) -> Response<R> {
    let mut response = Response::new(R::from(Bytes::new()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// Counts an outcome and converts it to a response.
fn to_response<R: From<Bytes>>(counts: &OutcomeCounters, outcome: HttpOutcome) -> Response<R> {
    counts.increment(outcome.outcome);
    let mut response = empty_response(outcome.status);
    let headers = response.headers_mut();
    let text = |value: &str| HeaderValue::from_str(value).ok();
    match outcome.status {
        200 => headers.extend(text("application/octet-stream").map(|v| (CONTENT_TYPE, v))),
        304 => {}
        _ => headers.extend(text("no-store").map(|v| (CACHE_CONTROL, v))),
    }
    headers.extend(outcome.etag.and_then(|tag| text(&format!("\"{tag}\""))).map(|v| (ETAG, v)));
    headers.extend(outcome.retry_after.map(|seconds| (RETRY_AFTER, seconds.into())));
    *response.body_mut() = R::from(outcome.body);
    response
}
