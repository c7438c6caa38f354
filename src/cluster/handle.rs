//! The commands to the actor, and the handle that sends them.

use crate::replication::entry::{DrainCommand, Key, Kind};
use crate::replication::state::MergeError;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of commands queued for the actor. Senders wait while the queue is full.
pub(super) const COMMAND_QUEUE_CAPACITY: usize = 64;

/// The effect of an operator's change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeEffect {
    /// The state changed, and the update is sent to peers.
    Changed,
    /// The state already had the requested value.
    Unchanged,
}

/// Sends the reply to an operator's change: its effect, or why it could not be stored.
pub type ChangeReply = oneshot::Sender<Result<ChangeEffect, MergeError>>;

/// A command from this process to the actor.
#[derive(Debug)]
pub enum ClusterCommand {
    /// Drains or undrains a server on behalf of an operator.
    SetDrain {
        /// The server's name, at most [`MAX_NAME_BYTES`](crate::replication::state::MAX_NAME_BYTES) bytes.
        server: String,
        /// Whether to drain or undrain the server.
        command: DrainCommand,
        /// Receives the reply.
        reply: ChangeReply,
    },
    /// Purges copies older than the present time, on behalf of an operator.
    Purge {
        /// The object or group to purge.
        key: Key,
        /// Receives the reply.
        reply: ChangeReply,
    },
    /// Requests the status of this director and its peers as JSON.
    Status(oneshot::Sender<String>),
    /// Requests all entries of a kind, one line per entry.
    List {
        /// The kind of entries to list.
        kind: Kind,
        /// Receives the reply.
        reply: oneshot::Sender<Vec<String>>,
    },
    /// Requests the name of the present catch-up stage.
    Stage(oneshot::Sender<&'static str>),
    /// Leaves the cluster, writes pending changes to disk and ends the actor.
    Leave(oneshot::Sender<()>),
}

/// A handle to the actor, cheap to clone. The actor ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct ClusterHandle(pub(super) mpsc::Sender<ClusterCommand>);

impl ClusterHandle {
    /// Sends a command and waits for its reply. Returns `None` if the actor has ended.
    pub async fn send<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> ClusterCommand) -> Option<T> {
        let (reply, receiver) = oneshot::channel();
        self.0.send(command(reply)).await.ok()?;
        receiver.await.ok()
    }
}
