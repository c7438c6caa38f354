//! Delivers operators' drains to the core, again until it has taken them.

use super::LOG_TARGET;
use crate::dispatch::{DispatcherMessage as CoreMessage, DispatcherSender, DrainCommand};
use crate::replication::entry::{Key, Kind, Value};
use crate::replication::gossip::Update;
use crate::replication::state::ReplicatedState;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A drain that the core could not apply is sent again after this.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Drains on their way to the core.
#[derive(Default)]
pub(super) struct DrainFeed {
    /// Servers whose drain is to be sent, and from when on.
    due: BTreeMap<String, Instant>,
    /// Drains sent that the core has not replied to.
    unanswered: Vec<(String, oneshot::Receiver<bool>)>,
    /// Servers whose drain the core was sent.
    in_core: BTreeSet<String>,
}

impl DrainFeed {
    /// An operator's drain of a server was set or ended.
    pub(super) fn changed(&mut self, name: &str, drains: bool) {
        let verb = if drains { "drains" } else { "no longer drains" };
        tracing::info!(target: LOG_TARGET, "peers: {name} {verb} by its operators' word");
        self.schedule(name);
    }

    /// Sends a server's drain with the next flush.
    pub(super) fn schedule(&mut self, name: &str) {
        self.due.insert(name.to_owned(), Instant::now());
    }

    /// Takes the core's replies. A server that it does not list is tried again: its list may come later.
    pub(super) fn collect_replies(&mut self, now: Instant) {
        let mut unanswered = std::mem::take(&mut self.unanswered);
        unanswered.retain_mut(|(name, reply)| match reply.try_recv() {
            Ok(true) => false,
            Err(oneshot::error::TryRecvError::Empty) => true,
            Ok(false) | Err(oneshot::error::TryRecvError::Closed) => {
                self.in_core.remove(&*name);
                self.due.insert(std::mem::take(name), now + RETRY_AFTER);
                false
            }
        });
        self.unanswered = unanswered;
    }

    /// Sends what is due, as far as the core has room. Returns the listings of servers whose drain has ended:
    /// the core does not keep what the source said meanwhile.
    pub(super) fn flush(
        &mut self,
        core: &DispatcherSender,
        state: &ReplicatedState,
        now: Instant,
    ) -> Vec<Update> {
        let due: Vec<String> = self.due.iter().filter(|d| *d.1 <= now).map(|d| d.0.clone()).collect();
        let mut listings = Vec::new();
        for name in due {
            self.due.remove(&name);
            let Some(on) = wanted_drain(state, &name) else { continue };
            if !on && !self.in_core.contains(&name) {
                continue;
            }
            let (reply, answer) = oneshot::channel();
            let command = if on { DrainCommand::Drain } else { DrainCommand::Undrain };
            if !core.try_send(CoreMessage::Drain { name: name.as_str().into(), command, listed: reply }) {
                self.due.insert(name, now);
                break;
            }
            if on {
                self.in_core.insert(name.clone());
                self.unanswered.push((name, answer));
                continue;
            }
            self.in_core.remove(&name);
            let key = Key::Endpoint(name);
            listings.extend(state.get(&key).cloned().map(|entry| Update { key, value: entry }));
        }
        listings
    }
}

/// Whether operators want the process that is listed under this name to drain; none: what they said is about
/// another process, or its listing is not known yet.
pub(super) fn wanted_drain(state: &ReplicatedState, name: &str) -> Option<bool> {
    let Some(Value::Drain(drain)) = state.get(&Key::Drain(name.into())) else { return None };
    match state.get(&Key::Endpoint(name.into())) {
        Some(Value::Endpoint(_, place)) if place.is_gone() => None,
        Some(Value::Endpoint(_, place)) if place.started_at > drain.started_at => Some(false),
        // Sent once the server is listed. Without a replicated list the core has it from its own source.
        None if state.count(Kind::Members) > 0 => None,
        _ => Some(drain.is_draining()),
    }
}
