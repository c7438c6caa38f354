//! The timeline of a simulated run, its kinds of events and its fixed shares.

use crate::site::SECOND;
use foxhold::*;

/// The run starts.
pub const START: Micros = 100 * SECOND;
/// A server crashes.
pub const CRASH: Micros = START + 3 * SECOND;
/// The crashed server is removed from the member list.
pub const REMOVAL: Micros = CRASH + SECOND;
/// The crashed server restarts.
pub const RESTART: Micros = CRASH + 3 * SECOND + SECOND / 2;
/// Another server joins.
pub const JOIN: Micros = RESTART + SECOND;
/// The traffic doubles.
pub const BURST: std::ops::Range<Micros> = RESTART + 2 * SECOND..RESTART + 6 * SECOND;
/// Late routers start.
pub const LATE_START: std::ops::Range<Micros> = RESTART..RESTART + 6 * SECOND;
/// The longest delay of a member update to a router.
pub const MAX_UPDATE_DELAY: Micros = 2 * SECOND;
/// One router in five receives this multiple of the others' traffic.
pub const BUSY_ROUTER_MULTIPLE: f64 = 5.0;
/// The share of attempts that a server rejects.
pub const REJECTED_SHARE: f64 = 0.04;
/// The share of attempts that fail at a server.
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
