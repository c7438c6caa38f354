//! Delivers operators' drains to the dispatcher, again until it has taken them.

use super::LOG_TARGET;
use crate::dispatch::{DispatcherMessage, DispatcherSender};
use crate::replication::entry::{DrainCommand, Key, Kind, Value};
use crate::replication::gossip::Update;
use crate::replication::state::ReplicatedState;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::sync::oneshot::{self, error::TryRecvError};
use tokio::time::Instant;

/// A drain that the dispatcher could not apply is sent again after this.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Drains on their way to the dispatcher.
#[derive(Default)]
pub(super) struct DrainFeed {
    /// Servers whose drain is to be sent, and from when on.
    due: BTreeMap<String, Instant>,
    /// Drains sent that the dispatcher has not replied to.
    unanswered: Vec<(String, oneshot::Receiver<bool>)>,
    /// Servers whose drain the dispatcher was sent.
    sent_servers: BTreeSet<String>,
}

impl DrainFeed {
    /// Logs that an operator's drain of a server was set or ended, and sends it with the next flush.
    pub(super) fn handle_change(&mut self, server: &str, command: DrainCommand) {
        match command {
            DrainCommand::Drain => {
                tracing::info!(target: LOG_TARGET, server = %server, "operators' drain set")
            }
            DrainCommand::Undrain => {
                tracing::info!(target: LOG_TARGET, server = %server, "operators' drain ended")
            }
        }
        self.schedule(server);
    }

    /// Sends a server's drain with the next flush.
    pub(super) fn schedule(&mut self, server: &str) {
        self.due.insert(server.to_owned(), Instant::now());
    }

    /// Takes the dispatcher's replies. A server that it does not list is tried again: its list may come
    /// later.
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

    /// Sends what is due, as far as the dispatcher has capacity. Returns the entries of endpoints whose drain
    /// has ended: the dispatcher does not keep what the source said meanwhile.
    pub(super) fn flush(
        &mut self,
        dispatcher: &DispatcherSender,
        state: &ReplicatedState,
        now: Instant,
    ) -> Vec<Update> {
        let due = self.due.iter().filter(|(_, at)| **at <= now).map(|(server, _)| server.clone());
        let due: Vec<String> = due.collect();
        let mut endpoints = Vec::new();
        for server in due {
            self.due.remove(&server);
            let Some(command) = drain_in_force(state, &server) else { continue };
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
                    endpoints.extend(endpoint_update(state, server));
                }
            }
        }
        endpoints
    }
}

/// Sends a command to the dispatcher; none: its mailbox is full.
fn send(
    dispatcher: &DispatcherSender,
    server: &str,
    command: DrainCommand,
) -> Option<oneshot::Receiver<bool>> {
    let (reply, answer) = oneshot::channel();
    let message = DispatcherMessage::Drain { name: server.into(), command, listed: reply };
    dispatcher.try_send(message).then_some(answer)
}

fn endpoint_update(state: &ReplicatedState, server: String) -> Option<Update> {
    let key = Key::Endpoint(server);
    let value = state.get(&key)?.clone();
    Some(Update { key, value })
}

/// The operators' command on the process that is listed under a server's name; none: it is about another
/// process, or the endpoint is not known yet.
pub(super) fn drain_in_force(state: &ReplicatedState, server: &str) -> Option<DrainCommand> {
    let Some(Value::Drain(drain)) = state.get(&Key::Drain(server.into())) else { return None };
    match state.get(&Key::Endpoint(server.into())) {
        Some(Value::Endpoint(_, record)) if record.is_gone() => None,
        Some(Value::Endpoint(_, record)) if record.started_at > drain.started_at => {
            Some(DrainCommand::Undrain)
        }
        // Sent once the server is listed. Without a replicated list the dispatcher has it from its own
        // source.
        None if state.count(Kind::Members) > 0 => None,
        _ => Some(drain.command()),
    }
}
