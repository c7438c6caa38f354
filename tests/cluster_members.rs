//! The membership protocol among several directors, without a socket.
#![cfg(feature = "peers")]

use foxhold::cluster::members::{Member, Members, ProtocolOutput, Timer};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A timer of a member, with its deadline.
struct PendingTimer {
    deadline: Duration,
    owner: SocketAddr,
    timer: Timer,
}

/// A network that delivers messages at once and fires timers by their deadlines.
struct Network {
    members: BTreeMap<SocketAddr, Members>,
    timers: Vec<PendingTimer>,
    now: Duration,
    changes: Vec<String>,
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

impl Network {
    fn new() -> Network {
        Network { members: BTreeMap::new(), timers: Vec::new(), now: Duration::ZERO, changes: Vec::new() }
    }

    fn start(&mut self, name: &str, port: u16, incarnation: u64) {
        let local = Member::new(name, address(port), incarnation);
        self.members.insert(address(port), Members::new(local, 3, u64::from(port) ^ incarnation));
        let output = self.members.get_mut(&address(port)).expect("started").announce(address(1));
        self.apply(address(port), output);
    }

    /// Carries out the output of a member, and the output of others that its messages cause.
    fn apply(&mut self, from: SocketAddr, output: ProtocolOutput) {
        let mut outputs = vec![(from, output)];
        while let Some((from, output)) = outputs.pop() {
            self.changes.extend(output.changes.iter().map(|change| format!("{from}: {change:?}")));
            let timers = output.timers.into_iter();
            self.timers.extend(timers.map(|(after, timer)| PendingTimer {
                deadline: self.now + after,
                owner: from,
                timer,
            }));
            for (to, bytes) in output.messages {
                if let Some(member) = self.members.get_mut(&to) {
                    outputs.push((to, member.handle_message(&bytes)));
                }
            }
        }
    }

    fn run(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while let Some(next) = self.next_timer().filter(|next| self.timers[*next].deadline <= end) {
            let PendingTimer { deadline, owner, timer } = self.timers.swap_remove(next);
            self.now = deadline;
            if let Some(member) = self.members.get_mut(&owner) {
                let output = member.handle_timer(timer);
                self.apply(owner, output);
            }
        }
        self.now = end;
    }

    fn next_timer(&self) -> Option<usize> {
        (0..self.timers.len()).min_by_key(|n| self.timers[*n].deadline)
    }
}

#[test]
fn all_members_detect_duplicate_names_until_one_owner_is_gone() {
    let mut network = Network::new();
    for (name, port) in [("a", 1), ("b", 2), ("c", 3), ("b", 4)] {
        network.start(name, port, 10);
    }
    network.run(5);
    for member in network.members.values() {
        let duplicates = member.duplicate_names();
        assert_eq!(duplicates.get("b"), Some(&vec![address(2), address(4)]), "{:?}", member.local());
        assert_eq!(duplicates.len(), 1);
    }
    // One of the two stops: only the other has that name.
    network.members.remove(&address(2));
    network.run(20);
    assert!(network.members.values().all(|member| member.duplicate_names().is_empty()));
}

#[test]
fn member_that_restarts_with_its_clock_set_back_is_accepted_again() {
    let mut network = Network::new();
    let unix = 1_700_000_000_000_000;
    for (name, port) in [("a", 1), ("b", 2), ("c", 3)] {
        network.start(name, port, unix);
    }
    network.run(5);
    network.members.remove(&address(3));
    network.run(20);
    assert_eq!(network.members[&address(1)].peers().len(), 1);
    network.timers.retain(|timer| timer.owner != address(3));
    network.start("c", 3, unix - 10_000_000);
    network.run(20);
    for member in network.members.values() {
        assert_eq!(member.peers().len(), 2, "{:?}: {:?}", member.local(), network.changes);
    }
    assert!(network.members[&address(3)].local().incarnation > unix);
}
