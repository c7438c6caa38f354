//! Who is there: membership by SWIM with suspicion, from the crate `foca`, which has no I/O of its own.
//!
//! A director is known by its address; a later incarnation there stands above an earlier one, so one that
//! returns under its address is the same member. Two that answer under one name at different addresses are
//! named by all, themselves among them ([`Members::twins`]).

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification, PeriodicParams,
};
use foca::{PostcardCodec, Timer};
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
    pub timers: Vec<(Duration, Timer<Member>)>,
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
    pub fn rang(&mut self, timer: Timer<Member>) -> Due {
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
