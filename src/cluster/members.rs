//! The membership protocol: SWIM with suspicion, by the crate `foca`, which has no I/O of its own.
//!
//! A member is identified by its address, and a later incarnation replaces an earlier one, so a director
//! that restarts at its address stays the same member. Two directors with one name at different addresses
//! are found by all members, themselves among them ([`Members::duplicate_names`]).

pub use super::membership_change::MembershipChange;

use foca::{AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, PeriodicParams, PostcardCodec};
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// How often each member probes another.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// A probe that is not acknowledged within this is followed by indirect probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// A suspected member that does not refute it for this long is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(4_000);
/// How often changes of the membership are gossiped.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// How often a live member is sent an announcement.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);
/// How often dead members are sent an announcement, so that a partition heals.
const ANNOUNCE_TO_DEAD_INTERVAL: Duration = Duration::from_millis(2_000);
/// How long a dead member is remembered.
const DEAD_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// The largest message of the protocol, in bytes.
const MAX_MESSAGE_BYTES: usize = 1_200;

/// What a first renewal adds to the incarnation: a second, as incarnations begin with the time of the start
/// in microseconds.
const RENEWAL_STEP: u64 = 1_000_000;
/// How often the step is doubled at most.
const MAX_RENEWAL_SHIFT: u8 = 40;

/// A timer of the protocol: handed back when it expires.
pub type Timer = foca::Timer<Member>;

/// The identity of a director.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Its name, from its operator's file.
    pub name: String,
    /// Where other directors reach it.
    pub address: SocketAddr,
    /// Grows with each start, and each time that others declared it dead while it runs.
    pub incarnation: u64,
    /// How often it was declared dead in this run: each time adds more to the incarnation than the one
    /// before, so that it passes an incarnation taken from a clock that was set back since.
    pub returns: u8,
}

impl Member {
    /// A director at its start.
    pub fn new(name: &str, address: SocketAddr, incarnation: u64) -> Member {
        Member { name: name.into(), address, incarnation, returns: 0 }
    }
}

impl Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Member> {
        let step = RENEWAL_STEP << self.returns.min(MAX_RENEWAL_SHIFT);
        let returns = self.returns.saturating_add(1);
        Some(Member { incarnation: self.incarnation.saturating_add(step), returns, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.incarnation, &self.name) > (other.incarnation, &other.name)
    }
}

/// What the protocol asks for after an input.
#[derive(Debug, Default)]
pub struct ProtocolOutput {
    /// Messages to send, each to an address.
    pub messages: Vec<(SocketAddr, Vec<u8>)>,
    /// Timers to hand back, each after a delay.
    pub timers: Vec<(Duration, Timer)>,
    /// Changes of the membership.
    pub changes: Vec<MembershipChange>,
}

/// The membership as one director knows it.
pub struct Members {
    foca: Foca<Member, PostcardCodec, StdRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    /// Messages and timers that the library rejected, since the start.
    pub rejected: u64,
}

impl Members {
    /// With this director alone, in a cluster of about this size.
    pub fn new(local: Member, cluster_size: u32, seed: u64) -> Members {
        let at_least_one = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let every = |frequency, n| Some(PeriodicParams { frequency, num_members: at_least_one(n) });
        let lan = Config::new_lan(NonZeroU32::new(cluster_size).unwrap_or(NonZeroU32::MIN));
        let config = Config {
            probe_period: PROBE_INTERVAL,
            probe_rtt: PROBE_TIMEOUT,
            suspect_to_down_after: SUSPICION_TIMEOUT,
            remove_down_after: Some(DEAD_RETENTION),
            max_packet_size: at_least_one(MAX_MESSAGE_BYTES),
            notify_down_members: true,
            periodic_announce: every(ANNOUNCE_INTERVAL, 1),
            periodic_announce_to_down_members: every(ANNOUNCE_TO_DEAD_INTERVAL, 2),
            periodic_gossip: every(GOSSIP_INTERVAL, 2),
            ..lan
        };
        let foca = Foca::new(local, config, StdRng::seed_from_u64(seed), PostcardCodec);
        Members { foca, runtime: AccumulatingRuntime::new(), rejected: 0 }
    }

    /// This director, at its present incarnation.
    pub fn local(&self) -> &Member {
        self.foca.identity()
    }

    /// The other members that are alive, suspected ones among them.
    pub fn peers(&self) -> Vec<Member> {
        self.foca.iter_members().map(|m| m.id().clone()).collect()
    }

    /// Members that are dead or have left, as far as they are remembered.
    pub fn dead(&self) -> Vec<Member> {
        let down = self.foca.iter_membership_state().filter(|m| m.state() == foca::State::Down);
        down.map(|m| m.id().clone()).collect()
    }

    /// Takes other directors for live members and announces that to nobody, as in a cluster that has long
    /// been in its steady state.
    pub fn know(&mut self, peers: impl Iterator<Item = Member>) -> ProtocolOutput {
        let result = self.foca.apply_many(peers.map(foca::Member::alive), false, &mut self.runtime);
        self.output(result)
    }

    /// Announces this director to whichever director is at an address.
    pub fn announce(&mut self, address: SocketAddr) -> ProtocolOutput {
        let unknown = Member::new("", address, 0);
        let result = self.foca.announce(unknown, &mut self.runtime);
        self.output(result)
    }

    /// Handles a message of the protocol.
    pub fn handle_message(&mut self, bytes: &[u8]) -> ProtocolOutput {
        let result = self.foca.handle_data(bytes, &mut self.runtime);
        self.output(result)
    }

    /// Handles a timer that has expired.
    pub fn handle_timer(&mut self, timer: Timer) -> ProtocolOutput {
        let result = self.foca.handle_timer(timer, &mut self.runtime);
        self.output(result)
    }

    /// Tells the other members that this director leaves.
    pub fn leave(&mut self) -> ProtocolOutput {
        let result = self.foca.leave_cluster(&mut self.runtime);
        self.output(result)
    }

    /// Collects what the library asks for after an input.
    fn output(&mut self, result: Result<(), foca::Error>) -> ProtocolOutput {
        self.rejected += u64::from(result.is_err());
        let mut output = ProtocolOutput::default();
        while let Some((to, bytes)) = self.runtime.to_send() {
            output.messages.push((to.address, bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            output.timers.push((after, timer));
        }
        while let Some(change) = self.runtime.to_notify() {
            output.changes.push(change.into());
        }
        output
    }

    /// Names that two or more directors have, with their addresses.
    pub fn duplicate_names(&self) -> BTreeMap<String, Vec<SocketAddr>> {
        let mut by_name: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
        for member in self.peers().into_iter().chain([self.local().clone()]) {
            by_name.entry(member.name).or_default().push(member.address);
        }
        by_name.retain(|_, addresses| addresses.len() > 1);
        by_name.values_mut().for_each(|addresses| addresses.sort());
        by_name
    }
}
