//! The actor: one task that waits for datagrams, commands, events of the discovery source and timers.

use super::catch_up::{stage_name, CatchUpMonitor};
use super::dispatcher_feed::DispatcherFeed;
use super::frame::MAX_DATAGRAM_BYTES;
use super::handle::{ChangeEffect, ChangeReply, ClusterCommand};
use super::members::Members;
use super::membership::Membership;
use super::persistence::Persistence;
use super::source;
use super::store::Store;
use super::transport::Transport;
use crate::config::operator::PeersSection;
use crate::discovery::WatchEvent;
use crate::dispatch::{Clock, DispatcherSender};
use crate::policy::types::Micros;
use crate::replication::entry::{Key, Kind, Value};
use crate::replication::gossip::{GossipProtocol, Update};
use crate::replication::state::{ClockReading, MergeError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{interval, Instant, MissedTickBehavior};

/// The longest that an update waits before it is sent, so that several share a message.
pub const TICK: Duration = Duration::from_millis(20);
/// Further datagrams that are handled after one, before anything else.
const RECEIVE_BATCH: usize = 4;

/// What the actor is made of.
pub(super) struct ActorParts {
    /// The operator's settings.
    pub(super) section: PeersSection,
    /// The replicated state and its protocol.
    pub(super) replication: GossipProtocol<SocketAddr>,
    /// The membership protocol.
    pub(super) members: Members,
    /// The socket.
    pub(super) transport: Transport,
    /// The writer to the disk, if the state is stored.
    pub(super) store: Option<Store>,
    /// Where messages to the dispatcher are sent.
    pub(super) dispatcher: DispatcherSender,
    /// The clock.
    pub(super) clock: Clock,
    /// Commands from this process.
    pub(super) commands: mpsc::Receiver<ClusterCommand>,
    /// Events of the discovery source.
    pub(super) watch_events: mpsc::Receiver<WatchEvent>,
}

/// The actor; it does nothing until it runs.
pub struct Actor {
    pub(super) replication: GossipProtocol<SocketAddr>,
    pub(super) membership: Membership,
    pub(super) transport: Transport,
    pub(super) dispatcher_feed: DispatcherFeed,
    pub(super) persistence: Persistence,
    catch_up: CatchUpMonitor,
    clock: Clock,
    commands: mpsc::Receiver<ClusterCommand>,
    watch_events: mpsc::Receiver<WatchEvent>,
}

impl Actor {
    /// Puts the parts together. Entries that a disk held are handled like those that peers send.
    pub(super) fn new(parts: ActorParts) -> Actor {
        let (section, now) = (parts.section, Instant::now());
        let mut actor = Actor {
            replication: parts.replication,
            membership: Membership::new(parts.members, section.seeds, now),
            transport: parts.transport,
            dispatcher_feed: DispatcherFeed::new(
                parts.dispatcher,
                section.purge_retention.as_micros() as Micros,
            ),
            persistence: Persistence::new(parts.store, now),
            catch_up: CatchUpMonitor::new(section.catch_up_timeout, now),
            clock: parts.clock,
            commands: parts.commands,
            watch_events: parts.watch_events,
        };
        let stored = Kind::ALL.into_iter().flat_map(|kind| actor.replication.state.entries_of_kind(kind));
        let stored: Vec<Update> =
            stored.map(|(key, entry)| Update { key: key.clone(), value: entry.clone() }).collect();
        stored.into_iter().for_each(|update| actor.accept(update));
        actor
    }

    pub(super) fn now(&self) -> ClockReading {
        ClockReading { monotonic: self.clock.now(), unix: self.clock.unix() }
    }

    /// Runs until the last handle is dropped, or until the command to leave.
    pub async fn run(mut self) {
        self.catch_up.begin(&self.dispatcher_feed, self.clock.unix()).await;
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let deadline = self.membership.next_deadline();
            let expired = tokio::time::sleep_until(deadline.unwrap_or_else(Instant::now));
            tokio::select! {
                received = self.transport.receive(&mut buffer) => {
                    self.receive_batch(received.ok(), &mut buffer);
                    // Requests go first: thousands of entries may be on the way here.
                    tokio::task::yield_now().await;
                }
                command = self.commands.recv() => match command {
                    Some(ClusterCommand::Leave(done)) => return self.leave(done).await,
                    Some(command) => self.execute(command),
                    None => return,
                },
                Some(event) = self.watch_events.recv() => self.apply_watch_event(&event),
                () = expired, if deadline.is_some() => self.expire_timers(),
                _ = ticks.tick() => self.tick().await,
            }
        }
    }

    /// Handles the datagram in the buffer, and some that have arrived meanwhile: to wait for each would cost
    /// more than they do.
    fn receive_batch(&mut self, size: Option<usize>, buffer: &mut [u8]) {
        if let Some(size) = size {
            self.handle_datagram(&buffer[..size]);
        }
        for _ in 0..RECEIVE_BATCH {
            let Ok(size) = self.transport.try_receive(buffer) else { break };
            self.handle_datagram(&buffer[..size]);
        }
    }

    async fn tick(&mut self) {
        let (now, at) = (self.now(), Instant::now());
        self.tick_replication(now);
        self.tick_membership(at);
        let (stage, entries) = (self.replication.stage(), self.replication.state.len());
        self.catch_up.update(stage, entries, &self.dispatcher_feed, at).await;
        self.dispatcher_feed.flush(&self.replication.state, at);
        self.persistence.write_if_due(&self.replication.state, at, self.clock.unix());
    }

    async fn leave(mut self, done: oneshot::Sender<()>) {
        let output = self.membership.members.leave();
        self.apply_membership(output);
        self.persistence.write(&self.replication.state, Instant::now(), self.clock.unix());
        self.persistence.close().await;
        let _ = done.send(()); // the sender may have gone
    }

    /// Takes over an entry that is new to this director, to be written and delivered to the dispatcher.
    pub(super) fn accept(&mut self, update: Update) {
        self.persistence.mark(&update.key);
        self.dispatcher_feed.accept(update, &self.replication.state);
    }

    /// Applies an event of the discovery source and spreads what changed by it.
    fn apply_watch_event(&mut self, event: &WatchEvent) {
        let now = self.now();
        for (key, entry) in source::apply(&mut self.replication.state, event, now) {
            // The dispatcher has it from the source itself, except for how long a purge is kept here.
            if key.kind() == Kind::Purges {
                self.dispatcher_feed.push(Update { key: key.clone(), value: entry.clone() });
            }
            self.persistence.mark(&key);
            if let Key::Endpoint(name) = &key {
                self.dispatcher_feed.recheck_drain(name, &self.replication.state);
            }
            self.replication.publish(Some((key, entry)));
        }
    }

    /// Executes a command. A reply that nobody waits for any more is dropped.
    fn execute(&mut self, command: ClusterCommand) {
        let now = self.now();
        match command {
            ClusterCommand::SetDrain { server, command, reply } => {
                let change = self.replication.state.set_drain(&server, command, now);
                self.finish_change(change, reply);
            }
            ClusterCommand::Purge { key, reply } => {
                let change = self.replication.state.purge(key, now.unix, now);
                self.finish_change(change, reply);
            }
            ClusterCommand::Status(reply) => drop(reply.send(self.status(now))),
            ClusterCommand::List { kind, reply } => drop(reply.send(self.list(kind))),
            ClusterCommand::Stage(reply) => drop(reply.send(stage_name(self.replication.stage()))),
            ClusterCommand::Leave(_) => {}
        }
    }

    /// Replies to an operator's change, takes it over and spreads it at once: a tick is a long time for an
    /// operator who waits for a drain.
    fn finish_change(&mut self, change: Result<Option<(Key, Value)>, MergeError>, reply: ChangeReply) {
        let effect = |change: &Option<_>| match change {
            Some(_) => ChangeEffect::Changed,
            None => ChangeEffect::Unchanged,
        };
        let _ = reply.send(change.as_ref().map(effect).map_err(|cause| *cause));
        let change = change.ok().flatten();
        if let Some((key, entry)) = &change {
            self.accept(Update { key: key.clone(), value: entry.clone() });
        }
        self.replication.publish(change);
        self.tick_replication(self.now());
        self.dispatcher_feed.flush(&self.replication.state, Instant::now());
    }
}
