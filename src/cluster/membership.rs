//! Tracks the members of the cluster and schedules announcements of this director.

use super::duplicates::DuplicateNames;
use super::members::{Member, Members, ProtocolOutput, Timer};
use super::random;
use super::timers::Timers;
use crate::policy::estimators::hash::unit_interval;
use crate::policy::types::Micros;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Mean interval between announcements to seeds that are not members.
pub const SEED_INTERVAL: Duration = Duration::from_secs(1);
/// While the number of peers grows, some peers are asked for their member lists at this interval.
pub const DISCOVERY_INTERVAL: Duration = Duration::from_millis(250);
/// How many peers are asked for their member lists per [`DISCOVERY_INTERVAL`].
pub const DISCOVERY_FANOUT: usize = 2;
/// Minimum time between two announcements to senders that are not known as members.
pub const GREETING_INTERVAL: Duration = Duration::from_millis(100);

/// The members of the cluster, the protocol's timers, and the times of this director's own announcements.
pub(super) struct Membership {
    /// The membership protocol.
    pub(super) members: Members,
    /// Names shared by two or more directors.
    pub(super) duplicates: DuplicateNames,
    timers: Timers<Timer>,
    seeds: Vec<SocketAddr>,
    own_address: SocketAddr,
    /// Live members with their incarnations; a sender with another incarnation has restarted.
    known_members: HashSet<Member>,
    /// Monotonic time of the last message from each address, in microseconds.
    last_received: HashMap<SocketAddr, Micros>,
    next_greeting: Instant,
    next_seeds: Instant,
    next_discovery: Instant,
    /// Number of peers at the last discovery.
    last_peer_count: usize,
}

impl Membership {
    /// Creates a membership in which this director is the only member.
    pub(super) fn new(members: Members, seeds: Vec<SocketAddr>, now: Instant) -> Membership {
        Membership {
            own_address: members.local().address,
            members,
            duplicates: DuplicateNames::default(),
            timers: Timers::new(),
            seeds,
            known_members: HashSet::new(),
            last_received: HashMap::new(),
            next_greeting: now,
            next_seeds: now,
            next_discovery: now,
            last_peer_count: 0,
        }
    }

    /// Schedules timers of the membership protocol, each after its delay.
    pub(super) fn schedule(&mut self, timers: Vec<(Duration, Timer)>) {
        for (after, timer) in timers {
            self.timers.schedule(after, timer);
        }
    }

    /// Returns when the next timer of the protocol expires.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.timers.next_deadline()
    }

    /// Handles one expired timer. Returns `None` if no timer has expired.
    pub(super) fn expire(&mut self, now: Instant) -> Option<ProtocolOutput> {
        let timer = self.timers.pop_expired(now)?;
        Some(self.members.handle_timer(timer))
    }

    /// Updates the known members after a membership change and returns the addresses of the peers.
    pub(super) fn refresh(&mut self) -> Vec<SocketAddr> {
        self.known_members = self.members.peers().into_iter().collect();
        let peers: Vec<SocketAddr> = self.known_members.iter().map(|m| m.address).collect();
        let dead: BTreeSet<SocketAddr> = self.members.dead().into_iter().map(|m| m.address).collect();
        self.last_received.retain(|address, _| peers.contains(address) || dead.contains(address));
        peers
    }

    /// Records a message of a sender. If the sender is not known in this incarnation, it or this director has
    /// restarted. An announcement is then sent to it at once, as the failure detector would take longer to
    /// notice.
    pub(super) fn received(&mut self, from: &Member, now: Micros) -> Option<ProtocolOutput> {
        self.last_received.insert(from.address, now);
        let at = Instant::now();
        if at < self.next_greeting || self.known_members.contains(from) {
            return None;
        }
        self.next_greeting = at + GREETING_INTERVAL;
        Some(self.members.announce(from.address))
    }

    /// Returns the monotonic time of the last message from a member.
    pub(super) fn last_received(&self, member: &Member) -> Option<Micros> {
        self.last_received.get(&member.address).copied()
    }

    /// Returns the seeds to announce this director to, or `None` if announcements are not yet due.
    pub(super) fn seeds_due(&mut self, now: Instant) -> Option<Vec<SocketAddr>> {
        if now < self.next_seeds {
            return None;
        }
        self.next_seeds = now + SEED_INTERVAL.mul_f64(0.5 + unit_interval(random()));
        let members: BTreeSet<SocketAddr> = self.members.peers().iter().map(|m| m.address).collect();
        let missing = |seed: &&SocketAddr| **seed != self.own_address && !members.contains(seed);
        Some(self.seeds.iter().filter(missing).copied().collect())
    }

    /// Returns the peers to ask for their member lists now: [`DISCOVERY_FANOUT`] per interval while the
    /// number of peers grows, otherwise none.
    pub(super) fn discovery_due(&mut self, peers: &[SocketAddr], now: Instant) -> Vec<SocketAddr> {
        if now < self.next_discovery {
            return Vec::new();
        }
        self.next_discovery = now + DISCOVERY_INTERVAL;
        if peers.len() <= std::mem::replace(&mut self.last_peer_count, peers.len()) {
            return Vec::new();
        }
        (0..DISCOVERY_FANOUT).map(|_| peers[(random() % peers.len() as u64) as usize]).collect()
    }

    /// Updates the list of names that are shared by two or more directors.
    pub(super) fn check_names(&mut self, now: Instant) {
        self.duplicates.update(self.members.duplicate_names(), now);
    }
}
