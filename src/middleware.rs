//! Middleware for tower and axum: checks signed URLs and tokens before a service, and serves what passes.
//!
//! [`SignedLayer`] turns down a request whose credential is not good with a 403, and hands any other on with
//! its credential stripped and the [`Grant`] among its extensions. [`Director`] is the service behind it: it
//! asks the core, under the same rules as the daemon's fronts. Either can be used without the other.
//!
//! A body is taken whole before it is passed on, up to [`LARGEST_WRITE`].

use crate::core::{bare_tag, Answer, Clock, Core, LARGEST_WRITE};
use crate::signed::{self, Counts, Denied, Grant, Keys, Worded};
use bytes::Bytes;
use http::header::{ALLOW, CACHE_CONTROL, CONTENT_TYPE, ETAG, HOST, IF_NONE_MATCH, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use std::convert::Infallible;
use std::future::{ready, Future};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tower::{Layer, Service};

type Boxed<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Checks the credential of each request before the service that it is put round.
#[derive(Clone, Debug)]
pub struct SignedLayer {
    keys: Arc<Keys>,
    clock: Clock,
    counts: Arc<Counts>,
}

impl SignedLayer {
    /// Checks with these keys by this clock, and counts what is turned down.
    pub fn new(keys: Arc<Keys>, clock: Clock, counts: Arc<Counts>) -> Self {
        SignedLayer { keys, clock, counts }
    }
}

impl<S> Layer<S> for SignedLayer {
    type Service = SignedService<S>;

    fn layer(&self, inner: S) -> SignedService<S> {
        SignedService { layer: self.clone(), inner }
    }
}

/// A service behind a [`SignedLayer`].
#[derive(Clone, Debug)]
pub struct SignedService<S> {
    layer: SignedLayer,
    inner: S,
}

impl<S, B, R> Service<Request<B>> for SignedService<S>
where
    S: Service<Request<B>, Response = Response<R>>,
    S::Future: Send + 'static,
    S::Error: Send + 'static,
    R: From<Bytes> + Send + 'static,
{
    type Response = Response<R>;
    type Error = S::Error;
    type Future = Boxed<Result<Response<R>, S::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, mut request: Request<B>) -> Self::Future {
        let grant = authority(&request).and_then(|authority| {
            let target = request.uri().path_and_query().map_or("/", |p| p.as_str());
            signed::check(&self.layer.keys, authority, target, self.layer.clock.unix())
        });
        let stripped = grant.and_then(|grant| {
            let uri = grant.target.parse::<Uri>().map_err(|_| Denied::Malformed)?;
            Ok((uri, grant))
        });
        match stripped {
            Ok((uri, grant)) => {
                *request.uri_mut() = uri;
                request.extensions_mut().insert(grant);
                Box::pin(self.inner.call(request))
            }
            Err(denied) => Box::pin(ready(Ok(say(&self.layer.counts, signed::word(Err(denied)))))),
        }
    }
}

/// The host that the request was sent to: HTTP/2 has it in the URI, HTTP/1 in one `Host`.
fn authority<B>(request: &Request<B>) -> Result<&str, Denied> {
    if let Some(authority) = request.uri().authority() {
        return Ok(authority.as_str());
    }
    only(request.headers(), &HOST).ok_or(Denied::Malformed)
}

/// The value of a header that is there just once.
fn only<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?.to_str().ok()?;
    values.next().is_none().then_some(value)
}

/// Serves requests by way of the core.
#[derive(Clone, Debug)]
pub struct Director {
    core: Core,
    counts: Arc<Counts>,
}

impl Director {
    /// Asks this core, and counts the outcomes.
    pub fn new(core: Core, counts: Arc<Counts>) -> Self {
        Director { core, counts }
    }
}

impl<B> Service<Request<B>> for Director
where
    B: http_body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = Boxed<Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(())) // the core turns away what it has no room for
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let Director { core, counts } = self.clone();
        Box::pin(async move {
            let bad = |status, allow: Option<&'static str>| {
                counts.add("bad_request");
                let mut response = empty(status);
                response.headers_mut().extend(allow.map(|m| (ALLOW, HeaderValue::from_static(m))));
                Ok(response)
            };
            let (parts, body) = request.into_parts();
            let Ok(body) = Limited::new(body, LARGEST_WRITE).collect().await else { return bad(413, None) };
            // Without the layer the target is taken as it is, and does not expire.
            let target = parts.uri.path_and_query().map_or("/", |p| p.as_str());
            let open = || Grant { target: target.to_owned(), valid_until: None };
            let grant = parts.extensions.get::<Grant>().cloned().unwrap_or_else(open);
            let known = only(&parts.headers, &IF_NONE_MATCH).map(bare_tag);
            let id = core.fresh_id();
            let ask =
                signed::ask(&core.settings(), parts.method.as_str(), &grant, id, known, body.to_bytes());
            match ask {
                Ok(ask) => {
                    let answer: Answer = core.ask(ask).await;
                    Ok(say(&counts, signed::word(Ok(answer))))
                }
                Err(unfit) => bad(unfit.status, unfit.allow),
            }
        })
    }
}

fn empty<R: From<Bytes>>(status: u16) -> Response<R> {
    let mut response = Response::new(R::from(Bytes::new()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

fn say<R: From<Bytes>>(counts: &Counts, worded: Worded) -> Response<R> {
    counts.add(worded.outcome);
    let mut response = empty(worded.status);
    let headers = response.headers_mut();
    let text = |value: &str| HeaderValue::from_str(value).ok();
    match worded.status {
        200 => headers.extend(text("application/octet-stream").map(|v| (CONTENT_TYPE, v))),
        304 => {}
        _ => headers.extend(text("no-store").map(|v| (CACHE_CONTROL, v))),
    }
    headers.extend(worded.tag.and_then(|tag| text(&format!("\"{tag}\""))).map(|v| (ETAG, v)));
    headers.extend(worded.retry_after.map(|s| (RETRY_AFTER, s.into())));
    *response.body_mut() = R::from(worded.body);
    response
}
