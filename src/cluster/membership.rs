//! Which directors there are, and when to announce this one to others.

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

/// Mean time between announcements to seeds that are not among the members.
pub const SEED_INTERVAL: Duration = Duration::from_secs(1);
/// While the number of members grows, some are asked for theirs this often.
pub const DISCOVERY_INTERVAL: Duration = Duration::from_millis(250);
/// Members asked in one interval of discovery.
pub const DISCOVERY_FANOUT: usize = 2;
/// Least time between two announcements to senders that are not known as members.
pub const GREETING_INTERVAL: Duration = Duration::from_millis(100);

/// The members of the cluster, with the protocol's timers and the times of what this director does itself.
pub(super) struct Membership {
    /// The membership protocol.
    pub(super) members: Members,
    /// Names that two or more directors have.
    pub(super) duplicates: DuplicateNames,
    timers: Timers<Timer>,
    seeds: Vec<SocketAddr>,
    own_address: SocketAddr,
    /// Members with their incarnations, by which one that has restarted is recognised.
    known: HashSet<Member>,
    /// When a message of each address was last received, by the monotonic clock.
    last_received: HashMap<SocketAddr, Micros>,
    next_greeting: Instant,
    next_seeds: Instant,
    next_discovery: Instant,
    /// Peers known at the last discovery.
    peers_known: usize,
}

impl Membership {
    /// Begins with this director alone.
    pub(super) fn new(members: Members, seeds: Vec<SocketAddr>, now: Instant) -> Membership {
        Membership {
            own_address: members.local().address,
            members,
            duplicates: DuplicateNames::default(),
            timers: Timers::new(),
            seeds,
            known: HashSet::new(),
            last_received: HashMap::new(),
            next_greeting: now,
            next_seeds: now,
            next_discovery: now,
            peers_known: 0,
        }
    }

    /// Schedules timers of the protocol.
    pub(super) fn schedule(&mut self, timers: Vec<(Duration, Timer)>) {
        for (after, timer) in timers {
            self.timers.schedule(after, timer);
        }
    }

    /// When the next timer of the protocol expires.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.timers.next_deadline()
    }

    /// Handles one timer that has expired; none: there is none.
    pub(super) fn expire(&mut self, now: Instant) -> Option<ProtocolOutput> {
        let timer = self.timers.pop_expired(now)?;
        Some(self.members.handle_timer(timer))
    }

    /// Takes over a change of the members, and returns the addresses of the peers.
    pub(super) fn refresh(&mut self) -> Vec<SocketAddr> {
        self.known = self.members.peers().into_iter().collect();
        let peers: Vec<SocketAddr> = self.known.iter().map(|m| m.address).collect();
        let dead: BTreeSet<SocketAddr> = self.members.dead().into_iter().map(|m| m.address).collect();
        self.last_received.retain(|address, _| peers.contains(address) || dead.contains(address));
        peers
    }

    /// Records a message of this sender. A sender that is not known in this incarnation has restarted, or
    /// this director has: it is to be greeted at once instead of after a failure detection.
    pub(super) fn received(&mut self, from: &Member, now: Micros) -> Option<ProtocolOutput> {
        self.last_received.insert(from.address, now);
        let at = Instant::now();
        if at < self.next_greeting || self.known.contains(from) {
            return None;
        }
        self.next_greeting = at + GREETING_INTERVAL;
        Some(self.members.announce(from.address))
    }

    /// When a message of this member was last received, by the monotonic clock.
    pub(super) fn last_received(&self, member: &Member) -> Option<Micros> {
        self.last_received.get(&member.address).copied()
    }

    /// Seeds to announce this director to now; none: it is not yet time.
    pub(super) fn seeds_due(&mut self, now: Instant) -> Option<Vec<SocketAddr>> {
        if now < self.next_seeds {
            return None;
        }
        self.next_seeds = now + SEED_INTERVAL.mul_f64(0.5 + unit_interval(random()));
        let members: BTreeSet<SocketAddr> = self.members.peers().iter().map(|m| m.address).collect();
        let missing = |seed: &&SocketAddr| **seed != self.own_address && !members.contains(seed);
        Some(self.seeds.iter().filter(missing).copied().collect())
    }

    /// Peers to ask for their members now: some while the number of peers grows, else none.
    pub(super) fn discovery_due(&mut self, peers: &[SocketAddr], now: Instant) -> Vec<SocketAddr> {
        if now < self.next_discovery {
            return Vec::new();
        }
        self.next_discovery = now + DISCOVERY_INTERVAL;
        if peers.len() <= std::mem::replace(&mut self.peers_known, peers.len()) {
            return Vec::new();
        }
        (0..DISCOVERY_FANOUT).map(|_| peers[(random() % peers.len() as u64) as usize]).collect()
    }

    /// Looks for names that two or more directors have.
    pub(super) fn check_names(&mut self, now: Instant) {
        self.duplicates.update(self.members.duplicate_names(), now);
    }
}
