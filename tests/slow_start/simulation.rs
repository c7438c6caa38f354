//! Routers and emulated servers in simulated time. One server restarts and one joins, the traffic doubles for
//! a while and routers start during the run. Member updates reach each router after a different delay, and
//! some routers receive five times the traffic of others. All random numbers come from one seed.

use crate::budget::{ReceivedWork, WarmingServer};
use crate::common;
use crate::site::{Role, Site, CACHES, PARENTS, SECOND};
use crate::timeline::*;
use foxhold::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

/// A router process.
#[derive(Default)]
struct Process {
    router: Option<Router>,
    /// Number of starts so far; events scheduled for an earlier start are dropped.
    epoch: u32,
    /// Servers whose start time the router has received.
    known_starts: HashSet<u32>,
    /// Attempts in flight by request: the number of the event that ends each attempt, and when it was sent.
    in_flight: HashMap<RequestId, Vec<Option<(u64, Micros)>>>,
    requests: HashMap<RequestId, Request>,
}

/// A simulated run of one site.
pub struct Simulation {
    site: Site,
    random: StdRng,
    now: Micros,
    last_event: u64,
    schedule: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Events by their number in `schedule`, each with its process and the epoch of the process.
    events: HashMap<u64, (usize, u32, Scheduled)>,
    processes: Vec<Process>,
    /// The member list by server id.
    list: BTreeMap<u32, Member>,
    pub warming: BTreeMap<u32, WarmingServer>,
    pub rejected: u64,
    pub requests: u64,
}

impl Simulation {
    /// Simulates a site until the joining server is warm.
    pub fn run(site: &Site) -> Simulation {
        let end = JOIN + site.rule.warm_up_time;
        let mut simulation = Simulation {
            site: site.clone(),
            random: StdRng::seed_from_u64(site.seed),
            now: START,
            last_event: 0,
            schedule: BinaryHeap::new(),
            events: HashMap::new(),
            processes: (0..site.routers).map(|_| Process::default()).collect(),
            list: BTreeMap::new(),
            warming: BTreeMap::new(),
            rejected: 0,
            requests: 0,
        };
        simulation.schedule_run();
        while let Some(Reverse((at, number))) = simulation.schedule.pop() {
            if at > end {
                break;
            }
            simulation.now = at;
            if let Some((process, epoch, event)) = simulation.events.remove(&number) {
                simulation.handle(process, epoch, event);
            }
        }
        simulation
    }

    fn unit(&mut self) -> f64 {
        self.random.random()
    }

    fn schedule_at(&mut self, at: Micros, process: usize, event: Scheduled) {
        self.last_event += 1;
        let epoch = self.processes[process].epoch;
        self.schedule.push(Reverse((at, self.last_event)));
        self.events.insert(self.last_event, (process, epoch, event));
    }

    /// Schedules member updates and the starts of routers: a fifth of the routers start late, and another
    /// fifth are replaced.
    fn schedule_run(&mut self) {
        let [restarting, joining] = self.site.warming_ids();
        for id in CACHES.chain(PARENTS).chain([common::ORIGIN.0]).filter(|id| *id != joining) {
            self.list.insert(id, self.site.member(id));
        }
        for process in 0..self.processes.len() {
            let late = process % 5 == 1;
            let replaced = process % 5 == 2;
            if !late {
                self.schedule_at(START, process, Scheduled::Start(process));
            }
            if late || replaced {
                let at = self.random.random_range(LATE_START);
                self.schedule_at(at, process, Scheduled::Start(process));
            }
        }
        self.schedule_at(START, 0, Scheduled::Arrival);
        let gone = Member { state: MemberState::Gone, ..self.site.member(restarting) };
        let returned = Member { started_at: RESTART, ..self.site.member(restarting) };
        let joined = Member { started_at: JOIN, ..self.site.member(joining) };
        for (at, member) in [(REMOVAL, gone), (RESTART, returned), (JOIN, joined)] {
            self.schedule_member(at, member);
        }
        for (id, started_at) in [(restarting, RESTART), (joining, JOIN)] {
            let (rule, size, mean_transfer_time) =
                (self.site.rule, self.site.size, self.site.mean_transfer_time());
            self.warming.insert(
                id,
                WarmingServer { rule, size, mean_transfer_time, started_at, received: Vec::new() },
            );
        }
    }

    /// Schedules an update of a member for each router, each after a random delay.
    fn schedule_member(&mut self, at: Micros, member: Member) {
        for process in 0..self.processes.len() {
            let delay = self.random.random_range(0..MAX_UPDATE_DELAY);
            self.last_event += 1;
            self.schedule.push(Reverse((at + delay, self.last_event)));
            // `u32::MAX`: the event is valid for any epoch of the process.
            self.events.insert(
                self.last_event,
                (process, u32::MAX, Scheduled::Members(process, vec![member.clone()])),
            );
        }
    }

    /// Returns the member list at a time.
    fn members_at(&self, now: Micros) -> Vec<Member> {
        let [restarting, joining] = self.site.warming_ids();
        let mut members: Vec<Member> = self.list.values().cloned().collect();
        for member in &mut members {
            if member.server.0 == restarting && now >= REMOVAL {
                member.state = if now < RESTART { MemberState::Gone } else { MemberState::Running };
                member.started_at = if now < RESTART { 0 } else { RESTART };
            }
        }
        if now >= JOIN {
            members.push(Member { started_at: JOIN, ..self.site.member(joining) });
        }
        members
    }

    /// Returns whether a server accepts connections at present.
    fn is_up(&self, id: u32) -> bool {
        let [restarting, joining] = self.site.warming_ids();
        !(id == restarting && (CRASH..RESTART).contains(&self.now) || id == joining && self.now < JOIN)
    }

    fn handle(&mut self, process: usize, epoch: u32, event: Scheduled) {
        if let Scheduled::Arrival = event {
            return self.arrival();
        }
        if let Scheduled::Start(process) = event {
            return self.start(process);
        }
        let current = self.processes[process].epoch;
        if self.processes[process].router.is_none() || (epoch != current && epoch != u32::MAX) {
            return;
        }
        match event {
            Scheduled::Members(process, members) => {
                let members = members.into_iter().map(|m| self.member_as_seen_by(process, m)).collect();
                self.deliver_event(process, Event::Members { kind: MemberUpdate::Incremental, members });
            }
            Scheduled::Timer(token) => self.deliver_event(process, Event::Timer(token)),
            Scheduled::AttemptEnded(end) => self.attempt_ended(process, end),
            Scheduled::HealthChecked(server) => {
                let outcome = if self.is_up(server.0) { Outcome::Ok } else { Outcome::ConnectError };
                self.deliver_event(
                    process,
                    Event::HealthChecked { server, outcome, elapsed: 2_000, load_report: Vec::new() },
                );
            }
            Scheduled::Arrival | Scheduled::Start(_) => {}
        }
    }

    /// Records that a process has received the start of a member, and returns the member as the process sees
    /// it.
    fn member_as_seen_by(&mut self, process: usize, member: Member) -> Member {
        if member.started_at > 0 {
            self.processes[process].known_starts.insert(member.server.0);
        }
        Member { started_at: if self.site.starts_known { member.started_at } else { 0 }, ..member }
    }

    /// Starts a process with the current member list; it replaces an earlier process of that number.
    fn start(&mut self, process: usize) {
        let seed = self.random.random();
        let router = Router::new(self.site.settings(), seed).expect("good settings");
        let epoch = self.processes[process].epoch + 1;
        self.processes[process] = Process { router: Some(router), epoch, ..Process::default() };
        let members: Vec<Member> = self.members_at(self.now);
        let members = members.into_iter().map(|m| self.member_as_seen_by(process, m)).collect();
        self.deliver_event(process, Event::Members { kind: MemberUpdate::Full, members });
    }

    fn arrival(&mut self) {
        let load_factor = if BURST.contains(&self.now) { 2.0 } else { 1.0 };
        let gap = -(1.0 - self.unit()).ln() * 1e6 / (self.site.requests_per_second() * load_factor);
        self.schedule_at(self.now + gap as Micros + 1, 0, Scheduled::Arrival);
        let Some(process) = self.draw_process() else { return };
        let class = self.draw_class();
        // Sizes within a class vary around the mean by a factor of three.
        let spread = (0..3).map(|_| self.unit()).sum::<f64>() - 1.5;
        let transfer_time = self.site.classes[class].transfer_time * (spread * 1.1).exp() / 1.16;
        let object = (self.unit().powi(3) * 4_000.0) as u64;
        self.requests += 1;
        let request = Request {
            id: RequestId(self.requests),
            class,
            object: ObjectId(object),
            deadline: self.now + 3 * SECOND,
            // The settings assume 1000 KB per second.
            size_kb: transfer_time / 1000.0,
            group: Some((object % 32) as u32),
            ..Request::default()
        };
        self.processes[process].requests.insert(request.id, request.clone());
        self.deliver_event(process, Event::Request(request));
    }

    /// Draws the running process that receives the next request, weighted by traffic.
    fn draw_process(&mut self) -> Option<usize> {
        let weight = |p: usize| if p.is_multiple_of(5) { BUSY_ROUTER_MULTIPLE } else { 1.0 };
        let running: Vec<usize> =
            (0..self.processes.len()).filter(|p| self.processes[*p].router.is_some()).collect();
        let mut left = self.unit() * running.iter().map(|p| weight(*p)).sum::<f64>();
        running.into_iter().find(|p| {
            left -= weight(*p);
            left < 0.0
        })
    }

    fn draw_class(&mut self) -> usize {
        let mut left = self.unit() * self.site.classes.iter().map(|c| c.share).sum::<f64>();
        let index = self.site.classes.iter().position(|c| {
            left -= c.share;
            left < 0.0
        });
        index.unwrap_or(0)
    }

    /// Passes an event to the router of a process, and carries out its actions.
    fn deliver_event(&mut self, process: usize, event: Event) {
        let mut actions = Vec::new();
        if let Some(router) = &mut self.processes[process].router {
            router.handle(self.now, event, &mut actions);
        }
        for action in actions {
            match action {
                Action::Attempt { request, server, fill, .. } => {
                    self.start_attempt(process, request, server, fill);
                }
                Action::Cancel { request, attempt } => self.cancel(process, request, attempt),
                Action::SetTimer { at, token } => {
                    self.schedule_at(at.max(self.now), process, Scheduled::Timer(token))
                }
                Action::HealthCheck(server) => {
                    self.schedule_at(self.now + 2_000, process, Scheduled::HealthChecked(server))
                }
                Action::Reject { .. } | Action::Fail(_) => self.rejected += 1,
                _ => {}
            }
        }
    }

    /// Records a request at a server. Caches count the mean transfer time of its class, parents the time of
    /// the request itself.
    fn record_received(&mut self, process: usize, server: u32, request: &Request) {
        let start_known = self.processes[process].known_starts.contains(&server);
        let at = self.now;
        let transfer_time = match self.site.role {
            Role::Cache => self.site.classes[request.class].transfer_time,
            Role::Parent => request.size_kb * 1000.0,
        };
        if let Some(warming) = self.warming.get_mut(&server).filter(|server| at >= server.started_at) {
            warming.received.push(ReceivedWork { at, transfer_time, start_known });
        }
    }

    fn start_attempt(&mut self, process: usize, id: RequestId, server: ServerId, fill: Option<Fill>) {
        let request = self.processes[process].requests[&id].clone();
        let (outcome, cache_status) = self.attempt_outcome(process, &request, server, fill);
        let transfer_time = (request.size_kb * 1000.0) as Micros;
        let elapsed = match outcome {
            Outcome::ConnectError => 1_000,
            Outcome::Ok if cache_status == CacheStatus::Filled => 60_000 + transfer_time,
            Outcome::Ok => 10_000 + transfer_time,
            _ => 20_000,
        };
        let attempts = self.processes[process].in_flight.entry(id).or_default();
        let attempt = attempts.len() as u32;
        let end = AttemptEnd {
            request: id,
            attempt,
            server,
            outcome,
            elapsed,
            request_finished: outcome == Outcome::Ok,
            cache_status,
            source_wait: if cache_status == CacheStatus::Filled { 50_000 } else { 0 },
            load_report: Vec::new(),
        };
        self.schedule_at(self.now + elapsed, process, Scheduled::AttemptEnded(end));
        let number = self.last_event;
        let now = self.now;
        if let Some(attempts) = self.processes[process].in_flight.get_mut(&id) {
            attempts.push(Some((number, now)));
        }
    }

    /// Returns how an attempt ends, and records it at the servers that receive it.
    fn attempt_outcome(
        &mut self,
        process: usize,
        request: &Request,
        server: ServerId,
        fill: Option<Fill>,
    ) -> (Outcome, CacheStatus) {
        if !self.is_up(server.0) {
            return (Outcome::ConnectError, CacheStatus::Unknown);
        }
        self.record_received(process, server.0, request);
        let drawn = self.unit();
        if drawn < REJECTED_SHARE {
            return (Outcome::Rejected, CacheStatus::Unknown);
        }
        if drawn < REJECTED_SHARE + FAILED_SHARE {
            return (Outcome::Failed, CacheStatus::Unknown);
        }
        let Some(fill) = fill else { return (Outcome::Ok, CacheStatus::Filled) };
        let write = self.site.classes[request.class].write;
        let hit = self.unit() < self.site.hit_ratio;
        if !write && hit {
            return (Outcome::Ok, CacheStatus::Hit);
        }
        if fill.source == server {
            return if server.0 >= *PARENTS.start() {
                (Outcome::Ok, CacheStatus::Filled)
            } else {
                (Outcome::Miss, CacheStatus::Unknown)
            };
        }
        // A share of the requests joins a running fill: the source receives nothing.
        if fill.collapse && self.unit() < 0.05 {
            return (Outcome::Ok, CacheStatus::Collapsed);
        }
        if !self.is_up(fill.source.0) {
            return (Outcome::Failed, CacheStatus::SourceUnreachable);
        }
        self.record_received(process, fill.source.0, request);
        if fill.only_if_cached {
            return (Outcome::Miss, CacheStatus::SourceMiss);
        }
        if self.unit() < REJECTED_SHARE {
            return (Outcome::Rejected, CacheStatus::SourceRejected);
        }
        (Outcome::Ok, CacheStatus::Filled)
    }

    fn attempt_ended(&mut self, process: usize, end: AttemptEnd) {
        let attempts = self.processes[process].in_flight.get_mut(&end.request);
        if attempts.and_then(|a| a.get_mut(end.attempt as usize)).and_then(Option::take).is_some() {
            self.deliver_event(process, Event::AttemptEnded(end));
        }
    }

    fn cancel(&mut self, process: usize, request: RequestId, attempt: u32) {
        let attempts = self.processes[process].in_flight.get(&request);
        let Some(Some((number, sent))) = attempts.and_then(|a| a.get(attempt as usize)).copied() else {
            return;
        };
        if let Some((_, _, Scheduled::AttemptEnded(end))) = self.events.remove(&number) {
            let elapsed = self.now - sent;
            let end = AttemptEnd {
                outcome: Outcome::Cancelled,
                elapsed,
                request_finished: true,
                cache_status: CacheStatus::Unknown,
                ..end
            };
            self.schedule_at(self.now, process, Scheduled::AttemptEnded(end));
            let number = self.last_event;
            if let Some(attempts) = self.processes[process].in_flight.get_mut(&request) {
                attempts[attempt as usize] = Some((number, sent));
            }
        }
    }
}
