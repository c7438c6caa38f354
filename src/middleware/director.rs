//! The tower service and layer that serve requests through the director.

use super::handler::RequestHandler;
use super::{BodyBudget, Routes};
use crate::config::operator::LibrarySection;
use crate::director::Director;
use crate::dispatch::Dispatcher;
use crate::signed::{Grant, OutcomeCounters};
use crate::upstream::host::BoxFuture;
use bytes::Bytes;
use http::{Request, Response};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::PollSemaphore;
use tower::{Layer, Service};

/// The dispatcher that requests are submitted to. If created from a [`Director`], it keeps a handle to it, so
/// that the director runs as long as the middleware exists.
#[derive(Clone, Debug)]
pub struct DirectorHandle {
    pub(super) dispatcher: Dispatcher,
    _director: Option<Director>,
}

impl From<Dispatcher> for DirectorHandle {
    fn from(dispatcher: Dispatcher) -> Self {
        DirectorHandle { dispatcher, _director: None }
    }
}

impl From<Director> for DirectorHandle {
    fn from(director: Director) -> Self {
        DirectorHandle { dispatcher: director.dispatcher(), _director: Some(director) }
    }
}

/// Serves every request through the director. The path is `/CLASS/OBJECT`, or is matched against the routes.
///
/// The service is ready while the limit allows one more pending request. `poll_ready` reserves a slot, and
/// `call` uses it.
#[derive(Debug)]
pub struct DirectorService {
    handler: Arc<RequestHandler>,
    slots: PollSemaphore,
    reserved_slot: Option<OwnedSemaphorePermit>,
}

impl Clone for DirectorService {
    fn clone(&self) -> Self {
        // A reserved slot belongs to one service and is not cloned.
        DirectorService { handler: self.handler.clone(), slots: self.slots.clone(), reserved_slot: None }
    }
}

impl DirectorService {
    /// Creates a service with the default limits, which counts outcomes in `counts`.
    pub fn new(handle: impl Into<DirectorHandle>, counts: Arc<OutcomeCounters>) -> Self {
        Self::with(handle, counts, None, &LibrarySection::default())
    }

    /// Creates a service with routes and with limits from the operator's file.
    pub fn with(
        handle: impl Into<DirectorHandle>,
        counts: Arc<OutcomeCounters>,
        routes: Option<Routes>,
        limits: &LibrarySection,
    ) -> Self {
        let slots = Arc::new(Semaphore::new(limits.max_open_requests));
        let budget = BodyBudget::new(limits.body_budget_kb * 1024);
        let handle = handle.into();
        let handler = RequestHandler { handle, counts, routes, budget, slots: slots.clone() };
        let slots = PollSemaphore::new(slots);
        DirectorService { handler: Arc::new(handler), slots, reserved_slot: None }
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
    type Future = BoxFuture<Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        if self.reserved_slot.is_none() {
            self.reserved_slot = ready!(self.slots.poll_acquire(cx));
        }
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let handler = self.handler.clone();
        let target = handler.target(request.uri());
        // Without a preceding `poll_ready` no slot is reserved, but one may be free.
        let slot = self.reserved_slot.take().or_else(|| handler.try_acquire_slot());
        Box::pin(async move { Ok(handler.serve(request, target, slot).await) })
    }
}

/// Serves requests that match its routes through the director, and passes all others to the inner service.
#[derive(Clone, Debug)]
pub struct DirectorLayer(Arc<RequestHandler>);

impl DirectorLayer {
    /// Creates a layer with these routes and with limits from the operator's file.
    pub fn new(
        handle: impl Into<DirectorHandle>,
        counts: Arc<OutcomeCounters>,
        routes: Routes,
        limits: &LibrarySection,
    ) -> Self {
        DirectorLayer(DirectorService::with(handle, counts, Some(routes), limits).handler)
    }
}

impl<S> Layer<S> for DirectorLayer {
    type Service = RoutedService<S>;

    fn layer(&self, inner: S) -> RoutedService<S> {
        RoutedService { handler: self.0.clone(), inner }
    }
}

/// The service that a [`DirectorLayer`] creates. It is ready when the inner service is, because only the
/// request shows which of the two it is for. A director without capacity responds with 503, so that it does
/// not block requests for the inner service.
#[derive(Clone, Debug)]
pub struct RoutedService<S> {
    handler: Arc<RequestHandler>,
    inner: S,
}

impl<S, B, R> Service<Request<B>> for RoutedService<S>
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
    type Future = BoxFuture<Result<Response<R>, S::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let Some(target) = self.handler.target(request.uri()) else {
            return Box::pin(self.inner.call(request));
        };
        let handler = self.handler.clone();
        let slot = handler.try_acquire_slot();
        Box::pin(async move { Ok(handler.serve(request, Some(target), slot).await) })
    }
}

/// Extracts the grant that [`SignedLayer`](super::SignedLayer) added to the request. Without one the handler
/// is not called, and the client gets status 403.
#[cfg(feature = "axum")]
impl<S: Sync> axum_core::extract::FromRequestParts<S> for Grant {
    type Rejection = http::StatusCode;

    async fn from_request_parts(parts: &mut http::request::Parts, _: &S) -> Result<Self, http::StatusCode> {
        parts.extensions.get::<Grant>().cloned().ok_or(http::StatusCode::FORBIDDEN)
    }
}
