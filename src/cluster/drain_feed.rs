//! Delivers operators' drain overrides to the dispatcher, with retries until it has applied them.

use super::LOG_TARGET;
use crate::discovery::WatchScope;
use crate::dispatch::{DispatcherMessage, DispatcherSender};
use crate::replication::entry::{DrainCommand, Key, Kind, Value};
use crate::replication::state::ReplicatedState;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::sync::oneshot::{self, error::TryRecvError};
use tokio::time::Instant;

/// Delay before a drain that the dispatcher could not apply is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// A queue of drain overrides for the dispatcher.
pub(super) struct DrainFeed {
    /// Whether the replicated endpoint list is the dispatcher's.
    scope: WatchScope,
    /// Servers whose drain override is to be sent, and the earliest time to send it.
    due: BTreeMap<String, Instant>,
    /// Servers whose drain was sent, and the dispatcher's pending replies.
    unanswered: Vec<(String, oneshot::Receiver<bool>)>,
    /// Servers whose drain was sent, and neither has failed nor was ended since.
    sent_servers: BTreeSet<String>,
}

impl DrainFeed {
    /// Creates an empty queue.
    pub(super) fn new(scope: WatchScope) -> DrainFeed {
        DrainFeed { scope, due: BTreeMap::new(), unanswered: Vec::new(), sent_servers: BTreeSet::new() }
    }

    /// Logs that the drain override of a server was set or cleared, and schedules it for the next flush.
    pub(super) fn handle_change(&mut self, server: &str, command: DrainCommand) {
        match command {
            DrainCommand::Drain => {
                tracing::info!(target: LOG_TARGET, server = %server, "drain override set")
            }
            DrainCommand::Undrain => {
                tracing::info!(target: LOG_TARGET, server = %server, "drain override cleared")
            }
        }
        self.schedule(server);
    }

    /// Schedules a server's drain override for the next flush.
    pub(super) fn schedule(&mut self, server: &str) {
        self.due.insert(server.to_owned(), Instant::now());
    }

    /// Collects the dispatcher's replies. The drain of a server that the dispatcher does not list is sent
    /// again after [`RETRY_INTERVAL`], as the server may be listed later.
    pub(super) fn collect_replies(&mut self, now: Instant) {
        let mut unanswered = std::mem::take(&mut self.unanswered);
        unanswered.retain_mut(|(server, reply)| match reply.try_recv() {
            Ok(true) => false,
            Err(TryRecvError::Empty) => true,
            Ok(false) | Err(TryRecvError::Closed) => {
                self.sent_servers.remove(&*server);
                self.due.insert(std::mem::take(server), now + RETRY_INTERVAL);
                false
            }
        });
        self.unanswered = unanswered;
    }

    /// Sends the drain overrides that are due, as far as the dispatcher's mailbox has capacity.
    pub(super) fn flush(&mut self, dispatcher: &DispatcherSender, state: &ReplicatedState, now: Instant) {
        let due = self.due.iter().filter(|(_, at)| **at <= now).map(|(server, _)| server.clone());
        let due: Vec<String> = due.collect();
        for server in due {
            self.due.remove(&server);
            let Some(command) = self.drain_in_force(state, &server) else { continue };
            if command == DrainCommand::Undrain && !self.sent_servers.contains(&server) {
                continue;
            }
            let Some(reply) = send(dispatcher, &server, command) else {
                self.due.insert(server, now);
                break;
            };
            match command {
                DrainCommand::Drain => {
                    self.sent_servers.insert(server.clone());
                    self.unanswered.push((server, reply));
                }
                DrainCommand::Undrain => {
                    self.sent_servers.remove(&server);
                }
            }
        }
    }

    /// Schedules a server's drain to be sent again if it is in force, as the dispatcher discards it when
    /// another process runs under the server's name.
    pub(super) fn recheck(&mut self, server: &str, state: &ReplicatedState) {
        if self.drain_in_force(state, server) == Some(DrainCommand::Drain) {
            self.schedule(server);
        }
    }

    /// Returns the drain command that applies to the process listed under a server's name. A drain of an
    /// earlier process counts as an undrain. Returns `None` if there is no command, the server is gone, or
    /// its endpoint is not known yet.
    fn drain_in_force(&self, state: &ReplicatedState, server: &str) -> Option<DrainCommand> {
        let Some(Value::Drain(drain)) = state.get(&Key::Drain(server.into())) else { return None };
        if self.scope == WatchScope::PurgesOnly {
            return Some(drain.command()); // The replicated list says nothing of the dispatcher's servers.
        }
        match state.get(&Key::Endpoint(server.into())) {
            Some(Value::Endpoint(_, record)) if record.is_gone() => None,
            Some(Value::Endpoint(_, record)) if record.started_at > drain.started_at => {
                Some(DrainCommand::Undrain)
            }
            // The command is sent once the server is listed. If no endpoint list is replicated, the
            // dispatcher has the server from its own source.
            None if state.count(Kind::Members) > 0 => None,
            _ => Some(drain.command()),
        }
    }
}

/// Sends a command to the dispatcher and returns the receiver of its reply, or `None` if the mailbox is full.
fn send(
    dispatcher: &DispatcherSender,
    server: &str,
    command: DrainCommand,
) -> Option<oneshot::Receiver<bool>> {
    let (reply, receiver) = oneshot::channel();
    let message = DispatcherMessage::Drain { name: server.into(), command, listed: reply };
    dispatcher.try_send(message).then_some(receiver)
}
