//! A transport that the host application provides: one asynchronous function that carries an attempt.
//!
//! Each attempt is a task of its own on the director's thread. A task that panics, is dropped or never ends
//! is an attempt that may have run; it affects nothing else.

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

/// What a host's function returns.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// How the host application reaches endpoints.
pub trait Exchange: Send + Sync + 'static {
    /// Carries one attempt to an endpoint and returns its result. The future is dropped when the attempt is
    /// cancelled; it runs on the director's thread and must not block it. Unless it can prove that the
    /// attempt did not run it must return [`AttemptError::Unanswered`]: a write is sent again only after an
    /// error that proves it.
    ///
    /// A site may allow no cancellation. A future that waits before its first byte, for example for a
    /// connection, must call
    /// [`CancellationToken::check_client`](crate::dispatch::CancellationToken::check_client) of the attempt
    /// as the last thing before that byte, and return [`AttemptError::Cancelled`] if it is cancelled.
    fn exchange(&self, endpoint: &Endpoint, request: UpstreamRequest) -> BoxFuture<AttemptResult>;

    /// Checks an endpoint's health. By default every endpoint is healthy.
    fn check_health(&self, _endpoint: &Endpoint) -> BoxFuture<Result<HealthReport, AttemptError>> {
        Box::pin(std::future::ready(Ok(HealthReport { healthy: true, load_report: Vec::new() })))
    }
}

/// Reaches endpoints by an [`Exchange`].
#[derive(Debug)]
pub struct HostTransport<E>(Arc<E>);

impl<E: Exchange> HostTransport<E> {
    /// Reaches endpoints by this exchange.
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

/// Starts a task for each attempt at one endpoint.
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
                    // The end of its task tells the dispatcher whether it had begun.
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
    // Waited for first: nothing may come between the last check of the client and the exchange.
    let Some(permit) = dispatcher.reserve().await else { return };
    if request.cancellation.check_client() {
        guard.is_reported = true;
        permit.send(DispatcherMessage::AttemptEnded(attempt, Err(AttemptError::Cancelled)));
        return;
    }
    guard.error = AttemptError::Unanswered;
    // From here on the time is the endpoint's.
    permit.send(DispatcherMessage::AttemptWritten(attempt));
    let result = exchange.exchange(&endpoint, request).await;
    guard.is_reported = true;
    dispatcher.send(DispatcherMessage::AttemptEnded(attempt, result)).await;
}

/// Reports how far an attempt had come if its task ends without a report.
struct AttemptGuard {
    is_reported: bool,
    attempt: AttemptId,
    dispatcher: DispatcherSender,
    /// How the attempt ends if its task ends now.
    error: AttemptError,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.is_reported {
            // Full: the dispatcher's own timeout ends the attempt.
            self.dispatcher.try_send(DispatcherMessage::AttemptEnded(self.attempt, Err(self.error)));
        }
    }
}
