//! The messages that the dispatcher's actor receives, and the mailbox to which they are sent.

use crate::dispatch::membership::DrainCommand;
use crate::dispatch::membership::Endpoint;
use crate::dispatch::request::{ClientRequest, ClientResponse};
use crate::dispatch::{
    AttemptError, AttemptId, AttemptResult, CancellationToken, DispatcherMetrics, HealthReport,
};
use crate::policy::types::{Micros, RequestId, Settings};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// A client's request, as submitted to the actor.
#[derive(Debug)]
pub struct SubmittedRequest {
    /// The request's number at the dispatcher.
    pub id: RequestId,
    /// What the client requested.
    pub request: ClientRequest,
    /// Receives the only, final response.
    pub responder: oneshot::Sender<ClientResponse>,
    /// Cancelled once the request is answered or its client has disconnected.
    pub cancellation: CancellationToken,
}

/// A message to the actor.
#[derive(Debug)]
pub enum DispatcherMessage {
    /// A client submitted this request.
    Request(Box<SubmittedRequest>),
    /// The client of this request has disconnected.
    ClientCancelled(RequestId),
    /// An attempt has ended with this result.
    AttemptEnded(AttemptId, AttemptResult),
    /// The health check with this number has ended.
    HealthChecked(u64, Result<HealthReport, AttemptError>),
    /// An update of the director's own endpoint list.
    Members {
        /// Whether this is the complete list rather than a change to it.
        full: bool,
        /// The endpoints that are listed or changed.
        members: Vec<Endpoint>,
    },
    /// A server's entry in the state that directors replicate has changed. Where it contradicts the
    /// director's own list, the report on the later process is in force, or else the one that excludes the
    /// server further.
    ReplicatedMember(Box<Endpoint>),
    /// An attempt has been completely written.
    AttemptWritten(AttemptId),
    /// An attempt was cancelled by command. The error shows how far the attempt had come.
    AttemptCancelled(AttemptId, AttemptError),
    /// Drain a server, or end its drain.
    Drain {
        /// The server's name.
        name: Arc<str>,
        /// Whether to drain the server or to end its drain.
        command: DrainCommand,
        /// Receives whether the server is listed.
        listed: oneshot::Sender<bool>,
    },
    /// New settings, for requests to come.
    Settings {
        /// They replace the settings in force.
        settings: Box<Settings>,
        /// Receives a message once the new settings are in force.
        in_force: oneshot::Sender<()>,
    },
    /// Requests the metrics.
    Metrics(oneshot::Sender<DispatcherMetrics>),
    /// Until the next such message, no copy of any object from before this Unix time (microseconds) is
    /// served. `None` removes the limit.
    NotBefore(Option<Micros>),
    /// Copies from before this purge must not be served.
    Purged {
        /// The purged object. `None` if all objects of the group are purged.
        object: Option<Arc<str>>,
        /// The purged group, if no object is named.
        group: u32,
        /// Unix time of the purge, in microseconds.
        at: Micros,
        /// How long after `at` the purge stays in force, in microseconds, if directors may learn of it late.
        /// 0 means the time that servers need to complete it, according to the settings.
        retention: Micros,
    },
}

/// The mailbox to which connection actors and discovery report. They wait while it is full. It always
/// empties, because the actor itself never waits for them.
#[derive(Clone, Debug)]
pub struct DispatcherSender(mpsc::Sender<DispatcherMessage>);

impl DispatcherSender {
    /// Wraps a mailbox. Used directly to test connection actors without the dispatcher.
    pub fn new(mailbox: mpsc::Sender<DispatcherMessage>) -> Self {
        DispatcherSender(mailbox)
    }

    /// Sends a message if the mailbox has capacity for it. Returns whether it was sent.
    pub fn try_send(&self, message: DispatcherMessage) -> bool {
        self.0.try_send(message).is_ok()
    }

    /// Waits for capacity for one message, so that there is no delay between a last check and sending the
    /// message. Returns `None` if the actor has ended.
    pub async fn reserve(&self) -> Option<mpsc::Permit<'_, DispatcherMessage>> {
        self.0.reserve().await.ok()
    }

    /// Sends a message, waiting for capacity. The message is discarded if the actor has ended.
    pub async fn send(&self, message: DispatcherMessage) {
        let _ = self.0.send(message).await;
    }

    /// Returns the number of messages queued in the mailbox.
    pub(super) fn queued(&self) -> usize {
        self.0.max_capacity() - self.0.capacity()
    }
}
