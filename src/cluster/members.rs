//! The membership protocol: SWIM with suspicion, as implemented by the crate `foca`, which performs no I/O.
//!
//! A member is identified by its address, and a later incarnation replaces an earlier one, so a director
//! that restarts at its address stays the same member. Every member, including the directors concerned,
//! detects two directors with the same name at different addresses ([`Members::duplicate_names`]).

pub use super::membership_change::MembershipChange;

use foca::{AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, PeriodicParams, PostcardCodec};
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// Interval at which each member probes another.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which an unacknowledged probe is followed by indirect probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a suspected member that has not refuted the suspicion is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Interval at which membership changes are gossiped.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which an announcement is sent to a live member.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which announcements are sent to dead members, so that the cluster reunites after a network
/// partition.
const ANNOUNCE_TO_DEAD_INTERVAL: Duration = Duration::from_millis(2_000);
/// How long a dead member is kept in the member list.
const DEAD_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// The largest message of the protocol, in bytes.
const MAX_MESSAGE_BYTES: usize = 1_200;

/// Added to the incarnation when a director first rejoins after being declared dead: one second, as the
/// initial incarnation is the start time in Unix microseconds.
const RENEWAL_STEP: u64 = 1_000_000;
/// Maximum number of times that [`RENEWAL_STEP`] is doubled.
const MAX_RENEWAL_SHIFT: u8 = 40;

/// A timer of the protocol, to be passed to [`Members::handle_timer`] when it expires.
pub type Timer = foca::Timer<Member>;

/// The identity of a director in the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The director's name, from its operator's file.
    pub name: String,
    /// The address at which other directors reach it.
    pub address: SocketAddr,
    /// Increases at each start, and each time that the director rejoins after being declared dead.
    pub incarnation: u64,
    /// How often the director was declared dead since its start. Each rejoin doubles the step added to the
    /// incarnation, so that it overtakes an incarnation taken from a clock that has since been set back.
    pub returns: u8,
}

impl Member {
    /// Creates the identity of a director that has just started.
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

/// The actions that the protocol requests after an input.
#[derive(Debug, Default)]
pub struct ProtocolOutput {
    /// Messages to send, with their destination addresses.
    pub messages: Vec<(SocketAddr, Vec<u8>)>,
    /// Timers to schedule, with their delays.
    pub timers: Vec<(Duration, Timer)>,
    /// Membership changes, in the order in which they occurred.
    pub changes: Vec<MembershipChange>,
}

/// The membership as known to this director.
pub struct Members {
    foca: Foca<Member, PostcardCodec, StdRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    /// Number of inputs that `foca` rejected since the start.
    pub rejected: u64,
}

impl Members {
    /// Creates a membership in which this director is the only member. `cluster_size` is the approximate
    /// number of directors, by which the protocol is tuned.
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

    /// Returns this director's identity with its present incarnation.
    pub fn local(&self) -> &Member {
        self.foca.identity()
    }

    /// Returns the other live members, including suspected ones.
    pub fn peers(&self) -> Vec<Member> {
        self.foca.iter_members().map(|m| m.id().clone()).collect()
    }

    /// Returns the members that were declared dead or left during the last 24 hours.
    pub fn dead(&self) -> Vec<Member> {
        let down = self.foca.iter_membership_state().filter(|m| m.state() == foca::State::Down);
        down.map(|m| m.id().clone()).collect()
    }

    /// Adds other directors as live members without announcing them, as in a cluster that has reached its
    /// steady state.
    pub fn know(&mut self, peers: impl Iterator<Item = Member>) -> ProtocolOutput {
        let result = self.foca.apply_many(peers.map(foca::Member::alive), false, &mut self.runtime);
        self.output(result)
    }

    /// Announces this director to the director at an address, whose identity is not known yet.
    pub fn announce(&mut self, address: SocketAddr) -> ProtocolOutput {
        let unknown = Member::new("", address, 0);
        let result = self.foca.announce(unknown, &mut self.runtime);
        self.output(result)
    }

    /// Handles an encoded message of the protocol.
    pub fn handle_message(&mut self, bytes: &[u8]) -> ProtocolOutput {
        let result = self.foca.handle_data(bytes, &mut self.runtime);
        self.output(result)
    }

    /// Handles a timer that has expired.
    pub fn handle_timer(&mut self, timer: Timer) -> ProtocolOutput {
        let result = self.foca.handle_timer(timer, &mut self.runtime);
        self.output(result)
    }

    /// Leaves the cluster and notifies other members.
    pub fn leave(&mut self) -> ProtocolOutput {
        let result = self.foca.leave_cluster(&mut self.runtime);
        self.output(result)
    }

    /// Collects the actions that `foca` requests after an input.
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

    /// Returns the names that are shared by two or more directors, with their addresses.
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
