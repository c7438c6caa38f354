//! Follows how far this director has caught up, and keeps it from serving old copies until then.

use super::dispatcher_feed::DispatcherFeed;
use super::LOG_TARGET;
use crate::policy::types::Micros;
use crate::replication::gossip::Stage;
use std::time::Duration;
use tokio::time::Instant;

/// The stage that was last seen, and the careful mode after a start.
pub(super) struct CatchUpMonitor {
    stage: Stage,
    /// The longest time of the careful mode; none: this director serves any copy from its start on.
    max_careful: Option<Duration>,
    /// When the careful mode ends at the latest, while it lasts.
    careful_until: Option<Instant>,
}

impl CatchUpMonitor {
    /// At a start.
    pub(super) fn new(max_careful: Option<Duration>, now: Instant) -> CatchUpMonitor {
        let careful_until = max_careful.map(|limit| now + limit);
        CatchUpMonitor { stage: Stage::CatchingUp, max_careful, careful_until }
    }

    /// Begins the careful mode: no copy older than this director's start is served.
    pub(super) async fn begin(&self, dispatcher: &DispatcherFeed, unix: Micros) {
        if let Some(limit) = self.max_careful {
            dispatcher.not_before(Some(unix)).await;
            let max_ms = limit.as_millis() as u64;
            tracing::info!(target: LOG_TARGET, max_ms, "careful mode begins: no older copies are served");
        }
    }

    /// Logs a change of the stage, and ends the careful mode once there is no more need for it.
    pub(super) async fn update(
        &mut self,
        stage: Stage,
        entries: usize,
        dispatcher: &DispatcherFeed,
        now: Instant,
    ) {
        if stage != std::mem::replace(&mut self.stage, stage) {
            log_stage(stage, entries);
        }
        let ends = self.careful_until.is_some_and(|until| until <= now || stage != Stage::CatchingUp);
        // The dispatcher's mailbox keeps the order: it is to have what was received before the mode ends.
        if ends && dispatcher.is_empty() {
            self.careful_until = None;
            dispatcher.not_before(None).await;
            tracing::info!(target: LOG_TARGET, "careful mode ended: all copies are served");
        }
    }
}

fn log_stage(stage: Stage, entries: usize) {
    match stage {
        Stage::CatchingUp => {
            tracing::info!(target: LOG_TARGET, entries, "catching up again after an absence past the horizon")
        }
        Stage::CaughtUp => tracing::info!(target: LOG_TARGET, entries, "caught up with peers"),
        Stage::NoPeers => {
            tracing::info!(target: LOG_TARGET, entries, "no peer to catch up with, continuing alone")
        }
    }
}

/// The name of a stage, for operators.
pub(super) fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::CatchingUp => "catching up",
        Stage::CaughtUp => "caught up",
        Stage::NoPeers => "on its own",
    }
}
