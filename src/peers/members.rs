//! Who is there: membership by SWIM with suspicion, from the crate `foca`, which has no I/O of its own.
//!
//! A director is known by its address; a later incarnation there stands above an earlier one, so one that
//! returns under its address is the same member. Two that answer under one name at different addresses are
//! named by all, themselves among them ([`Members::twins`]).

use foca::PostcardCodec;
use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification, PeriodicParams,
};
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// Every so often one member is probed by each.
const PROBE: Duration = Duration::from_millis(1_000);
/// An answer to a probe comes within this; else others are asked to probe.
const PROBE_ANSWER: Duration = Duration::from_millis(300);
/// A suspected member that says nothing for this long is taken for dead.
const SUSPECT: Duration = Duration::from_millis(4_000);
/// News of members is told on every so often.
const GOSSIP: Duration = Duration::from_millis(500);
/// Members that are dead are looked for every so often: that heals a fleet that was cut in two.
const LOOK_FOR_DEAD: Duration = Duration::from_millis(2_000);
/// A dead member is remembered this long.
const REMEMBER: Duration = Duration::from_secs(24 * 3600);
/// A message of the protocol, in bytes.
const LARGEST: usize = 1_200;

/// A timer of the protocol: given back when it rings.
pub type Timer = foca::Timer<Member>;

/// A director, as others know it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Its name, from its operator's file.
    pub name: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Grows with each start and each return from the dead.
    pub incarnation: u64,
    /// Returns in this run: each adds more than the one before, so that a clock that was set back is caught
    /// up with.
    pub returns: u8,
}

impl Member {
    /// At its start.
    pub fn new(name: &str, address: SocketAddr, incarnation: u64) -> Member {
        Member { name: name.into(), address, incarnation, returns: 0 }
    }
}

impl Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Member> {
        let more = 1_000_000u64 << self.returns.min(40);
        let returns = self.returns.saturating_add(1);
        Some(Member { incarnation: self.incarnation.saturating_add(more), returns, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.incarnation, &self.name) > (other.incarnation, &other.name)
    }
}

/// What is to be done after the protocol was given something.
#[derive(Debug, Default)]
pub struct Due {
    /// Messages to send.
    pub send: Vec<(SocketAddr, Vec<u8>)>,
    /// Timers to give back after so long.
    pub timers: Vec<(Duration, Timer)>,
    /// What changed, in words for the log.
    pub changes: Vec<String>,
}

/// The members as one director knows them.
pub struct Members {
    foca: Foca<Member, PostcardCodec, StdRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    /// Messages that were no good, by the library's word.
    pub turned_down: u64,
}

impl Members {
    /// With oneself alone, for a fleet of about that size.
    pub fn new(me: Member, fleet: u32, seed: u64) -> Members {
        let few = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let every = |frequency, n| Some(PeriodicParams { frequency, num_members: few(n) });
        let lan = Config::new_lan(NonZeroU32::new(fleet).unwrap_or(NonZeroU32::MIN));
        let config = Config {
            probe_period: PROBE,
            probe_rtt: PROBE_ANSWER,
            suspect_to_down_after: SUSPECT,
            remove_down_after: Some(REMEMBER),
            max_packet_size: few(LARGEST),
            notify_down_members: true,
            periodic_announce: every(Duration::from_secs(10), 1),
            periodic_announce_to_down_members: every(LOOK_FOR_DEAD, 2),
            periodic_gossip: every(GOSSIP, 2),
            ..lan
        };
        let foca = Foca::new(me, config, StdRng::seed_from_u64(seed), PostcardCodec);
        Members { foca, runtime: AccumulatingRuntime::new(), turned_down: 0 }
    }

    /// Oneself, at the present incarnation.
    pub fn me(&self) -> &Member {
        self.foca.identity()
    }

    /// The others that are taken to be there, suspected ones among them.
    pub fn others(&self) -> Vec<Member> {
        self.foca.iter_members().map(|m| m.id().clone()).collect()
    }

    /// Those that are dead or have left, as far as they are remembered.
    pub fn dead(&self) -> Vec<Member> {
        let gone = self.foca.iter_membership_state().filter(|m| m.state() == foca::State::Down);
        gone.map(|m| m.id().clone()).collect()
    }

    /// These are there, as if all had long heard of each other: nothing of it is told on. For a fleet that is
    /// started in its steady state.
    pub fn know(&mut self, others: impl Iterator<Item = Member>) -> Due {
        let done = self.foca.apply_many(others.map(foca::Member::alive), false, &mut self.runtime);
        self.due(done)
    }

    /// Says to whoever is at an address that this director is here.
    pub fn announce(&mut self, address: SocketAddr) -> Due {
        let whoever = Member::new("", address, 0);
        let done = self.foca.announce(whoever, &mut self.runtime);
        self.due(done)
    }

    /// A message of the protocol came.
    pub fn heard(&mut self, bytes: &[u8]) -> Due {
        let done = self.foca.handle_data(bytes, &mut self.runtime);
        self.due(done)
    }

    /// A timer rang.
    pub fn rang(&mut self, timer: Timer) -> Due {
        let done = self.foca.handle_timer(timer, &mut self.runtime);
        self.due(done)
    }

    /// Tells the others that this director leaves.
    pub fn leave(&mut self) -> Due {
        let done = self.foca.leave_cluster(&mut self.runtime);
        self.due(done)
    }

    fn due(&mut self, done: Result<(), foca::Error>) -> Due {
        self.turned_down += u64::from(done.is_err());
        let mut due = Due::default();
        while let Some((to, bytes)) = self.runtime.to_send() {
            due.send.push((to.address, bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            due.timers.push((after, timer));
        }
        while let Some(change) = self.runtime.to_notify() {
            due.changes.push(match change {
                OwnedNotification::MemberUp(m) => format!("{} at {} is there", m.name, m.address),
                OwnedNotification::MemberDown(m) => format!("{} at {} is gone", m.name, m.address),
                OwnedNotification::Rename(a, b) if a.name != b.name => {
                    format!("{} at {} is called {} now", a.name, a.address, b.name)
                }
                OwnedNotification::Rename(_, m) => format!("{} at {} has started anew", m.name, m.address),
                OwnedNotification::Active => "joined".into(),
                OwnedNotification::Idle => "nobody else is there".into(),
                OwnedNotification::Defunct => "others take this director for dead".into(),
                OwnedNotification::Rejoin(m) => {
                    format!("others took this director for dead; back as incarnation {}", m.incarnation)
                }
            });
        }
        due
    }

    /// Names under which two or more are there, with their addresses.
    pub fn twins(&self) -> BTreeMap<String, Vec<SocketAddr>> {
        let mut by_name: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
        for member in self.others().into_iter().chain([self.me().clone()]) {
            by_name.entry(member.name).or_default().push(member.address);
        }
        by_name.retain(|_, addresses| addresses.len() > 1);
        by_name.values_mut().for_each(|addresses| addresses.sort());
        by_name
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Members whose messages arrive at once, and whose timers ring in order of time.
    struct Net {
        all: BTreeMap<SocketAddr, Members>,
        timers: Vec<(Duration, SocketAddr, Timer)>,
        now: Duration,
        log: Vec<String>,
    }

    fn address(n: u16) -> SocketAddr {
        ([127, 0, 0, 1], n).into()
    }

    impl Net {
        fn new() -> Net {
            Net { all: BTreeMap::new(), timers: Vec::new(), now: Duration::ZERO, log: Vec::new() }
        }

        fn start(&mut self, name: &str, at: u16, incarnation: u64) {
            let me = Member::new(name, address(at), incarnation);
            self.all.insert(address(at), Members::new(me, 3, u64::from(at) ^ incarnation));
            let due = self.all.get_mut(&address(at)).expect("started").announce(address(1));
            self.carry(address(at), due);
        }

        fn carry(&mut self, from: SocketAddr, due: Due) {
            let mut mail = vec![(from, due)];
            while let Some((from, due)) = mail.pop() {
                self.log.extend(due.changes.iter().map(|c| format!("{from}: {c}")));
                self.timers.extend(due.timers.into_iter().map(|(after, t)| (self.now + after, from, t)));
                for (to, bytes) in due.send {
                    if let Some(member) = self.all.get_mut(&to) {
                        mail.push((to, member.heard(&bytes)));
                    }
                }
            }
        }

        fn run(&mut self, seconds: u64) {
            let end = self.now + Duration::from_secs(seconds);
            while let Some(next) = self.timers.iter().enumerate().min_by_key(|(_, t)| t.0).map(|(n, _)| n) {
                if self.timers[next].0 > end {
                    break;
                }
                let (at, who, timer) = self.timers.swap_remove(next);
                self.now = at;
                if let Some(member) = self.all.get_mut(&who) {
                    let due = member.rang(timer);
                    self.carry(who, due);
                }
            }
            self.now = end;
        }
    }

    #[test]
    fn two_under_one_name_are_named_by_all_and_one_that_moves_is_not() {
        let mut net = Net::new();
        for (name, at) in [("a", 1), ("b", 2), ("c", 3), ("b", 4)] {
            net.start(name, at, 10);
        }
        net.run(5);
        for member in net.all.values() {
            let twins = member.twins();
            assert_eq!(twins.get("b"), Some(&vec![address(2), address(4)]), "{:?}", member.me());
            assert_eq!(twins.len(), 1);
        }
        // The first goes: the other is the only one.
        net.all.remove(&address(2));
        net.run(20);
        assert!(net.all.values().all(|member| member.twins().is_empty()));
    }

    #[test]
    fn one_that_returns_with_a_clock_set_back_ten_seconds_is_known_again() {
        let mut net = Net::new();
        let unix = 1_700_000_000_000_000;
        for (name, at) in [("a", 1), ("b", 2), ("c", 3)] {
            net.start(name, at, unix);
        }
        net.run(5);
        net.all.remove(&address(3));
        net.run(20);
        assert_eq!(net.all[&address(1)].others().len(), 1);
        net.timers.retain(|(_, who, _)| *who != address(3));
        net.start("c", 3, unix - 10_000_000);
        net.run(20);
        for member in net.all.values() {
            assert_eq!(member.others().len(), 2, "{:?}: {:?}", member.me(), net.log);
        }
        assert!(net.all[&address(3)].me().incarnation > unix);
    }
}
