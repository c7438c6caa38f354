//! Tracks the catch-up stage and controls the fresh-only mode: until this director has caught up, it may have
//! missed purges, so no copy older than its start is served.

use super::dispatcher_feed::DispatcherFeed;
use super::LOG_TARGET;
use crate::policy::types::Micros;
use crate::replication::gossip::Stage;
use std::time::Duration;
use tokio::time::Instant;

/// The last catch-up stage, and the fresh-only mode after a start.
pub(super) struct CatchUpMonitor {
    stage: Stage,
    /// The longest duration of the fresh-only mode, or `None` if copies of any age are served from the start.
    fresh_only_limit: Option<Duration>,
    /// When the fresh-only mode ends at the latest, or `None` if it is off.
    fresh_only_until: Option<Instant>,
}

impl CatchUpMonitor {
    /// Creates the monitor of a director that has just started.
    pub(super) fn new(fresh_only_limit: Option<Duration>, now: Instant) -> CatchUpMonitor {
        let fresh_only_until = fresh_only_limit.map(|limit| now + limit);
        CatchUpMonitor { stage: Stage::CatchingUp, fresh_only_limit, fresh_only_until }
    }

    /// Turns the fresh-only mode on, if configured: no copy older than this director's start is served.
    pub(super) async fn begin(&self, dispatcher: &DispatcherFeed, unix: Micros) {
        if let Some(limit) = self.fresh_only_limit {
            dispatcher.set_not_before(Some(unix)).await;
            let max_ms = limit.as_millis() as u64;
            tracing::info!(
                target: LOG_TARGET,
                max_ms,
                "fresh-only mode on: copies older than this director's start are not served"
            );
        }
    }

    /// Logs a change of the stage, and turns the fresh-only mode off once this director has caught up, has no
    /// peer to catch up with, or the limit has passed.
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
        let is_over = self.fresh_only_until.is_some_and(|until| until <= now || stage != Stage::CatchingUp);
        // The dispatcher's mailbox preserves order, so the dispatcher handles all updates received so far
        // before the mode is turned off.
        if is_over && dispatcher.is_empty() {
            self.fresh_only_until = None;
            dispatcher.set_not_before(None).await;
            tracing::info!(target: LOG_TARGET, "fresh-only mode off: all copies are served");
        }
    }
}

fn log_stage(stage: Stage, entries: usize) {
    match stage {
        Stage::CatchingUp => {
            tracing::info!(
                target: LOG_TARGET,
                entries,
                "absent for longer than the horizon; catching up again"
            )
        }
        Stage::CaughtUp => tracing::info!(target: LOG_TARGET, entries, "caught up with peers"),
        Stage::NoPeers => {
            tracing::info!(
                target: LOG_TARGET,
                entries,
                "no peer to catch up with; continuing with the local state"
            )
        }
    }
}

/// Returns the name of a stage as shown to operators.
pub(super) fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::CatchingUp => "catching up",
        Stage::CaughtUp => "caught up",
        Stage::NoPeers => "on its own",
    }
}
