//! Detects a connection that is open but no longer works: the server's machine has vanished, or a response
//! was truncated.

use std::time::Duration;
use tokio::time::Instant;

/// Maximum time without further bytes of a response that has begun: servers write a response in one go. After
/// that it is taken as truncated, and nothing that follows it on the connection would arrive.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without a received byte, while an attempt is in flight, after which a liveness check is sent. Most
/// responses, large ones included, arrive sooner; each check costs the server as much as a health check.
const LIVENESS_CHECK_AFTER: Duration = Duration::from_millis(900);
/// Time without a received byte, after the liveness check is sent, until the connection gets no new requests.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(150);
/// Time without a received byte, after the liveness check is sent, until the connection is closed.
const CLOSE_AFTER: Duration = Duration::from_millis(900);
/// Age of a cancelled attempt at which, if its connection has received no byte since it was sent, the
/// connection counts as unresponsive. When a machine vanishes, its connections stay open without delivering
/// anything, even after another machine has replaced it.
const UNRESPONSIVE_ON_CANCEL_AFTER: Duration = Duration::from_millis(1000);

/// The measures taken since the last byte was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InactivityStage {
    /// No liveness check has been sent.
    Unchecked,
    /// A liveness check has been sent.
    Checked,
    /// The connection was reported to the actor as unresponsive.
    Unresponsive,
}

/// The measure to take when a connection has received nothing for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InactivityAction {
    /// Send a liveness check.
    Check,
    /// Report the connection as unresponsive.
    ReportUnresponsive,
    /// Close the connection.
    Close,
}

/// Tracks when the connection last received bytes, and which measures have been taken since.
#[derive(Debug)]
pub(super) struct Liveness {
    last_read: Instant,
    stage: InactivityStage,
}

impl Liveness {
    pub(super) fn new(now: Instant) -> Self {
        Liveness { last_read: now, stage: InactivityStage::Unchecked }
    }

    /// Records that bytes were received.
    pub(super) fn record_read(&mut self, now: Instant) {
        *self = Liveness::new(now);
    }

    /// Returns when the next measure is due; `None` if no response is awaited.
    pub(super) fn deadline(
        &self,
        has_partial_response: bool,
        oldest_attempt: Option<Instant>,
    ) -> Option<Instant> {
        if has_partial_response {
            return Some(self.last_read + RESPONSE_STALL_TIMEOUT);
        }
        let inactive_since = oldest_attempt?.max(self.last_read);
        let allowed = match self.stage {
            InactivityStage::Unchecked => LIVENESS_CHECK_AFTER,
            InactivityStage::Checked => LIVENESS_CHECK_AFTER + UNRESPONSIVE_AFTER,
            InactivityStage::Unresponsive => LIVENESS_CHECK_AFTER + CLOSE_AFTER,
        };
        Some(inactive_since + allowed)
    }

    /// Advances to the next stage once its deadline has passed, and returns the measure to take.
    pub(super) fn next_action(&mut self) -> InactivityAction {
        let (next, action) = match self.stage {
            InactivityStage::Unchecked => (InactivityStage::Checked, InactivityAction::Check),
            InactivityStage::Checked => (InactivityStage::Unresponsive, InactivityAction::ReportUnresponsive),
            InactivityStage::Unresponsive => (InactivityStage::Unresponsive, InactivityAction::Close),
        };
        self.stage = next;
        action
    }

    /// Returns whether the connection counts as unresponsive when an attempt sent at `sent_at` is cancelled
    /// now.
    pub(super) fn is_unresponsive_since(&self, sent_at: Instant) -> bool {
        sent_at.elapsed() >= UNRESPONSIVE_ON_CANCEL_AFTER && self.last_read <= sent_at
    }
}
