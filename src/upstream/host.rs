//! A transport that the host application provides: an asynchronous function that performs one attempt.
//!
//! Each attempt runs as a separate task on the director's thread. If the task panics, is dropped or never
//! ends, the attempt counts as one that may have run; nothing else is affected.

use super::COMMAND_QUEUE;
use crate::dispatch::{
    AttemptError, AttemptId, AttemptResult, DispatcherMessage, DispatcherSender, Endpoint, EndpointCommand,
    EndpointConnector, HealthReport, UpstreamRequest,
};
use crate::policy::types::ServerId;
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// The type of future that the methods of an [`Exchange`] return.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// A transport of the host application: sends attempts and health checks to endpoints.
pub trait Exchange: Send + Sync + 'static {
    /// Sends one attempt to an endpoint and returns its result. The future runs on the director's thread,
    /// which it must not block, and is dropped when the attempt is cancelled. On failure it must return
    /// [`AttemptError::Unanswered`] unless it can prove that the attempt did not run: a write is retried only
    /// after an error that proves this.
    ///
    /// Some deployments permit no cancellations at all. A future that waits before it sends its first byte,
    /// for example for a connection, must therefore call
    /// [`CancellationToken::check_client`](crate::dispatch::CancellationToken::check_client) of the request
    /// immediately before that byte, and return [`AttemptError::Cancelled`] if the call returns `true`.
    fn exchange(&self, endpoint: &Endpoint, request: UpstreamRequest) -> BoxFuture<AttemptResult>;

    /// Checks an endpoint's health. The default implementation reports every endpoint as healthy.
    fn check_health(&self, _endpoint: &Endpoint) -> BoxFuture<Result<HealthReport, AttemptError>> {
        Box::pin(std::future::ready(Ok(HealthReport { healthy: true, load_report: Vec::new() })))
    }
}

/// An [`EndpointConnector`] that sends attempts with an [`Exchange`].
#[derive(Debug)]
pub struct HostTransport<E>(Arc<E>);

impl<E: Exchange> HostTransport<E> {
    /// Creates a connector for `exchange`.
    pub fn new(exchange: E) -> Self {
        HostTransport(Arc::new(exchange))
    }
}

impl<E: Exchange> EndpointConnector for HostTransport<E> {
    fn connect(
        &mut self,
        _: ServerId,
        endpoint: &Endpoint,
        dispatcher: DispatcherSender,
    ) -> mpsc::Sender<EndpointCommand> {
        let (sender, commands) = mpsc::channel(COMMAND_QUEUE);
        let actor = ExchangeActor {
            exchange: self.0.clone(),
            endpoint: endpoint.clone(),
            dispatcher,
            attempts: HashMap::new(),
        };
        tokio::task::spawn_local(actor.run(commands));
        sender
    }
}

/// An actor that starts a task for each attempt on one endpoint.
struct ExchangeActor<E> {
    exchange: Arc<E>,
    endpoint: Endpoint,
    dispatcher: DispatcherSender,
    /// Tasks of the attempts in flight.
    attempts: HashMap<AttemptId, AbortHandle>,
}

impl<E: Exchange> ExchangeActor<E> {
    async fn run(mut self, mut commands: mpsc::Receiver<EndpointCommand>) {
        while let Some(command) = commands.recv().await {
            self.attempts.retain(|_, task| !task.is_finished());
            match command {
                EndpointCommand::Send(request) => self.send(request),
                EndpointCommand::Cancel(attempt) => {
                    // When its task is dropped, `AttemptGuard` reports to the dispatcher whether it had
                    // begun.
                    if let Some(task) = self.attempts.remove(&attempt) {
                        task.abort();
                    }
                }
                EndpointCommand::HealthCheck(number) => self.check_health(number),
            }
        }
    }

    fn send(&mut self, request: UpstreamRequest) {
        let attempt = request.attempt_id;
        let guard = AttemptGuard {
            is_reported: false,
            attempt,
            dispatcher: self.dispatcher.clone(),
            error: AttemptError::NotWritten,
        };
        let task = run_attempt(self.exchange.clone(), self.endpoint.clone(), request, guard);
        self.attempts.insert(attempt, tokio::task::spawn_local(task).abort_handle());
    }

    fn check_health(&self, number: u64) {
        let (exchange, endpoint) = (self.exchange.clone(), self.endpoint.clone());
        let dispatcher = self.dispatcher.clone();
        tokio::task::spawn_local(async move {
            let result = exchange.check_health(&endpoint).await;
            dispatcher.send(DispatcherMessage::HealthChecked(number, result)).await;
        });
    }
}

async fn run_attempt<E: Exchange>(
    exchange: Arc<E>,
    endpoint: Endpoint,
    request: UpstreamRequest,
    mut guard: AttemptGuard,
) {
    let (attempt, dispatcher) = (guard.attempt, guard.dispatcher.clone());
    // Reserved before the client is checked, so that nothing is awaited between the check and the exchange.
    let Some(permit) = dispatcher.reserve().await else { return };
    if request.cancellation.check_client() {
        guard.is_reported = true;
        permit.send(DispatcherMessage::AttemptEnded(attempt, Err(AttemptError::Cancelled)));
        return;
    }
    guard.error = AttemptError::Unanswered;
    // The time from here on counts as the endpoint's response time.
    permit.send(DispatcherMessage::AttemptWritten(attempt));
    let result = exchange.exchange(&endpoint, request).await;
    guard.is_reported = true;
    dispatcher.send(DispatcherMessage::AttemptEnded(attempt, result)).await;
}

/// A guard that reports the error of an attempt if its task ends before reporting a result.
struct AttemptGuard {
    is_reported: bool,
    attempt: AttemptId,
    dispatcher: DispatcherSender,
    /// The error to report if the task ends now.
    error: AttemptError,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.is_reported {
            // If the dispatcher's channel is full, its own timeout ends the attempt.
            self.dispatcher.try_send(DispatcherMessage::AttemptEnded(self.attempt, Err(self.error)));
        }
    }
}
