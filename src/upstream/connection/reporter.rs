//! What a connection reports to the dispatcher and to its endpoint's actor.

use crate::dispatch::{
    AttemptError, AttemptId, AttemptResult, DispatcherMessage, DispatcherSender, EndpointCommand,
    HealthReport,
};
use tokio::sync::mpsc;

/// Names a connection to its endpoint's actor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::upstream) struct ConnectionId(pub(in crate::upstream) u64);

/// What a connection reports to its endpoint's actor.
pub(in crate::upstream) enum ConnectionEvent {
    /// It has come up.
    Up(ConnectionId),
    /// It no longer carries the attempt.
    AttemptDone(ConnectionId, AttemptId),
    /// It may be dead and should get nothing new.
    Unresponsive(ConnectionId),
    /// It has ended; these commands were not written.
    Closed(ConnectionId, Vec<EndpointCommand>),
}

/// Sends the reports of one connection. An actor that has ended needs none.
pub(in crate::upstream) struct Reporter {
    connection: ConnectionId,
    dispatcher: DispatcherSender,
    actor: mpsc::Sender<ConnectionEvent>,
}

impl Reporter {
    /// Reports for this connection.
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

    /// Returns the commands to the actor; gives them back if it has ended.
    pub(super) async fn closed(&self, unsent: Vec<EndpointCommand>) -> Vec<EndpointCommand> {
        match self.actor.send(ConnectionEvent::Closed(self.connection, unsent)).await {
            Err(mpsc::error::SendError(ConnectionEvent::Closed(_, unsent))) => unsent,
            _ => Vec::new(),
        }
    }

    /// The attempt's request has been written completely.
    pub(super) async fn attempt_written(&self, attempt: AttemptId) {
        self.dispatcher.send(DispatcherMessage::AttemptWritten(attempt)).await;
    }

    /// The attempt has ended.
    pub(super) async fn attempt_ended(&self, attempt: AttemptId, result: AttemptResult) {
        self.dispatcher.send(DispatcherMessage::AttemptEnded(attempt, result)).await;
        self.attempt_done(attempt).await;
    }

    /// The attempt was cancelled by command; the error says how far it had come.
    pub(super) async fn attempt_cancelled(&self, attempt: AttemptId, error: AttemptError) {
        self.dispatcher.send(DispatcherMessage::AttemptCancelled(attempt, error)).await;
    }

    /// The connection no longer carries the attempt.
    pub(super) async fn attempt_done(&self, attempt: AttemptId) {
        let _ = self.actor.send(ConnectionEvent::AttemptDone(self.connection, attempt)).await;
    }

    pub(super) async fn health_checked(&self, number: u64, result: Result<HealthReport, AttemptError>) {
        self.dispatcher.send(DispatcherMessage::HealthChecked(number, result)).await;
    }
}
