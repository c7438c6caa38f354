//! An open-loop load over HTTP: arrivals are drawn ahead and wait for no answer, latency counts from the
//! intended start, and what comes back is held against the rules.

mod http;

use crate::load::disconnects::{Disconnect, DisconnectKind, Disconnects};
pub use crate::load::trace::object;
use crate::scenarios::scenario::{FaultKind, RequestClass, RuleBreach, Scenario};
use crate::servers::emulated::unix_ms;
use crate::servers::model::size_kb;
use http::{exchange, request_head};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// A request, drawn ahead.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Seconds after the load's start; below 0 while the fleet settles.
    pub at: f64,
    /// The director's number, from 0.
    pub director: usize,
    /// The class's place in the scenario.
    pub class: usize,
    /// The object's number, from 1.
    pub object: u64,
    /// When its client leaves; none: it stays.
    pub leave: Option<Disconnect>,
}

/// What a fault makes of the load while it lasts, from `at` for `lasts` seconds.
fn during(scenario: &Scenario, what: FaultKind, at: f64) -> Option<&crate::scenarios::scenario::Fault> {
    let holds = |f: &&crate::scenarios::scenario::Fault| {
        f.kind == what && at >= f.at && f.lasts.is_none_or(|lasts| at < f.at + lasts)
    };
    scenario.faults.iter().filter(holds).max_by(|a, b| a.at.total_cmp(&b.at))
}

/// Draws all arrivals of a run, from `settle` seconds before its start.
pub fn draw(scenario: &Scenario, settle: f64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(scenario.seed);
    let (Ok(popular), Ok(gap)) = (Zipf::new(scenario.objects as f64, scenario.zipf), Exp::new(scenario.rate))
    else {
        return Vec::new(); // a plan that was checked has good laws
    };
    let shares: f64 = scenario.classes.iter().map(|c| c.share).sum();
    // This part of the directors sees several times what the others see.
    let busy = (scenario.often_part * scenario.directors as f64).round() as usize;
    let weight = busy as f64 * scenario.often + (scenario.directors - busy) as f64;
    let (mut at, mut arrivals, mut leaves) = (-settle, Vec::new(), Disconnects::new(scenario));
    loop {
        let times = during(scenario, FaultKind::Burst, at).map_or(1.0, |f| f.times.max(0.01));
        at += gap.sample(&mut random) / times;
        if at >= scenario.seconds {
            return arrivals;
        }
        let mut left = random.random::<f64>() * weight;
        let director = if left < busy as f64 * scenario.often {
            (left / scenario.often) as usize
        } else {
            left -= busy as f64 * scenario.often;
            busy + left as usize
        };
        let mut drawn = random.random::<f64>() * shares;
        let class = scenario.classes.iter().position(|c| {
            drawn -= c.share;
            drawn < 0.0
        });
        let rank = popular.sample(&mut random) as u64;
        let hot = during(scenario, FaultKind::Hot, at).filter(|f| random.random::<f64>() < f.share);
        arrivals.push(Arrival {
            at,
            director: director.min(scenario.directors - 1),
            class: class.unwrap_or(0),
            object: hot.map_or(rank, |f| f.object),
            leave: leaves.draw(),
        });
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// With the bytes.
    Served,
    /// Turned away.
    Refused,
    /// Any other answer.
    Failed,
    /// Its client left before it had an answer.
    Left,
    /// Its director was killed or stopped under it.
    Cut,
    /// Its director was not there.
    Unreached,
    /// A rule is broken: no answer in time, or one that can't be read.
    Lost,
}

/// A request that has ended.
#[derive(Clone, Debug, Serialize)]
pub struct RequestRecord {
    /// Seconds after the load's start at which it was to start.
    pub at: f64,
    /// Milliseconds from then to the end of the answer.
    pub took: f64,
    /// How it ended.
    pub end: End,
    /// The class's place.
    pub class: usize,
    /// The director's number.
    pub director: usize,
    /// Whether it was served within its aim.
    pub in_time: bool,
}

/// A purge that clients know of.
#[derive(Clone, Debug)]
pub struct PurgeRecord {
    /// An object; none: these groups.
    pub object: Option<String>,
    /// Groups that are purged whole.
    pub groups: Vec<u32>,
    /// Unix milliseconds.
    pub ms: u64,
}

impl PurgeRecord {
    fn names(&self, object: &str) -> bool {
        self.object
            .as_ref()
            .map_or_else(|| self.groups.contains(&crate::servers::model::group(object)), |o| o == object)
    }
}

/// One director as its clients see it.
#[derive(Default)]
pub struct DirectorTarget {
    /// Where it listens; empty: nowhere now.
    pub address: RefCell<String>,
    /// Killed, stopped or started again at these moments: what was open then may be cut.
    pub disturbed: RefCell<Vec<Instant>>,
    /// It is stopped.
    pub stopped: Cell<bool>,
    /// It may hear of purges late: its link to the discovery service was faulty, or it was stopped.
    pub hears_late: Cell<bool>,
    idle: RefCell<Vec<TcpStream>>,
}

impl DirectorTarget {
    /// Whether the director was killed, stopped or started within [`DISTURBANCE_MARGIN`] before a moment, or since.
    fn was_disturbed(&self, begun: Instant) -> bool {
        let since = begun - DISTURBANCE_MARGIN;
        self.stopped.get() || self.disturbed.borrow().iter().any(|at| *at >= since)
    }
}

/// All that was asked and came of it.
#[derive(Default)]
pub struct RequestLog {
    /// Requests that have ended.
    pub ended: Vec<RequestRecord>,
    /// Broken rules, each in a line.
    pub breaches: Vec<String>,
    /// When clients left, in Unix milliseconds, by the ids of their requests.
    pub left: HashMap<String, u64>,
    /// Purges so far.
    pub purges: Vec<PurgeRecord>,
    /// Requests under way.
    pub open: usize,
    /// By tenth of a second from the settling's start: the most under way.
    pub in_flight: Vec<usize>,
}

/// The clients of a run.
pub struct Clients {
    scenario: Scenario,
    /// By director.
    pub doors: Vec<Rc<DirectorTarget>>,
    /// What came of it.
    pub book: Rc<RefCell<RequestLog>>,
}

impl Clients {
    /// Clients of so many directors.
    pub fn new(scenario: &Scenario) -> Clients {
        let doors = (0..scenario.directors).map(|_| Rc::default()).collect();
        Clients { scenario: scenario.clone(), doors, book: Rc::default() }
    }

    /// Sends all arrivals at their times; `zero` is the load's start.
    pub async fn run(self: Rc<Self>, arrivals: Vec<Arrival>, zero: Instant, settle: f64) {
        let mut tasks = tokio::task::JoinSet::new();
        for (n, arrival) in arrivals.into_iter().enumerate() {
            let due = if arrival.at >= 0.0 {
                zero + Duration::from_secs_f64(arrival.at)
            } else {
                zero - Duration::from_secs_f64(-arrival.at)
            };
            tokio::time::sleep_until(due.into()).await;
            let (clients, plan_at) = (Rc::clone(&self), arrival.at);
            let bin = ((plan_at + settle) * 10.0).max(0.0) as usize;
            {
                let mut book = self.book.borrow_mut();
                book.open += 1;
                if book.in_flight.len() <= bin {
                    book.in_flight.resize(bin + 1, 0);
                }
                let open = book.open;
                book.in_flight[bin] = book.in_flight[bin].max(open);
            }
            tasks.spawn_local(async move { clients.one(n as u64 + 1, &arrival, due).await });
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn one(&self, number: u64, arrival: &Arrival, due: Instant) {
        let class = &self.scenario.classes[arrival.class];
        let target = &self.doors[arrival.director];
        let object = object(arrival.object);
        let kb = size_kb(&object, class.work_ms / 1e3 * TRANSFER_KB_PER_S);
        let head = request_head(number, class, &object, kb);
        let who = format!("director-{}", arrival.director + 1);
        let planted = self.scenario.is_planted(RuleBreach::AskedAfterLeave, &who, arrival.at);
        if planted && arrival.leave.is_some() {
            self.record_disconnect(number);
            tokio::time::sleep(PLANTED_LATE).await;
        }
        let (begun, sent_ms) = (Instant::now(), unix_ms());
        let leave = arrival.leave.filter(|_| !planted);
        let patience = Duration::from_secs_f64(class.deadline_ms / 1e3 + 0.25);
        let answer = tokio::select! {
            answer = tokio::time::timeout(patience, self.send(target, &head, leave)) => answer,
            () = leaves(leave) => Ok(Exchange::Left),
        };
        if matches!(answer, Ok(Exchange::Left)) {
            // The connection has been dropped with what asked on it.
            self.record_disconnect(number);
        }
        let took = due.elapsed().as_secs_f64() * 1e3;
        let (end, breach) = match answer {
            Ok(Exchange::Answer(200, body)) => {
                (End::Served, self.check_body(target, class, &object, &body, sent_ms))
            }
            Ok(Exchange::Answer(429 | 503, _)) => (End::Refused, None),
            Ok(Exchange::Answer(..)) => (End::Failed, None),
            Ok(Exchange::Unreached) => (End::Unreached, None),
            Ok(Exchange::Left) => (End::Left, None),
            // A director that was stopped answers late what it had taken: counted as cut, not as lost.
            Ok(Exchange::Broken) | Err(_) if target.was_disturbed(begun) => (End::Cut, None),
            Ok(Exchange::Broken) => {
                (End::Lost, Some("the connection ended without a whole answer".to_owned()))
            }
            Err(_) => (End::Lost, Some(format!("no answer within {:.0} ms", class.deadline_ms))),
        };
        let objective = class.objective_ms + class.stretch * kb / TRANSFER_KB_PER_S * 1e3;
        let in_time = end == End::Served && took <= objective;
        let (at, class, director) = (arrival.at, arrival.class, arrival.director);
        let mut book = self.book.borrow_mut();
        book.open -= 1;
        if let Some(breach) = breach {
            book.breaches.push(format!("request {number:016x} at {at:.3} s, {who}: {breach}"));
        }
        book.ended.push(RequestRecord { at, took, end, class, director, in_time });
    }

    /// Notes that a client has left.
    fn record_disconnect(&self, number: u64) {
        self.book.borrow_mut().left.insert(format!("{number:016x}"), unix_ms());
    }

    /// The rule that the bytes of an answer break, if they do.
    fn check_body(
        &self,
        target: &DirectorTarget,
        class: &RequestClass,
        object: &str,
        body: &[u8],
        sent_ms: u64,
    ) -> Option<String> {
        if class.write {
            return body.is_empty().then(|| "an empty answer to a write".into());
        }
        let text = String::from_utf8_lossy(body);
        match text.strip_prefix(&format!("{object}/0 ")).and_then(|minted| minted.parse::<u64>().ok()) {
            None => Some(format!("bytes that are not the object's: '{text}'")),
            Some(minted) => self.too_old(target, object, minted, sent_ms),
        }
    }

    /// A copy older than a purge that the director was told of over a second before the request was sent.
    fn too_old(&self, door: &DirectorTarget, object: &str, minted: u64, sent_ms: u64) -> Option<String> {
        let grace = if door.hears_late.get() { 8_050 } else { 1_050 };
        let book = self.book.borrow();
        let broken = |p: &&PurgeRecord| p.names(object) && minted < p.ms && sent_ms > p.ms + grace;
        let purge = book.purges.iter().find(broken)?;
        Some(format!(
            "a copy {} ms older than a purge, sent {} ms after it was told",
            purge.ms - minted,
            sent_ms - purge.ms
        ))
    }

    /// Asks on a connection that is kept, or a new one. Dropping the future closes the connection, and resets
    /// it where the client is to leave so.
    async fn send(&self, door: &DirectorTarget, head: &str, leave: Option<Disconnect>) -> Exchange {
        let resets = leave.is_some_and(|leave| leave.how == DisconnectKind::Reset);
        let kept = if resets { None } else { door.idle.borrow_mut().pop() };
        if let Some(mut stream) = kept {
            let begun = Instant::now();
            match exchange(&mut stream, head).await {
                Some((status, body)) => {
                    door.idle.borrow_mut().push(stream);
                    return Exchange::Answer(status, body);
                }
                // A request that crosses a close goes again, once.
                None if begun.elapsed() < Duration::from_millis(50) => {}
                None => return Exchange::Broken,
            }
        }
        let address = door.address.borrow().clone();
        if address.is_empty() {
            return Exchange::Unreached;
        }
        let Ok(mut stream) = TcpStream::connect(&address).await else { return Exchange::Unreached };
        let _ = stream.set_nodelay(true);
        if resets {
            let _ = stream.set_zero_linger();
        }
        match exchange(&mut stream, head).await {
            Some((status, body)) => {
                if !resets {
                    door.idle.borrow_mut().push(stream);
                }
                Exchange::Answer(status, body)
            }
            None => Exchange::Broken,
        }
    }
}

/// KB a second of one transfer at full pace, as directors are told.
pub const TRANSFER_KB_PER_S: f64 = 9_500.0;

/// What was open this long before a director was disturbed may be cut by it.
const DISTURBANCE_MARGIN: Duration = Duration::from_millis(4_000);

/// A planted client asks so much later than it is said to have left.
const PLANTED_LATE: Duration = Duration::from_millis(200);

/// Returns when a client leaves; never, where it stays.
async fn leaves(leave: Option<Disconnect>) {
    match leave {
        Some(leave) => tokio::time::sleep(Duration::from_secs_f64(leave.after)).await,
        None => std::future::pending().await,
    }
}

enum Exchange {
    Answer(u16, Vec<u8>),
    Left,
    Unreached,
    Broken,
}
