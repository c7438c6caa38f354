//! Clients that leave before their answers: the moments drawn ahead, and the rule that no attempt begins for
//! one more than 0.1 s later, held against what servers saw.

use crate::faults::relay::LinkFault;
use crate::scenarios::scenario::{FaultKind, Scenario};
use crate::servers::emulated::ServerEvent;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::collections::HashMap;

/// No attempt begins more than so many milliseconds after its client has left.
pub const MAX_SEND_DELAY_MS: u64 = 100;
/// So many seconds after a server's stall or a faulty link is over, what had come before may still be read
/// there.
const READ_LATE: f64 = 1.0;

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectKind {
    /// It closes its connection.
    Close,
    /// It cancels: its connection is reset.
    Reset,
}

/// When and how a client leaves, if it has no answer by then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Disconnect {
    /// Seconds after its request.
    pub after: f64,
    /// How.
    pub how: DisconnectKind,
}

/// Draws who leaves. It has random numbers of its own, so that the load of a scenario without it stays as it
/// was.
pub struct Disconnects {
    random: StdRng,
    share: f64,
    within: f64,
}

impl Disconnects {
    /// By the scenario's share and span.
    pub fn new(scenario: &Scenario) -> Disconnects {
        let random = StdRng::seed_from_u64(scenario.seed ^ 0x1ea7e);
        Disconnects { random, share: scenario.leave, within: scenario.leave_within_ms / 1e3 }
    }

    /// The next request's; none: its client stays.
    pub fn draw(&mut self) -> Option<Disconnect> {
        if self.random.random::<f64>() >= self.share {
            return None;
        }
        let after = self.random.random::<f64>() * self.within;
        let how = if self.random.random() { DisconnectKind::Close } else { DisconnectKind::Reset };
        Some(Disconnect { after, how })
    }
}

/// What came after clients had left.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SentAfterDisconnect {
    /// Clients that left without an answer.
    pub clients: u64,
    /// Attempts that servers saw begin after their client had left.
    pub attempts: u64,
    /// The latest of them, in milliseconds after its client.
    pub latest_ms: u64,
    /// Those later than the term, at servers that could read at once.
    pub too_late: u64,
}

impl SentAfterDisconnect {
    /// Holds what servers told against when clients left, by request and in Unix milliseconds. Returns the
    /// broken rules beside it. Servers that were stalled, or reached by a faulty link, are left out: bytes
    /// wait there.
    pub fn reckon(
        scenario: &Scenario,
        zero_ms: u64,
        left: &HashMap<String, u64>,
        notes: &[(String, ServerEvent)],
    ) -> (SentAfterDisconnect, Vec<String>) {
        let mut after = SentAfterDisconnect { clients: left.len() as u64, ..SentAfterDisconnect::default() };
        let mut breaches = Vec::new();
        for (server, note) in notes {
            let ServerEvent::Asked { ms, request: ask, .. } = note else { continue };
            let by_director = ask.by.is_empty();
            let Some(left_ms) = left.get(&ask.id).filter(|left_ms| by_director && ms > left_ms) else {
                continue;
            };
            let late = ms - left_ms;
            if reads_late(scenario, server, (*ms as f64 - zero_ms as f64) / 1e3) {
                continue;
            }
            after.attempts += 1;
            after.latest_ms = after.latest_ms.max(late);
            if late > MAX_SEND_DELAY_MS {
                after.too_late += 1;
                breaches.push(format!("{server} saw {} begin {late} ms after its client had left", ask.id));
            }
        }
        (after, breaches)
    }
}

/// Whether what a server tells of at this moment may have waited at it, or on the way.
fn reads_late(scenario: &Scenario, server: &str, at: f64) -> bool {
    let lasts = |at: f64, lasts: Option<f64>| at..lasts.map_or(f64::INFINITY, |lasts| at + lasts + READ_LATE);
    let named = |text: &str| scenario.resolve(text).is_some_and(|whom| whom.contains(server));
    scenario.faults.iter().filter(|fault| lasts(fault.at, fault.lasts).contains(&at)).any(|fault| match fault
        .kind
    {
        FaultKind::Stall => named(&fault.who),
        FaultKind::Link => fault.link_fault != LinkFault::None && named(&fault.to),
        _ => false,
    })
}
