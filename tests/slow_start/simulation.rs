//! A fleet of routers against simulated servers in simulated time: one server comes back cold, one
//! joins, the traffic
//! doubles for a while, routers start in the middle, each is told of the members at a time of its own,
//! and some see
//! five times what others see. All is drawn from one seed.

use crate::budget::{ColdServer, Sent};
use crate::common;
use foxhold::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

pub const SECOND: Micros = 1_000_000;
/// Servers of the fleet: caches, parents and the origin; one of each tested role joins later.
const CACHES: std::ops::RangeInclusive<u32> = 1..=4;
const PARENTS: std::ops::RangeInclusive<u32> = 11..=14;
/// Moments of a run: the load's start, the crash, its listing, the return, the join, the burst and what
/// starts late.
const BEGIN: Micros = 100 * SECOND;
const CRASH: Micros = BEGIN + 3 * SECOND;
const LISTED: Micros = CRASH + SECOND;
const RETURN: Micros = CRASH + 3 * SECOND + SECOND / 2;
const JOIN: Micros = RETURN + SECOND;
const BURST: std::ops::Range<Micros> = RETURN + 2 * SECOND..RETURN + 6 * SECOND;
const LATE_START: std::ops::Range<Micros> = RETURN..RETURN + 6 * SECOND;
/// The list comes to each router up to so much later.
const TOLD_LATE: Micros = 2 * SECOND;
/// One router in five sees so many times the others' traffic.
const OFTEN: f64 = 5.0;
/// Shares of attempts that a server turns away, and that fail there.
const TURNED_AWAY: f64 = 0.04;
const FAILED: f64 = 0.02;

/// Which servers are tested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Cache,
    Parent,
}

/// A class of requests: its share, and the mean work of one in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    pub share: f64,
    pub work: f64,
    pub write: bool,
}

/// One site to be played.
#[derive(Clone, Debug)]
pub struct Site {
    pub role: Role,
    pub routers: u32,
    pub classes: Vec<Mix>,
    pub rule: SlowStartRule,
    /// The size of each server of the tested role, in transfers at full pace.
    pub size: f64,
    /// The load of such a server, over what it can do when warm.
    pub load: f64,
    /// Share of requests that a cache holds.
    pub hits: f64,
    /// Whether servers tell of their starts; if not, routers take the cold ones for warm.
    pub told: bool,
    pub direct: bool,
    pub seed: u64,
}

impl Site {
    /// Mean work of the requests that may come to a server of the tested role.
    pub fn mean(&self) -> f64 {
        let counts = |c: &&Mix| !c.write || (self.role == Role::Cache && !self.direct);
        let classes: Vec<&Mix> = self.classes.iter().filter(counts).collect();
        let share: f64 = classes.iter().map(|c| c.share).sum();
        classes.iter().map(|c| c.share * c.work).sum::<f64>() / share
    }

    /// The size with which a server is allowed so many mean requests in a window at its start.
    pub fn sized(self, allowed: f64) -> Site {
        let part =
            self.rule.initial_capacity_share * self.rule.overload_multiple * self.rule.overload_window as f64;
        Site { size: allowed * self.mean() / part, ..self }
    }

    /// Requests a second over the fleet that load the servers of the tested role as the site says.
    fn rate(&self) -> f64 {
        let counts = |c: &&Mix| !c.write || (self.role == Role::Cache && !self.direct);
        let part: f64 = self.classes.iter().filter(counts).map(|c| c.share).sum();
        let servers = 3.0;
        let misses = if self.role == Role::Parent { 1.0 - self.hits } else { 1.0 };
        servers * self.load * self.size * 1e6 / (self.mean() * part * misses)
    }

    fn settings(&self) -> Settings {
        let class = |mix: &Mix| Class {
            write: mix.write,
            objective_stretch: 2.0,
            deadline: 3 * SECOND,
            ..common::class(if mix.write {
                Idempotency::IdempotencyKey { scope: KeyScope::All, window: 5 * SECOND }
            } else {
                Idempotency::Idempotent
            })
        };
        Settings {
            classes: self.classes.iter().map(class).collect(),
            routers: self.routers,
            routers_by_zone: vec![0, 0, self.routers, 0],
            cache_slow_start: self.rule,
            parent_slow_start: self.rule,
            direct_requests: self.direct,
            health_checks: true,
            ..common::settings()
        }
    }

    fn member(&self, id: u32) -> Member {
        let tested = match self.role {
            Role::Cache => CACHES.contains(&id),
            Role::Parent => PARENTS.contains(&id),
        };
        let size = if tested { self.size } else { self.size * 50.0 };
        Member { size, ..common::member(id) }
    }

    /// The server that comes back, and the one that joins.
    pub fn cold_ids(&self) -> [u32; 2] {
        match self.role {
            Role::Cache => [1, 4],
            Role::Parent => [11, 14],
        }
    }
}

/// What is due.
#[derive(Debug)]
enum Due {
    Arrival,
    Start(usize),
    Told(usize, Vec<Member>),
    Timer(TimerToken),
    Ended(AttemptEnd),
    Probed(ServerId),
}

#[derive(Default)]
struct Process {
    router: Option<Router>,
    /// Counts its starts: what was due for an earlier one is dropped.
    epoch: u32,
    /// Cold servers of whose start it was told.
    told: HashSet<u32>,
    /// Attempts that are out, by request: what it asked for.
    out: HashMap<RequestId, Vec<Option<(u64, Micros)>>>,
    requests: HashMap<RequestId, Request>,
}

/// A run.
pub struct Fleet {
    site: Site,
    random: StdRng,
    now: Micros,
    next: u64,
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    /// By its number in `due`: whose it is, of which start, and what.
    what: HashMap<u64, (usize, u32, Due)>,
    processes: Vec<Process>,
    /// The list as it is, by server.
    list: BTreeMap<u32, Member>,
    pub cold: BTreeMap<u32, ColdServer>,
    pub refused: u64,
    pub asked: u64,
}

impl Fleet {
    /// Plays a site to its end.
    pub fn play(site: &Site) -> Fleet {
        let end = JOIN + site.rule.warm_up_time;
        let mut fleet = Fleet {
            site: site.clone(),
            random: StdRng::seed_from_u64(site.seed),
            now: BEGIN,
            next: 0,
            due: BinaryHeap::new(),
            what: HashMap::new(),
            processes: (0..site.routers).map(|_| Process::default()).collect(),
            list: BTreeMap::new(),
            cold: BTreeMap::new(),
            refused: 0,
            asked: 0,
        };
        fleet.plan();
        while let Some(Reverse((at, number))) = fleet.due.pop() {
            if at > end {
                break;
            }
            fleet.now = at;
            if let Some((process, epoch, due)) = fleet.what.remove(&number) {
                fleet.handle(process, epoch, due);
            }
        }
        fleet
    }

    fn unit(&mut self) -> f64 {
        self.random.random()
    }

    fn at(&mut self, at: Micros, process: usize, due: Due) {
        self.next += 1;
        let epoch = self.processes[process].epoch;
        self.due.push(Reverse((at, self.next)));
        self.what.insert(self.next, (process, epoch, due));
    }

    /// The members' news, and the starts of routers: a fifth is late, and another fifth is replaced.
    fn plan(&mut self) {
        let [back, joins] = self.site.cold_ids();
        for id in CACHES.chain(PARENTS).chain([common::ORIGIN.0]).filter(|id| *id != joins) {
            self.list.insert(id, self.site.member(id));
        }
        for process in 0..self.processes.len() {
            let late = process % 5 == 1;
            let replaced = process % 5 == 2;
            if !late {
                self.at(BEGIN, process, Due::Start(process));
            }
            if late || replaced {
                let at = self.random.random_range(LATE_START);
                self.at(at, process, Due::Start(process));
            }
        }
        self.at(BEGIN, 0, Due::Arrival);
        let gone = Member { state: MemberState::Gone, ..self.site.member(back) };
        let returned = Member { started_at: RETURN, ..self.site.member(back) };
        let joined = Member { started_at: JOIN, ..self.site.member(joins) };
        for (at, member) in [(LISTED, gone), (RETURN, returned), (JOIN, joined)] {
            self.tell(at, member);
        }
        for (id, since) in [(back, RETURN), (joins, JOIN)] {
            let (rule, size, mean) = (self.site.rule, self.site.size, self.site.mean());
            self.cold.insert(id, ColdServer { rule, size, mean, since, log: Vec::new() });
        }
    }

    /// Tells each router of a member at a time of its own.
    fn tell(&mut self, at: Micros, member: Member) {
        for process in 0..self.processes.len() {
            let late = self.random.random_range(0..TOLD_LATE);
            self.next += 1;
            self.due.push(Reverse((at + late, self.next)));
            // For whichever start of it there is by then.
            self.what.insert(self.next, (process, u32::MAX, Due::Told(process, vec![member.clone()])));
        }
    }

    /// What the list says at a time.
    fn listed(&self, now: Micros) -> Vec<Member> {
        let [back, joins] = self.site.cold_ids();
        let mut members: Vec<Member> = self.list.values().cloned().collect();
        for member in &mut members {
            if member.server.0 == back && now >= LISTED {
                member.state = if now < RETURN { MemberState::Gone } else { MemberState::Running };
                member.started_at = if now < RETURN { 0 } else { RETURN };
            }
        }
        if now >= JOIN {
            members.push(Member { started_at: JOIN, ..self.site.member(joins) });
        }
        members
    }

    /// A server that is there answers.
    fn up(&self, id: u32) -> bool {
        let [back, joins] = self.site.cold_ids();
        !(id == back && (CRASH..RETURN).contains(&self.now) || id == joins && self.now < JOIN)
    }

    fn handle(&mut self, process: usize, epoch: u32, due: Due) {
        if let Due::Arrival = due {
            return self.arrival();
        }
        if let Due::Start(process) = due {
            return self.start(process);
        }
        let current = self.processes[process].epoch;
        if self.processes[process].router.is_none() || (epoch != current && epoch != u32::MAX) {
            return;
        }
        match due {
            Due::Told(process, members) => {
                let members = members.into_iter().map(|m| self.as_told(process, m)).collect();
                self.event(process, Event::Members { kind: MemberUpdate::Incremental, members });
            }
            Due::Timer(token) => self.event(process, Event::Timer(token)),
            Due::Ended(end) => self.ended(process, end),
            Due::Probed(server) => {
                let outcome = if self.up(server.0) { Outcome::Ok } else { Outcome::ConnectError };
                self.event(
                    process,
                    Event::HealthChecked { server, outcome, elapsed: 2_000, load_report: Vec::new() },
                );
            }
            Due::Arrival | Due::Start(_) => {}
        }
    }

    fn as_told(&mut self, process: usize, member: Member) -> Member {
        if member.started_at > 0 {
            self.processes[process].told.insert(member.server.0);
        }
        Member { started_at: if self.site.told { member.started_at } else { 0 }, ..member }
    }

    /// A new process, with the list as it is now.
    fn start(&mut self, process: usize) {
        let seed = self.random.random();
        let router = Router::new(self.site.settings(), seed).expect("good settings");
        let epoch = self.processes[process].epoch + 1;
        self.processes[process] = Process { router: Some(router), epoch, ..Process::default() };
        let members: Vec<Member> = self.listed(self.now);
        let members = members.into_iter().map(|m| self.as_told(process, m)).collect();
        self.event(process, Event::Members { kind: MemberUpdate::Full, members });
    }

    fn arrival(&mut self) {
        let times = if BURST.contains(&self.now) { 2.0 } else { 1.0 };
        let gap = -(1.0 - self.unit()).ln() * 1e6 / (self.site.rate() * times);
        self.at(self.now + gap as Micros + 1, 0, Due::Arrival);
        let Some(process) = self.which_process() else { return };
        let class = self.which_class();
        // Sizes within a class differ three fold either way, about the mean.
        let spread = (0..3).map(|_| self.unit()).sum::<f64>() - 1.5;
        let work = self.site.classes[class].work * (spread * 1.1).exp() / 1.16;
        let object = (self.unit().powi(3) * 4_000.0) as u64;
        self.asked += 1;
        let request = Request {
            id: RequestId(self.asked),
            class,
            object: ObjectId(object),
            deadline: self.now + 3 * SECOND,
            // The flow of the settings is 1000 KB a second.
            size_kb: work / 1000.0,
            group: Some((object % 32) as u32),
            ..Request::default()
        };
        self.processes[process].requests.insert(request.id, request.clone());
        self.event(process, Event::Request(request));
    }

    /// The front sends a request to one of those that are there; one in five sees several times as much.
    fn which_process(&mut self) -> Option<usize> {
        let weight = |p: usize| if p.is_multiple_of(5) { OFTEN } else { 1.0 };
        let there: Vec<usize> =
            (0..self.processes.len()).filter(|p| self.processes[*p].router.is_some()).collect();
        let mut left = self.unit() * there.iter().map(|p| weight(*p)).sum::<f64>();
        there.into_iter().find(|p| {
            left -= weight(*p);
            left < 0.0
        })
    }

    fn which_class(&mut self) -> usize {
        let mut left = self.unit() * self.site.classes.iter().map(|c| c.share).sum::<f64>();
        let place = self.site.classes.iter().position(|c| {
            left -= c.share;
            left < 0.0
        });
        place.unwrap_or(0)
    }

    fn event(&mut self, process: usize, event: Event) {
        let mut actions = Vec::new();
        if let Some(router) = &mut self.processes[process].router {
            router.handle(self.now, event, &mut actions);
        }
        for action in actions {
            match action {
                Action::Attempt { request, server, fill, .. } => {
                    self.attempt(process, request, server, fill);
                }
                Action::Cancel { request, attempt } => self.cancel(process, request, attempt),
                Action::SetTimer { at, token } => self.at(at.max(self.now), process, Due::Timer(token)),
                Action::HealthCheck(server) => self.at(self.now + 2_000, process, Due::Probed(server)),
                Action::Reject { .. } | Action::Fail(_) => self.refused += 1,
                _ => {}
            }
        }
    }

    /// Work that comes to a server, at the mean of its class or of its own size.
    fn reaches(&mut self, process: usize, server: u32, request: &Request) {
        let told = self.processes[process].told.contains(&server);
        let at = self.now;
        let work = match self.site.role {
            Role::Cache => self.site.classes[request.class].work,
            Role::Parent => request.size_kb * 1000.0,
        };
        if let Some(cold) = self.cold.get_mut(&server).filter(|c| at >= c.since) {
            cold.log.push(Sent { at, work, told });
        }
    }

    fn attempt(&mut self, process: usize, id: RequestId, server: ServerId, fill: Option<Fill>) {
        let request = self.processes[process].requests[&id].clone();
        let (outcome, note) = self.outcome(process, &request, server, fill);
        let work = (request.size_kb * 1000.0) as Micros;
        let took = match outcome {
            Outcome::ConnectError => 1_000,
            Outcome::Ok if note == CacheStatus::Filled => 60_000 + work,
            Outcome::Ok => 10_000 + work,
            _ => 20_000,
        };
        let attempts = self.processes[process].out.entry(id).or_default();
        let attempt = attempts.len() as u32;
        let end = AttemptEnd {
            request: id,
            attempt,
            server,
            outcome,
            elapsed: took,
            request_finished: outcome == Outcome::Ok,
            cache_status: note,
            source_wait: if note == CacheStatus::Filled { 50_000 } else { 0 },
            load_report: Vec::new(),
        };
        self.at(self.now + took, process, Due::Ended(end));
        let number = self.next;
        let now = self.now;
        if let Some(attempts) = self.processes[process].out.get_mut(&id) {
            attempts.push(Some((number, now)));
        }
    }

    /// What becomes of an attempt, and what of it reaches a server.
    fn outcome(
        &mut self,
        process: usize,
        request: &Request,
        server: ServerId,
        fill: Option<Fill>,
    ) -> (Outcome, CacheStatus) {
        if !self.up(server.0) {
            return (Outcome::ConnectError, CacheStatus::Unknown);
        }
        self.reaches(process, server.0, request);
        let drawn = self.unit();
        if drawn < TURNED_AWAY {
            return (Outcome::Rejected, CacheStatus::Unknown);
        }
        if drawn < TURNED_AWAY + FAILED {
            return (Outcome::Failed, CacheStatus::Unknown);
        }
        let Some(fill) = fill else { return (Outcome::Ok, CacheStatus::Filled) };
        let write = self.site.classes[request.class].write;
        let hit = self.unit() < self.site.hits;
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
        // Some join a fill that is under way: the source is not asked again.
        if fill.collapse && self.unit() < 0.05 {
            return (Outcome::Ok, CacheStatus::Collapsed);
        }
        if !self.up(fill.source.0) {
            return (Outcome::Failed, CacheStatus::SourceUnreachable);
        }
        self.reaches(process, fill.source.0, request);
        if fill.only_if_cached {
            return (Outcome::Miss, CacheStatus::SourceMiss);
        }
        if self.unit() < TURNED_AWAY {
            return (Outcome::Rejected, CacheStatus::SourceRejected);
        }
        (Outcome::Ok, CacheStatus::Filled)
    }

    fn ended(&mut self, process: usize, end: AttemptEnd) {
        let attempts = self.processes[process].out.get_mut(&end.request);
        if attempts.and_then(|a| a.get_mut(end.attempt as usize)).and_then(Option::take).is_some() {
            self.event(process, Event::AttemptEnded(end));
        }
    }

    fn cancel(&mut self, process: usize, request: RequestId, attempt: u32) {
        let attempts = self.processes[process].out.get(&request);
        let Some(Some((number, sent))) = attempts.and_then(|a| a.get(attempt as usize)).copied() else {
            return;
        };
        if let Some((_, _, Due::Ended(end))) = self.what.remove(&number) {
            let took = self.now - sent;
            let end = AttemptEnd {
                outcome: Outcome::Cancelled,
                elapsed: took,
                request_finished: true,
                cache_status: CacheStatus::Unknown,
                ..end
            };
            self.at(self.now, process, Due::Ended(end));
            let number = self.next;
            if let Some(out) = self.processes[process].out.get_mut(&request) {
                out[attempt as usize] = Some((number, sent));
            }
        }
    }
}
