//! The actor: live requests, their attempts and timers, and the list, round the decision module.

use super::cancellation_log::{CancellationLog, ExecutionProof};
use super::handle::OVERLOAD_RETRY_AFTER;
use super::purge_records::Kept;
use super::*;
use crate::dispatch::membership::DrainOverrides;
use crate::policy::types::*;
use crate::Router;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep_until, Instant};

/// Messages that wait for the actor; a sender that finds the mailbox full is notified at once.
const MAILBOX_CAPACITY: usize = 4096;

/// The answer leaves this much before the client gives up, for it has a way to go, as the request had: a
/// share of the wait, within bounds. Guards short waits against being eaten up by it; on loopback clients
/// were seen to leave 1.9 to 3 ms after theirs.
const WAY_BACK: (Micros, Micros) = (4_000, 30_000);
const WAY_BACK_SHARE: Micros = 20;
/// An attempt without a time-out of its own ends this much after the deadline: the module is to act first.
const AFTER_DEADLINE: Micros = 2_000;
/// An attempt that has not been sent by then is not sent at all, nor past half of the time in which drains
/// and purges must be heeded: what is decided just before such news may still go out just after it.
const SEND_WITHIN: Micros = 500_000;
/// The longest that a request is held, whatever its client says.
const LONGEST_ALLOW: Duration = Duration::from_secs(24 * 3600);
/// Requests that are held at a time. Fronts have fewer clients than that; middleware may have any number.
const MOST_LIVE: usize = 4096;
/// A purge this much older than twice the time that servers need to heed it is news to nobody.
const PURGE_OVER: Micros = 20_000_000;
/// A probe without an answer by then has failed.
const PROBE_TIMEOUT: Micros = 250_000;

/// A peer that was told to give an attempt up tells how far it had come within this, or it counts as run.
const TOLD_WITHIN: Micros = 1_000_000;

/// A request that is held or whose attempts have not all ended.
struct Live {
    ask: ClientRequest,
    /// The object's number.
    object: u64,
    /// Gone once it is answered.
    reply: Option<oneshot::Sender<ClientResponse>>,
    /// Told when it is answered or its client has left.
    over: CancellationToken,
    /// When the client gives up, less the way back.
    deadline: Micros,
    attempts: u32,
    out: u32,
    /// Attempts that may have run, as far as is known, and when the first of them was sent.
    may_have_run: u32,
    first_sent: Micros,
    /// An attempt failed for another reason than want of room.
    failed: bool,
    /// What its attempts are logged under, where the level is on.
    span: tracing::Span,
}

impl Live {
    /// Whether its client has left, as far as was told.
    fn is_left(&self) -> bool {
        self.over.is_cancelled() || self.reply.as_ref().is_some_and(oneshot::Sender::is_closed)
    }
}

/// An attempt that is out.
struct Out {
    server: ServerId,
    sent: Micros,
    /// When it had been written whole.
    written: Option<Micros>,
    /// Its peer has it.
    handed_over: bool,
    /// The source of its fill, for the log.
    source: Option<ServerId>,
    keep: u8,
}

/// A listed server.
struct Server {
    listing: Endpoint,
    /// Its start by the steady clock.
    since: Micros,
    mailbox: mpsc::Sender<EndpointCommand>,
}

impl Server {
    fn gone(&self) -> bool {
        self.listing.state == MemberState::Gone
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Alarm {
    Router(TimerToken),
    Attempt(AttemptId),
    Expiry(u64),
    Probe(u64),
    LetGo(u64),
}

struct Actor<P> {
    router: Router,
    settings: Arc<Settings>,
    classes: Vec<Arc<str>>,
    /// Tells fronts of other settings.
    published: watch::Sender<Arc<Settings>>,
    counts: BTreeMap<Arc<str>, ClassCounts>,
    /// Attempts written whole.
    written: u64,
    clock: Clock,
    peers: P,
    reports: DispatcherSender,
    servers: HashMap<ServerId, Server>,
    names: HashMap<Arc<str>, ServerId>,
    live: HashMap<u64, Live>,
    /// The ids of these, as servers are given them.
    ids: HashSet<Arc<str>>,
    attempts: HashMap<AttemptId, Out>,
    probes: HashMap<u64, (ServerId, Micros)>,
    /// Requests whose clients have left and whose attempts have not all been told of.
    let_go: CancellationLog,
    drains: DrainOverrides,
    /// No copy from before this Unix time is served.
    not_before: Option<Micros>,
    /// Purges that hold for longer than the module remembers them.
    kept: Kept,
    next_probe: u64,
    alarms: BinaryHeap<Reverse<(Micros, u64, Alarm)>>,
    alarm_count: u64,
    events: VecDeque<Event>,
}

/// The actor's task and the handle that speaks to it.
pub struct RunningDispatcher {
    /// Hands requests over.
    pub dispatcher: Dispatcher,
    /// Ends only with a panic or when every handle is gone.
    pub task: tokio::task::JoinHandle<()>,
}

/// Starts the actor on the present `LocalSet`, with the news that it is to know before anything else.
pub fn start<P: EndpointConnector + 'static>(
    settings: Settings,
    seed: u64,
    clock: Clock,
    peers: P,
    known: Vec<DispatcherMessage>,
) -> Result<RunningDispatcher, SettingsError> {
    let router = Router::new(settings.clone(), seed)?;
    let (mailbox, inbox) = mpsc::channel(MAILBOX_CAPACITY);
    let settings = Arc::new(settings);
    let (published, told) = watch::channel(settings.clone());
    let mut actor = Actor {
        router,
        classes: settings.classes.iter().map(|c| c.name.as_str().into()).collect(),
        published,
        counts: BTreeMap::new(),
        written: 0,
        settings,
        clock,
        peers,
        reports: DispatcherSender::new(mailbox.clone()),
        servers: HashMap::new(),
        names: HashMap::new(),
        live: HashMap::new(),
        ids: HashSet::new(),
        attempts: HashMap::new(),
        probes: HashMap::new(),
        let_go: CancellationLog::default(),
        drains: DrainOverrides::default(),
        not_before: None,
        kept: Kept::default(),
        next_probe: 0,
        alarms: BinaryHeap::new(),
        alarm_count: 0,
        events: VecDeque::new(),
    };
    for message in known {
        actor.take(message);
    }
    let task = tokio::task::spawn_local(actor.run(inbox));
    Ok(RunningDispatcher { dispatcher: Dispatcher::new(mailbox, seed, told), task })
}

impl<P: EndpointConnector> Actor<P> {
    async fn run(mut self, mut inbox: mpsc::Receiver<DispatcherMessage>) {
        loop {
            let next = self.alarms.peek().map(|Reverse((at, ..))| self.clock.instant(*at));
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => self.ring(),
            }
        }
    }

    fn take(&mut self, message: DispatcherMessage) {
        match message {
            DispatcherMessage::Request(submitted) => self.ask(*submitted),
            DispatcherMessage::ClientCancelled(RequestId(number)) => self.left(number),
            DispatcherMessage::AttemptEnded(ticket, end) => self.ended(ticket, end),
            DispatcherMessage::HealthChecked(number, result) => self.probed(number, result),
            DispatcherMessage::Members { full, members } => self.members(full, members),
            DispatcherMessage::AttemptWritten(ticket) => {
                self.written += 1;
                let now = self.clock.now();
                self.attempts.entry(ticket).and_modify(|out| out.written = Some(now));
            }
            DispatcherMessage::AttemptCancelled(ticket, how) => self.told(ticket.request, how.never_ran()),
            DispatcherMessage::Drain { name, command, listed } => {
                let _ = listed.send(self.drain(&name, command)); // who has gone wants none
            }
            DispatcherMessage::Settings(settings) => self.renew(*settings),
            DispatcherMessage::Metrics(reply) => {
                let _ = reply.send(self.figures()); // who has gone wants none
            }
            DispatcherMessage::NotBefore(at) => self.not_before = at,
            DispatcherMessage::Purged { object, group, at, retention: keep } => {
                let age = self.clock.unix().saturating_sub(at);
                let object = object.map(|o| ObjectId(object_number(&o)));
                if keep > 0 {
                    let (until, now) = (at.saturating_add(keep), self.clock.unix());
                    self.kept.hold(object.map(|o| o.0), group, at, until, now);
                }
                if age > self.settings.purge_complete_within.saturating_mul(2).saturating_add(PURGE_OVER) {
                    return; // servers have long heeded it; who catches up hears of thousands
                }
                self.events.push_back(Event::Purged { object, group, age });
            }
        }
        self.decide();
    }

    // ---- settings and figures ----

    /// Takes other settings over. What the list is read by stays as it was, for members were placed by it.
    fn renew(&mut self, later: Settings) {
        let old = self.settings.clone();
        let in_use = |place: usize| self.live.values().any(|l| l.ask.class == place);
        let settings = Settings {
            zones: old.zones.clone(),
            zone: old.zone,
            kinds: old.kinds.clone(),
            parent_kind: old.parent_kind,
            origin_kind: old.origin_kind,
            ..old.renewed(later, in_use)
        };
        self.classes = settings.classes.iter().map(|c| c.name.as_str().into()).collect();
        // The counts of a class end with the last of its places, so that these stay few too.
        let classes = &self.classes;
        self.counts.retain(|name, _| classes.contains(name));
        self.settings = Arc::new(settings.clone());
        self.published.send_replace(self.settings.clone());
        self.events.push_back(Event::Settings(Box::new(settings)));
    }

    /// Gives an answer and counts it.
    fn reply(&mut self, class: usize, reply: oneshot::Sender<ClientResponse>, answer: ClientResponse) {
        let counts = self.counts.entry(self.classes[class].clone()).or_default();
        match answer {
            ClientResponse::Served(_) | ClientResponse::NotModified(_) => counts.served += 1,
            ClientResponse::Rejected { .. } => counts.rejected += 1,
            ClientResponse::Failed(_) => counts.failed += 1,
        }
        let _ = reply.send(answer); // a client that has left wants none
    }

    fn figures(&self) -> DispatcherMetrics {
        let configured = self.settings.classes.iter().zip(&self.classes).filter(|(c, _)| !c.retired);
        let mut requests = self.counts.clone();
        for (_, name) in configured {
            requests.entry(name.clone()).or_default();
        }
        let known = self.servers.values().filter(|s| !s.gone()).count();
        let tables = TableSizes {
            pending_requests: self.live.len().max(self.ids.len()),
            attempts_in_flight: self.attempts.len(),
            timers: self.alarms.len(),
            health_checks: self.probes.len(),
            cancelled_requests: self.let_go.waiting(),
            servers: self.servers.len().max(self.names.len()),
            mailbox: self.reports.queued(),
            classes: self.classes.len(),
        };
        DispatcherMetrics {
            requests,
            attempts: self.written,
            endpoints_known: known,
            endpoints_excluded: self.router.excluded(),
            tables,
        }
    }

    /// Rings all alarms that are due.
    fn ring(&mut self) {
        let now = self.clock.now();
        while let Some(Reverse((at, _, alarm))) = self.alarms.peek().copied() {
            if at > now {
                return;
            }
            self.alarms.pop();
            match alarm {
                Alarm::Router(token) => self.events.push_back(Event::Timer(token)),
                Alarm::Attempt(ticket) => self.finish(ticket, Outcome::TimedOut, None),
                // The Unix clock decides; it may have been set back since the alarm was.
                Alarm::Expiry(number) if !self.expired(number) => self.watch_expiry(number),
                Alarm::Expiry(number) => self.expire(number),
                Alarm::Probe(number) => self.probed(number, Err(AttemptError::Unanswered)),
                Alarm::LetGo(number) => {
                    let settled = self.let_go.overdue(number);
                    self.count_left(settled);
                }
            }
            self.decide();
        }
    }

    fn alarm(&mut self, at: Micros, alarm: Alarm) {
        self.alarm_count += 1;
        self.alarms.push(Reverse((at, self.alarm_count, alarm)));
    }

    /// Puts what has happened to the module and does what it says, until nothing more follows from that.
    fn decide(&mut self) {
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
                self.attempt(request.0, server, timeout, fill)
            }
            Action::Cancel { request, attempt } => {
                let ticket = AttemptId { request: request.0, attempt };
                self.forget(ticket);
                self.finish(ticket, Outcome::Cancelled, None);
            }
            Action::Reject { request, retry_after } => {
                let wait = (retry_after > 0).then(|| Duration::from_micros(retry_after));
                let cause = self.cause(request.0);
                self.answer(request.0, ClientResponse::Rejected { retry_after: wait, reason: cause });
            }
            Action::Fail(request) => {
                let cause = self.cause(request.0);
                self.answer(request.0, ClientResponse::Failed(cause));
            }
            Action::SetTimer { at, token } => self.alarm(at, Alarm::Router(token)),
            Action::HealthCheck(server) => self.probe(server),
            Action::Log(line) => tracing::info!("module: {line}"),
            // The list comes by itself, and there is no wire between routers.
            Action::Subscribe | Action::FetchMembers | Action::SendMessage { .. } => {}
        }
    }

    // ---- requests ----

    fn ask(&mut self, submitted: SubmittedRequest) {
        let SubmittedRequest { id: RequestId(number), request: ask, responder: reply, cancellation: over } =
            submitted;
        let now = self.clock.now();
        let allow = ask.timeout.min(LONGEST_ALLOW).as_micros() as Micros;
        let deadline = now + allow.saturating_sub((allow / WAY_BACK_SHARE).clamp(WAY_BACK.0, WAY_BACK.1));
        let object = object_number(&ask.object);
        let request = Request {
            id: RequestId(number),
            class: ask.class,
            object: ObjectId(object),
            part: ask.part.unwrap_or(0),
            group: ask.group,
            deadline,
            size_kb: ask.size_kb,
            is_retry: ask.is_retry,
        };
        if self.live.len() >= MOST_LIVE {
            // Full: turned away at once, which is harmless as nothing ran.
            let (wait, cause) = (Some(OVERLOAD_RETRY_AFTER), FailureReason::Overloaded);
            return self.reply(
                ask.class,
                reply,
                ClientResponse::Rejected { retry_after: wait, reason: cause },
            );
        }
        if reply.is_closed() || over.is_cancelled() {
            // Its client left while it waited in the mailbox: nothing is sent for nobody.
            return self.count_left(Some((self.classes[ask.class].clone(), ExecutionProof::NeverRan)));
        }
        // Guards the first of two with one id: servers would take the second for it, or give either the
        // other's answer.
        if !self.ids.insert(ask.id.clone()) {
            return self.reply(ask.class, reply, ClientResponse::Failed(FailureReason::DuplicateRequest));
        }
        let span = tracing::debug_span!("request", id = &*ask.id, class = &*self.classes[ask.class]);
        let live = Live {
            ask,
            object,
            reply: Some(reply),
            over,
            deadline,
            attempts: 0,
            out: 0,
            may_have_run: 0,
            first_sent: 0,
            failed: false,
            span,
        };
        self.live.insert(number, live);
        if self.expired(number) {
            self.expire(number);
        } else {
            self.watch_expiry(number);
            self.events.push_back(Event::Request(request));
        }
    }

    /// Sets the alarm for the end of a request's credential, where it has one and is not yet answered.
    fn watch_expiry(&mut self, number: u64) {
        let waiting = self.live.get(&number).filter(|l| l.reply.is_some());
        if let Some(until) = waiting.and_then(|l| l.ask.credential_expires_at) {
            let at = self.clock.steady(until).max(self.clock.now() + 1);
            self.alarm(at, Alarm::Expiry(number));
        }
    }

    fn cause(&self, number: u64) -> FailureReason {
        match self.live.get(&number) {
            Some(live) if self.clock.now() >= live.deadline => FailureReason::DeadlineExceeded,
            Some(live) if live.failed => FailureReason::UpstreamFailed,
            _ => FailureReason::Overloaded,
        }
    }

    fn expired(&self, number: u64) -> bool {
        let until = self.live.get(&number).and_then(|l| l.ask.credential_expires_at);
        until.is_some_and(|until| self.clock.unix() >= until)
    }

    /// Ends a request whose credential has expired before its answer began. What may have run of a class that
    /// must not run twice is not called harmless to repeat.
    fn expire(&mut self, number: u64) {
        let Some(live) = self.live.get(&number).filter(|l| l.reply.is_some()) else { return };
        let effect =
            self.settings.classes.get(live.ask.class).map_or(Idempotency::AtMostOnce, |c| c.idempotency);
        let harmless = effect == Idempotency::Idempotent || live.may_have_run == 0;
        let cause = FailureReason::CredentialExpired;
        let answer = if harmless {
            ClientResponse::Rejected { retry_after: None, reason: cause }
        } else {
            ClientResponse::Failed(cause)
        };
        self.drop_request(number, Some(answer));
    }

    /// The client has left: nothing new is sent for it, and what was sent is counted by what it proves.
    fn left(&mut self, number: u64) {
        let Some(live) = self.live.get_mut(&number).filter(|l| l.reply.is_some()) else { return };
        live.reply = None;
        live.over.cancel();
        let (class, out) = (self.classes[live.ask.class].clone(), live.out as usize);
        let ran_before = live.may_have_run > live.out;
        match self.let_go.left(number, &class, ran_before, out) {
            Some(proof) => self.count_left(Some((class, proof))),
            None => self.alarm(self.clock.now() + TOLD_WITHIN, Alarm::LetGo(number)),
        }
        self.drop_request(number, None);
    }

    fn told(&mut self, number: u64, never_ran: bool) {
        let settled = self.let_go.told(number, never_ran);
        self.count_left(settled);
    }

    fn count_left(&mut self, settled: Option<(Arc<str>, ExecutionProof)>) {
        let Some((class, proof)) = settled else { return };
        let counts = self.counts.entry(class).or_default();
        match proof {
            ExecutionProof::NeverRan => counts.cancelled_not_run += 1,
            ExecutionProof::MayHaveRun => counts.cancelled_may_have_run += 1,
        }
    }

    /// Answers a request that the module has not ended, or lets it go with its client, and tells the module.
    fn drop_request(&mut self, number: u64, answer: Option<ClientResponse>) {
        let Some(live) = self.live.get_mut(&number) else { return };
        let class = live.ask.class;
        live.over.cancel();
        if let (Some(reply), Some(answer)) = (live.reply.take(), answer) {
            self.reply(class, reply, answer);
        }
        self.events.push_back(Event::ClientCancelled(RequestId(number)));
        self.tidy(number);
    }

    /// Gives the one final answer; any later one finds the reply gone.
    fn answer(&mut self, number: u64, answer: ClientResponse) {
        let held =
            self.live.get_mut(&number).and_then(|l| Some((l.ask.class, l.reply.take()?, l.over.cancel())));
        if let Some((class, reply, ())) = held {
            self.reply(class, reply, answer);
        }
        self.tidy(number);
    }

    fn tidy(&mut self, number: u64) {
        if self.live.get(&number).is_some_and(|l| l.reply.is_none() && l.out == 0) {
            if let Some(live) = self.live.remove(&number) {
                self.ids.remove(&live.ask.id);
            }
        }
    }

    // ---- attempts ----

    fn attempt(&mut self, number: u64, server: ServerId, timeout: Micros, mut fill: Option<Fill>) {
        if self.live.get(&number).is_some_and(|l| l.reply.is_some()) && self.expired(number) {
            self.expire(number);
        }
        let waits = self.live.get(&number).filter(|live| live.reply.is_some());
        if waits.is_some_and(Live::is_left) {
            // The word of it is behind this in the mailbox, found no room there, or has not come yet.
            self.left(number);
        }
        let now = self.clock.now();
        let Some(live) = self.live.get_mut(&number) else { return };
        let ticket = AttemptId { request: number, attempt: live.attempts };
        live.attempts += 1;
        live.out += 1;
        let source = fill.map(|f| f.source).filter(|s| *s != server);
        let keep = fill.map_or(0, |f| f.cache_rank);
        let out = Out { server, sent: now, written: None, handed_over: false, source, keep };
        self.attempts.insert(ticket, out);
        if live.reply.is_none() {
            return self.finish(ticket, Outcome::NotSent, None);
        }
        let unix = self.clock.unix();
        let kept = self.kept.latest(live.object, live.ask.group, unix);
        if let (Some(fill), Some(at)) = (fill.as_mut(), kept.max(self.not_before)) {
            // A join may give a copy that was fetched before.
            let (age, fresh) =
                (unix.saturating_sub(at).max(1), self.settings.classes[live.ask.class].freshness_lifetime);
            let limit = if fill.max_age > 0 { fill.max_age } else { fresh };
            fill.max_age = if limit > 0 { age.min(limit) } else { age };
            fill.collapse &= age > limit && limit > 0;
        }
        let until = if timeout > 0 { now + timeout } else { live.deadline + AFTER_DEADLINE };
        let settings = &self.settings;
        let heed = [settings.drain_grace, settings.purge_grace].into_iter().filter(|grace| *grace > 0);
        let mut send_within = heed.map(|grace| grace / 2).min().unwrap_or(SEND_WITHIN).min(SEND_WITHIN);
        if let (Idempotency::IdempotencyKey { window, .. }, true) =
            (&settings.classes[live.ask.class].idempotency, live.may_have_run > 0)
        {
            // Servers throw a repeat away within this; the module looked at the clock before it was queued.
            send_within = send_within.min((live.first_sent + window).saturating_sub(now));
        }
        let want = UpstreamRequest {
            attempt_id: ticket,
            id: live.ask.id.clone(),
            class: self.classes[live.ask.class].clone(),
            object: live.ask.object.clone(),
            part: live.ask.part,
            deadline: self.clock.instant(until),
            send_deadline: self.clock.instant(until.min(now + send_within)),
            cancellation: live.over.clone(),
            fill_source: source.and_then(|s| self.servers.get(&s)).map(|s| s.listing.name.clone()),
            cache_rank: keep,
            // 0 has a meaning of its own, and rounding up would let an older copy pass.
            max_age_ms: fill.map_or(0, |f| if f.max_age > 0 { (f.max_age / 1000).max(1) } else { 0 }),
            collapse: fill.is_some_and(|f| f.collapse),
            only_if_cached: fill.is_some_and(|f| f.only_if_cached),
            revalidate: fill.is_some_and(|f| f.revalidate),
            if_none_match: live.ask.if_none_match.clone(),
            idempotency_key: live.ask.idempotency_key.clone(),
            body: live.ask.body.clone(),
        };
        self.revive(server);
        // Full: the peer has far more than it can carry, so the attempt ends unsent.
        let taken = self
            .servers
            .get(&server)
            .is_some_and(|s| s.mailbox.try_send(EndpointCommand::Send(want)).is_ok());
        if taken {
            if let (Some(live), Some(out)) = (self.live.get_mut(&number), self.attempts.get_mut(&ticket)) {
                if live.may_have_run == 0 {
                    live.first_sent = now;
                }
                live.may_have_run += 1;
                out.handed_over = true;
            }
            self.alarm(until, Alarm::Attempt(ticket));
        } else {
            self.finish(ticket, Outcome::NotSent, None);
        }
    }

    /// Opens a peer's actor anew if it has ended, which only a panic does while the server is listed.
    fn revive(&mut self, server: ServerId) {
        if let Some(known) = self.servers.get_mut(&server).filter(|s| s.mailbox.is_closed() && !s.gone()) {
            tracing::warn!("server {}: its actor had ended", known.listing.name);
            known.mailbox = open(&mut self.peers, server, &known.listing, &self.reports);
        }
    }

    fn forget(&self, ticket: AttemptId) {
        let server = self.attempts.get(&ticket).and_then(|out| self.servers.get(&out.server));
        if let Some(server) = server {
            // Full: the server goes on with it in vain, and its answer finds nobody.
            let _ = server.mailbox.try_send(EndpointCommand::Cancel(ticket));
        }
    }

    fn ended(&mut self, ticket: AttemptId, end: AttemptResult) {
        let outcome = match &end {
            Ok(reply) => match &reply.status {
                // Unchanged is what the client has: an answer that names another copy, or none, is spoilt.
                ResponseStatus::NotModified(tag) if !self.knows(ticket.request, tag.as_ref()) => {
                    Outcome::Failed
                }
                ResponseStatus::Ok(_) | ResponseStatus::NotModified(_) => Outcome::Ok,
                ResponseStatus::Miss => Outcome::Miss,
                ResponseStatus::Rejected => Outcome::Rejected,
                ResponseStatus::Error => Outcome::Failed,
                ResponseStatus::Expired => Outcome::NotSent,
            },
            Err(AttemptError::Cancelled | AttemptError::NoDescriptor) => Outcome::NotSent,
            Err(broken) if broken.never_ran() => Outcome::ConnectError,
            Err(_) => Outcome::Reset,
        };
        // Also of one that was called off: its client has left, and what it proves is counted.
        self.told(ticket.request, outcome.never_ran());
        if !self.attempts.contains_key(&ticket) {
            return;
        }
        if outcome == Outcome::Ok && self.expired(ticket.request) {
            self.expire(ticket.request);
        }
        self.finish(ticket, outcome, end.ok());
    }

    /// Whether the client has the copy of this tag.
    fn knows(&self, number: u64, tag: Option<&Arc<str>>) -> bool {
        tag.is_some() && self.live.get(&number).is_some_and(|l| l.ask.if_none_match.as_ref() == tag)
    }

    /// Ends an attempt; the first end counts and any later one finds it gone. Guards against a peer that
    /// reports after a time-out or a cancellation, or not at all.
    fn finish(&mut self, ticket: AttemptId, outcome: Outcome, reply: Option<UpstreamResponse>) {
        let Some(out) = self.attempts.remove(&ticket) else { return };
        if outcome == Outcome::TimedOut {
            if let Some(server) = self.servers.get(&out.server) {
                let _ = server.mailbox.try_send(EndpointCommand::Cancel(ticket));
            }
        }
        let Some(live) = self.live.get_mut(&ticket.request) else { return };
        live.out -= 1;
        live.failed |=
            !matches!(outcome, Outcome::Ok | Outcome::Rejected | Outcome::NotSent | Outcome::Cancelled);
        if outcome.never_ran() && out.handed_over {
            live.may_have_run -= 1;
        }
        // From when the server had it: what it waited for a connection says nothing of server or link.
        let had = out.written.or(reply.is_some().then_some(out.sent));
        let took = had.map_or(0, |at| self.clock.now().saturating_sub(at));
        let (note, waited, gauges) = reply
            .as_ref()
            .map_or((CacheStatus::Unknown, 0, &[][..]), |r| (r.cache_status, r.source_wait, &r.load_report));
        let report = report(&self.settings, gauges);
        let answer = match reply.map(|r| r.status) {
            Some(ResponseStatus::Ok(copy)) => Some(ClientResponse::Served(copy)),
            Some(ResponseStatus::NotModified(tag)) => Some(ClientResponse::NotModified(tag)),
            _ => None,
        };
        let name = |id: ServerId| self.servers.get(&id).map_or("?", |s| &*s.listing.name);
        tracing::debug!(
            parent: &live.span,
            attempt = ticket.attempt,
            server = name(out.server),
            source = out.source.map_or("-", name),
            rank = out.keep,
            outcome = ?outcome,
            note = ?note,
            took_ms = took / 1000,
            "attempt"
        );
        let class = live.ask.class;
        let given = answer.zip(live.reply.take_if(|_| outcome == Outcome::Ok));
        let over = live.reply.is_none();
        if over {
            live.over.cancel();
        }
        if let Some((answer, reply)) = given {
            self.reply(class, reply, answer);
        }
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request: RequestId(ticket.request),
            attempt: ticket.attempt,
            server: out.server,
            outcome,
            elapsed: took,
            request_finished: over,
            cache_status: note,
            source_wait: waited,
            load_report: report,
        }));
        self.tidy(ticket.request);
    }

    // ---- probes ----

    fn probe(&mut self, server: ServerId) {
        let number = self.next_probe;
        self.next_probe += 1;
        let now = self.clock.now();
        self.probes.insert(number, (server, now));
        self.alarm(now + PROBE_TIMEOUT, Alarm::Probe(number));
        self.revive(server);
        // Full: the alarm ends it.
        if let Some(server) = self.servers.get(&server) {
            let _ = server.mailbox.try_send(EndpointCommand::HealthCheck(number));
        }
    }

    fn probed(&mut self, number: u64, result: Result<HealthReport, AttemptError>) {
        let Some((server, sent)) = self.probes.remove(&number) else { return };
        let took = self.clock.now().saturating_sub(sent);
        let outcome = match result {
            Ok(HealthReport { healthy: true, .. }) => Outcome::Ok,
            Ok(HealthReport { healthy: false, .. }) => Outcome::Failed,
            Err(AttemptError::Unanswered) if took >= PROBE_TIMEOUT => Outcome::TimedOut,
            Err(AttemptError::Unanswered | AttemptError::ResponseInterrupted) => Outcome::Reset,
            Err(_) => Outcome::ConnectError,
        };
        let report = report(&self.settings, &result.map_or_else(|_| Vec::new(), |health| health.load_report));
        self.events.push_back(Event::HealthChecked { server, outcome, elapsed: took, load_report: report });
    }

    // ---- the list ----

    /// Has a listed server drain by another word than its source's, or no longer.
    fn drain(&mut self, name: &Arc<str>, command: DrainCommand) -> bool {
        let listing = self.names.get(name).and_then(|id| self.servers.get(id)).map(|s| s.listing.clone());
        let Some(mut listing) = listing.filter(|l| l.state != MemberState::Gone) else { return false };
        if command == DrainCommand::Drain {
            self.drains.begin(&listing);
        } else if self.drains.end(name) {
            // What its source last said is not kept: it runs until that says otherwise.
            listing.state = MemberState::Running;
        }
        self.members(false, vec![listing]);
        true
    }

    fn members(&mut self, full: bool, mut members: Vec<Endpoint>) {
        members.iter_mut().for_each(|listing| self.drains.apply(listing));
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let (mut told, mut dead) = (Vec::new(), Vec::new());
        if full {
            self.servers.values_mut().for_each(|s| s.listing.state = MemberState::Gone);
        }
        for listing in &members {
            let (zone, kind) =
                (place(&self.settings.zones, &listing.zone), place(&self.settings.kinds, &listing.kind));
            let (Some(zone), Some(kind)) = (zone, kind) else {
                tracing::info!(
                    "list: {} is of zone {} and kind {}, not both known",
                    listing.name,
                    listing.zone,
                    listing.kind
                );
                continue;
            };
            let server = self.number(&listing.name);
            let old = self.servers.get(&server);
            // Read once: a second reading could differ by a little and pass for another start.
            let since = match old {
                Some(old) if old.listing.started_at == listing.started_at => old.since,
                _ => self.clock.steady(listing.started_at),
            };
            let place = |l: &Endpoint| (l.address.clone(), l.started_at);
            let same = old.is_some_and(|old| place(&old.listing) == place(listing));
            if old.is_some() && !same && listing.started_at > 0 {
                dead.push((server, since));
            }
            match self.servers.get_mut(&server) {
                Some(known) if same || listing.state == MemberState::Gone => known.listing = listing.clone(),
                None if listing.state == MemberState::Gone => {}
                // Not known, elsewhere, or a new process: connections to an old one are worth nothing, and
                // on a machine that vanished they would stay open and silent.
                _ => {
                    let mailbox = open(&mut self.peers, server, listing, &self.reports);
                    self.servers.insert(server, Server { listing: listing.clone(), since, mailbox });
                }
            }
            let (cell, state, size) = (listing.cell, listing.state, listing.size);
            told.push(Member { server, zone, kind, cell, state, size, started_at: since });
        }
        let kind = if full { MemberUpdate::Full } else { MemberUpdate::Incremental };
        self.events.push_back(Event::Members { kind, members: told });
        // What was sent to a process before its successor started will not be answered any more.
        let lost = |(ticket, out): (&AttemptId, &Out)| {
            dead.iter().any(|(server, since)| out.server == *server && out.sent < *since).then_some(*ticket)
        };
        let lost: Vec<AttemptId> = self.attempts.iter().filter_map(lost).collect();
        for ticket in lost {
            self.finish(ticket, Outcome::Reset, None);
        }
        let attempts = &self.attempts;
        self.servers.retain(|id, s| !s.gone() || attempts.values().any(|out| out.server == *id));
        let servers = &self.servers;
        self.names.retain(|_, id| servers.contains_key(id));
        let names = &self.names;
        self.drains.retain(|name| names.contains_key(name));
    }

    /// The number by which the module knows a server. It goes by the name alone, so that all directors agree;
    /// where two names share one, the later goes by the next that is free.
    fn number(&mut self, name: &Arc<str>) -> ServerId {
        if let Some(server) = self.names.get(name) {
            return *server;
        }
        let mut number = server_number(name);
        while self.servers.contains_key(&ServerId(number)) {
            number = number.wrapping_add(1);
        }
        self.names.insert(name.clone(), ServerId(number));
        ServerId(number)
    }
}

/// Opens a peer. Guards the actor against a transport of the host's that panics: its server then has a
/// mailbox that nobody reads, attempts there end unsent, and each tries to open it anew.
fn open<P: EndpointConnector>(
    peers: &mut P,
    server: ServerId,
    listing: &Endpoint,
    reports: &DispatcherSender,
) -> mpsc::Sender<EndpointCommand> {
    let opened = catch_unwind(AssertUnwindSafe(|| peers.connect(server, listing, reports.clone())));
    opened.unwrap_or_else(|_| mpsc::channel(1).0)
}

/// A load report in the settings' order; empty unless all of it is there.
fn report(settings: &Settings, gauges: &[(String, f64)]) -> Vec<f64> {
    let value = |name: &String| gauges.iter().find(|g| g.0 == *name).map(|g| g.1);
    settings.load_report.iter().map(value).collect::<Option<Vec<f64>>>().unwrap_or_default()
}
