//! Handling of one HTTP request: from its target and body to the director's response.

use super::{empty_response, single_header, to_response, BodyBudget, DirectorHandle, Routes};
use crate::dispatch::{
    bare_tag, ClientHandle, ClientRequest, ClientResponse, FailureReason, PendingResponse, MAX_WRITE_BYTES,
};
use crate::signed::{self, Grant, InvalidRequest, OutcomeCounters};
use bytes::Bytes;
use http::header::{ALLOW, IF_NONE_MATCH};
use http::{HeaderValue, Request, Response, Uri};
use http_body_util::{BodyExt, Limited};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// `Retry-After` of a request rejected for lack of capacity.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles requests through the director, with limits on their number and on the bytes of their bodies.
#[derive(Debug)]
pub(super) struct RequestHandler {
    pub(super) handle: DirectorHandle,
    pub(super) counts: Arc<OutcomeCounters>,
    pub(super) routes: Option<Routes>,
    pub(super) budget: BodyBudget,
    pub(super) slots: Arc<Semaphore>,
}

impl RequestHandler {
    /// Returns the target for the director, `/CLASS/OBJECT` with the query, or `None` if no route matches.
    pub(super) fn target(&self, uri: &Uri) -> Option<String> {
        let Some(routes) = &self.routes else {
            return Some(uri.path_and_query().map_or("/", |p| p.as_str()).to_owned());
        };
        let (class, object) = routes.find(uri.path())?;
        let query = uri.query().map_or(String::new(), |q| format!("?{q}"));
        Some(format!("/{class}/{object}{query}"))
    }

    /// Acquires a slot for a pending request, or returns `None` if none is free.
    pub(super) fn try_acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        self.slots.clone().try_acquire_owned().ok()
    }

    /// Serves one request. Dropping the future cancels the request at any stage.
    pub(super) async fn serve<B, R>(
        &self,
        request: Request<B>,
        target: Option<String>,
        slot: Option<OwnedSemaphorePermit>,
    ) -> Response<R>
    where
        B: http_body::Body + Send + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
        R: From<Bytes>,
    {
        if slot.is_none() {
            return self.overloaded();
        }
        let (parts, body) = request.into_parts();
        let request = match self.client_request(&parts, target) {
            Ok(request) => request,
            Err(invalid) => return self.bad_request(invalid.status, invalid.allowed_method),
        };
        let Ok(mut reservation) = self.budget.reserve(max_body_bytes(&body)) else {
            return self.overloaded();
        };
        let Ok(body) = Limited::new(body, MAX_WRITE_BYTES).collect().await else {
            return self.bad_request(413, None);
        };
        let body = body.to_bytes();
        reservation.shrink(body.len());
        let client = parts.extensions.get::<ClientHandle>();
        let response = self.submit(ClientRequest { body, ..request }, client).await;
        to_response(&self.counts, signed::to_http_outcome(Ok(response)))
    }

    fn client_request(
        &self,
        parts: &http::request::Parts,
        target: Option<String>,
    ) -> Result<ClientRequest, InvalidRequest> {
        let target = target.ok_or(InvalidRequest { status: 404, allowed_method: None })?;
        // Without the signed layer there is no grant, and the request has no expiry.
        let expires_at = parts.extensions.get::<Grant>().and_then(|grant| grant.expires_at);
        let grant = Grant { target, expires_at };
        let etag = single_header(&parts.headers, &IF_NONE_MATCH).map(bare_tag);
        let (dispatcher, method) = (&self.handle.dispatcher, parts.method.as_str());
        let id = dispatcher.generate_request_id();
        signed::parse_request(dispatcher.settings(), method, &grant, id, etag, Bytes::new())
    }

    fn submit(&self, request: ClientRequest, client: Option<&ClientHandle>) -> PendingResponse {
        match client {
            Some(client) => self.handle.dispatcher.submit_for_client(request, client.clone()),
            None => self.handle.dispatcher.submit(request),
        }
    }

    fn overloaded<R: From<Bytes>>(&self) -> Response<R> {
        let retry_after = Some(OVERLOAD_RETRY_AFTER);
        let rejected = ClientResponse::Rejected { retry_after, reason: FailureReason::Overloaded };
        to_response(&self.counts, signed::to_http_outcome(Ok(rejected)))
    }

    fn bad_request<R: From<Bytes>>(&self, status: u16, allow: Option<&'static str>) -> Response<R> {
        self.counts.increment("bad_request");
        let mut response = empty_response(status);
        response.headers_mut().extend(allow.map(|methods| (ALLOW, HeaderValue::from_static(methods))));
        response
    }
}

/// Returns the bytes to reserve for a body: its maximum length if known, otherwise [`MAX_WRITE_BYTES`].
fn max_body_bytes(body: &impl http_body::Body) -> usize {
    body.size_hint().upper().map_or(MAX_WRITE_BYTES, |bytes| bytes.min(MAX_WRITE_BYTES as u64) as usize)
}
