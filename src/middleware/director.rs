//! Requests by way of the director.

use super::{only, say, Boxed, Budget, Routes};
use crate::config::operator::LibrarySection;
use crate::director::Director;
use crate::dispatch::{
    bare_tag, ClientHandle, ClientRequest, ClientResponse, Dispatcher, FailureReason, PendingResponse,
    MAX_WRITE_BYTES,
};
use crate::signed::{self, Grant, InvalidRequest, OutcomeCounters};
use bytes::Bytes;
use http::header::{ALLOW, IF_NONE_MATCH};
use http::{HeaderValue, Request, Response, Uri};
use http_body_util::{BodyExt, Limited};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::PollSemaphore;
use tower::{Layer, Service};

/// What a client that found no room should wait.
const WHEN_FULL: Duration = Duration::from_secs(1);

/// Who is asked. Of a [`Director`] it keeps a handle, so that it lives as long as the middleware does.
#[derive(Clone, Debug)]
pub struct Handle {
    core: Dispatcher,
    _director: Option<Director>,
}

impl From<Dispatcher> for Handle {
    fn from(core: Dispatcher) -> Self {
        Handle { core, _director: None }
    }
}

impl From<Director> for Handle {
    fn from(director: Director) -> Self {
        Handle { core: director.dispatcher(), _director: Some(director) }
    }
}

/// Serves everything that it is given by way of the director, as `/CLASS/OBJECT` or by its routes.
///
/// It is ready while it may have one more request open; each call takes the place that readiness promised.
#[derive(Debug)]
pub struct DirectorService {
    shared: Arc<Shared>,
    places: PollSemaphore,
    place: Option<OwnedSemaphorePermit>,
}

#[derive(Debug)]
struct Shared {
    handle: Handle,
    counts: Arc<OutcomeCounters>,
    routes: Option<Routes>,
    budget: Budget,
    places: Arc<Semaphore>,
}

impl Clone for DirectorService {
    fn clone(&self) -> Self {
        // A place that was promised to one is not promised to its clone.
        DirectorService { shared: self.shared.clone(), places: self.places.clone(), place: None }
    }
}

impl DirectorService {
    /// Asks this director and counts the outcomes, within the usual limits.
    pub fn new(handle: impl Into<Handle>, counts: Arc<OutcomeCounters>) -> Self {
        Self::with(handle, counts, None, &LibrarySection::default())
    }

    /// The same by routes and within the limits of the operator's file.
    pub fn with(
        handle: impl Into<Handle>,
        counts: Arc<OutcomeCounters>,
        routes: Option<Routes>,
        limits: &LibrarySection,
    ) -> Self {
        let places = Arc::new(Semaphore::new(limits.max_open_requests));
        let budget = Budget::new(limits.body_budget_kb * 1024);
        let shared = Shared { handle: handle.into(), counts, routes, budget, places: places.clone() };
        DirectorService { shared: Arc::new(shared), places: PollSemaphore::new(places), place: None }
    }
}

impl<B> Service<Request<B>> for DirectorService
where
    B: http_body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    type Response = Response<http_body_util::Full<Bytes>>;
    type Error = std::convert::Infallible;
    type Future = Boxed<Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        if self.place.is_none() {
            self.place = ready!(self.places.poll_acquire(cx));
        }
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let (shared, place) = (self.shared.clone(), self.place.take());
        let target = shared.target(request.uri());
        // Called without being asked whether it is ready: there may be a place all the same.
        let place = place.or_else(|| shared.places.clone().try_acquire_owned().ok());
        Box::pin(async move { Ok(shared.serve(request, target, place).await) })
    }
}

/// Takes the requests that match its routes to the director, and all others to the inner service.
#[derive(Clone, Debug)]
pub struct DirectorLayer(Arc<Shared>);

impl DirectorLayer {
    /// Asks this director for what these routes match, within the limits of the operator's file.
    pub fn new(
        handle: impl Into<Handle>,
        counts: Arc<OutcomeCounters>,
        routes: Routes,
        limits: &LibrarySection,
    ) -> Self {
        DirectorLayer(DirectorService::with(handle, counts, Some(routes), limits).shared)
    }
}

impl<S> Layer<S> for DirectorLayer {
    type Service = Layered<S>;

    fn layer(&self, inner: S) -> Layered<S> {
        Layered { shared: self.0.clone(), inner }
    }
}

/// A service behind a [`DirectorLayer`]. It is ready when the inner one is: which of the two a request is for
/// shows only when it comes, so a director without room answers 503 instead of holding up what is not its
/// own.
#[derive(Clone, Debug)]
pub struct Layered<S> {
    shared: Arc<Shared>,
    inner: S,
}

impl<S, B, R> Service<Request<B>> for Layered<S>
where
    S: Service<Request<B>, Response = Response<R>>,
    S::Future: Send + 'static,
    S::Error: Send + 'static,
    B: http_body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    R: From<Bytes> + Send + 'static,
{
    type Response = Response<R>;
    type Error = S::Error;
    type Future = Boxed<Result<Response<R>, S::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let Some(target) = self.shared.target(request.uri()) else {
            return Box::pin(self.inner.call(request));
        };
        let shared = self.shared.clone();
        let place = shared.places.clone().try_acquire_owned().ok();
        Box::pin(async move { Ok(shared.serve(request, Some(target), place).await) })
    }
}

impl Shared {
    /// What is asked of the director, as `/CLASS/OBJECT` with the query; none: no route matches.
    fn target(&self, uri: &Uri) -> Option<String> {
        let Some(routes) = &self.routes else {
            return Some(uri.path_and_query().map_or("/", |p| p.as_str()).to_owned());
        };
        let (class, object) = routes.find(uri.path())?;
        let query = uri.query().map_or(String::new(), |q| format!("?{q}"));
        Some(format!("/{class}/{object}{query}"))
    }

    /// Answers one request. Dropping the future lets go of it, wherever it is.
    async fn serve<B, R>(
        &self,
        request: Request<B>,
        target: Option<String>,
        place: Option<OwnedSemaphorePermit>,
    ) -> Response<R>
    where
        B: http_body::Body + Send + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
        R: From<Bytes>,
    {
        let full = || {
            let (wait, cause) = (Some(WHEN_FULL), FailureReason::Overloaded);
            say(
                &self.counts,
                signed::to_http_outcome(Ok(ClientResponse::Rejected { retry_after: wait, reason: cause })),
            )
        };
        if place.is_none() {
            return full();
        }
        let (parts, body) = request.into_parts();
        let ask = match self.ask(&parts, target) {
            Ok(ask) => ask,
            Err(unfit) => return self.bad(unfit.status, unfit.allowed_method),
        };
        // What is not told may be as large as any.
        let hint =
            body.size_hint().upper().map_or(MAX_WRITE_BYTES, |n| n.min(MAX_WRITE_BYTES as u64) as usize);
        let Ok(mut reserved) = self.budget.reserve(hint) else { return full() };
        let Ok(body) = Limited::new(body, MAX_WRITE_BYTES).collect().await else {
            return self.bad(413, None);
        };
        let body = body.to_bytes();
        reserved.shrink(body.len());
        let client = parts.extensions.get::<ClientHandle>();
        let answer = self.hand_over(ClientRequest { body, ..ask }, client).await;
        say(&self.counts, signed::to_http_outcome(Ok(answer)))
    }

    fn ask(
        &self,
        parts: &http::request::Parts,
        target: Option<String>,
    ) -> Result<ClientRequest, InvalidRequest> {
        let target = target.ok_or(InvalidRequest { status: 404, allowed_method: None })?;
        // Without the layer that checks credentials nothing expires.
        let valid_until = parts.extensions.get::<Grant>().and_then(|grant| grant.expires_at);
        let grant = Grant { target, expires_at: valid_until };
        let known = only(&parts.headers, &IF_NONE_MATCH).map(bare_tag);
        let (core, method) = (&self.handle.core, parts.method.as_str());
        signed::parse_request(
            &core.settings(),
            method,
            &grant,
            core.generate_request_id(),
            known,
            Bytes::new(),
        )
    }

    fn hand_over(&self, ask: ClientRequest, client: Option<&ClientHandle>) -> PendingResponse {
        match client {
            Some(client) => self.handle.core.submit_for_client(ask, client.clone()),
            None => self.handle.core.submit(ask),
        }
    }

    fn bad<R: From<Bytes>>(&self, status: u16, allow: Option<&'static str>) -> Response<R> {
        self.counts.increment("bad_request");
        let mut response = super::empty(status);
        response.headers_mut().extend(allow.map(|m| (ALLOW, HeaderValue::from_static(m))));
        response
    }
}

/// The grant that [`SignedLayer`](super::SignedLayer) left; without it a handler is not called, and the
/// client gets a 403.
#[cfg(feature = "axum")]
impl<S: Sync> axum_core::extract::FromRequestParts<S> for Grant {
    type Rejection = http::StatusCode;

    async fn from_request_parts(parts: &mut http::request::Parts, _: &S) -> Result<Self, http::StatusCode> {
        parts.extensions.get::<Grant>().cloned().ok_or(http::StatusCode::FORBIDDEN)
    }
}
