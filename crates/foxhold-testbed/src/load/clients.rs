//! An open-loop load over HTTP. Arrivals are drawn in advance and do not wait for responses. Latency counts
//! from the intended start of a request. Responses are checked against the rules.

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

/// A request with the time at which to send it.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Seconds after the start of the measured load; negative during warm-up.
    pub at: f64,
    /// The director's number, from 0.
    pub director: usize,
    /// Index of the class in the scenario.
    pub class: usize,
    /// The object's number, from 1.
    pub object: u64,
    /// When and how its client disconnects; `None` if it waits for the response.
    pub disconnect: Option<Disconnect>,
}

/// Returns the fault of this kind that is in force at a time. Of several, the latest applies.
fn during(scenario: &Scenario, what: FaultKind, at: f64) -> Option<&crate::scenarios::scenario::Fault> {
    let holds = |f: &&crate::scenarios::scenario::Fault| {
        f.kind == what && at >= f.at && f.lasts.is_none_or(|lasts| at < f.at + lasts)
    };
    scenario.faults.iter().filter(holds).max_by(|a, b| a.at.total_cmp(&b.at))
}

/// Draws all arrivals of a run, beginning `settle` seconds before the start of the measured load.
pub fn draw(scenario: &Scenario, settle: f64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(scenario.seed);
    let (Ok(popular), Ok(gap)) = (Zipf::new(scenario.objects as f64, scenario.zipf), Exp::new(scenario.rate))
    else {
        return Vec::new(); // not reached: a checked scenario has valid distributions
    };
    let shares: f64 = scenario.classes.iter().map(|c| c.share).sum();
    // The first `busy` directors each get `often` times the requests of another director.
    let busy = (scenario.often_part * scenario.directors as f64).round() as usize;
    let weight = busy as f64 * scenario.often + (scenario.directors - busy) as f64;
    let (mut at, mut arrivals, mut disconnects) = (-settle, Vec::new(), Disconnects::new(scenario));
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
            disconnect: disconnects.draw(),
        });
    }
}

/// The outcome of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It got the object, status 200.
    Served,
    /// It was refused, status 429 or 503.
    Refused,
    /// It got any other response.
    Failed,
    /// Its client disconnected before the response.
    Left,
    /// Its director was killed or stopped during the request.
    Cut,
    /// Its director could not be reached.
    Unreached,
    /// There was no complete response in time, which breaks a rule.
    Lost,
}

/// A request that has ended.
#[derive(Clone, Debug, Serialize)]
pub struct RequestRecord {
    /// Intended start, in seconds after the start of the measured load.
    pub at: f64,
    /// Milliseconds from the intended start to the end of the response.
    pub took: f64,
    /// Its outcome for the client.
    pub end: End,
    /// Index of the class in the scenario.
    pub class: usize,
    /// The director's number, from 0.
    pub director: usize,
    /// Whether it was served within its latency objective.
    pub in_time: bool,
}

/// A purge against which responses are checked.
#[derive(Clone, Debug)]
pub struct PurgeRecord {
    /// The purged object; `None`: the groups.
    pub object: Option<String>,
    /// Groups whose objects are all purged; used if there is no object.
    pub groups: Vec<u32>,
    /// Time of the purge in Unix milliseconds.
    pub ms: u64,
}

impl PurgeRecord {
    fn names(&self, object: &str) -> bool {
        self.object
            .as_ref()
            .map_or_else(|| self.groups.contains(&crate::servers::model::group(object)), |o| o == object)
    }
}

/// A director as its clients see it.
#[derive(Default)]
pub struct DirectorTarget {
    /// The address it listens on; empty while it is down.
    pub address: RefCell<String>,
    /// When it was killed, stopped or restarted. Requests in flight at these times may be cut off.
    pub disturbed: RefCell<Vec<Instant>>,
    /// Whether it is stopped now.
    pub stopped: Cell<bool>,
    /// Whether it may learn of purges late, because its link to the discovery service was faulty or it was
    /// stopped.
    pub hears_late: Cell<bool>,
    idle: RefCell<Vec<TcpStream>>,
}

impl DirectorTarget {
    /// Returns whether the director is stopped, or was killed, stopped or restarted at any time since
    /// [`DISTURBANCE_MARGIN`] before `begun`.
    fn was_disturbed(&self, begun: Instant) -> bool {
        let since = begun - DISTURBANCE_MARGIN;
        self.stopped.get() || self.disturbed.borrow().iter().any(|at| *at >= since)
    }
}

/// The requests of a run and their outcomes.
#[derive(Default)]
pub struct RequestLog {
    /// Requests that have ended.
    pub ended: Vec<RequestRecord>,
    /// Broken rules, one line each.
    pub breaches: Vec<String>,
    /// When clients disconnected, in Unix milliseconds, by the id of their request.
    pub left: HashMap<String, u64>,
    /// All purges so far.
    pub purges: Vec<PurgeRecord>,
    /// Number of requests in flight.
    pub open: usize,
    /// Most requests in flight in each tenth of a second, from the start of the warm-up.
    pub in_flight: Vec<usize>,
}

/// The clients of a run.
pub struct Clients {
    scenario: Scenario,
    /// The directors, by number.
    pub targets: Vec<Rc<DirectorTarget>>,
    /// The requests so far and their outcomes.
    pub log: Rc<RefCell<RequestLog>>,
}

impl Clients {
    /// Creates the clients for a scenario's directors, whose addresses are not set yet.
    pub fn new(scenario: &Scenario) -> Clients {
        let targets = (0..scenario.directors).map(|_| Rc::default()).collect();
        Clients { scenario: scenario.clone(), targets, log: Rc::default() }
    }

    /// Sends all requests at their times. `zero` is the start of the measured load, `settle` the seconds of
    /// warm-up before it.
    pub async fn run(self: Rc<Self>, arrivals: Vec<Arrival>, zero: Instant, settle: f64) {
        let mut tasks = tokio::task::JoinSet::new();
        for (n, arrival) in arrivals.into_iter().enumerate() {
            let due = if arrival.at >= 0.0 {
                zero + Duration::from_secs_f64(arrival.at)
            } else {
                zero - Duration::from_secs_f64(-arrival.at)
            };
            tokio::time::sleep_until(due.into()).await;
            let (clients, at) = (Rc::clone(&self), arrival.at);
            let bin = ((at + settle) * 10.0).max(0.0) as usize;
            {
                let mut log = self.log.borrow_mut();
                log.open += 1;
                if log.in_flight.len() <= bin {
                    log.in_flight.resize(bin + 1, 0);
                }
                let open = log.open;
                log.in_flight[bin] = log.in_flight[bin].max(open);
            }
            tasks.spawn_local(async move { clients.send_arrival(n as u64 + 1, &arrival, due).await });
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn send_arrival(&self, number: u64, arrival: &Arrival, due: Instant) {
        let class = &self.scenario.classes[arrival.class];
        let target = &self.targets[arrival.director];
        let object = object(arrival.object);
        let kb = size_kb(&object, class.work_ms / 1e3 * TRANSFER_KB_PER_S);
        let head = request_head(number, class, &object, kb);
        let who = format!("director-{}", arrival.director + 1);
        let planted = self.scenario.is_planted(RuleBreach::AskedAfterLeave, &who, arrival.at);
        if planted && arrival.disconnect.is_some() {
            self.record_disconnect(number);
            tokio::time::sleep(PLANTED_SEND_DELAY).await;
        }
        let (begun, sent_ms) = (Instant::now(), unix_ms());
        let disconnect = arrival.disconnect.filter(|_| !planted);
        let timeout = Duration::from_secs_f64(class.deadline_ms / 1e3 + 0.25);
        let answer = tokio::select! {
            answer = tokio::time::timeout(timeout, self.send(target, &head, disconnect)) => answer,
            () = disconnected(disconnect) => Ok(Exchange::Left),
        };
        if matches!(answer, Ok(Exchange::Left)) {
            // The connection was dropped with the future that sent the request.
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
            // A director that was stopped responds late to requests that it had received; these count as cut
            // off, not as lost.
            Ok(Exchange::Broken) | Err(_) if target.was_disturbed(begun) => (End::Cut, None),
            Ok(Exchange::Broken) => {
                (End::Lost, Some("the connection ended without a whole answer".to_owned()))
            }
            Err(_) => (End::Lost, Some(format!("no answer within {:.0} ms", class.deadline_ms))),
        };
        let objective = class.objective_ms + class.stretch * kb / TRANSFER_KB_PER_S * 1e3;
        let in_time = end == End::Served && took <= objective;
        let (at, class, director) = (arrival.at, arrival.class, arrival.director);
        let mut log = self.log.borrow_mut();
        log.open -= 1;
        if let Some(breach) = breach {
            log.breaches.push(format!("request {number:016x} at {at:.3} s, {who}: {breach}"));
        }
        log.ended.push(RequestRecord { at, took, end, class, director, in_time });
    }

    /// Records that the client of a request disconnects now.
    fn record_disconnect(&self, number: u64) {
        self.log.borrow_mut().left.insert(format!("{number:016x}"), unix_ms());
    }

    /// Returns the rule that the body of a response breaks, if any.
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
            Some(minted) => self.check_purges(target, object, minted, sent_ms),
        }
    }

    /// Returns the breach if the copy is older than a purge and the request was sent after the time that the
    /// director had to apply the purge: 1 s, or 8 s where it may learn of purges late, and 50 ms for the
    /// network.
    fn check_purges(
        &self,
        target: &DirectorTarget,
        object: &str,
        minted: u64,
        sent_ms: u64,
    ) -> Option<String> {
        let grace = if target.hears_late.get() { 8_050 } else { 1_050 };
        let log = self.log.borrow();
        let ignored = |p: &&PurgeRecord| p.names(object) && minted < p.ms && sent_ms > p.ms + grace;
        let purge = log.purges.iter().find(ignored)?;
        Some(format!(
            "a copy {} ms older than a purge, sent {} ms after it was told",
            purge.ms - minted,
            sent_ms - purge.ms
        ))
    }

    /// Sends a request on an idle connection, or on a new one. Dropping the future closes the connection, or
    /// resets it if the client is to disconnect by a reset.
    async fn send(&self, target: &DirectorTarget, head: &str, disconnect: Option<Disconnect>) -> Exchange {
        let resets = disconnect.is_some_and(|disconnect| disconnect.kind == DisconnectKind::Reset);
        let idle = if resets { None } else { target.idle.borrow_mut().pop() };
        if let Some(mut stream) = idle {
            let begun = Instant::now();
            match exchange(&mut stream, head).await {
                Some((status, body)) => {
                    target.idle.borrow_mut().push(stream);
                    return Exchange::Answer(status, body);
                }
                // The director may have closed the idle connection as the request was sent: retries once.
                None if begun.elapsed() < Duration::from_millis(50) => {}
                None => return Exchange::Broken,
            }
        }
        let address = target.address.borrow().clone();
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
                    target.idle.borrow_mut().push(stream);
                }
                Exchange::Answer(status, body)
            }
            None => Exchange::Broken,
        }
    }
}

/// Speed of one transfer at full speed in KB per second, as configured in the directors.
pub const TRANSFER_KB_PER_S: f64 = 9_500.0;

/// Requests that began up to this long after a director was killed, stopped or restarted may still be cut
/// off.
const DISTURBANCE_MARGIN: Duration = Duration::from_millis(4_000);

/// Delay from a recorded disconnect to the request, where the scenario plants
/// [`RuleBreach::AskedAfterLeave`].
const PLANTED_SEND_DELAY: Duration = Duration::from_millis(200);

/// Completes when a client disconnects; never, if it waits for the response.
async fn disconnected(disconnect: Option<Disconnect>) {
    match disconnect {
        Some(disconnect) => tokio::time::sleep(Duration::from_secs_f64(disconnect.after)).await,
        None => std::future::pending().await,
    }
}

/// The result of sending a request.
enum Exchange {
    /// A complete response: its status and body.
    Answer(u16, Vec<u8>),
    /// The client disconnected first.
    Left,
    /// The director could not be reached.
    Unreached,
    /// The connection ended before the end of the response.
    Broken,
}
