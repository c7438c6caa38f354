//! The membership protocol among several directors, without a socket: messages arrive at once, and timers
//! expire in order of time.
#![cfg(feature = "peers")]

use foca::Timer;
use foxhold::cluster::members::{Member, Members, ProtocolOutput};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Members whose messages arrive at once, and whose timers ring in order of time.
struct Net {
    all: BTreeMap<SocketAddr, Members>,
    timers: Vec<(Duration, SocketAddr, Timer<Member>)>,
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

    fn carry(&mut self, from: SocketAddr, due: ProtocolOutput) {
        let mut mail = vec![(from, due)];
        while let Some((from, due)) = mail.pop() {
            self.log.extend(due.changes.iter().map(|c| format!("{from}: {c:?}")));
            self.timers.extend(due.timers.into_iter().map(|(after, t)| (self.now + after, from, t)));
            for (to, bytes) in due.messages {
                if let Some(member) = self.all.get_mut(&to) {
                    mail.push((to, member.handle_message(&bytes)));
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
                let due = member.handle_timer(timer);
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
        let twins = member.duplicate_names();
        assert_eq!(twins.get("b"), Some(&vec![address(2), address(4)]), "{:?}", member.local());
        assert_eq!(twins.len(), 1);
    }
    // The first goes: the other is the only one.
    net.all.remove(&address(2));
    net.run(20);
    assert!(net.all.values().all(|member| member.duplicate_names().is_empty()));
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
    assert_eq!(net.all[&address(1)].peers().len(), 1);
    net.timers.retain(|(_, who, _)| *who != address(3));
    net.start("c", 3, unix - 10_000_000);
    net.run(20);
    for member in net.all.values() {
        assert_eq!(member.peers().len(), 2, "{:?}: {:?}", member.local(), net.log);
    }
    assert!(net.all[&address(3)].local().incarnation > unix);
}
