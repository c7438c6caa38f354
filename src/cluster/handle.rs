//! The handle by which the rest of the process sends commands to the actor.

use crate::replication::entry::{Key, Kind};
use crate::replication::state::MergeError;
use tokio::sync::{mpsc, oneshot};

/// Commands that may wait for the actor; a sender that finds the queue full waits.
pub(super) const COMMAND_QUEUE: usize = 64;

/// A command to the actor, from this process.
#[derive(Debug)]
pub enum ClusterCommand {
    /// An operator drains this server, or ends its drain. Replies whether that changed anything, or why it
    /// can't be stored.
    Drain(String, bool, oneshot::Sender<Result<bool, MergeError>>),
    /// An operator purges this key as of now. Replies as [`ClusterCommand::Drain`] does.
    Purge(Key, oneshot::Sender<Result<bool, MergeError>>),
    /// Asks for the status of this director and its peers, as JSON.
    Status(oneshot::Sender<String>),
    /// Asks for all entries of a kind, a line each.
    List(Kind, oneshot::Sender<Vec<String>>),
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
    pub async fn send<T>(&self, order: impl FnOnce(oneshot::Sender<T>) -> ClusterCommand) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.0.send(order(reply)).await.ok()?;
        answer.await.ok()
    }
}
