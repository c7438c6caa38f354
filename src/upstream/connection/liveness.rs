//! Detects a connection that is dead though it is open: its machine vanished, or a response was cut short.

use std::time::Duration;
use tokio::time::Instant;

/// A response that has begun continues within this, since servers write it at once. Otherwise it was cut
/// short, and what would follow it on the connection never comes.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// A connection without a byte for this long, while an attempt is in flight on it, gets a liveness check.
/// Most responses come sooner, large ones as well; each check costs the server as much as a health check.
const LIVENESS_CHECK_AFTER: Duration = Duration::from_millis(900);
/// It gets nothing new if nothing has come by this much later.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(150);
/// It is dead if nothing has come this long after the check.
const DEAD_AFTER: Duration = Duration::from_millis(900);
/// A cancelled attempt that had no response for this long, without a byte on its connection, shows that the
/// connection may be dead: a machine that vanished leaves it open and silent, also after its successor came.
const CANCELLED_SILENCE: Duration = Duration::from_millis(1000);

/// How far a silence has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// Nothing has been done about it.
    Unchecked,
    /// A liveness check is under way.
    Checked,
    /// The actor knows that the connection may be dead.
    Unresponsive,
}

/// What to do when a silence has lasted too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SilenceAction {
    /// Send a liveness check.
    Check,
    /// Report the connection as unresponsive.
    ReportUnresponsive,
    /// Close the connection.
    Close,
}

/// When the server was heard last.
#[derive(Debug)]
pub(super) struct Liveness {
    last_read: Instant,
    silence: Silence,
}

impl Liveness {
    pub(super) fn new(now: Instant) -> Self {
        Liveness { last_read: now, silence: Silence::Unchecked }
    }

    /// Notes that something has come.
    pub(super) fn record_read(&mut self, now: Instant) {
        *self = Liveness::new(now);
    }

    /// When the present silence needs an action; `None` if nothing is awaited.
    pub(super) fn deadline(
        &self,
        has_partial_response: bool,
        oldest_attempt: Option<Instant>,
    ) -> Option<Instant> {
        if has_partial_response {
            return Some(self.last_read + RESPONSE_STALL_TIMEOUT);
        }
        let silent_since = oldest_attempt?.max(self.last_read);
        let allowed = match self.silence {
            Silence::Unchecked => LIVENESS_CHECK_AFTER,
            Silence::Checked => LIVENESS_CHECK_AFTER + UNRESPONSIVE_AFTER,
            Silence::Unresponsive => LIVENESS_CHECK_AFTER + DEAD_AFTER,
        };
        Some(silent_since + allowed)
    }

    /// The next action of a silence that has reached its deadline.
    pub(super) fn next_action(&mut self) -> SilenceAction {
        let (next, action) = match self.silence {
            Silence::Unchecked => (Silence::Checked, SilenceAction::Check),
            Silence::Checked => (Silence::Unresponsive, SilenceAction::ReportUnresponsive),
            Silence::Unresponsive => (Silence::Unresponsive, SilenceAction::Close),
        };
        self.silence = next;
        action
    }

    /// Whether an attempt that was sent at this time, and is cancelled now, makes the connection doubtful.
    pub(super) fn is_doubtful(&self, sent_at: Instant) -> bool {
        sent_at.elapsed() >= CANCELLED_SILENCE && self.last_read <= sent_at
    }
}
