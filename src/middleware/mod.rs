//! Middleware for tower and axum: checks signed URLs and tokens, and serves by way of the director.
//!
//! | type | does |
//! | --- | --- |
//! | [`SignedLayer`] | answers 403 where a credential is not good, else strips it and hands on |
//! | [`DirectorLayer`] | takes what matches its [`Routes`] to the director, all else to the inner service |
//! | [`DirectorService`] | takes everything to the director |
//!
//! What passes the first has a [`Grant`](crate::signed::Grant) among its extensions, with the feature `axum`
//! an extractor. All keep the rules of the daemon's fronts.
//!
//! A request is let go when its future is dropped. A server that may be late to do so, as one that does not
//! look while bytes of a next request are unread, leaves a [`ClientHandle`](crate::dispatch::ClientHandle)
//! among the request's extensions: the client is looked at before anything is sent for it.
//!
//! A body is taken whole before it is passed on, up to [`MAX_WRITE_BYTES`](crate::dispatch::MAX_WRITE_BYTES),
//! within a [`Budget`] in bytes for all requests together. What finds no room is a 503 with `Retry-After`, at
//! once.

mod budget;
mod director;
mod routes;
mod signed;

pub use budget::{Budget, Full, Reserved};
pub use director::{DirectorLayer, DirectorService, Handle, Layered};
pub use routes::{Route, Routes, RoutesError};
pub use signed::{SignedLayer, SignedService};

use crate::signed::{HttpOutcome, OutcomeCounters};
use bytes::Bytes;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, ETAG, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use std::future::Future;
use std::pin::Pin;

type Boxed<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The value of a header that is there just once.
fn only<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?.to_str().ok()?;
    values.next().is_none().then_some(value)
}

fn empty<R: From<Bytes>>(status: u16) -> Response<R> {
    let mut response = Response::new(R::from(Bytes::new()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

fn say<R: From<Bytes>>(counts: &OutcomeCounters, worded: HttpOutcome) -> Response<R> {
    counts.increment(worded.outcome);
    let mut response = empty(worded.status);
    let headers = response.headers_mut();
    let text = |value: &str| HeaderValue::from_str(value).ok();
    match worded.status {
        200 => headers.extend(text("application/octet-stream").map(|v| (CONTENT_TYPE, v))),
        304 => {}
        _ => headers.extend(text("no-store").map(|v| (CACHE_CONTROL, v))),
    }
    headers.extend(worded.etag.and_then(|tag| text(&format!("\"{tag}\""))).map(|v| (ETAG, v)));
    headers.extend(worded.retry_after.map(|s| (RETRY_AFTER, s.into())));
    *response.body_mut() = R::from(worded.body);
    response
}
