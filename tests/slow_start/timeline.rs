//! The timeline of a simulated run, its kinds of events and its fixed rates.

use crate::site::SECOND;
use foxhold::*;

/// Times of a run: its start, a server's crash, its removal from the list and restart, another's join, a
/// burst of traffic, and the start of late routers.
pub const START: Micros = 100 * SECOND;
pub const CRASH: Micros = START + 3 * SECOND;
pub const REMOVAL: Micros = CRASH + SECOND;
pub const RESTART: Micros = CRASH + 3 * SECOND + SECOND / 2;
pub const JOIN: Micros = RESTART + SECOND;
pub const BURST: std::ops::Range<Micros> = RESTART + 2 * SECOND..RESTART + 6 * SECOND;
pub const LATE_START: std::ops::Range<Micros> = RESTART..RESTART + 6 * SECOND;
/// The longest delay of a member update to a router.
pub const MAX_UPDATE_DELAY: Micros = 2 * SECOND;
/// One router in five receives this multiple of the others' traffic.
pub const BUSY_ROUTER_MULTIPLE: f64 = 5.0;
/// Shares of attempts that a server rejects, and that fail there.
pub const REJECTED_SHARE: f64 = 0.04;
pub const FAILED_SHARE: f64 = 0.02;

/// A simulated event.
#[derive(Debug)]
pub enum Scheduled {
    Arrival,
    Start(usize),
    Members(usize, Vec<Member>),
    Timer(TimerToken),
    AttemptEnded(AttemptEnd),
    HealthChecked(ServerId),
}
