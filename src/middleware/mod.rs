//! Middleware for tower and axum: checks signed URLs and tokens, and serves by way of the director.
//!
//! | type | does |
//! | --- | --- |
//! | [`SignedLayer`] | answers 403 to an invalid credential, else strips it and hands the request on |
//! | [`DirectorLayer`] | serves what matches its [`Routes`], and hands all else to the inner service |
//! | [`DirectorService`] | serves every request by way of the director |
//!
//! A request that passes the first has a [`Grant`](crate::signed::Grant) among its extensions, with the
//! feature `axum` an extractor. All keep the rules of the daemon's frontends.
//!
//! A request is cancelled when its future is dropped. A server that may be late to do so, such as one that
//! does not look while bytes of a next request are unread, leaves a
//! [`ClientHandle`](crate::dispatch::ClientHandle) among the request's extensions: the client is looked at
//! before anything is sent for it.
//!
//! A body is read completely before it is forwarded, up to
//! [`MAX_WRITE_BYTES`](crate::dispatch::MAX_WRITE_BYTES), within a [`BodyBudget`] in bytes for all requests
//! together. A request that finds no capacity is answered 503 with `Retry-After`, at once.

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

/// The value of a header that is there exactly once.
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

/// Counts an outcome and puts it into a response.
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
