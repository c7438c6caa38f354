//! Runs a scenario with many processes: directors, emulated servers, the links between them, and faults.
//!
//! | module | holds |
//! | --- | --- |
//! | `process` | program paths, child processes, temporary files |
//! | `specs` | server capacities |
//! | `servers` | server processes and links |
//! | `discovery` | the emulated discovery service |
//! | `directors` | director processes and configurations |
//! | `injection` | the fault schedule |
//!
//! All processes are children of this process. They are killed by their process ids when the run finishes, is
//! interrupted or panics. Each director gets its own platform configuration, in which a link that a fault
//! affects has the address of a relay.

mod directors;
mod discovery;
mod injection;
mod process;
mod servers;
mod specs;

pub use process::{interrupted, Programs};
pub(crate) use process::{Process, TemporaryFolder};

use crate::faults::peer_network::Relays;
use crate::faults::relay::Link;
use crate::load::clients::{draw, Clients};
use crate::reports::scenario::{Observations, RunReport};
use crate::scenarios::replay::TestbedError;
use crate::scenarios::scenario::{Fault, FaultKind, Scenario};
use crate::servers::emulated::unix_ms;
use crate::servers::model::ServerSpec;
use discovery::DiscoveryChange;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Delay in seconds until the discovery service publishes the start or end of a server process.
const DISCOVERY_DELAY_S: f64 = 1.5;
/// Seconds until a cache or parent that started cold has its full capacity.
const WARM_UP_S: f64 = 8.0;
/// Share of its capacity that a cold cache or parent starts with.
const INITIAL_CAPACITY_SHARE: f64 = 0.17;
/// A cold server fails if its load exceeds this multiple of its capacity for `OVERLOAD_WINDOW_S` seconds.
const OVERLOAD_MULTIPLE: f64 = 2.5;
/// See `OVERLOAD_MULTIPLE`.
const OVERLOAD_WINDOW_S: f64 = 3.0;

/// The process of an emulated server or a director, and its state that is kept across restarts.
#[derive(Default)]
struct Participant {
    process: RefCell<Option<Process>>,
    /// The address that it listens on, used again after a restart; empty before the first start.
    address: RefCell<String>,
    /// Unix time of the last start by a fault, in milliseconds; 0 if there was none.
    since: Cell<u64>,
    /// Whether the process exited without being killed by the run.
    crashed: Cell<bool>,
}

struct ScenarioRun {
    scenario: Scenario,
    programs: Programs,
    participants: BTreeMap<String, Rc<Participant>>,
    /// Relayed links, by the names of the connecting participant and of the other end.
    links: RefCell<HashMap<(String, String), Link>>,
    discovery_log: RefCell<Vec<DiscoveryChange>>,
    discovery_length: watch::Sender<usize>,
    clients: Rc<Clients>,
    seen: Rc<RefCell<Observations>>,
    zero_ms: Cell<u64>,
    specs: BTreeMap<String, ServerSpec>,
    ending: Cell<bool>,
    /// Relays between directors; `None` without gossip.
    gossip_relays: RefCell<Option<Relays>>,
}

/// Runs a scenario. Needs a `LocalSet`; `progress` is called with the seconds since the start of the load.
pub async fn run(
    scenario: &Scenario,
    programs: &Programs,
    progress: impl Fn(f64) + 'static,
) -> Result<RunReport, TestbedError> {
    // Signals are handled from before the first process starts; dropping the run kills all its processes.
    tokio::select! {
        biased;
        signal = interrupted() => Err(format!("{}; all processes of the run were killed", signal?).into()),
        report = run_to_end(scenario, programs, progress) => report,
    }
}

async fn run_to_end(
    scenario: &Scenario,
    programs: &Programs,
    progress: impl Fn(f64) + 'static,
) -> Result<RunReport, TestbedError> {
    scenario.check()?;
    process::check_descriptors(scenario)?;
    std::fs::create_dir_all(&programs.folder)?;
    let _folder = TemporaryFolder(programs.folder.clone());
    let run = Rc::new(ScenarioRun::prepare(scenario, programs).await?);
    if scenario.peers {
        *run.gossip_relays.borrow_mut() =
            Some(Relays::open(scenario.directors, scenario.seed, &programs.folder).await?);
    }
    run.start_servers().await?;
    run.link_servers().await?;
    run.start_directors().await?;
    let arrivals = draw(scenario, scenario.warm_up_seconds);
    let zero = Instant::now() + Duration::from_secs_f64(scenario.warm_up_seconds + 0.2);
    run.zero_ms.set(unix_ms() + ((scenario.warm_up_seconds + 0.2) * 1e3) as u64);
    let faults = tokio::task::spawn_local(Rc::clone(&run).inject_faults(zero));
    let ticker = tokio::task::spawn_local(async move {
        loop {
            progress(zero.elapsed().as_secs_f64());
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    });
    Rc::clone(&run.clients).run(arrivals, zero, scenario.warm_up_seconds).await;
    ticker.abort();
    faults.abort();
    // Servers report the requests that are still in flight before they are killed.
    tokio::time::sleep(Duration::from_millis(300)).await;
    run.ending.set(true);
    run.finish().await
}

impl ScenarioRun {
    async fn prepare(scenario: &Scenario, programs: &Programs) -> Result<ScenarioRun, TestbedError> {
        let specs = specs::draw_specs(scenario);
        let names = specs.keys().cloned().chain((1..=scenario.directors).map(|n| format!("director-{n}")));
        let participants = names.map(|name| (name, Rc::default())).collect();
        let (discovery_length, _) = watch::channel(0);
        let mut programs = programs.clone();
        for program in [&mut programs.director, &mut programs.testbed] {
            *program = program.canonicalize().map_err(|e| format!("{}: {e}", program.display()))?;
        }
        Ok(ScenarioRun {
            scenario: scenario.clone(),
            programs,
            participants,
            links: RefCell::default(),
            discovery_log: RefCell::default(),
            discovery_length,
            clients: Rc::new(Clients::new(scenario)),
            seen: Rc::default(),
            zero_ms: Cell::new(unix_ms()),
            specs,
            ending: Cell::new(false),
            gossip_relays: RefCell::default(),
        })
    }

    /// Returns the links that any fault affects, as pairs of connecting participant and other end.
    fn faulty_links(&self) -> Vec<(String, String)> {
        let faults = self.scenario.faults.iter().filter(|f| f.kind == FaultKind::Link);
        let mut pairs: Vec<(String, String)> = faults.flat_map(|f| fault_links(&self.scenario, f)).collect();
        pairs.sort();
        pairs.dedup();
        pairs
    }

    /// Kills all processes and returns the report.
    async fn finish(self: Rc<Self>) -> Result<RunReport, TestbedError> {
        for (name, participant) in &self.participants {
            let process = participant.process.borrow_mut().take();
            if let Some(mut process) = process {
                process.kill().await; // also ends a stopped process
            }
            if participant.crashed.get() {
                self.seen.borrow_mut().panics.push(format!("{name} ended by itself"));
            }
        }
        let seen = std::mem::take(&mut *self.seen.borrow_mut());
        let log = std::mem::take(&mut *self.clients.log.borrow_mut());
        Ok(RunReport::new(&self.scenario, &self.specs, self.zero_ms.get(), seen, log))
    }
}

/// Returns the index of a director, counted from 0, or `None` if the name is not that of a director.
fn number_of(name: &str) -> Option<usize> {
    name.strip_prefix("director-")?.parse::<usize>().ok()?.checked_sub(1)
}

/// Returns the links that a fault affects, as pairs of connecting participant and other end.
fn fault_links(scenario: &Scenario, fault: &Fault) -> Vec<(String, String)> {
    let to = match fault.to.as_str() {
        "board" => vec!["board".to_owned()],
        other => scenario.resolve(other).unwrap_or_default().into_iter().collect(),
    };
    let who = scenario.resolve(&fault.who).unwrap_or_default();
    who.into_iter().flat_map(|w| to.iter().map(move |t| (w.clone(), t.clone())).collect::<Vec<_>>()).collect()
}
