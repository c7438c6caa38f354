//! Clients that disconnect before the response. The times are drawn in advance. The requests that servers
//! received are checked against the rule that no attempt for a client begins more than 0.1 s after its
//! disconnect.

use crate::faults::relay::LinkFault;
use crate::scenarios::scenario::{FaultKind, Scenario};
use crate::servers::emulated::ServerEvent;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::collections::HashMap;

/// Time limit in milliseconds for the start of an attempt after its client has disconnected.
pub const MAX_SEND_DELAY_MS: u64 = 100;
/// Seconds after the end of a server's stall or of a link fault during which the server may still read
/// requests sent before that.
const DELAYED_READ_SECONDS: f64 = 1.0;

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectKind {
    /// The client closes its connection.
    Close,
    /// The client resets its connection.
    Reset,
}

/// When and how a client disconnects if it has no response by then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Disconnect {
    /// Seconds from the request to the disconnect.
    pub after: f64,
    /// Whether the connection is closed or reset.
    pub kind: DisconnectKind,
}

/// Draws which clients disconnect. Uses a separate random generator, so that disconnects do not change the
/// rest of a scenario's load.
pub struct Disconnects {
    random: StdRng,
    share: f64,
    within: f64,
}

impl Disconnects {
    /// Draws by the scenario's `leave` and `leave_within_ms`.
    pub fn new(scenario: &Scenario) -> Disconnects {
        let random = StdRng::seed_from_u64(scenario.seed ^ 0x1ea7e);
        Disconnects { random, share: scenario.leave, within: scenario.leave_within_ms / 1e3 }
    }

    /// Draws the disconnect of the next request's client. Returns `None` if the client waits for the
    /// response.
    pub fn draw(&mut self) -> Option<Disconnect> {
        if self.random.random::<f64>() >= self.share {
            return None;
        }
        let after = self.random.random::<f64>() * self.within;
        let kind = if self.random.random() { DisconnectKind::Close } else { DisconnectKind::Reset };
        Some(Disconnect { after, kind })
    }
}

/// Attempts that began after their client had disconnected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SentAfterDisconnect {
    /// Clients that disconnected before the response.
    pub clients: u64,
    /// Attempts that servers received after the client had disconnected.
    pub attempts: u64,
    /// The longest time from a client's disconnect to an attempt, in milliseconds.
    pub latest_ms: u64,
    /// Attempts later than [`MAX_SEND_DELAY_MS`], at servers that read requests without delay.
    pub too_late: u64,
}

impl SentAfterDisconnect {
    /// Compares the requests that servers received with the disconnects in `left`, which are in Unix
    /// milliseconds by request id. Returns the figures and the broken rules. Requests at servers that were
    /// stalled or behind a faulty link are left out, because bytes may wait there before they are read.
    pub fn compute(
        scenario: &Scenario,
        zero_ms: u64,
        left: &HashMap<String, u64>,
        events: &[(String, ServerEvent)],
    ) -> (SentAfterDisconnect, Vec<String>) {
        let mut after = SentAfterDisconnect { clients: left.len() as u64, ..SentAfterDisconnect::default() };
        let mut breaches = Vec::new();
        for (server, event) in events {
            let ServerEvent::Asked { ms, request: ask, .. } = event else { continue };
            let by_director = ask.by.is_empty();
            let Some(left_ms) = left.get(&ask.id).filter(|left_ms| by_director && ms > left_ms) else {
                continue;
            };
            let late = ms - left_ms;
            if may_read_late(scenario, server, (*ms as f64 - zero_ms as f64) / 1e3) {
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

/// Returns whether a request that a server reports at this time may have waited at the server or on the link.
fn may_read_late(scenario: &Scenario, server: &str, at: f64) -> bool {
    let lasts = |at: f64, lasts: Option<f64>| {
        at..lasts.map_or(f64::INFINITY, |lasts| at + lasts + DELAYED_READ_SECONDS)
    };
    let named = |text: &str| scenario.resolve(text).is_some_and(|whom| whom.contains(server));
    scenario.faults.iter().filter(|fault| lasts(fault.at, fault.lasts).contains(&at)).any(|fault| match fault
        .kind
    {
        FaultKind::Stall => named(&fault.who),
        FaultKind::Link => fault.link_fault != LinkFault::None && named(&fault.to),
        _ => false,
    })
}
