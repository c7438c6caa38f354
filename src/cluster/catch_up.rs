//! Follows how far this director has caught up, and keeps it from serving old copies until then.

use super::core_feed::CoreFeed;
use super::LOG_TARGET;
use crate::policy::types::Micros;
use crate::replication::gossip::Stage;
use std::time::Duration;
use tokio::time::Instant;

/// The stage that was last seen, and the time of caution after a start.
pub(super) struct CatchUp {
    stage: Stage,
    /// The longest caution; none: this director serves any copy from its start on.
    careful_for: Option<Duration>,
    /// When the caution ends at the latest, while it lasts.
    careful_until: Option<Instant>,
}

impl CatchUp {
    /// At a start.
    pub(super) fn new(careful_for: Option<Duration>, now: Instant) -> CatchUp {
        let careful_until = careful_for.map(|most| now + most);
        CatchUp { stage: Stage::CatchingUp, careful_for, careful_until }
    }

    /// Begins the caution: no copy older than this director's start is served.
    pub(super) async fn begin(&self, core: &CoreFeed, unix: Micros) {
        if let Some(most) = self.careful_for {
            core.not_before(Some(unix)).await;
            let ms = most.as_millis();
            tracing::info!(target: LOG_TARGET, "peers: careful until caught up, for {ms} ms at most");
        }
    }

    /// Logs a change of the stage, and ends the caution once there is no more need for it.
    pub(super) async fn update(&mut self, stage: Stage, entries: usize, core: &CoreFeed, now: Instant) {
        if stage != std::mem::replace(&mut self.stage, stage) {
            log_stage(stage, entries);
        }
        let over = self.careful_until.is_some_and(|until| until <= now || stage != Stage::CatchingUp);
        // The core's mailbox keeps the order: it is to have what was received before the caution ends.
        if over && core.is_empty() {
            self.careful_until = None;
            core.not_before(None).await;
            tracing::info!(target: LOG_TARGET, "peers: careful no longer");
        }
    }
}

fn log_stage(stage: Stage, entries: usize) {
    match stage {
        Stage::CatchingUp => {
            tracing::info!(target: LOG_TARGET, "peers: away past the horizon; catching up")
        }
        Stage::CaughtUp => tracing::info!(target: LOG_TARGET, "peers: caught up, {entries} entries"),
        Stage::Alone => tracing::info!(
            target: LOG_TARGET,
            "peers: nobody has more to catch up with; going on with {entries} entries"
        ),
    }
}

/// The name of a stage, for operators.
pub(super) fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::CatchingUp => "catching up",
        Stage::CaughtUp => "caught up",
        Stage::Alone => "on its own",
    }
}
