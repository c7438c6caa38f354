//! The handle that frontends and middleware use, and the future of a request's response.

use super::naming::mix;
use super::published_settings::SettingsVersions;
use crate::dispatch::request::{ClientRequest, ClientResponse, FailureReason};
use crate::dispatch::{
    CancellationToken, Client, DispatcherMessage, DispatcherMetrics, DispatcherSender, DrainCommand,
    SubmittedRequest,
};
use crate::policy::types::{RequestId, RequestRules, Settings};
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Time after which a client should retry if the dispatcher was at capacity.
pub(super) const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// 2^64 divided by the golden ratio. It makes the ids of consecutive request numbers look unrelated.
const ID_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// A handle to the dispatcher, for frontends and middleware.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    mailbox: mpsc::Sender<DispatcherMessage>,
    next_number: Arc<AtomicU64>,
    seed: u64,
    settings: watch::Receiver<SettingsVersions>,
}

impl Dispatcher {
    pub(super) fn new(
        mailbox: mpsc::Sender<DispatcherMessage>,
        seed: u64,
        settings: watch::Receiver<SettingsVersions>,
    ) -> Self {
        Dispatcher { mailbox, next_number: Arc::new(AtomicU64::new(1)), seed, settings }
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.borrow().current.clone()
    }

    /// Returns the settings in force and earlier ones that apply to requests that began under them.
    pub fn settings_in_use(&self) -> Vec<Arc<Settings>> {
        self.settings.borrow().in_use()
    }

    /// Returns the rules for a request of the class with this name, or `None` if the settings in force have
    /// no such class. They stay valid for the request, however often the settings change.
    pub fn class_rules(&self, class_name: &str) -> Option<RequestRules> {
        RequestRules::of_class(self.settings(), class_name)
    }

    /// Replaces the settings for requests to come, and returns once the new ones are in force. Returns `None`
    /// if the actor has ended.
    pub async fn reload(&self, settings: Settings) -> Option<()> {
        let (in_force, replaced) = oneshot::channel();
        let message = DispatcherMessage::Settings { settings: Box::new(settings), in_force };
        self.mailbox.send(message).await.ok()?;
        replaced.await.ok()
    }

    /// Returns the metrics, or `None` if the actor has ended.
    pub async fn metrics(&self) -> Option<DispatcherMetrics> {
        let (reply, metrics) = oneshot::channel();
        self.mailbox.send(DispatcherMessage::Metrics(reply)).await.ok()?;
        metrics.await.ok()
    }

    /// Returns a new id of 16 hex digits, for a request that has none.
    pub fn generate_request_id(&self) -> Arc<str> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}", mix(self.seed.wrapping_add(number.wrapping_mul(ID_INCREMENT)))).into()
    }

    /// Submits a request. Dropping the [`PendingResponse`] cancels it.
    pub fn submit(&self, request: ClientRequest) -> PendingResponse {
        self.submit_with(request, CancellationToken::default())
    }

    /// Submits a request whose client can be checked for a disconnect. The request counts as cancelled as
    /// soon as the client has disconnected, even before the [`PendingResponse`] is dropped.
    pub fn submit_for_client(
        &self,
        request: ClientRequest,
        client: impl Client + 'static,
    ) -> PendingResponse {
        self.submit_with(request, CancellationToken::for_client(client))
    }

    fn submit_with(&self, request: ClientRequest, cancellation: CancellationToken) -> PendingResponse {
        let id = RequestId(self.next_number.fetch_add(1, Ordering::Relaxed));
        let (responder, response) = oneshot::channel();
        let submitted = SubmittedRequest { id, request, responder, cancellation: cancellation.clone() };
        // If the mailbox is full, the request is rejected immediately. This is harmless, because nothing has
        // run.
        let sent = self.mailbox.try_send(DispatcherMessage::Request(Box::new(submitted)));
        let not_accepted = match &sent {
            Err(mpsc::error::TrySendError::Closed(_)) => FailureReason::ShuttingDown,
            _ => FailureReason::Overloaded,
        };
        let response = sent.is_ok().then_some(response);
        PendingResponse { id, response, cancellation, not_accepted, mailbox: self.mailbox.clone() }
    }

    /// Returns whether the actor has ended.
    pub fn has_ended(&self) -> bool {
        self.mailbox.is_closed()
    }

    /// Drains a server or ends its drain, with precedence over the server's source. Returns whether the
    /// server is listed, or `None` if the actor has ended.
    pub async fn drain(&self, name: &str, command: DrainCommand) -> Option<bool> {
        let (reply, listed) = oneshot::channel();
        let message = DispatcherMessage::Drain { name: name.into(), command, listed: reply };
        self.mailbox.send(message).await.ok()?;
        listed.await.ok()
    }

    /// Returns the mailbox to which connection actors and discovery report.
    pub fn sender(&self) -> DispatcherSender {
        DispatcherSender::new(self.mailbox.clone())
    }
}

/// A request whose response is awaited. Dropping it cancels the request.
#[derive(Debug)]
pub struct PendingResponse {
    id: RequestId,
    /// `None` once the response has been received, or if the request was not accepted.
    response: Option<oneshot::Receiver<ClientResponse>>,
    cancellation: CancellationToken,
    /// Why the request was not accepted, if it was not.
    not_accepted: FailureReason,
    mailbox: mpsc::Sender<DispatcherMessage>,
}

impl Future for PendingResponse {
    type Output = ClientResponse;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<ClientResponse> {
        let Some(response) = self.response.as_mut() else {
            let overloaded = self.not_accepted == FailureReason::Overloaded;
            let retry_after = overloaded.then_some(OVERLOAD_RETRY_AFTER);
            return Poll::Ready(ClientResponse::Rejected { retry_after, reason: self.not_accepted });
        };
        let response = std::task::ready!(Pin::new(response).poll(cx));
        self.response = None;
        // If the actor has ended, it is unknown whether the request ran.
        Poll::Ready(response.unwrap_or(ClientResponse::Failed(FailureReason::ShuttingDown)))
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if self.response.is_some() {
            self.cancellation.cancel();
            // If the mailbox is full, the actor notices the disconnect when it would send another attempt,
            // when it has a response, or when the deadline passes.
            let _ = self.mailbox.try_send(DispatcherMessage::ClientCancelled(self.id));
        }
    }
}
