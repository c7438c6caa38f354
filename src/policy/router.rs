//! The router: handles events and appends the resulting actions. The other modules hold the parts of its
//! state and of its decisions.
//!
//! An object is served by three caches: the first three of the zone in rendezvous hash order. A hash of the
//! requested part decides which of them comes first. For a hot object the less loaded of two of them is
//! chosen.
//!
//! A miss is filled from the first of the object's two parents in a hash order over all parents. For an
//! object that is hot, or estimated to be cached at the second parent, the second is chosen if the first has
//! more than one and a half times as many fills in flight.
//!
//! All other rules guard against failures and overload.

use crate::policy::admission::AdmissionControl;
use crate::policy::endpoints::EndpointTable;
use crate::policy::estimators::congestion::CongestionEstimator;
use crate::policy::estimators::pending_purges::{PendingPurges, Purge};
use crate::policy::member_list::MemberListBackoff;
use crate::policy::placement::ObjectTable;
use crate::policy::random::RandomSequence;
use crate::policy::requests::{PendingRequest, PendingRequests};
use crate::policy::retry::{may_reject, RetryBudget};
use crate::policy::service_times::{EstimateId, ServiceTimes};
use crate::policy::timers::Timer;
use crate::policy::types::{
    Action, Class, Event, Micros, ObjectId, Request, RequestId, RequestRules, Settings, SettingsError,
    TimerToken,
};
use std::sync::Arc;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// A request with at most this much time left to its deadline is not sent.
const MIN_TIME_TO_DEADLINE: Micros = 2_000;
/// Shortest Retry-After for a rejected client, unless the settings allow less. A random addition of up to the
/// same length spreads the retries.
const MIN_RETRY_AFTER: Micros = 400_000;
/// A purge is kept this much longer than servers need to complete it, because fills that are already running
/// may end late.
const PURGE_MARGIN: Micros = 3_000_000;

/// The routing state machine of one director. It reads no clock and does no I/O.
pub struct Router {
    /// The settings in force. A pending request has its own, which may be earlier ones.
    pub(super) settings: Arc<Settings>,
    pub(super) random: RandomSequence,
    pub(super) endpoints: EndpointTable,
    pub(super) member_list_backoff: MemberListBackoff,
    pub(super) objects: ObjectTable,
    pub(super) requests: PendingRequests,
    pub(super) purges: PendingPurges,
    pub(super) service_times: ServiceTimes,
    /// Congestion of the zone's caches, estimated from the response times of their hits.
    pub(super) congestion: CongestionEstimator,
    pub(super) admission: AdmissionControl,
    pub(super) retry_budget: RetryBudget,
}

impl Router {
    /// Creates a router without servers; they arrive with the first [`Event::Members`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Router {
            random: RandomSequence::new(seed),
            endpoints: EndpointTable::default(),
            member_list_backoff: MemberListBackoff::default(),
            objects: ObjectTable::default(),
            requests: PendingRequests::default(),
            purges: PendingPurges::default(),
            service_times: ServiceTimes::new(&settings.classes),
            congestion: CongestionEstimator::default(),
            admission: AdmissionControl::default(),
            retry_budget: RetryBudget::default(),
            settings: Arc::new(settings),
        })
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Members { kind, members } => self.update_members(now, kind, members, actions),
            Event::Request(request) => self.request_arrived(now, request, actions),
            Event::ResponseStarted { request, attempt } => self.response_started(request, attempt, actions),
            Event::AttemptEnded(end) => self.attempt_ended(now, end, actions),
            Event::ClientCancelled(id) => self.client_cancelled(id, actions),
            Event::Timer(token) => self.timer_fired(now, token, actions),
            Event::Purged { object, group, age } => self.purged(now, object, group, age),
            Event::HealthChecked { server, outcome, load_report, .. } => {
                self.health_checked(now, server, outcome, &load_report, actions)
            }
            Event::Settings(settings) => self.update_settings(settings),
            Event::Message { .. } => {}
        }
    }

    /// Returns the number of listed servers that receive no regular requests because they drain or are
    /// ejected.
    pub fn excluded_endpoints(&self) -> usize {
        self.endpoints.excluded()
    }

    /// Returns the number of classes of which estimates exist.
    pub fn class_estimates(&self) -> usize {
        self.service_times.len()
    }

    fn request_arrived(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        let Some((rules, estimate)) = self.rules_and_estimate(&request) else {
            actions.push(Action::Fail(request.id));
            return;
        };
        let (id, deadline) = (request.id, request.deadline);
        let popularity = self.objects.count_request(&request, now);
        let from_size = request.size_kb / rules.settings().transfer_kb_per_s * MICROS_PER_SECOND;
        let transfer_time = self.service_times.transfer_time(estimate, from_size);
        let objective = objective_time(rules.class(), transfer_time);
        let objective_at = now.saturating_add(objective).min(deadline);
        self.retry_budget.earn();
        self.requests.insert(PendingRequest {
            request,
            rules,
            estimate,
            attempts: Vec::new(),
            transfer_time,
            objective_at,
            popularity,
            finished: false,
            response_started: false,
        });
        let is_too_late = deadline.saturating_sub(now) <= MIN_TIME_TO_DEADLINE;
        if is_too_late || !self.send_attempt(now, id, actions) {
            self.reject_or_fail(id, actions);
        } else {
            actions.push(Action::SetTimer { at: deadline, token: Timer::Deadline(id).token() });
        }
    }

    /// Returns the rules of a request that arrives and the estimate of its class, or `None` if its settings
    /// have no such class.
    fn rules_and_estimate(&mut self, request: &Request) -> Option<(RequestRules, EstimateId)> {
        let settings = request.settings.as_ref().unwrap_or(&self.settings);
        let rules = RequestRules::new(settings.clone(), request.class)?;
        let estimate = match request.settings {
            // Earlier settings may list the classes in another order, or list one that was removed.
            Some(_) => self.service_times.of_name(&rules.class().name),
            None => self.service_times.of_index(request.class),
        };
        Some((rules, estimate))
    }

    fn response_started(&mut self, id: RequestId, attempt: u32, actions: &mut Vec<Action>) {
        if let Some(pending) = self.requests.get_mut(id) {
            pending.response_started = true;
        }
        self.clean_up(id, Some(attempt), actions);
    }

    fn client_cancelled(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.requests.finish(id);
        self.clean_up(id, None, actions);
    }

    fn timer_fired(&mut self, now: Micros, token: TimerToken, actions: &mut Vec<Action>) {
        match Timer::from_token(token) {
            Some(Timer::Deadline(id)) => self.deadline_passed(id, actions),
            Some(Timer::ResponseLate(id)) => self.response_late(now, id, actions),
            Some(Timer::MemberList) => actions.push(self.fetch_members()),
            None => {}
        }
    }

    fn deadline_passed(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.requests.get(id).is_some_and(|pending| pending.awaits_response()) {
            self.reject_or_fail(id, actions);
        }
    }

    fn purged(&mut self, now: Micros, object: Option<ObjectId>, group: u32, age: Micros) {
        let purged_at = now.saturating_sub(age);
        let complete_within = self.settings.purge_complete_within;
        let complete_at = purged_at.saturating_add(complete_within).saturating_add(PURGE_MARGIN);
        let object = object.map(|object| object.0);
        self.purges.add(Purge { object, group, purged_at, complete_at }, now);
    }

    fn update_settings(&mut self, settings: Box<Settings>) {
        self.service_times.update(&settings.classes, &self.requests.estimates_in_use());
        self.settings = Arc::from(settings);
    }

    /// Gives the final response to a request that can't be served: a rejection with Retry-After if a retry by
    /// the client does no harm, otherwise a failure.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let retry_after = MIN_RETRY_AFTER + self.random.next_u64() % MIN_RETRY_AFTER;
        let Some(pending) = self.requests.get(id) else { return };
        actions.push(if may_reject(pending) {
            let settings = pending.rules.settings();
            let limit = if settings.retry_after { settings.max_retry_after } else { 0 };
            Action::Reject { request: id, retry_after: retry_after.min(limit) }
        } else {
            Action::Fail(id)
        });
        self.requests.finish(id);
        self.clean_up(id, None, actions);
    }

    /// Cancels all attempts in flight except `serving`, the one that serves the client. Removes a finished
    /// request once all of its attempts have ended.
    pub(super) fn clean_up(&mut self, id: RequestId, serving: Option<u32>, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(id) else { return };
        let can_cancel = pending.rules.settings().can_cancel;
        for (number, attempt) in pending.attempts.iter().enumerate() {
            let number = number as u32;
            if attempt.in_flight && can_cancel && serving != Some(number) {
                actions.push(Action::Cancel { request: id, attempt: number });
            }
        }
        if pending.finished && !pending.has_attempt_in_flight() {
            self.requests.remove(id);
        }
    }
}

/// Returns the time within which a response has full weight: the class's latency objective plus its share of
/// the transfer time.
fn objective_time(class: &Class, transfer_time: f64) -> Micros {
    class.latency_objective.saturating_add((class.objective_stretch * transfer_time) as Micros)
}
