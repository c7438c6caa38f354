//! The tower layer that verifies signed URLs and tokens before the inner service is called.

use super::{single_header, to_response};
use crate::dispatch::Clock;
use crate::signed::{self, CredentialError, KeySet, OutcomeCounters};
use crate::upstream::host::BoxFuture;
use bytes::Bytes;
use http::header::HOST;
use http::{Request, Response, Uri};
use std::future::ready;
use std::sync::Arc;
use std::task::{Context, Poll};
use tower::{Layer, Service};

/// Verifies the credential of each request before it calls the inner service.
#[derive(Clone, Debug)]
pub struct SignedLayer {
    keys: Arc<KeySet>,
    clock: Clock,
    counts: Arc<OutcomeCounters>,
}

impl SignedLayer {
    /// Creates a layer that verifies credentials with `keys` at the time of `clock`, and counts denied
    /// requests in `counts`.
    pub fn new(keys: Arc<KeySet>, clock: Clock, counts: Arc<OutcomeCounters>) -> Self {
        SignedLayer { keys, clock, counts }
    }
}

impl<S> Layer<S> for SignedLayer {
    type Service = SignedService<S>;

    fn layer(&self, inner: S) -> SignedService<S> {
        SignedService { layer: self.clone(), inner }
    }
}

/// The service that a [`SignedLayer`] creates.
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
    type Future = BoxFuture<Result<Response<R>, S::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, mut request: Request<B>) -> Self::Future {
        let grant = authority(&request).and_then(|authority| {
            let target = request.uri().path_and_query().map_or("/", |p| p.as_str());
            signed::verify_credential(&self.layer.keys, authority, target, self.layer.clock.unix())
        });
        let verified = grant.and_then(|grant| {
            let uri = grant.target.parse::<Uri>().map_err(|_| CredentialError::Malformed)?;
            Ok((uri, grant))
        });
        match verified {
            Ok((uri, grant)) => {
                *request.uri_mut() = uri;
                request.extensions_mut().insert(grant);
                Box::pin(self.inner.call(request))
            }
            Err(denied) => {
                Box::pin(ready(Ok(to_response(&self.layer.counts, signed::to_http_outcome(Err(denied))))))
            }
        }
    }
}

/// Returns the host that the request was sent to: with HTTP/2 it is in the URI, with HTTP/1 in the `Host`
/// header, which must occur exactly once.
fn authority<B>(request: &Request<B>) -> Result<&str, CredentialError> {
    if let Some(authority) = request.uri().authority() {
        return Ok(authority.as_str());
    }
    single_header(request.headers(), &HOST).ok_or(CredentialError::Malformed)
}
