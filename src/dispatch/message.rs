//! The messages that the dispatcher's actor receives, and the mailbox that they are sent to.

use crate::dispatch::membership::DrainCommand;
use crate::dispatch::membership::Endpoint;
use crate::dispatch::request::{ClientRequest, ClientResponse};
use crate::dispatch::{
    AttemptError, AttemptId, AttemptResult, CancellationToken, DispatcherMetrics, HealthReport,
};
use crate::policy::types::{Micros, RequestId, Settings};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// A client's request as it is handed to the actor.
#[derive(Debug)]
pub struct SubmittedRequest {
    /// The request's number at the dispatcher.
    pub id: RequestId,
    /// The request.
    pub request: ClientRequest,
    /// Takes the one final response.
    pub responder: oneshot::Sender<ClientResponse>,
    /// Cancelled once the request is answered or its client has disconnected.
    pub cancellation: CancellationToken,
}

/// A message to the actor.
#[derive(Debug)]
pub enum DispatcherMessage {
    /// A client's request.
    Request(Box<SubmittedRequest>),
    /// The client of this request has disconnected.
    ClientCancelled(RequestId),
    /// An attempt has ended.
    AttemptEnded(AttemptId, AttemptResult),
    /// The health check of this number has ended.
    HealthChecked(u64, Result<HealthReport, AttemptError>),
    /// An update of the endpoint list.
    Members {
        /// Whether this is the complete list.
        full: bool,
        /// The entries.
        members: Vec<Endpoint>,
    },
    /// An attempt was written completely.
    AttemptWritten(AttemptId),
    /// How far an attempt had come when it was cancelled by command.
    AttemptCancelled(AttemptId, AttemptError),
    /// Drain a server, or end its drain.
    Drain {
        /// The server's name.
        name: Arc<str>,
        /// What is wanted.
        command: DrainCommand,
        /// Takes whether the server is listed.
        listed: oneshot::Sender<bool>,
    },
    /// Other settings, for requests to come.
    Settings(Box<Settings>),
    /// Asks for the metrics.
    Metrics(oneshot::Sender<DispatcherMetrics>),
    /// Until further notice no copy from before this Unix time (microseconds) is served, of whatever object.
    NotBefore(Option<Micros>),
    /// Copies older than this are not to be served.
    Purged {
        /// One object, or all of the group.
        object: Option<Arc<str>>,
        /// The group.
        group: u32,
        /// Unix time of the purge in microseconds.
        at: Micros,
        /// The purge is in force for so long after that, in microseconds, where directors may hear of it
        /// late; 0: for as long as the settings say that servers need to complete it.
        retention: Micros,
    },
}

/// The mailbox to which connection actors and discovery report. A full mailbox makes them wait: the actor
/// itself waits for nobody, so it empties.
#[derive(Clone, Debug)]
pub struct DispatcherSender(mpsc::Sender<DispatcherMessage>);

impl DispatcherSender {
    /// Wraps a mailbox, for connection actors that are tested without the dispatcher.
    pub fn new(mailbox: mpsc::Sender<DispatcherMessage>) -> Self {
        DispatcherSender(mailbox)
    }

    /// Sends a message if there is capacity for it; whether there was.
    pub fn try_send(&self, message: DispatcherMessage) -> bool {
        self.0.try_send(message).is_ok()
    }

    /// Waits for capacity for one message, so that nothing can come between a last check and its sending;
    /// none: the actor has ended.
    pub async fn reserve(&self) -> Option<mpsc::Permit<'_, DispatcherMessage>> {
        self.0.reserve().await.ok()
    }

    /// Sends a message; an actor that has ended needs none.
    pub async fn send(&self, message: DispatcherMessage) {
        let _ = self.0.send(message).await;
    }

    /// Messages that wait in the mailbox.
    pub(super) fn queued(&self) -> usize {
        self.0.max_capacity() - self.0.capacity()
    }
}
