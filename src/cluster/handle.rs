//! The handle by which the rest of the process sends commands to the actor.

use crate::replication::entry::{DrainCommand, Key, Kind};
use crate::replication::state::MergeError;
use tokio::sync::{mpsc, oneshot};

/// Commands that may wait for the actor; a sender that finds the queue full waits.
pub(super) const COMMAND_QUEUE_CAPACITY: usize = 64;

/// The effect of an operator's change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeEffect {
    /// The state has changed, and peers are sent the update.
    Changed,
    /// The state was already so.
    Unchanged,
}

/// The reply to an operator's change: its effect, or why it cannot be stored.
pub type ChangeReply = oneshot::Sender<Result<ChangeEffect, MergeError>>;

/// A command to the actor, from this process.
#[derive(Debug)]
pub enum ClusterCommand {
    /// An operator drains or undrains a server.
    SetDrain {
        /// The name of the server.
        server: String,
        /// Whether it is to drain.
        command: DrainCommand,
        /// Where the reply goes.
        reply: ChangeReply,
    },
    /// An operator purges this key as of now.
    Purge {
        /// The key.
        key: Key,
        /// Where the reply goes.
        reply: ChangeReply,
    },
    /// Asks for the status of this director and its peers, as JSON.
    Status(oneshot::Sender<String>),
    /// Asks for all entries of a kind, a line each.
    List {
        /// The kind.
        kind: Kind,
        /// Where the reply goes.
        reply: oneshot::Sender<Vec<String>>,
    },
    /// Asks for the name of the present stage of catching up.
    Stage(oneshot::Sender<&'static str>),
    /// Leaves the cluster and writes what is not yet written.
    Leave(oneshot::Sender<()>),
}

/// A handle of the actor, cheap to clone. The actor ends when the last one is dropped.
#[derive(Clone, Debug)]
pub struct ClusterHandle(pub(super) mpsc::Sender<ClusterCommand>);

impl ClusterHandle {
    /// Sends a command and waits for its reply; none if the actor has ended.
    pub async fn send<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> ClusterCommand) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.0.send(command(reply)).await.ok()?;
        answer.await.ok()
    }
}
