//! One simulated director: the real membership, conversation, replay window and seal, put together as the
//! actor in [`foxhold::cluster`] does it, without its socket, its disk and its core.

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

/// The port of all simulated directors; nothing is opened there.
const PORT: u16 = 7_300;
/// Seeds that directors are set up with, as operators do.
const SEED_DIRECTORS: usize = 3;

/// What a director wants done.
#[derive(Default)]
pub struct Output {
    /// Datagrams to send.
    pub datagrams: Vec<(usize, Vec<u8>)>,
    /// Timers to give back after so many microseconds.
    pub timers: Vec<(Micros, Timer)>,
    /// Keys of which it came to hold something new.
    pub learned: Vec<Key>,
}

/// The address of a director.
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

/// A director as membership knows it, started with this incarnation.
pub fn member(director: usize, incarnation: u64) -> Member {
    Member::new(&format!("director-{director}"), address(director), incarnation)
}

/// The director.
pub struct Director {
    me: usize,
    run: u64,
    sent: u64,
    seal: Rc<FrameCodec>,
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
    /// One of so many directors, at its start.
    pub fn new(me: usize, directors: usize, seal: Rc<FrameCodec>, seed: u64, now: ClockReading) -> Director {
        let mut random = StdRng::seed_from_u64(seed ^ (me as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let run: u64 = random.random();
        let members = Members::new(member(me, now.unix), directors as u32, run);
        let talk = GossipProtocol::new(ReplicatedState::new(Incarnation(run), Bounds::default()), run, now);
        Director {
            me,
            run,
            sent: 0,
            seal,
            members,
            gossip: talk,
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

    /// Takes others for known, as in a fleet that has long been up.
    pub fn know(&mut self, others: impl Iterator<Item = Member>) -> Output {
        let mut output = Output::default();
        let asked = self.members.know(others);
        self.apply_membership(asked, &mut output);
        self.peers_known = self.gossip.peers().len();
        output
    }

    /// Holds a purge of that time, as if it had long been told.
    pub fn hold(&mut self, key: Key, at: Micros, now: ClockReading) {
        // Refused only past the bound on entries, which the report shows by the entries held.
        let _ = self.gossip.state.purge(key, at, now);
    }

    /// The entries that it holds.
    pub fn state(&self) -> &ReplicatedState {
        &self.gossip.state
    }

    /// The others that it takes to be there.
    pub fn others(&self) -> usize {
        self.gossip.peers().len()
    }

    /// Whether it is still pulling what others hold.
    pub fn catches_up(&self) -> bool {
        self.gossip.stage() == Stage::CatchingUp
    }

    /// What is due by itself, each [`foxhold::cluster::TICK`].
    pub fn tick(&mut self, now: ClockReading) -> Output {
        let mut output = Output::default();
        self.converse(now, &mut output);
        if now.monotonic >= self.next_seeds {
            self.next_seeds = now.monotonic
                + (SEED_INTERVAL.as_micros() as f64 * self.random.random_range(0.5..1.5)) as Micros;
            self.look_for_seeds(&mut output);
        }
        if now.monotonic >= self.next_discovery {
            self.next_discovery = now.monotonic + DISCOVERY_INTERVAL.as_micros() as Micros;
            self.discover(&mut output);
        }
        output
    }

    fn converse(&mut self, now: ClockReading, output: &mut Output) {
        let mut said = Vec::new();
        self.gossip.tick(now, &mut said);
        self.say(said, output);
    }

    fn look_for_seeds(&mut self, output: &mut Output) {
        let there: BTreeSet<SocketAddr> = self.members.peers().iter().map(|m| m.address).collect();
        let seeds = (0..SEED_DIRECTORS).filter(|seed| *seed != self.me).map(address);
        let missing: Vec<SocketAddr> = seeds.filter(|seed| !there.contains(seed)).collect();
        for seed in missing {
            let asked = self.members.announce(seed);
            self.apply_membership(asked, output);
        }
        // The actor looks at the names of all members here.
        let _duplicates = self.members.duplicate_names();
    }

    fn discover(&mut self, output: &mut Output) {
        let others = self.gossip.peers().to_vec();
        if others.len() <= std::mem::replace(&mut self.peers_known, others.len()) {
            return;
        }
        for _ in 0..DISCOVERY_FANOUT {
            let one = others[self.random.random_range(0..others.len())];
            let asked = self.members.announce(one);
            self.apply_membership(asked, output);
        }
    }

    /// An operator's purge, told here now.
    pub fn purge(&mut self, key: Key, now: ClockReading) -> Output {
        let mut output = Output::default();
        let change = self.gossip.state.purge(key, now.unix, now).ok().flatten();
        output.learned.extend(change.iter().map(|(key, _)| key.clone()));
        self.gossip.publish(change);
        self.converse(now, &mut output);
        output
    }

    /// A timer rang.
    pub fn rang(&mut self, timer: Timer) -> Output {
        let mut output = Output::default();
        let asked = self.members.handle_timer(timer);
        self.apply_membership(asked, &mut output);
        output
    }

    /// A datagram came.
    pub fn datagram(&mut self, bytes: &[u8], now: ClockReading) -> Output {
        let mut output = Output::default();
        let Ok(message) = self.seal.decode(bytes) else { return output };
        let from = message.from.address;
        if from == address(self.me) || !self.replay_window.accept(&from, message.incarnation, message.number)
        {
            return output;
        }
        self.last_received.insert(from, now.monotonic);
        if now.monotonic >= self.next_greeting && !self.known.contains(&message.from) {
            self.next_greeting = now.monotonic + GREETING_INTERVAL.as_micros() as Micros;
            let asked = self.members.announce(from);
            self.apply_membership(asked, &mut output);
        }
        match message.body {
            Body::Swim(bytes) => {
                let asked = self.members.handle_message(&bytes);
                self.apply_membership(asked, &mut output);
            }
            Body::Gossip(say) => {
                let mut said = Vec::new();
                self.gossip.handle_message(&from, say, now, &mut said);
                self.say(said, &mut output);
            }
        }
        output
    }

    fn say(&mut self, said: Vec<(SocketAddr, GossipMessage)>, output: &mut Output) {
        for (to, say) in said {
            self.send(to, Body::Gossip(say), output);
        }
        output.learned.extend(self.gossip.take_updates().into_iter().map(|news| news.key));
    }

    fn apply_membership(&mut self, asked: ProtocolOutput, output: &mut Output) {
        for (to, bytes) in asked.messages {
            self.send(to, Body::Swim(bytes), output);
        }
        let timers = asked.timers.into_iter();
        output.timers.extend(timers.map(|(after, timer)| (after.as_micros() as Micros, timer)));
        if asked.changes.is_empty() {
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
        if let (Some(datagram), Some(to)) = (self.seal.encode(&message), number(&to)) {
            output.datagrams.push((to, datagram));
        }
    }
}

/// In one order: that of a `HashSet` is another in each process, and the draws of members go by it.
fn sorted(mut others: Vec<SocketAddr>) -> Vec<SocketAddr> {
    others.sort_unstable();
    others
}
