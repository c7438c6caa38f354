//! All decisions of the router. The interface (settings, events, actions, ids) is in `src/policy/types`.
//!
//! Ordinary path: an object has its first three caches of the zone in a rendezvous hash; the part picks
//! which of them comes first (once the object is hot, the less busy of two of them). A miss is filled from
//! the first of the object's two parents in a hash over all listed parents; for an object that is hot, or
//! believed held by the second, the second wins when the first's tally of our fills under way is over half
//! higher. All else is guard or exception.

use crate::policy::estimators::admitted_share::{AdmittedShare, AimdSteps};
use crate::policy::estimators::congestion::CongestionEstimator;
use crate::policy::estimators::decaying_counter::DecayingCounter;
use crate::policy::estimators::gamma_prior::GammaPrior;
use crate::policy::estimators::generational_cache::GenerationalCache;
use crate::policy::estimators::hash::{mix, unit_interval};
use crate::policy::estimators::load_sharing::{excess_share, stochastic_round};
use crate::policy::estimators::pending_purges::{PendingPurges, Purge};
use crate::policy::estimators::service_time::ServiceTime;
use crate::policy::rendezvous::{first_few, FEW};
use crate::policy::types::*;
use std::collections::BTreeMap;

/// Belief: a parent that filled and kept a copy is thought to hold it this long (the design's value).
const BELIEF: Micros = 30_000_000;
/// Pair margin: the second parent wins when the first's tally is over this multiple of its own (design).
const MARGIN: f64 = 1.5;
/// Popularity fades with this time constant; four requests a second count eighty.
const FADE: f64 = 20_000_000.0;
/// Hot: an object draws this part of a server's fair share of requests; one should not bear it alone.
const HOT_PART: f64 = 0.4;
/// An object's parts are spread over so many caches.
const SPREAD: usize = 3;
/// An object's share of all requests before any is seen, and how sure that is for each part that is hot.
const USUAL: f64 = 0.01;
const SURE: f64 = 2.2;
/// What all but hot objects ask of a cache over its fair share, unseen; past the bound some go on.
const FAIR: GammaPrior = GammaPrior { mean: 1.0, shape: 2.0 };
const BOUND: f64 = 1.25;
/// Most objects remembered in each of two generations, and how long one lasts unless it fills up.
const OBJECTS: usize = 20_000;
const GENERATION: Micros = 30_000_000;
/// The roles: the zone's caches, and all parents.
const CACHES: usize = 0;
const PARENTS: usize = 1;
/// Strikes without a success in between that make a server suspected.
const STRIKES: f64 = 3.0;
/// A refused or broken connection counts this many strikes: it is plainer than silence.
const HARD_STRIKE: f64 = 1.5;
/// Connections that break within this time broke by one event: its attempts are no witnesses of their own.
const ONE_BREAK: Micros = 50_000;
/// An error that comes before any fill counts this many: more often than not the request is at fault.
const ERROR_STRIKE: f64 = 0.1;
/// It comes this soon: no fill could have failed by then.
const QUICK_ERROR: Micros = 20_000;
/// So many of these for one request, from different servers, show that it is.
const ERRORS: usize = 2;
/// A suspected server's first gap between trials; each trial that fails doubles it, up to the most.
const TRIAL_GAP: Micros = 700_000;
const TRIAL_MOST: Micros = 5_600_000;
/// A server that turned work away is passed over for this long.
const BUSY: Micros = 60_000;
/// Share of what pushes a cold server over that all gateways together may use,
const COLD_USE: f64 = 0.65;
/// and less where that is few transfers, by so many deviations of a number that comes by chance.
const COLD_SPREAD: f64 = 2.0;
/// Share of the rest that may be spent in a burst, and of the whole in one transfer.
const COLD_BURST: f64 = 0.4;
const COLD_LARGEST: f64 = 0.25;
/// Size of a server whose size is not told, in transfers at full pace; reckoned low.
const UNTOLD_SIZE: f64 = 4.0;
/// Of a class of which nothing was seen yet a mean sending time is assumed.
const FRESH: ServiceTime = ServiceTime { transfer_time: 200_000.0, size_known: false, overhead: 0.0 };
/// Weight of a new observation in a running mean.
const BLEND: f64 = 0.02;
/// An answer is late when this share of the time to its aim is over.
const LATE: f64 = 0.75;
/// Further attempts earned by each request, and the most saved up.
const EXTRA_EARN: f64 = 0.05;
const EXTRA_SAVED: f64 = 25.0;
/// Answers are taken to be lost at large when this share of them is.
const LOSSY: f64 = 0.05;
/// Fills under way that may name a source: of each gateway at most, for the origin of all together at first.
const WINDOW_MOST: f64 = 64.0;
const WINDOW_ORIGIN: f64 = 48.0;
/// A source's window stays above this, so that it is tried again.
const WINDOW_LEAST: f64 = 0.1;
/// A source's window shrinks to this share of its fills under way when one fails or is late, once such are
/// over a share of its recent fills: some are late by their size.
const WINDOW_CUT: f64 = 0.7;
const SLOW_SHARE: f64 = 0.35;
/// Weight of the last fill in that share, and what a fill in time adds to the window.
const SLOW_BLEND: f64 = 0.1;
const WINDOW_GROW: f64 = 0.3;
/// A fill that took over this share of the request's aim shows a source near its limit.
const SLOW_FILL: f64 = 0.8;
/// A cache loaded under this much turns nothing away for itself: its source did.
const ROOMY: f64 = 1.2;
/// The zone's link is crowded where a fill's bytes take over this multiple of its sending time.
const ADMIT_SLOW: f64 = 1.75;
/// What a sign of crowding, or of room, does to a share admitted; both pull alike at one in four.
const ADMISSION: AimdSteps = AimdSteps { decrease_factor: 0.7, increase: 0.12, min_share: 0.05 };
/// So many transfers over what the zone's link carries at full pace are right, where caches report them, and
/// how far a report pulls the share towards what that takes.
const LINK_FULL: f64 = 1.2;
const LINK_PULL: f64 = 0.7;
/// A request is turned away when its predicted time is over this multiple of its aim at every cache.
const SHED: f64 = 0.85;
/// Weight of the last hit in what a cache's hits took, and what each takes beside its sending time.
const HIT_BLEND: f64 = 0.1;
const HIT_EXTRA: f64 = 10_000.0;
/// A cache whose hits take this multiple of the quickest cache's sends slowly, whatever we have there.
const LIMPS: f64 = 2.0;
/// Advice to a client turned away: at least this long, and as much again at random.
const ADVICE: Micros = 400_000;
/// A purge is remembered this much longer than servers need to heed it: fills under way may end late.
const PURGE_EXTRA: Micros = 3_000_000;
/// Wait before asking for the member list again, doubled at each failure in a row.
const RELIST: Micros = 200_000;
const TOO_LATE: Micros = 2_000; // a request this near its end is not worth a send

/// Kinds of timers, in the bits of a token above the request id.
const TIMER_DEADLINE: TimerToken = 1 << 64;
const TIMER_LATE: TimerToken = 2 << 64;
const TIMER_RELIST: TimerToken = 3 << 64;

/// What is known of one listed server.
#[derive(Default)]
struct Server {
    member: Member,
    /// Our attempts out there, and requests whose objects come first here, those for hot ones apart.
    out: u32,
    first: DecayingCounter,
    hot: DecayingCounter,
    /// Our fills under way that name it as source.
    fills: u32,
    /// Fills that failed and were not followed by one that succeeded.
    failed_fills: u32,
    strikes: f64,
    /// A probe of ours is out there.
    probing: bool,
    last_ok: Micros,
    /// Suspected: when the next trial request may go there, and the gap that it came after.
    trial_at: Option<Micros>,
    gap: Micros,
    busy_until: Micros,
    /// When an attempt there last broke off.
    broke_at: Micros,
    /// Our fills under way that it may be the source of, and the share of late and failed ones lately.
    window: f64,
    slow: f64,
    /// Cold: sending time it may still be asked for, and when that was reckoned.
    cold_level: f64,
    cold_at: Micros,
}

impl Server {
    fn running(&self) -> bool {
        self.member.state == MemberState::Running
    }
}

/// What is known of one object.
#[derive(Default)]
struct Object {
    count: DecayingCounter,
    /// Requests for its first part asked for, or for any part of a single one, and the most parts met.
    asked: u32,
    parts: u32,
    /// Parents believed to hold it, and since when.
    held: [(ServerId, Micros); 2],
    /// Its first caches and parents in the hash, by the member list of this number.
    orders: [[ServerId; FEW]; 2],
    listed: [u32; 2],
}

impl Object {
    fn believe(&mut self, parent: ServerId, now: Micros) {
        let held = &mut self.held;
        let first = held[0].0 == parent || (held[1].0 != parent && held[0].1 <= held[1].1);
        held[usize::from(!first)] = (parent, now);
    }

    fn believed(&self, parent: ServerId, since: Micros, now: Micros) -> bool {
        self.held.iter().any(|h| h.1 > since && h.0 == parent && now.saturating_sub(h.1) <= BELIEF)
    }
}

#[derive(Default)]
struct Attempt {
    server: ServerId,
    source: Option<ServerId>,
    sent: Micros,
    out: bool,
    may_have_run: bool,
    /// Its source failed it, or has been silent since: another should fill the next attempt.
    source_bad: bool,
    /// Its answer may be lost: the same server may be asked while it is out.
    lost: bool,
    /// Its server is not to be asked again for this request.
    server_bad: bool,
    /// It ended in an error for which no fill is to blame.
    error: bool,
    /// What it asked for was not held where it looked.
    missed: bool,
    /// Work booked on cold servers, given back to the source when the outcome tells of a hit.
    booked: f64,
}

/// A request that is held, or whose attempts have not all ended.
#[derive(Default)]
struct Held {
    request: Request,
    attempts: Vec<Attempt>,
    work: f64,
    aim: Micros,
    /// Requests for the object and for all before this one, and how many parts share them.
    seen: (f64, f64),
    parts: f64,
    asked: u32,
    /// Most attempts, by the settings of its start.
    most: u32,
    over: bool,
    started: bool,
}

/// The server to ask, the source of a fill, and whether that gives only what it holds.
type Choice = (ServerId, Option<ServerId>, bool);

/// One gateway's decisions.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    random: u64,
    servers: BTreeMap<ServerId, Server>,
    /// The zone's running caches and all running parents, with their sizes, and the origin.
    caches: Vec<(ServerId, f64)>,
    parents: Vec<(ServerId, f64)>,
    /// The size of all caches and of all parents, and of the largest of each.
    weights: [f64; 2],
    largest: [f64; 2],
    origin: Option<ServerId>,
    /// Counts the member lists taken, which hash orders are remembered by.
    listed: u32,
    objects: GenerationalCache<Object, OBJECTS, GENERATION>,
    /// All requests lately.
    all: DecayingCounter,
    /// What the zone's caches' hits took.
    crowds: CongestionEstimator,
    paces: Vec<ServiceTime>,
    purges: PendingPurges,
    held: BTreeMap<RequestId, Held>,
    extra: f64,
    /// Share of our attempts lately whose answers were lost by caches that go on answering.
    lost: f64,
    relist_wait: Micros,
    /// Share of the largest class's requests that may be filled, by how the zone's link carries fills.
    admit: AdmittedShare,
    /// Share of the requests that may be fetched from the origin, by how it answers.
    fetch: AdmittedShare,
}

impl Router {
    /// A router with nothing but its settings; the member list comes as its first event.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let paces = settings.classes.iter().map(|_| FRESH).collect();
        let (random, extra) = (mix(seed, 1), EXTRA_SAVED / 2.0);
        Ok(Router { settings, random, paces, extra, relist_wait: RELIST, ..Router::default() })
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Members { kind, members } => self.members(now, kind, members, out),
            Event::Request(request) => self.request(now, request, out),
            Event::ResponseStarted { request, attempt } => self.started(request, attempt, out),
            Event::AttemptEnded(end) => self.ended(now, end, out),
            Event::ClientCancelled(id) => {
                self.held.entry(id).and_modify(|held| held.over = true);
                self.settle(id, None, out);
            }
            Event::Timer(token) => self.timer(now, token, out),
            Event::Purged { object, group, age } => {
                let at = now.saturating_sub(age);
                let until =
                    at.saturating_add(self.settings.purge_complete_within).saturating_add(PURGE_EXTRA);
                self.purges.add(
                    Purge { object: object.map(|o| o.0), group, purged_at: at, complete_at: until },
                    now,
                );
            }
            Event::HealthChecked { server, outcome, load_report: report, .. } => {
                self.probed(now, server, outcome, &report, out)
            }
            Event::Settings(settings) => {
                self.settings = *settings;
                self.paces.resize_with(self.settings.classes.len(), || FRESH);
            }
            Event::Message { .. } => {}
        }
    }

    /// Listed servers to which nothing goes now: those that drain, and those suspected.
    pub fn excluded_endpoints(&self) -> usize {
        let out =
            |s: &&Server| s.member.state == MemberState::Draining || s.running() && s.trial_at.is_some();
        self.servers.values().filter(out).count()
    }

    fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.random, 0)
    }

    // ---- the member list ----

    fn members(&mut self, now: Micros, kind: MemberUpdate, members: Vec<Member>, out: &mut Vec<Action>) {
        let routers = f64::from(self.settings.routers.max(1));
        match kind {
            MemberUpdate::Failed => {
                let at = now + self.relist_wait + self.draw() % self.relist_wait;
                self.relist_wait = (self.relist_wait * 2).min(RELIST * 16);
                out.push(Action::SetTimer { at, token: TIMER_RELIST });
                return;
            }
            MemberUpdate::Stale if self.settings.poll_members => out.push(Action::Subscribe),
            _ => self.relist_wait = RELIST,
        }
        if kind != MemberUpdate::Incremental {
            self.servers.values_mut().for_each(|s| s.member.state = MemberState::Gone);
        }
        for member in members {
            let start = -self.lump() * unit_interval(self.draw());
            match self.servers.get_mut(&member.server) {
                Some(known) => {
                    if member.started_at > known.member.started_at {
                        // A new process: what the old one did says nothing of it.
                        (known.strikes, known.trial_at, known.failed_fills) = (0.0, None, 0);
                        (known.cold_level, known.cold_at) = (start, now);
                        self.crowds.forget(member.server.0);
                    }
                    known.member = Member { size: known.member.size, ..member };
                }
                None => {
                    let origin = member.kind == self.settings.origin_kind;
                    let window = if origin { WINDOW_ORIGIN / routers } else { WINDOW_MOST };
                    let cold = Server { cold_level: start, cold_at: now, ..Server::default() };
                    self.servers.insert(member.server, Server { member, window, ..cold });
                }
            }
        }
        self.servers.retain(|_, s| s.member.state != MemberState::Gone || s.out + s.fills > 0);
        let (mut caches, mut parents, mut origin) = (Vec::new(), Vec::new(), None);
        for (id, s) in self.servers.iter().filter(|s| s.1.running()) {
            if self.is_parent(s) {
                parents.push((*id, self.size(s)));
            } else if s.member.kind == self.settings.origin_kind {
                origin = origin.or(Some(*id));
            } else if s.member.zone == self.settings.zone {
                caches.push((*id, self.size(s)));
            }
        }
        self.crowds.retain(|id| caches.binary_search_by_key(&id, |c| c.0 .0).is_ok());
        self.weights = [&caches, &parents].map(|role| role.iter().map(|r| r.1).sum());
        self.largest = [&caches, &parents].map(|role| role.iter().map(|r| r.1).fold(0.0, f64::max));
        (self.caches, self.parents, self.origin, self.listed) = (caches, parents, origin, self.listed + 1);
    }

    fn is_parent(&self, server: &Server) -> bool {
        Some(server.member.kind) == self.settings.parent_kind
    }

    fn size(&self, server: &Server) -> f64 {
        let told = Some(server.member.size).filter(|size| self.settings.sizes_known && *size > 0.0);
        told.unwrap_or(UNTOLD_SIZE)
    }

    /// The object's first servers of a role of those running, remembered with it until the list changes.
    fn hashed(&mut self, object: ObjectId, role: usize, now: Micros) -> Vec<ServerId> {
        let known = self.objects.entry(object.0, now);
        let listed = [&self.caches, &self.parents][role];
        if std::mem::replace(&mut known.listed[role], self.listed) != self.listed {
            known.orders[role] = first_few(object, listed, self.largest[role]);
        }
        known.orders[role][..listed.len().min(FEW)].to_vec()
    }

    // ---- health ----

    /// Whether a server may be used now. A suspected one is, for one trial request in a while.
    fn healthy(&self, id: ServerId, now: Micros) -> bool {
        self.servers.get(&id).is_some_and(|s| s.running() && s.trial_at.is_none_or(|at| at <= now))
    }

    /// A success proves that a server works.
    fn praise(&mut self, id: ServerId, now: Micros, out: &mut Vec<Action>) {
        if let Some(s) = self.servers.get_mut(&id) {
            s.last_ok = now;
            s.strikes = 0.0;
            if s.trial_at.take().is_some() {
                out.push(Action::Log(format!("server {} answers again", id.0)));
            }
        }
    }

    /// Strikes against a server; enough without a success in between make it suspected, ahead of the list.
    /// Trials, ever further apart, end chance failures in a row and keep a fleet off a lost one.
    fn blame(&mut self, id: ServerId, strikes: f64, now: Micros, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.strikes += strikes;
        if s.strikes < STRIKES {
            if self.settings.health_checks && s.running() && !std::mem::replace(&mut s.probing, true) {
                out.push(Action::HealthCheck(id));
            }
            return;
        }
        let new = s.trial_at.is_none();
        s.gap = if new { TRIAL_GAP } else { (2 * s.gap).min(TRIAL_MOST) };
        s.trial_at =
            Some(now + (s.gap as f64 * (0.5 + unit_interval(mix(self.random, id.0.into())))) as Micros);
        if new {
            out.push(Action::Log(format!("server {} suspected", id.0)));
            let stuck = |h: &&Held| {
                let out: Vec<_> = h.attempts.iter().filter(|a| a.out).collect();
                !h.over && !h.started && out.len() == 1 && out[0].server == id
            };
            let ids: Vec<RequestId> = self.held.values().filter(stuck).map(|h| h.request.id).collect();
            for id in ids {
                self.again(now, id, out);
            }
        }
    }

    /// A probe asked for at a first strike: where a gateway sends little, the next request is long in coming.
    /// An answer shows that the process runs: a late answer before it is no sign of silence.
    fn probed(&mut self, now: Micros, id: ServerId, outcome: Outcome, report: &[f64], out: &mut Vec<Action>) {
        self.link_told(id, report);
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.probing = false;
        match outcome {
            Outcome::Ok | Outcome::Rejected => s.last_ok = now,
            Outcome::ConnectError | Outcome::Reset => self.blame(id, STRIKES, now, out),
            _ => self.blame(id, STRIKES / 2.0, now, out),
        }
    }

    /// Mean sending time of the largest class: what one turn at a cold server is good for.
    fn lump(&self) -> f64 {
        self.paces.iter().map(|p| p.transfer_time).fold(1.0, f64::max)
    }

    /// Takes `work` from what a server that started lately may be asked for by this gateway: its share of a
    /// budget that stays well under the fall over any window. All that is sent counts. Among many gateways a
    /// share is less than one transfer: each then has turns at whole ones, paid off before its next, and the
    /// first turn comes at a time of its own.
    fn cold_take(&mut self, id: ServerId, work: f64, now: Micros, spend: bool) -> bool {
        let Some(s) = self.servers.get(&id) else { return false };
        let (rule, sharers) = if self.is_parent(s) {
            (self.settings.parent_slow_start, self.settings.routers)
        } else {
            let here = self.settings.routers_by_zone.get(s.member.zone).copied().unwrap_or(0);
            (self.settings.cache_slow_start, if here > 0 { here } else { self.settings.routers })
        };
        let age = now.saturating_sub(s.member.started_at);
        if s.member.started_at == 0 || age >= rule.warm_up_time || s.member.kind == self.settings.origin_kind
        {
            return true;
        }
        let warm = rule.initial_capacity_share
            + (1.0 - rule.initial_capacity_share) * age as f64 / rule.warm_up_time as f64;
        let lump = self.lump();
        let limit = self.size(s) * warm * rule.overload_multiple * rule.overload_window as f64;
        let lumps = limit / lump;
        let safe = ((lumps + COLD_SPREAD * COLD_SPREAD / 4.0).sqrt() - COLD_SPREAD / 2.0).powi(2) / lumps;
        let share = limit / f64::from(sharers.max(1));
        let rate = share * safe.min(COLD_USE) / rule.overload_window as f64;
        let room = share * (1.0 - COLD_USE) * COLD_BURST;
        let Some(s) = self.servers.get_mut(&id) else { return false };
        s.cold_level = (s.cold_level + rate * now.saturating_sub(s.cold_at) as f64).min(room);
        s.cold_at = now;
        let enough = s.cold_level >= 0.0 && work <= limit * COLD_LARGEST;
        s.cold_level -= if enough && spend { work } else { 0.0 };
        enough
    }

    /// Whether a further attempt at this server can do no harm.
    fn may_send(&self, held: &Held, id: ServerId, now: Micros) -> bool {
        if !self.settings.hedging && held.attempts.iter().any(|a| a.out) {
            return false;
        }
        if held.most > 0 && held.attempts.len() >= held.most as usize {
            return false;
        }
        let mut ran = held.attempts.iter().filter(|a| a.may_have_run);
        match self.settings.classes[held.request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::AtMostOnce => ran.next().is_none(),
            Idempotency::IdempotencyKey { scope, window } => ran.all(|a| {
                let place = |id| self.servers.get(&id).map(|s| (s.member.zone, s.member.cell));
                let near = place(a.server)
                    .zip(place(id))
                    .is_some_and(|(a, b)| a.0 == b.0 && (scope == KeyScope::Zone || a.1 == b.1));
                now.saturating_sub(a.sent) < window && (scope == KeyScope::All || near)
            }),
        }
    }

    /// Whether a refusal, which promises that a new try does no harm, would be true.
    fn may_refuse(&self, held: &Held) -> bool {
        match self.settings.classes[held.request.class].idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. } => true,
            _ => held.attempts.iter().all(|a| !a.may_have_run),
        }
    }

    /// The final answer of a request that is given up, at once and with advice on when to come back.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let advice = ADVICE + self.draw() % ADVICE;
        let Some(held) = self.held.get(&id) else { return };
        let settings = &self.settings;
        let retry_after = if settings.retry_after { advice.min(settings.max_retry_after) } else { 0 };
        out.push(if self.may_refuse(held) {
            Action::Reject { request: id, retry_after }
        } else {
            Action::Fail(id)
        });
        self.held.entry(id).and_modify(|held| held.over = true);
        self.settle(id, None, out);
    }

    /// Calls off what is still out for a request that is over and forgets it once all has ended.
    fn settle(&mut self, id: RequestId, keep: Option<u32>, out: &mut Vec<Action>) {
        let Some(held) = self.held.get(&id) else { return };
        for (n, attempt) in held.attempts.iter().enumerate() {
            if attempt.out && self.settings.can_cancel && keep != Some(n as u32) {
                out.push(Action::Cancel { request: id, attempt: n as u32 });
            }
        }
        if held.over && held.attempts.iter().all(|a| !a.out) {
            self.held.remove(&id);
        }
    }

    // ---- requests ----

    fn request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(request.class) else {
            out.push(Action::Fail(request.id));
            return;
        };
        let (aim, stretch) = (class.latency_objective, class.objective_stretch);
        let object = self.objects.entry(request.object.0, now);
        // Without this one: it comes because it is asked for, and says nothing of how often others are.
        let seen = (object.count.value(now, FADE), self.all.value(now, FADE));
        let _counted = (object.count.add(now, 1.0, FADE), self.all.add(now, 1.0, FADE));
        object.parts = object.parts.max(request.part.saturating_add(1));
        object.asked += u32::from(request.part == 0 && !request.is_retry && object.asked < u32::MAX);
        let (asked, parts) = (object.asked, f64::from(object.parts));
        let pace = &mut self.paces[request.class];
        let told = request.size_kb / self.settings.transfer_kb_per_s * 1e6;
        let work = if told > 0.0 && told.is_finite() {
            pace.record_known_size(told, BLEND)
        } else {
            pace.transfer_time
        };
        let aim = now.saturating_add(aim).saturating_add((stretch * work) as Micros).min(request.deadline);
        self.extra = (self.extra + EXTRA_EARN + self.lost).min(EXTRA_SAVED);
        let (id, deadline, most) = (request.id, request.deadline, self.settings.max_attempts);
        let held = Held { request, work, aim, seen, parts, asked, most, ..Held::default() };
        self.held.insert(id, held);
        if deadline.saturating_sub(now) <= TOO_LATE || !self.send(now, id, out) {
            self.give_up(id, out);
        } else {
            out.push(Action::SetTimer { at: deadline, token: TIMER_DEADLINE | TimerToken::from(id.0) });
        }
    }

    /// Picks the cache: the part's first among the object's three. A hot object's is the less busy of two
    /// drawn from as many of them as its share asks for, so that the fleet spreads it right though no
    /// gateway can be sure. Suspected, busy, tried or too cold ones are passed over.
    fn pick_cache(&mut self, now: Micros, held: &Held) -> Option<ServerId> {
        let (object, class_work) = (held.request.object, self.paces[held.request.class].transfer_time);
        let mut usable = self.hashed(object, CACHES, now);
        let few = usable.len().min(SPREAD);
        let part = u64::from(held.request.part) + 1;
        usable[..few].sort_by_key(|id| mix(object.0 ^ u64::from(id.0), part));
        usable.retain(|id| {
            let new = self.servers[id].busy_until <= now
                && held.attempts.iter().all(|a| a.server != *id || !(a.out && !a.lost || a.server_bad));
            new && self.healthy(*id, now)
                && self.may_send(held, *id, now)
                && self.cold_take(*id, class_work, now, false)
        });
        let first = *usable.first()?;
        let wants = self.wants(held, first, self.weights[0]);
        let draws = if wants > 1.0 { self.draw() } else { 0 };
        let width = stochastic_round(wants, usable.len().min(SPREAD), unit_interval(draws));
        if width > 1 {
            let one = (draws >> 8) as usize % width;
            let two = (one + 1 + (draws >> 16) as usize % (width - 1)) % width;
            // Where we have nothing out, as among many gateways, the one that got less of us lately.
            let tally = |id: ServerId| (self.load(id), self.asks(id, now, 0.0));
            let less = tally(usable[two]) < tally(usable[one]);
            usable[..=if less { two } else { one }].rotate_right(1);
        }
        if held.attempts.is_empty() {
            // The same objects at every gateway, each to the next in its own order.
            let over = excess_share(self.asks(first, now, held.seen.0), BOUND);
            let over = width == 1 && unit_interval(mix(object.0, !u64::from(first.0))) < over;
            let count =
                |s: &mut Server| if width > 1 { &mut s.hot } else { &mut s.first }.add(now, 1.0, FADE);
            self.servers.get_mut(&usable[0]).map(count);
            let next = (1..usable.len()).find(|n| over && self.asks(usable[*n], now, 0.0) <= BOUND);
            usable[..=next.unwrap_or(0)].rotate_right(1);
        }
        // Guards against refusing while one cache has more than its part and others have room.
        let in_time = |id: &ServerId| !held.attempts.is_empty() || !self.too_slow(now, held, *id);
        usable.iter().copied().find(in_time).or(usable.first().copied())
    }

    /// How many servers of a role one part of an object asks for: one for each `HOT_PART` of a fair share.
    fn wants(&self, held: &Held, id: ServerId, weight: f64) -> f64 {
        let part = HOT_PART * self.size(&self.servers[&id]) / weight;
        let usual = GammaPrior::new(USUAL.min(part / 2.0), SURE * part);
        usual.posterior(held.seen.0, held.seen.1).mean / held.parts / part
    }

    /// What objects ask of a cache over its fair share, as estimated, but for one's own.
    fn asks(&self, id: ServerId, now: Micros, own: f64) -> f64 {
        let Some(s) = self.servers.get(&id) else { return 0.0 };
        let (all, part) = (self.all.value(now, FADE), self.size(s) / self.weights[0]);
        let others = FAIR.posterior((s.first.value(now, FADE) - own).max(0.0), all * part).mean;
        others + s.hot.value(now, FADE) / ((all + 2.0 * SURE) * part)
    }

    /// Our transfers under way at a cache over its link, as if the zone's other gateways sent as much.
    fn load(&self, id: ServerId) -> f64 {
        let Some(s) = self.servers.get(&id) else { return 0.0 };
        let here = self.settings.routers_by_zone.get(s.member.zone).copied().unwrap_or(1).max(1);
        f64::from(s.out) * f64::from(here) / self.size(s)
    }

    /// How many times as long as at full pace a cache takes to send, by our transfers there and what hits
    /// took lately. Guards against one that answers all and sends slowly.
    fn crowd(&self, id: ServerId) -> f64 {
        let (load, times) = (self.load(id), self.crowds.relative_to_quickest(id.0));
        times.filter(|times| *times >= LIMPS).map_or(load, |times| times * load.max(1.0))
    }

    /// Picks the source of a fill: the first of the object's pair, or the second where the design says so.
    /// The next in the hash takes the place of a member that can't be used; the origin is last.
    fn pick_source(&mut self, now: Micros, held: &Held) -> Option<ServerId> {
        let object = held.request.object;
        if self.settings.classes[held.request.class].write {
            return self.origin;
        }
        let mut order = self.hashed(object, PARENTS, now);
        if let [first, second, ..] = order[..] {
            let since = self.servers[&second].member.started_at;
            let open = self.wants(held, first, self.weights[1]) >= 1.0
                || self.objects.entry(object.0, now).believed(second, since, now);
            let tally = |id: &ServerId| f64::from(self.servers[id].fills + self.servers[id].failed_fills);
            if open && tally(&first) > MARGIN * tally(&second) {
                order.swap(0, 1);
            }
        }
        // Past the windows of both the origin is asked, not a third: it would have to fetch the same anew.
        let fresh = |id: &ServerId| held.attempts.iter().all(|a| a.source != Some(*id) || !a.source_bad);
        order.retain(|id| fresh(id) && self.healthy(*id, now) && self.cold_take(*id, held.work, now, false));
        order.truncate(2);
        order.extend(self.origin.filter(|o| fresh(o) && self.healthy(*o, now)));
        order.into_iter().find(|id| self.room(*id, now))
    }

    /// A parent without room may still be asked for what it holds: that asks nothing of the origin.
    fn pick_held(&mut self, now: Micros, held: &Held) -> Option<ServerId> {
        let first = *self.hashed(held.request.object, PARENTS, now).first()?;
        let class = &self.settings.classes[held.request.class];
        let fits = !class.write && held.attempts.is_empty() && self.servers[&first].busy_until <= now;
        (fits && self.healthy(first, now) && self.cold_take(first, held.work, now, false)).then_some(first)
    }

    /// Whether a source has room for one more of our fills. The window's fraction is drawn for: among many
    /// gateways one fill each may be too much.
    fn room(&mut self, id: ServerId, now: Micros) -> bool {
        let part = unit_interval(self.draw());
        self.servers.get(&id).is_some_and(|s| s.busy_until <= now && f64::from(s.fills) + part < s.window)
    }

    /// Narrows a source's window when too many of its fills are late or fail; success widens it. Guards
    /// against a source swamped from elsewhere, which our tally can't see, and the origin against its fall.
    fn fill_ended(&mut self, source: Option<ServerId>, failed: bool, slow: bool) {
        let Some(s) = source.and_then(|s| self.servers.get_mut(&s)) else { return };
        let bad = failed || slow;
        s.failed_fills = if failed { s.failed_fills + 1 } else { 0 };
        s.slow += SLOW_BLEND * (f64::from(u8::from(bad)) - s.slow);
        if !bad {
            s.window = (s.window + WINDOW_GROW * s.window.min(1.0)).min(WINDOW_MOST);
        } else if s.slow > SLOW_SHARE {
            s.window = (s.window.min(f64::from(s.fills + 1)) * WINDOW_CUT).max(WINDOW_LEAST);
        }
    }

    /// What a fill's end tells of the zone's link: its bytes came slowly or not at all, or found no place;
    /// and of the origin, which all parents fetch from: it was waited for too long, or turned the fetch away.
    fn admit_by(&mut self, end: &AttemptEnd, class: usize, work: f64, late: bool, at_origin: bool) {
        let slow = end.elapsed.saturating_sub(end.source_wait) as f64 > ADMIT_SLOW * (work + HIT_EXTRA);
        let swamped = !self.fetch.is_full();
        let (link, origin) = match (end.outcome, end.cache_status) {
            _ if self.settings.classes[class].write => return,
            (Outcome::Ok, CacheStatus::Filled) => (Some(slow), None),
            (Outcome::Ok, CacheStatus::FilledFromOrigin) => {
                (Some(slow), Some(late && end.source_wait > end.elapsed / 2))
            }
            (Outcome::Rejected, CacheStatus::FillLimitReached) => (Some(true), None),
            (Outcome::Rejected, CacheStatus::OriginFailed) => (None, Some(true)),
            (Outcome::Rejected, CacheStatus::SourceRejected) if at_origin => (None, Some(true)),
            // Which of the two held it up is not told: it counts against an origin known to be swamped.
            (Outcome::Cancelled | Outcome::TimedOut, _) if late => (Some(true), swamped.then_some(true)),
            _ => return,
        };
        link.into_iter().for_each(|crowded| self.admit.observe(crowded, ADMISSION));
        origin.into_iter().for_each(|crowded| self.fetch.observe(crowded, ADMISSION));
    }

    /// A cache's report of the zone's link, over which its fills and all others' come: it tells at once what
    /// their ends tell late.
    fn link_told(&mut self, cache: ServerId, report: &[f64]) {
        let place = self.settings.load_report.iter().position(|name| name == "x1");
        let ours = self.caches.binary_search_by_key(&cache, |c| c.0).is_ok();
        if let Some(times) = place.and_then(|n| report.get(n)).filter(|_| ours) {
            let pull = (LINK_FULL / times.max(LINK_FULL / 2.0)).powf(LINK_PULL);
            self.admit.scale(pull, ADMISSION);
        }
    }

    /// Sends an attempt for a request, if there is any way to.
    fn send(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(mut held) = self.held.remove(&id) else { return false };
        let choice = self.choose(now, &held);
        if let Some(choice @ (server, source, _)) = choice {
            let fill = self.fill(now, &held, choice);
            let direct = source == Some(server);
            let mut booked = 0.0;
            let asked = if direct { held.work } else { self.paces[held.request.class].transfer_time };
            self.cold_take(server, asked, now, true);
            if let Some(s) = self.servers.get_mut(&server) {
                s.out += 1;
                s.trial_at = s.trial_at.map(|_| now + s.gap);
            }
            if let Some(source) = source.filter(|_| !direct) {
                self.cold_take(source, held.work, now, true);
                booked = held.work;
            }
            if let Some(s) = source.and_then(|s| self.servers.get_mut(&s)) {
                s.fills += 1;
                s.trial_at = s.trial_at.map(|_| now + s.gap);
            }
            let ran = Attempt { out: true, may_have_run: true, ..Attempt::default() };
            held.attempts.push(Attempt { server, source, sent: now, booked, ..ran });
            let late = now + (LATE * held.aim.saturating_sub(now) as f64) as Micros;
            out.push(Action::SetTimer { at: late, token: TIMER_LATE | TimerToken::from(id.0) });
            out.push(Action::Attempt { request: id, server, timeout: 0, fill });
        }
        self.held.insert(id, held);
        choice.is_some()
    }

    /// What the attempt says of a fill: its source, what is kept, and the oldest copy that will do.
    fn fill(&self, now: Micros, held: &Held, (server, source, held_only): Choice) -> Option<Fill> {
        let class = &self.settings.classes[held.request.class];
        if class.write && source.is_none() {
            return None;
        }
        let passing = class.write || source == Some(server);
        // Stale if error: without a source, or after one failed, a copy within its grace beats no answer.
        let bereft =
            class.freshness_lifetime > 0 && (source.is_none() || held.attempts.iter().any(|a| a.source_bad));
        let limit = if bereft {
            class.freshness_lifetime.saturating_add(class.stale_grace)
        } else {
            class.freshness_lifetime
        };
        let purged = self.purges.max_age(held.request.object.0, held.request.group, now);
        Some(Fill {
            source: source.unwrap_or(server),
            cache_rank: if passing { 0 } else { 1 + u8::from(held.asked > 1) },
            max_age: purged.map_or(limit, |age| if limit > 0 { age.min(limit) } else { age }),
            collapse: self.settings.request_collapsing && purged.is_none() && !passing,
            only_if_cached: held_only && source.is_some(),
            revalidate: class.freshness_lifetime > 0 && held.asked > 1 && !passing,
        })
    }

    fn choose(&mut self, now: Micros, held: &Held) -> Option<Choice> {
        let write = self.settings.classes[held.request.class].write;
        if write && self.settings.direct_requests {
            let new =
                |o: &ServerId| held.attempts.iter().all(|a| a.server != *o) && self.may_send(held, *o, now);
            if let Some(origin) = self.origin.filter(new) {
                return Some((origin, None, false));
            }
        }
        if let Some(cache) = self.pick_cache(now, held) {
            if held.attempts.is_empty() && self.too_slow(now, held, cache) {
                return None;
            }
            // Guards the zone's link, which all fills share. Classes that take little of it go on longest;
            // within a class no size goes before another.
            let heavy = self.paces[held.request.class].transfer_time / self.lump();
            // A write is kept nowhere: without a source it is sent for nothing.
            let admitted = write || unit_interval(self.draw()) <= self.admit.value().powf(heavy);
            let fetched = write
                || admitted && (self.fetch.is_full() || unit_interval(self.draw()) <= self.fetch.value());
            let source = if fetched { self.pick_source(now, held) } else { None };
            // Without a source it is looked for at two caches: parts and hot objects lie at several.
            let (held_only, missed) = (source.is_none(), held.attempts.iter().filter(|a| a.missed).count());
            let parent = source.or_else(|| self.pick_held(now, held).filter(|_| admitted));
            return (!held_only || missed < 2).then_some((cache, parent, held_only));
        }
        // No cache of the zone can be used: go straight to the source.
        if !self.settings.direct_requests {
            return None;
        }
        let source = self.pick_source(now, held).filter(|s| self.may_send(held, *s, now))?;
        Some((source, Some(source), false))
    }

    /// Whether an answer from this cache would come too late to be of much worth, by what we have there.
    fn too_slow(&self, now: Micros, held: &Held, cache: ServerId) -> bool {
        let (pace, load) = (&self.paces[held.request.class], self.crowd(cache));
        let left = held.aim.saturating_sub(now) as f64;
        // While nothing is crowded a refusal spares nobody: only what can't be sent in time is turned away.
        if load <= 1.0 {
            return held.work > left;
        }
        pace.overhead.min(held.work) + held.work * load > SHED * left
    }

    /// A further attempt beside or after the earlier ones, within the budget.
    fn again(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(held) = self.held.get(&id) else { return false };
        if self.extra < 1.0 || now as f64 + held.work > held.request.deadline as f64 {
            return false;
        }
        let sent = self.send(now, id, out);
        self.extra -= f64::from(u8::from(sent));
        sent
    }

    // ---- what comes of attempts ----

    fn started(&mut self, id: RequestId, attempt: u32, out: &mut Vec<Action>) {
        self.held.entry(id).and_modify(|held| held.started = true);
        self.settle(id, Some(attempt), out);
    }

    fn ended(&mut self, now: Micros, end: AttemptEnd, out: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(&end.request) else { return };
        let Some(attempt) = held.attempts.get_mut(end.attempt as usize).filter(|a| a.out) else { return };
        attempt.out = false;
        attempt.may_have_run = !end.outcome.never_ran();
        // Guards against requests that no server can use: were their errors put down to the sources, a few
        // bad clients would close the windows of them all.
        let unasked = self.settings.cache_status_level == CacheStatusLevel::All
            && end.cache_status == CacheStatus::Unknown
            && end.elapsed < QUICK_ERROR;
        attempt.error = end.outcome == Outcome::Failed && unasked;
        let error = attempt.error;
        attempt.missed = end.outcome == Outcome::Miss;
        attempt.source_bad =
            !error && matches!(end.outcome, Outcome::Rejected | Outcome::Failed | Outcome::TimedOut);
        // A connection that broke on a server that goes on answering, or a fill that its source failed, is no
        // reason to leave the cache: another would fill the same bytes again over the zone's link.
        let alive = self.servers.get(&attempt.server).is_some_and(|s| s.last_ok >= attempt.sent);
        attempt.server_bad = match end.outcome {
            Outcome::Reset => !alive,
            Outcome::Failed => error || attempt.source.is_none() || attempt.source == Some(attempt.server),
            _ => true,
        };
        let (server, source, sent, booked) = (attempt.server, attempt.source, attempt.sent, attempt.booked);
        let (work, class, object) = (held.work, held.request.class, held.request.object);
        held.over |= end.request_finished;
        let over = held.over;
        let slow = end.elapsed as f64 > SLOW_FILL * held.aim.saturating_sub(sent) as f64;
        let idle = held.attempts.iter().all(|a| !a.out);
        let hopeless = held.attempts.iter().filter(|a| a.error).count() >= ERRORS;
        let direct = source == Some(server);
        self.servers.entry(server).and_modify(|s| s.out = s.out.saturating_sub(1));
        source.map(|id| self.servers.entry(id).and_modify(|s| s.fills = s.fills.saturating_sub(1)));
        let broke = self.servers.get_mut(&server).filter(|_| end.outcome == Outcome::Reset);
        let one_break = broke.is_some_and(|s| {
            let before = std::mem::replace(&mut s.broke_at, now);
            before > 0 && now.saturating_sub(before) < ONE_BREAK
        });
        let mislaid = alive && matches!(end.outcome, Outcome::Reset | Outcome::TimedOut);
        if mislaid || end.outcome == Outcome::Ok {
            self.lost += BLEND * (f64::from(u8::from(mislaid)) - self.lost);
        }
        let filled = match end.cache_status {
            CacheStatus::Filled | CacheStatus::FilledFromOrigin => true,
            CacheStatus::Unknown => self.settings.cache_status_level == CacheStatusLevel::None,
            _ => direct,
        };
        self.admit_by(&end, class, work, slow && source.is_some(), source == self.origin);
        match end.outcome {
            Outcome::Ok => {
                self.praise(server, now, out);
                if let Some(source) = source.filter(|_| filled) {
                    self.praise(source, now, out);
                    self.objects.entry(object.0, now).believe(source, now);
                    self.fill_ended(Some(source), false, slow);
                } else if let Some(s) = source.and_then(|s| self.servers.get_mut(&s)) {
                    s.cold_level += booked; // a hit: the source was not asked
                }
                self.paces[class].record_response(end.elapsed as f64, work, BLEND);
                if end.cache_status == CacheStatus::Hit
                    && self.caches.binary_search_by_key(&server, |c| c.0).is_ok()
                {
                    self.crowds.record(server.0, end.elapsed as f64, work + HIT_EXTRA, HIT_BLEND);
                }
            }
            Outcome::Rejected if end.cache_status != CacheStatus::SourceUnreachable => {
                let told =
                    matches!(end.cache_status, CacheStatus::SourceRejected | CacheStatus::OriginFailed);
                let untold =
                    self.settings.cache_status_level != CacheStatusLevel::All && self.load(server) < ROOMY;
                let at_source = source.is_some() && !direct && (told || untold);
                let whose = source.filter(|_| at_source).unwrap_or(server);
                self.servers.entry(whose).and_modify(|s| s.busy_until = now + BUSY);
                // A sign of life: were a parent suspected for it, others would fetch its objects anew.
                self.fill_ended(source.filter(|_| at_source), true, true);
            }
            Outcome::ConnectError | Outcome::Reset if alive || one_break => {}
            Outcome::Failed if error => self.blame(server, ERROR_STRIKE, now, out),
            Outcome::ConnectError | Outcome::Reset => self.blame(server, HARD_STRIKE, now, out),
            Outcome::Failed | Outcome::TimedOut | Outcome::Rejected => {
                let guilty = match end.cache_status {
                    CacheStatus::SourceRejected | CacheStatus::SourceUnreachable => source,
                    CacheStatus::FillLimitReached | CacheStatus::OriginFailed => None,
                    _ if mislaid && self.lost > LOSSY => None,
                    _ if end.outcome == Outcome::Failed || alive => source.or(Some(server)),
                    _ => Some(server),
                };
                self.fill_ended(guilty.filter(|_| guilty == source), true, true);
                if let Some(guilty) = guilty {
                    self.blame(guilty, 1.0, now, out);
                }
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::Miss => {}
        }
        if over {
            self.settle(end.request, None, out);
        } else if idle && (hopeless || !self.again(now, end.request, out)) {
            self.give_up(end.request, out);
        }
    }

    fn timer(&mut self, now: Micros, token: TimerToken, out: &mut Vec<Action>) {
        let id = RequestId(token as u64);
        match token - TimerToken::from(id.0) {
            TIMER_DEADLINE => {
                let open = self.held.get(&id).is_some_and(|h| !h.over && !h.started);
                open.then(|| self.give_up(id, out));
            }
            TIMER_LATE => self.late(now, id, out),
            TIMER_RELIST if self.settings.poll_members => out.push(Action::Subscribe),
            TIMER_RELIST => out.push(Action::FetchMembers),
            _ => {}
        }
    }

    /// An answer is late. A cache or source silent since the send is blamed; once it is suspected, others are
    /// asked. Where both go on answering, and answers are lost at large, the same cache is asked again, if it
    /// can join a fill: the work was done. Else another fill of the same bytes would only be one more.
    fn late(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(&id).filter(|h| !h.over && !h.started) else {
            return;
        };
        let alone = held.attempts.len() == 1;
        let Some(last) = held.attempts.last_mut().filter(|a| a.out) else { return };
        let (server, source, sent) = (last.server, last.source, last.sent);
        let silent = |s: &ServerId| self.servers.get(s).is_some_and(|s| s.last_ok < sent);
        let guilty = if silent(&server) { Some(server) } else { source.filter(silent) };
        last.source_bad = guilty.is_some() && source == guilty;
        last.lost = guilty.is_none() && alone && self.settings.request_collapsing && self.lost > LOSSY;
        let lost = last.lost;
        if let Some(guilty) = guilty {
            // Where a gateway sends little, every late answer finds a server silent: a probe tells more.
            self.blame(guilty, if self.settings.health_checks { 0.0 } else { 1.0 }, now, out);
        } else if lost {
            self.again(now, id, out);
        }
    }
}
