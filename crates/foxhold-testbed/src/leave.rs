//! Clients that leave before their answers: the moments drawn ahead, and the rule that no attempt begins for one more
//! than 0.1 s later, held against what servers saw.

use crate::plan::{Plan, What};
use crate::relay::LinkFault;
use crate::standin::Noted;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::collections::HashMap;

/// No attempt begins more than so many milliseconds after its client has left.
pub const TERM_MS: u64 = 100;
/// So many seconds after a server's stall or a hurt link is over, what had come before may still be read there.
const READ_LATE: f64 = 1.0;

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// It closes its connection.
    Close,
    /// It cancels: its connection is reset.
    Reset,
}

/// When and how a client leaves, if it has no answer by then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Leave {
    /// Seconds after its request.
    pub after: f64,
    /// How.
    pub how: How,
}

/// Draws who leaves. It has random numbers of its own, so that the load of a plan without it stays as it was.
pub struct Leaves {
    random: StdRng,
    share: f64,
    within: f64,
}

impl Leaves {
    /// By the plan's share and span.
    pub fn new(plan: &Plan) -> Leaves {
        let random = StdRng::seed_from_u64(plan.seed ^ 0x1ea7e);
        Leaves { random, share: plan.leave, within: plan.leave_within_ms / 1e3 }
    }

    /// The next request's; none: its client stays.
    pub fn draw(&mut self) -> Option<Leave> {
        if self.random.random::<f64>() >= self.share {
            return None;
        }
        let after = self.random.random::<f64>() * self.within;
        let how = if self.random.random() { How::Close } else { How::Reset };
        Some(Leave { after, how })
    }
}

/// What came after clients had left.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AfterLeave {
    /// Clients that left without an answer.
    pub clients: u64,
    /// Attempts that servers saw begin after their client had left.
    pub attempts: u64,
    /// The latest of them, in milliseconds after its client.
    pub latest_ms: u64,
    /// Those later than the term, at servers that could read at once.
    pub too_late: u64,
}

impl AfterLeave {
    /// Holds what servers told against when clients left, by request and in Unix milliseconds. Returns the broken
    /// rules beside it. Servers that were stalled, or reached by a hurt link, are left out: bytes wait there.
    pub fn reckon(
        plan: &Plan,
        zero_ms: u64,
        left: &HashMap<String, u64>,
        notes: &[(String, Noted)],
    ) -> (AfterLeave, Vec<String>) {
        let mut after = AfterLeave { clients: left.len() as u64, ..AfterLeave::default() };
        let mut breaches = Vec::new();
        for (server, note) in notes {
            let Noted::Asked { ms, ask, .. } = note else { continue };
            let by_director = ask.by.is_empty();
            let Some(left_ms) = left.get(&ask.id).filter(|left_ms| by_director && ms > left_ms) else {
                continue;
            };
            let late = ms - left_ms;
            if reads_late(plan, server, (*ms as f64 - zero_ms as f64) / 1e3) {
                continue;
            }
            after.attempts += 1;
            after.latest_ms = after.latest_ms.max(late);
            if late > TERM_MS {
                after.too_late += 1;
                breaches.push(format!("{server} saw {} begin {late} ms after its client had left", ask.id));
            }
        }
        (after, breaches)
    }
}

/// Whether what a server tells of at this moment may have waited at it, or on the way.
fn reads_late(plan: &Plan, server: &str, at: f64) -> bool {
    let lasts = |at: f64, lasts: Option<f64>| at..lasts.map_or(f64::INFINITY, |lasts| at + lasts + READ_LATE);
    let named = |text: &str| plan.whom(text).is_some_and(|whom| whom.contains(server));
    plan.faults.iter().filter(|fault| lasts(fault.at, fault.lasts).contains(&at)).any(|fault| {
        match fault.what {
            What::Stall => named(&fault.who),
            What::Link => fault.hurt != LinkFault::None && named(&fault.to),
            _ => false,
        }
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::standin::Ask;

    fn asked(server: &str, id: &str, ms: u64) -> (String, Noted) {
        let ask = Ask { id: id.into(), ..Ask::default() };
        (server.into(), Noted::Asked { ms, ask, full: false })
    }

    #[test]
    fn who_leaves_is_drawn_by_the_plan_s_share_and_seed() {
        let plan = Plan { leave: 0.25, leave_within_ms: 400.0, ..Plan::default() };
        let draw = |plan: &Plan| {
            let mut leaves = Leaves::new(plan);
            (0..10_000).map(|_| leaves.draw()).collect::<Vec<_>>()
        };
        let drawn = draw(&plan);
        assert_eq!(drawn, draw(&plan));
        assert_ne!(drawn, draw(&Plan { seed: 2, ..plan }));
        let left: Vec<Leave> = drawn.into_iter().flatten().collect();
        assert!((2_300..2_700).contains(&left.len()), "{}", left.len());
        assert!(left.iter().all(|leave| (0.0..0.4).contains(&leave.after)));
        let resets = left.iter().filter(|leave| leave.how == How::Reset).count();
        assert!((1_100..1_400).contains(&resets), "{resets}");
    }

    #[test]
    fn an_attempt_is_held_against_its_own_client_and_the_term() {
        let left = HashMap::from([("a".to_owned(), 1_000), ("b".to_owned(), 1_000)]);
        let notes = [
            asked("cache-1", "a", 900),
            asked("cache-1", "a", 1_100),
            asked("cache-1", "b", 1_101),
            asked("cache-1", "c", 9_000),
        ];
        let (after, breaches) = AfterLeave::reckon(&Plan::default(), 0, &left, &notes);
        assert_eq!(after, AfterLeave { clients: 2, attempts: 2, latest_ms: 101, too_late: 1 });
        assert_eq!(breaches, ["cache-1 saw b begin 101 ms after its client had left"]);
    }

    #[test]
    fn a_server_that_could_not_read_is_left_out_for_that_time() {
        let text = "faults: [{at: 2, for: 1, do: stall, who: cache-1}, \
                    {at: 2, for: 1, do: link, who: directors, to: cache-2, hurt: stall}]";
        let plan = Plan::read(text).expect("a plan");
        let left = HashMap::from([("a".to_owned(), 1_000)]);
        let late = |server: &str, ms| AfterLeave::reckon(&plan, 0, &left, &[asked(server, "a", ms)]).1.len();
        assert_eq!([late("cache-1", 3_900), late("cache-2", 3_900), late("cache-3", 3_900)], [0, 0, 1]);
        assert_eq!([late("cache-1", 1_900), late("cache-1", 4_100)], [1, 1]);
    }
}
