//! The actor: receives messages, fires timers, passes events to the policy and performs its actions.
//!
//! The actor owns the router and one table per concern; each table manages its own state. Operations that
//! span several tables are in the submodules: `requests` (from submission to response), `attempts` (from
//! start to end) and `members` (updates of the endpoint list).

mod attempts;
mod members;
mod requests;

use super::attempts_in_flight::AttemptsInFlight;
use super::cancellation_log::CancellationLog;
use super::counters::Counters;
use super::endpoint_registry::EndpointRegistry;
use super::health_checks::{self, HealthChecks, HEALTH_CHECK_TIMEOUT};
use super::pending_requests::PendingRequests;
use super::published_settings::PublishedSettings;
use super::purge_records::{PurgeRecord, PurgeRecords, PurgeTarget};
use super::timers::{Timer, TimerQueue};
use crate::dispatch::{
    forwarded_object_name, object_number, AttemptError, AttemptId, Clock, Dispatcher, DispatcherMessage,
    DispatcherMetrics, DispatcherSender, EndpointCommand, EndpointConnector, HealthReport, TableSizes,
};
use crate::policy::types::{
    Action, Event, MemberUpdate, Micros, ObjectId, Outcome, ServerId, Settings, SettingsError,
};
use crate::policy::Router;
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

/// Capacity of the actor's mailbox, in messages. A non-blocking send to a full mailbox fails immediately.
const MAILBOX_CAPACITY: usize = 4096;

/// Margin, in microseconds, on top of twice the time that servers need to complete a purge. A purge older
/// than the sum has been completed by all servers.
const COMPLETED_PURGE_MARGIN: Micros = 20_000_000;

/// The actor's state.
struct Actor<C> {
    router: Router,
    settings: PublishedSettings,
    clock: Clock,
    endpoints: EndpointRegistry<C>,
    requests: PendingRequests,
    attempts: AttemptsInFlight,
    timers: TimerQueue,
    health_checks: HealthChecks,
    cancellations: CancellationLog,
    purges: PurgeRecords,
    counters: Counters,
    /// Events not yet handled by the policy.
    events: VecDeque<Event>,
}

/// The actor's task and the handle to it.
pub struct RunningDispatcher {
    /// Handle for submitting requests.
    pub dispatcher: Dispatcher,
    /// Task of the actor. It ends only if it panics or once every handle has been dropped.
    pub task: tokio::task::JoinHandle<()>,
}

/// Starts the actor on the current `LocalSet`. It handles the messages in `initial` before any others.
pub fn start<C: EndpointConnector + 'static>(
    settings: Settings,
    seed: u64,
    clock: Clock,
    connector: C,
    initial: Vec<DispatcherMessage>,
) -> Result<RunningDispatcher, SettingsError> {
    let router = Router::new(settings.clone(), seed)?;
    let (mailbox, inbox) = mpsc::channel(MAILBOX_CAPACITY);
    let (settings, published) = PublishedSettings::new(settings);
    let mut actor = Actor {
        router,
        settings,
        clock,
        endpoints: EndpointRegistry::new(connector, DispatcherSender::new(mailbox.clone()), clock),
        requests: PendingRequests::default(),
        attempts: AttemptsInFlight::default(),
        timers: TimerQueue::default(),
        health_checks: HealthChecks::default(),
        cancellations: CancellationLog::default(),
        purges: PurgeRecords::default(),
        counters: Counters::default(),
        events: VecDeque::new(),
    };
    for message in initial {
        actor.handle_message(message);
    }
    let task = tokio::task::spawn_local(actor.run(inbox));
    Ok(RunningDispatcher { dispatcher: Dispatcher::new(mailbox, seed, published), task })
}

impl<C: EndpointConnector> Actor<C> {
    async fn run(mut self, mut inbox: mpsc::Receiver<DispatcherMessage>) {
        loop {
            let next_timer = self.timers.next_due().map(|at| self.clock.instant(at));
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = sleep_until(next_timer.unwrap_or_else(Instant::now)), if next_timer.is_some() => {
                    self.fire_due_timers();
                }
            }
        }
    }

    fn handle_message(&mut self, message: DispatcherMessage) {
        match message {
            DispatcherMessage::Request(submitted) => self.accept_request(*submitted),
            DispatcherMessage::ClientCancelled(request) => self.cancel_request(request),
            DispatcherMessage::AttemptWritten(attempt) => self.record_written(attempt),
            DispatcherMessage::AttemptEnded(attempt, result) => self.handle_attempt_end(attempt, result),
            DispatcherMessage::AttemptCancelled(attempt, error) => {
                self.record_attempt_report(attempt.request_id(), error.never_ran());
            }
            DispatcherMessage::HealthChecked(number, result) => self.complete_health_check(number, result),
            DispatcherMessage::Members { full, members } => {
                let kind = if full { MemberUpdate::Full } else { MemberUpdate::Incremental };
                self.update_members(kind, members);
            }
            DispatcherMessage::ReplicatedMember(member) => self.update_replicated_member(*member),
            DispatcherMessage::Drain { name, command, listed } => {
                let _ = listed.send(self.override_drain(&name, command)); // the receiver may be gone
            }
            DispatcherMessage::Settings { settings, in_force } => {
                self.update_settings(*settings);
                let _ = in_force.send(()); // the receiver may be gone
            }
            DispatcherMessage::Metrics(reply) => {
                let _ = reply.send(self.metrics()); // the receiver may be gone
            }
            DispatcherMessage::NotBefore(unix) => self.purges.set_not_before(unix),
            DispatcherMessage::Purged { object, group, at, retention } => {
                self.record_purge(object, group, at, retention);
            }
        }
        self.process_events();
    }

    fn fire_due_timers(&mut self) {
        let now = self.clock.now();
        while let Some(timer) = self.timers.pop_due(now) {
            self.fire(timer);
            self.process_events();
        }
    }

    fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::Policy(token) => self.events.push_back(Event::Timer(token)),
            Timer::AttemptTimeout(attempt) => self.complete_attempt(attempt, Outcome::TimedOut, None),
            Timer::CredentialExpiry(request) => self.check_credential(request),
            Timer::HealthCheckTimeout(number) => {
                self.complete_health_check(number, Err(AttemptError::Unanswered));
            }
            Timer::CancellationTimeout(request) => {
                let proven = self.cancellations.report_timed_out(request);
                self.record_cancellation(proven);
            }
        }
    }

    /// Passes the queued events to the policy and performs its actions, until no further events result.
    fn process_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.router.handle(self.clock.now(), event, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.perform(action);
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Attempt { request, server, timeout, fill } => {
                self.start_attempt(request, server, timeout, fill);
            }
            Action::Cancel { request, attempt } => {
                self.cancel_attempt(AttemptId { request: request.0, attempt });
            }
            Action::Reject { request, retry_after } => self.reject_request(request, retry_after),
            Action::Fail(request) => self.fail_request(request),
            Action::SetTimer { at, token } => self.timers.schedule(at, Timer::Policy(token)),
            Action::HealthCheck(server) => self.start_health_check(server),
            Action::Log(line) => tracing::info!(detail = %line, "policy event"),
            // The endpoint list arrives without being requested, and there is no channel for messages between
            // routers.
            Action::Subscribe | Action::FetchMembers | Action::SendMessage { .. } => {}
        }
    }

    // ---- health checks ----

    fn start_health_check(&mut self, server: ServerId) {
        let now = self.clock.now();
        let number = self.health_checks.start(server, now);
        self.timers.schedule(now + HEALTH_CHECK_TIMEOUT, Timer::HealthCheckTimeout(number));
        self.endpoints.reconnect_if_ended(server);
        // If the mailbox is full, the timer ends the health check.
        self.endpoints.try_send(server, EndpointCommand::HealthCheck(number));
    }

    /// Completes a health check. Only the first result counts; later ones are ignored.
    fn complete_health_check(&mut self, number: u64, result: Result<HealthReport, AttemptError>) {
        let Some(check) = self.health_checks.complete(number) else { return };
        let elapsed = self.clock.now().saturating_sub(check.started);
        let outcome = health_checks::outcome(&result, elapsed);
        let load_report = result.map_or_else(|_| Vec::new(), |health| health.load_report);
        let load_report = ordered_load_report(&self.settings, &load_report);
        self.events.push_back(Event::HealthChecked { server: check.server, outcome, elapsed, load_report });
    }

    // ---- settings, purges, metrics ----

    /// Applies new settings. The zones and kinds by which endpoint lists are interpreted stay unchanged,
    /// because the present members were assigned by them.
    ///
    /// Requests that have chosen their class keep their own settings, wherever they wait.
    fn update_settings(&mut self, later: Settings) {
        let settings = Settings {
            zones: self.settings.zones.clone(),
            zone: self.settings.zone,
            kinds: self.settings.kinds.clone(),
            parent_kind: self.settings.parent_kind,
            origin_kind: self.settings.origin_kind,
            ..later
        };
        // Includes the settings that are replaced here, so that the last counts of a removed class can still
        // be read.
        let mut counted = self.settings.in_use();
        self.settings.replace(settings.clone());
        counted.extend(self.settings.in_use());
        self.counters.retain_classes(&counted);
        self.events.push_back(Event::Settings(Box::new(settings)));
    }

    fn record_purge(&mut self, object: Option<Arc<str>>, group: u32, at: Micros, retention: Micros) {
        let unix = self.clock.unix();
        let age = unix.saturating_sub(at);
        // Requests have the name as it is forwarded; a purge may have it as it is in links.
        let object = object.map(|name| ObjectId(object_number(&forwarded_object_name(&name))));
        if retention > 0 {
            let target = object.map_or(PurgeTarget::Group(group), PurgeTarget::Object);
            let purge = PurgeRecord { purged_at: at, in_force_until: at.saturating_add(retention) };
            self.purges.record(target, purge, unix);
        }
        let complete_within = self.settings.purge_complete_within;
        if age <= complete_within.saturating_mul(2).saturating_add(COMPLETED_PURGE_MARGIN) {
            self.events.push_back(Event::Purged { object, group, age });
        }
        // Older purges are not passed to the policy: all servers have completed them, and a director that is
        // catching up receives thousands of them.
    }

    fn metrics(&self) -> DispatcherMetrics {
        DispatcherMetrics {
            requests: self.counters.by_class(&self.settings),
            attempts: self.counters.attempts_written,
            endpoints_known: self.endpoints.listed(),
            endpoints_excluded: self.router.excluded_endpoints(),
            tables: TableSizes {
                pending_requests: self.requests.len(),
                attempts_in_flight: self.attempts.len(),
                timers: self.timers.len(),
                health_checks: self.health_checks.len(),
                cancelled_requests: self.cancellations.waiting(),
                servers: self.endpoints.len(),
                mailbox: self.endpoints.queued_reports(),
                classes: self.settings.in_use().iter().map(|settings| settings.classes.len()).sum(),
                class_estimates: self.router.class_estimates(),
            },
        }
    }
}

/// Returns the values of a load report in the order of the settings. Returns an empty list unless the report
/// has a value for every name in the settings.
fn ordered_load_report(settings: &Settings, report: &[(String, f64)]) -> Vec<f64> {
    let value = |name: &String| report.iter().find(|entry| entry.0 == *name).map(|entry| entry.1);
    settings.load_report.iter().map(value).collect::<Option<Vec<f64>>>().unwrap_or_default()
}
