//! A simulated director: the production membership, gossip, replay window and frame authentication, combined
//! as the actor in [`foxhold::cluster`] does, without its socket, its disk and the policy core.

use foxhold::cluster::frame::{Body, FrameCodec, Message};
use foxhold::cluster::members::{Member, Members, ProtocolOutput, Timer};
use foxhold::cluster::{
    DISCOVERY_FANOUT, DISCOVERY_INTERVAL, GREETING_INTERVAL, REMEMBERED_SENDERS, SEED_INTERVAL,
};
use foxhold::policy::types::Micros;
use foxhold::replication::entry::{Incarnation, Key};
use foxhold::replication::gossip::{GossipMessage, GossipProtocol, Stage};
use foxhold::replication::replay_window::ReplayWindow;
use foxhold::replication::state::{Bounds, ClockReading, ReplicatedState};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// Port in the addresses of all simulated directors; no socket is opened.
const PORT: u16 = 7_300;
/// Number of seeds that each director is configured with.
const SEED_DIRECTORS: usize = 3;

/// Effects of an event that the simulation carries out.
#[derive(Default)]
pub struct Output {
    /// Datagrams to send, with the number of the receiving director.
    pub datagrams: Vec<(usize, Vec<u8>)>,
    /// Timers to start, with their delays in microseconds.
    pub timers: Vec<(Micros, Timer)>,
    /// Keys of replicated entries that were added or updated.
    pub learned: Vec<Key>,
}

/// Returns the address of a director.
pub fn address(director: usize) -> SocketAddr {
    let [_, a, b, c] = (director as u32).to_be_bytes();
    (Ipv4Addr::new(10, a, b, c), PORT).into()
}

fn number(address: &SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(at) => Some((u32::from(*at.ip()) & 0x00ff_ffff) as usize),
        SocketAddr::V6(_) => None,
    }
}

/// Returns the member entry of a director with this incarnation.
pub fn member(director: usize, incarnation: u64) -> Member {
    Member::new(&format!("director-{director}"), address(director), incarnation)
}

/// A simulated director.
pub struct Director {
    me: usize,
    run: u64,
    sent: u64,
    codec: Rc<FrameCodec>,
    members: Members,
    gossip: GossipProtocol<SocketAddr>,
    replay_window: ReplayWindow<SocketAddr>,
    last_received: HashMap<SocketAddr, Micros>,
    known: HashSet<Member>,
    next_greeting: Micros,
    next_seeds: Micros,
    next_discovery: Micros,
    peers_known: usize,
    random: StdRng,
}

impl Director {
    /// Creates a director of a fleet of `directors`, as it is after a start without state.
    pub fn new(me: usize, directors: usize, codec: Rc<FrameCodec>, seed: u64, now: ClockReading) -> Director {
        let mut random = StdRng::seed_from_u64(seed ^ (me as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let run: u64 = random.random();
        let members = Members::new(member(me, now.unix), directors as u32, run);
        let gossip = GossipProtocol::new(ReplicatedState::new(Incarnation(run), Bounds::default()), run, now);
        Director {
            me,
            run,
            sent: 0,
            codec,
            members,
            gossip,
            replay_window: ReplayWindow::new(REMEMBERED_SENDERS),
            last_received: HashMap::new(),
            known: HashSet::new(),
            next_greeting: now.monotonic,
            next_seeds: now.monotonic,
            next_discovery: now.monotonic,
            peers_known: 0,
            random,
        }
    }

    /// Adds other directors as known members, as in a fleet that has long been running.
    pub fn add_members(&mut self, others: impl Iterator<Item = Member>) -> Output {
        let mut output = Output::default();
        let membership_output = self.members.know(others);
        self.apply_membership(membership_output, &mut output);
        self.peers_known = self.gossip.peers().len();
        output
    }

    /// Adds a purge with an earlier time to the replicated state, without sending it to peers.
    pub fn add_purge(&mut self, key: Key, at: Micros, now: ClockReading) {
        // Fails only if the bound on entries is reached; the report shows that by the number of entries held.
        let _ = self.gossip.state.purge(key, at, now);
    }

    /// Returns the replicated state.
    pub fn state(&self) -> &ReplicatedState {
        &self.gossip.state
    }

    /// Returns the number of peers that this director considers alive.
    pub fn others(&self) -> usize {
        self.gossip.peers().len()
    }

    /// Returns whether the director is still catching up.
    pub fn catches_up(&self) -> bool {
        self.gossip.stage() == Stage::CatchingUp
    }

    /// Handles periodic work; due each [`foxhold::cluster::TICK`].
    pub fn tick(&mut self, now: ClockReading) -> Output {
        let mut output = Output::default();
        self.run_gossip(now, &mut output);
        if now.monotonic >= self.next_seeds {
            self.next_seeds = now.monotonic
                + (SEED_INTERVAL.as_micros() as f64 * self.random.random_range(0.5..1.5)) as Micros;
            self.greet_missing_seeds(&mut output);
        }
        if now.monotonic >= self.next_discovery {
            self.next_discovery = now.monotonic + DISCOVERY_INTERVAL.as_micros() as Micros;
            self.discover(&mut output);
        }
        output
    }

    fn run_gossip(&mut self, now: ClockReading, output: &mut Output) {
        let mut messages = Vec::new();
        self.gossip.tick(now, &mut messages);
        self.send_message(messages, output);
    }

    fn greet_missing_seeds(&mut self, output: &mut Output) {
        let known_addresses: BTreeSet<SocketAddr> = self.members.peers().iter().map(|m| m.address).collect();
        let seeds = (0..SEED_DIRECTORS).filter(|seed| *seed != self.me).map(address);
        let missing: Vec<SocketAddr> = seeds.filter(|seed| !known_addresses.contains(seed)).collect();
        for seed in missing {
            let membership_output = self.members.announce(seed);
            self.apply_membership(membership_output, output);
        }
        // Keeps the processor time of the check for duplicate names, which the actor runs here.
        let _duplicates = self.members.duplicate_names();
    }

    fn discover(&mut self, output: &mut Output) {
        let others = self.gossip.peers().to_vec();
        if others.len() <= std::mem::replace(&mut self.peers_known, others.len()) {
            return;
        }
        for _ in 0..DISCOVERY_FANOUT {
            let one = others[self.random.random_range(0..others.len())];
            let membership_output = self.members.announce(one);
            self.apply_membership(membership_output, output);
        }
    }

    /// Handles an operator's purge at this director.
    pub fn purge(&mut self, key: Key, now: ClockReading) -> Output {
        let mut output = Output::default();
        let change = self.gossip.state.purge(key, now.unix, now).ok().flatten();
        output.learned.extend(change.iter().map(|(key, _)| key.clone()));
        self.gossip.publish(change);
        self.run_gossip(now, &mut output);
        output
    }

    /// Handles an expired timer.
    pub fn handle_timer(&mut self, timer: Timer) -> Output {
        let mut output = Output::default();
        let membership_output = self.members.handle_timer(timer);
        self.apply_membership(membership_output, &mut output);
        output
    }

    /// Handles a received datagram.
    pub fn handle_datagram(&mut self, bytes: &[u8], now: ClockReading) -> Output {
        let mut output = Output::default();
        let Ok(message) = self.codec.decode(bytes) else { return output };
        let from = message.from.address;
        if from == address(self.me) || !self.replay_window.accept(&from, message.incarnation, message.number)
        {
            return output;
        }
        self.last_received.insert(from, now.monotonic);
        if now.monotonic >= self.next_greeting && !self.known.contains(&message.from) {
            self.next_greeting = now.monotonic + GREETING_INTERVAL.as_micros() as Micros;
            let membership_output = self.members.announce(from);
            self.apply_membership(membership_output, &mut output);
        }
        match message.body {
            Body::Swim(bytes) => {
                let membership_output = self.members.handle_message(&bytes);
                self.apply_membership(membership_output, &mut output);
            }
            Body::Gossip(message_body) => {
                let mut messages = Vec::new();
                self.gossip.handle_message(&from, message_body, now, &mut messages);
                self.send_message(messages, &mut output);
            }
        }
        output
    }

    fn send_message(&mut self, messages: Vec<(SocketAddr, GossipMessage)>, output: &mut Output) {
        for (to, message_body) in messages {
            self.send(to, Body::Gossip(message_body), output);
        }
        output.learned.extend(self.gossip.take_updates().into_iter().map(|update| update.key));
    }

    fn apply_membership(&mut self, membership_output: ProtocolOutput, output: &mut Output) {
        for (to, bytes) in membership_output.messages {
            self.send(to, Body::Swim(bytes), output);
        }
        let timers = membership_output.timers.into_iter();
        output.timers.extend(timers.map(|(after, timer)| (after.as_micros() as Micros, timer)));
        if membership_output.changes.is_empty() {
            return;
        }
        self.known = self.members.peers().into_iter().collect();
        let others: Vec<SocketAddr> = self.known.iter().map(|m| m.address).collect();
        let dead: BTreeSet<SocketAddr> = self.members.dead().into_iter().map(|m| m.address).collect();
        self.last_received.retain(|address, _| others.contains(address) || dead.contains(address));
        self.gossip.set_members(sorted(others));
    }

    fn send(&mut self, to: SocketAddr, body: Body, output: &mut Output) {
        self.sent += 1;
        let from = self.members.local().clone();
        let message = Message { from, incarnation: self.run, number: self.sent, body };
        if let (Some(datagram), Some(to)) = (self.codec.encode(&message), number(&to)) {
            output.datagrams.push((to, datagram));
        }
    }
}

/// Sorts addresses: the order of a `HashSet` differs between processes, and random draws of members depend on
/// it.
fn sorted(mut others: Vec<SocketAddr>) -> Vec<SocketAddr> {
    others.sort_unstable();
    others
}
