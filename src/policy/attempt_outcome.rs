//! Handling of the end of an attempt: what it shows about the server, the source and the resources that they
//! share, and the next step for its request.

use crate::policy::admission::{EndedFill, HIT_OVERHEAD};
use crate::policy::fill_source::FillResult;
use crate::policy::outlier_detection::{CONNECTION_FAILURE_WEIGHT, FAILURE_WEIGHT, REQUEST_ERROR_WEIGHT};
use crate::policy::requests::{Attempt, PendingRequest};
use crate::policy::router::Router;
use crate::policy::service_times::EstimateId;
use crate::policy::types::{
    Action, AttemptEnd, CacheStatus, CacheStatusLevel, Micros, ObjectId, Outcome, RequestId, ServerId,
    Settings,
};

/// An error within this time was returned before a fill could have failed.
const MAX_REQUEST_ERROR_TIME: Micros = 20_000;
/// Number of errors within [`MAX_REQUEST_ERROR_TIME`], from different servers, that show that the request is
/// at fault.
const MAX_REQUEST_ERRORS: usize = 2;
/// A fill that takes longer than this share of the time to the latency objective is late: its source is near
/// its capacity.
const LATE_FILL_SHARE: f64 = 0.8;
/// A cache with a load below this does not reject requests for lack of its own capacity, so a rejection came
/// from its source.
const MIN_REJECTING_LOAD: f64 = 1.2;
/// Weight of the latest hit in the congestion estimate of a cache.
const HIT_OBSERVATION_WEIGHT: f64 = 0.1;

/// An ended attempt, and what its end shows without the state of other requests.
struct EndedAttempt {
    server: ServerId,
    source: Option<ServerId>,
    reserved_tokens: f64,
    /// The estimate of the service times of the request's class.
    estimate: EstimateId,
    is_write: bool,
    object: ObjectId,
    /// The request's transfer time, in microseconds.
    transfer_time: f64,
    /// Whether the server responded to something else since the attempt was sent.
    server_responds: bool,
    request_at_fault: bool,
    is_slow: bool,
    next_step: NextStep,
}

/// The next step for the request of an ended attempt.
enum NextStep {
    /// The request is finished: cancel its remaining attempts, and remove it once all have ended.
    CleanUp,
    /// Wait for other attempts in flight.
    Wait,
    /// Send another attempt if possible.
    Retry,
    /// Reject or fail the request, because no server can serve it.
    Reject,
}

impl NextStep {
    fn of(pending: &PendingRequest) -> NextStep {
        if pending.finished {
            return NextStep::CleanUp;
        }
        if pending.has_attempt_in_flight() {
            return NextStep::Wait;
        }
        let errors = pending.attempts.iter().filter(|attempt| attempt.request_at_fault).count();
        if errors >= MAX_REQUEST_ERRORS {
            NextStep::Reject
        } else {
            NextStep::Retry
        }
    }
}

impl EndedAttempt {
    /// Returns whether the attempt was sent directly to the source.
    fn is_direct(&self) -> bool {
        self.source == Some(self.server)
    }

    /// Returns whether the server responds to other requests but the response to this attempt was lost. The
    /// server then did the work.
    fn response_was_lost(&self, outcome: Outcome) -> bool {
        self.server_responds && matches!(outcome, Outcome::Reset | Outcome::TimedOut)
    }

    /// Returns whether the source served the fill.
    fn was_filled(&self, end: &AttemptEnd, settings: &Settings) -> bool {
        match end.cache_status {
            CacheStatus::Filled | CacheStatus::FilledFromOrigin => true,
            CacheStatus::Unknown => settings.cache_status_level == CacheStatusLevel::None,
            _ => self.is_direct(),
        }
    }

    /// Returns the result of a fill that was served.
    fn served_fill_result(&self) -> FillResult {
        if self.is_slow {
            FillResult::Late
        } else {
            FillResult::InTime
        }
    }
}

/// Returns whether an error was caused more likely by the request than by a server. If the errors of requests
/// that no server can serve were attributed to the sources, a few bad clients would close the concurrency
/// windows for all requests.
fn is_request_error(end: &AttemptEnd, settings: &Settings) -> bool {
    end.outcome == Outcome::Failed
        && settings.cache_status_level == CacheStatusLevel::All
        && end.cache_status == CacheStatus::Unknown
        && end.elapsed < MAX_REQUEST_ERROR_TIME
}

/// Records in the attempt how it ended, for the selection of the next attempt's server and source.
fn close_attempt(attempt: &mut Attempt, end: &AttemptEnd, request_at_fault: bool, server_responds: bool) {
    attempt.in_flight = false;
    attempt.may_have_run = !end.outcome.never_ran();
    attempt.request_at_fault = request_at_fault;
    attempt.missed = end.outcome == Outcome::Miss;
    attempt.source_failed =
        !request_at_fault && matches!(end.outcome, Outcome::Rejected | Outcome::Failed | Outcome::TimedOut);
    // The same cache may be used again if its connection broke but it still responds, or if the source failed
    // the fill. Another cache would have to fill the same bytes again over the zone's link.
    attempt.server_failed = match end.outcome {
        Outcome::Reset => !server_responds,
        Outcome::Failed => {
            request_at_fault || attempt.source.is_none() || attempt.source == Some(attempt.server)
        }
        _ => true,
    };
}

impl Router {
    /// Handles the end of an attempt: updates what is known about its server and source, and continues the
    /// request.
    pub(super) fn attempt_ended(&mut self, now: Micros, end: AttemptEnd, actions: &mut Vec<Action>) {
        let Some(ended) = self.close(&end) else { return };
        let broke_together = self.release_capacity(now, &ended, end.outcome);
        let response_was_lost = ended.response_was_lost(end.outcome);
        if response_was_lost || end.outcome == Outcome::Ok {
            self.retry_budget.record_response(response_was_lost);
        }
        self.observe_admission(&end, &ended);
        match end.outcome {
            Outcome::Ok => self.attempt_succeeded(now, &end, &ended, actions),
            Outcome::Rejected if end.cache_status != CacheStatus::SourceUnreachable => {
                self.attempt_rejected(now, &end, &ended)
            }
            Outcome::ConnectError | Outcome::Reset if ended.server_responds || broke_together => {}
            Outcome::Failed if ended.request_at_fault => {
                self.record_failure(now, ended.server, REQUEST_ERROR_WEIGHT, actions)
            }
            Outcome::ConnectError | Outcome::Reset => {
                self.record_failure(now, ended.server, CONNECTION_FAILURE_WEIGHT, actions)
            }
            Outcome::Failed | Outcome::TimedOut | Outcome::Rejected => {
                self.attempt_failed(now, &end, &ended, actions)
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::Miss => {}
        }
        self.continue_request(now, end.request, ended.next_step, actions);
    }

    /// Records the end in the attempt. Returns `None` if the attempt is unknown or has ended before.
    fn close(&mut self, end: &AttemptEnd) -> Option<EndedAttempt> {
        let pending = self.requests.get_mut(end.request)?;
        let attempt = pending.attempts.get_mut(end.attempt as usize).filter(|attempt| attempt.in_flight)?;
        let request_at_fault = is_request_error(end, &self.settings);
        let endpoint = self.endpoints.get(attempt.server);
        let server_responds = endpoint.is_some_and(|e| e.health.responded_since(attempt.sent_at));
        close_attempt(attempt, end, request_at_fault, server_responds);
        let (server, source, sent_at) = (attempt.server, attempt.source, attempt.sent_at);
        let reserved_tokens = attempt.reserved_tokens;
        pending.finished |= end.request_finished;
        Some(EndedAttempt {
            server,
            source,
            reserved_tokens,
            estimate: pending.estimate,
            is_write: pending.rules.class().write,
            object: pending.request.object,
            transfer_time: pending.transfer_time,
            server_responds,
            request_at_fault,
            is_slow: end.elapsed as f64 > LATE_FILL_SHARE * pending.time_to_objective(sent_at),
            next_step: NextStep::of(pending),
        })
    }

    /// Removes the attempt from the counts of its server and source. Returns whether its connection broke
    /// together with an earlier one.
    fn release_capacity(&mut self, now: Micros, ended: &EndedAttempt, outcome: Outcome) -> bool {
        if let Some(source) = ended.source.and_then(|id| self.endpoints.get_mut(id)) {
            source.fills_in_flight = source.fills_in_flight.saturating_sub(1);
        }
        let Some(server) = self.endpoints.get_mut(ended.server) else { return false };
        server.attempts_in_flight = server.attempts_in_flight.saturating_sub(1);
        outcome == Outcome::Reset && server.health.record_reset(now)
    }

    fn observe_admission(&mut self, end: &AttemptEnd, ended: &EndedAttempt) {
        if ended.is_write {
            return;
        }
        self.admission.observe_fill(&EndedFill {
            end,
            transfer_time: ended.transfer_time,
            is_slow: ended.is_slow && ended.source.is_some(),
            from_origin: ended.source == self.endpoints.origin,
        });
    }

    fn attempt_succeeded(
        &mut self,
        now: Micros,
        end: &AttemptEnd,
        ended: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        self.record_success(now, ended.server, actions);
        if let Some(source) = ended.source {
            if ended.was_filled(end, &self.settings) {
                self.record_success(now, source, actions);
                self.objects.entry(ended.object, now).residency.record_fill(source, now);
                self.record_fill(source, ended.served_fill_result());
            } else if let Some(source) = self.endpoints.get_mut(source) {
                source.slow_start.refund(ended.reserved_tokens);
            }
        }
        let elapsed = end.elapsed as f64;
        self.service_times.record_response(ended.estimate, elapsed, ended.transfer_time);
        if end.cache_status == CacheStatus::Hit && self.endpoints.caches.contains(ended.server) {
            let expected = ended.transfer_time + HIT_OVERHEAD;
            self.congestion.record(ended.server.0, elapsed, expected, HIT_OBSERVATION_WEIGHT);
        }
    }

    /// Backs off from the server or source that rejected the attempt. A rejection shows that the process runs
    /// and does not count towards ejection: if a parent were ejected, other parents would fetch its objects
    /// again.
    fn attempt_rejected(&mut self, now: Micros, end: &AttemptEnd, ended: &EndedAttempt) {
        let source = ended.source.filter(|_| !ended.is_direct() && self.source_rejected(end, ended));
        if let Some(endpoint) = self.endpoints.get_mut(source.unwrap_or(ended.server)) {
            endpoint.health.back_off(now);
        }
        if let Some(source) = source {
            self.record_fill(source, FillResult::Failed);
        }
    }

    /// Returns whether the source of the fill rejected the request, as reported by the cache status. Where
    /// cache statuses don't report it, a low load of the cache makes it likely.
    fn source_rejected(&self, end: &AttemptEnd, ended: &EndedAttempt) -> bool {
        let is_known = matches!(end.cache_status, CacheStatus::SourceRejected | CacheStatus::OriginFailed);
        let is_likely = self.settings.cache_status_level != CacheStatusLevel::All
            && self.endpoints.load(ended.server, &self.settings) < MIN_REJECTING_LOAD;
        is_known || is_likely
    }

    fn attempt_failed(
        &mut self,
        now: Micros,
        end: &AttemptEnd,
        ended: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let Some(failed) = self.failed_server(end, ended) else {
            return;
        };
        if Some(failed) == ended.source {
            self.record_fill(failed, FillResult::Failed);
        }
        self.record_failure(now, failed, FAILURE_WEIGHT, actions);
    }

    /// Returns the server to which the failure of an attempt is attributed, or `None` if no server is at
    /// fault.
    fn failed_server(&self, end: &AttemptEnd, ended: &EndedAttempt) -> Option<ServerId> {
        match end.cache_status {
            CacheStatus::SourceRejected | CacheStatus::SourceUnreachable => ended.source,
            CacheStatus::FillLimitReached | CacheStatus::OriginFailed => None,
            _ if ended.response_was_lost(end.outcome) && self.retry_budget.responses_get_lost() => None,
            _ if end.outcome == Outcome::Failed || ended.server_responds => {
                ended.source.or(Some(ended.server))
            }
            _ => Some(ended.server),
        }
    }

    fn continue_request(&mut self, now: Micros, id: RequestId, step: NextStep, actions: &mut Vec<Action>) {
        match step {
            NextStep::CleanUp => self.clean_up(id, None, actions),
            NextStep::Wait => {}
            NextStep::Retry => {
                if !self.send_retry(now, id, actions) {
                    self.reject_or_fail(id, actions);
                }
            }
            NextStep::Reject => self.reject_or_fail(id, actions),
        }
    }

    /// Handles a late response. If the server or the source has not responded to anything since the attempt
    /// was sent, this is recorded; once it is ejected, the request is hedged at others. If both still respond
    /// and responses are often lost, the same cache receives another attempt, provided that it can collapse
    /// into the running fill: the work is already done. In all other cases a further fill of the same bytes
    /// would only add load.
    pub(super) fn response_late(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(id).filter(|pending| pending.awaits_response()) else {
            return;
        };
        let is_only_attempt = pending.attempts.len() == 1;
        let may_collapse = pending.rules.settings().request_collapsing;
        let Some(last) = pending.attempts.last_mut().filter(|attempt| attempt.in_flight) else { return };
        let is_unresponsive = |id: &ServerId| {
            self.endpoints.get(*id).is_some_and(|endpoint| !endpoint.health.responded_since(last.sent_at))
        };
        let unresponsive =
            Some(last.server).filter(is_unresponsive).or_else(|| last.source.filter(is_unresponsive));
        if let Some(unresponsive) = unresponsive {
            last.source_failed = last.source == Some(unresponsive);
            last.response_lost = false;
            self.record_unresponsive(now, unresponsive, actions);
            return;
        }
        last.source_failed = false;
        last.response_lost = is_only_attempt && may_collapse && self.retry_budget.responses_get_lost();
        if last.response_lost {
            self.send_retry(now, id, actions);
        }
    }
}
