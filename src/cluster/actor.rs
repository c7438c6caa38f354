//! The cluster actor: one task that handles datagrams, commands, watch events and timers.

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
use crate::discovery::{WatchEvent, WatchScope};
use crate::dispatch::{Clock, DispatcherSender};
use crate::policy::types::Micros;
use crate::replication::entry::{Key, Kind, Value};
use crate::replication::gossip::{GossipProtocol, Update};
use crate::replication::state::{ClockReading, MergeError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Interval at which pending work is done. An update waits this long at most before it is sent, so that
/// several updates share a message.
pub const TICK: Duration = Duration::from_millis(20);
/// How many more datagrams are handled after each received one before other events get a turn.
const RECEIVE_BATCH: usize = 4;

/// The parts that an [`Actor`] is built from.
pub(super) struct ActorParts {
    /// The section `peers` of the operator's file.
    pub(super) section: PeersSection,
    /// The replication protocol, with the replicated state.
    pub(super) replication: GossipProtocol<SocketAddr>,
    /// The membership protocol.
    pub(super) members: Members,
    /// The authenticated UDP transport.
    pub(super) transport: Transport,
    /// The store on disk, or `None` to keep the state in memory only.
    pub(super) store: Option<Store>,
    /// The dispatcher's mailbox.
    pub(super) dispatcher: DispatcherSender,
    /// Source of monotonic and Unix time.
    pub(super) clock: Clock,
    /// Commands from this process.
    pub(super) commands: mpsc::Receiver<ClusterCommand>,
    /// Watch events of the local discovery source.
    pub(super) watch_events: mpsc::Receiver<WatchEvent>,
    /// The watch events that the director uses.
    pub(super) scope: WatchScope,
}

/// The cluster actor. Idle until [`Actor::run`] is called.
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
    /// Creates an actor from its parts. Entries loaded from disk are handled like entries that peers send.
    pub(super) fn new(parts: ActorParts) -> Actor {
        let (section, now) = (parts.section, Instant::now());
        let mut actor = Actor {
            replication: parts.replication,
            membership: Membership::new(parts.members, section.seeds, now),
            transport: parts.transport,
            dispatcher_feed: DispatcherFeed::new(
                parts.dispatcher,
                section.purge_retention.as_micros() as Micros,
                parts.scope,
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

    /// Runs until the last handle is dropped or [`ClusterCommand::Leave`] is received.
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
                    // Lets request handling run first: thousands of entries may be arriving here.
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

    /// Handles the datagram in the buffer and up to [`RECEIVE_BATCH`] that have arrived since: waiting for
    /// each one separately would cost more than handling it.
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
        let _ = done.send(()); // the receiver may have been dropped
    }

    /// Queues an entry that is new to this director for writing to disk and delivery to the dispatcher.
    pub(super) fn accept(&mut self, update: Update) {
        self.persistence.mark_changed(&update.key);
        self.dispatcher_feed.accept(update, &self.replication.state);
    }

    /// Applies a watch event of the discovery source and sends the changed entries to peers.
    fn apply_watch_event(&mut self, event: &WatchEvent) {
        let now = self.now();
        for (key, entry) in source::apply(&mut self.replication.state, event, now) {
            // The dispatcher receives the event from the source itself as well. A purge is sent to it again
            // with the retention that applies in the cluster, and a server because its replicated entry has
            // changed.
            self.accept(Update { key: key.clone(), value: entry.clone() });
            self.replication.publish(Some((key, entry)));
        }
    }

    /// Executes a command. Its reply is dropped if the sender no longer waits for it.
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

    /// Replies to an operator's change, applies it, and sends it to peers and the dispatcher without waiting
    /// for the next tick, which would delay an operator who waits for a drain.
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
