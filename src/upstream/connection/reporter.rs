//! Reports from a connection to the dispatcher and to its endpoint's actor.

use crate::dispatch::{
    AttemptError, AttemptId, AttemptResult, DispatcherMessage, DispatcherSender, EndpointCommand,
    HealthReport,
};
use tokio::sync::mpsc;

/// The id of a connection, unique within its endpoint's actor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::upstream) struct ConnectionId(pub(in crate::upstream) u64);

/// A report from a connection to its endpoint's actor.
pub(in crate::upstream) enum ConnectionEvent {
    /// The connection is established.
    Up(ConnectionId),
    /// The connection no longer carries the attempt.
    AttemptDone(ConnectionId, AttemptId),
    /// The connection may be broken and should get no new requests.
    Unresponsive(ConnectionId),
    /// The connection has closed; these commands were not written.
    Closed(ConnectionId, Vec<EndpointCommand>),
}

/// Sends the reports of one connection. Reports to an actor that has ended are dropped.
pub(in crate::upstream) struct Reporter {
    connection: ConnectionId,
    dispatcher: DispatcherSender,
    actor: mpsc::Sender<ConnectionEvent>,
}

impl Reporter {
    /// Creates the reporter of a connection.
    pub(in crate::upstream) fn new(
        connection: ConnectionId,
        dispatcher: DispatcherSender,
        actor: mpsc::Sender<ConnectionEvent>,
    ) -> Self {
        Reporter { connection, dispatcher, actor }
    }

    pub(super) async fn up(&self) {
        let _ = self.actor.send(ConnectionEvent::Up(self.connection)).await;
    }

    pub(super) async fn unresponsive(&self) {
        let _ = self.actor.send(ConnectionEvent::Unresponsive(self.connection)).await;
    }

    /// Reports that the connection has closed and passes the unsent commands to the actor. Returns them if
    /// the actor has ended, otherwise an empty list.
    pub(super) async fn closed(&self, unsent: Vec<EndpointCommand>) -> Vec<EndpointCommand> {
        match self.actor.send(ConnectionEvent::Closed(self.connection, unsent)).await {
            Err(mpsc::error::SendError(ConnectionEvent::Closed(_, unsent))) => unsent,
            _ => Vec::new(),
        }
    }

    /// Reports that the attempt's request has been written completely.
    pub(super) async fn attempt_written(&self, attempt: AttemptId) {
        self.dispatcher.send(DispatcherMessage::AttemptWritten(attempt)).await;
    }

    /// Reports the result of an attempt to the dispatcher, and its end to the actor.
    pub(super) async fn attempt_ended(&self, attempt: AttemptId, result: AttemptResult) {
        self.dispatcher.send(DispatcherMessage::AttemptEnded(attempt, result)).await;
        self.attempt_done(attempt).await;
    }

    /// Reports that an attempt was cancelled by command; `error` states how much of it had been written.
    pub(super) async fn attempt_cancelled(&self, attempt: AttemptId, error: AttemptError) {
        self.dispatcher.send(DispatcherMessage::AttemptCancelled(attempt, error)).await;
    }

    /// Reports to the actor that the connection no longer carries the attempt.
    pub(super) async fn attempt_done(&self, attempt: AttemptId) {
        let _ = self.actor.send(ConnectionEvent::AttemptDone(self.connection, attempt)).await;
    }

    pub(super) async fn health_checked(&self, number: u64, result: Result<HealthReport, AttemptError>) {
        self.dispatcher.send(DispatcherMessage::HealthChecked(number, result)).await;
    }
}
