//! The run of a scenario with many processes: directors, emulated servers, the links between them, and what
//! goes wrong.
//!
//! | module | holds |
//! | --- | --- |
//! | `process` | programs, child processes, temporary files |
//! | `specs` | what the servers can do |
//! | `servers` | the servers' processes and links |
//! | `discovery` | the emulated discovery service |
//! | `directors` | the directors' processes and configurations |
//! | `injection` | the schedule of faults |
//!
//! All processes are this run's own children; they are ended by their ids when it ends, is interrupted or
//! panics. Directors get the platform's configuration, each with addresses of its own where a link of its is
//! to be faulty.

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

/// The list tells of a process that ended or started so many seconds late.
const DISCOVERY_DELAY_S: f64 = 1.5;
/// Seconds until a cache or parent that started cold is warm, and the share that it starts with.
const WARM_UP_S: f64 = 8.0;
const INITIAL_CAPACITY_SHARE: f64 = 0.17;
/// Sent more than so many times what it can do for `OVERLOAD_WINDOW_S` seconds, a cold server falls over.
const OVERLOAD_MULTIPLE: f64 = 2.5;
const OVERLOAD_WINDOW_S: f64 = 3.0;

/// A emulated server or director: its process, and what is needed to start it once more.
#[derive(Default)]
struct Participant {
    process: RefCell<Option<Process>>,
    address: RefCell<String>,
    /// Unix milliseconds of a start after the run's beginning.
    since: Cell<u64>,
    /// Ends that nobody asked for.
    crashed: Cell<bool>,
}

struct ScenarioRun {
    scenario: Scenario,
    programs: Programs,
    parts: BTreeMap<String, Rc<Participant>>,
    /// By who connects and to whom.
    links: RefCell<HashMap<(String, String), Link>>,
    discovery_log: RefCell<Vec<DiscoveryChange>>,
    discovery_length: watch::Sender<usize>,
    clients: Rc<Clients>,
    seen: Rc<RefCell<Observations>>,
    zero_ms: Cell<u64>,
    specs: BTreeMap<String, ServerSpec>,
    ending: Cell<bool>,
    /// Relays between directors, where they talk.
    gossip_relays: RefCell<Option<Relays>>,
}

/// Runs a scenario. Needs a `LocalSet`; `progress` is told the seconds run.
pub async fn run(
    scenario: &Scenario,
    programs: &Programs,
    progress: impl Fn(f64) + 'static,
) -> Result<RunReport, TestbedError> {
    // From the first process on: what is dropped here takes all of them with it.
    tokio::select! {
        biased;
        signal = interrupted() => Err(format!("{}; all processes of the run are ended", signal?).into()),
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
    // What is still under way at servers is told before they end.
    tokio::time::sleep(Duration::from_millis(300)).await;
    run.ending.set(true);
    run.finish().await
}

impl ScenarioRun {
    async fn prepare(scenario: &Scenario, programs: &Programs) -> Result<ScenarioRun, TestbedError> {
        let specs = specs::draw_specs(scenario);
        let names = specs.keys().cloned().chain((1..=scenario.directors).map(|n| format!("director-{n}")));
        let parts = names.map(|name| (name, Rc::default())).collect();
        let (discovery_length, _) = watch::channel(0);
        let mut programs = programs.clone();
        for program in [&mut programs.director, &mut programs.testbed] {
            *program = program.canonicalize().map_err(|e| format!("{}: {e}", program.display()))?;
        }
        Ok(ScenarioRun {
            scenario: scenario.clone(),
            programs,
            parts,
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

    /// The links that some fault affects: who connects to whom.
    fn faulty_links(&self) -> Vec<(String, String)> {
        let faults = self.scenario.faults.iter().filter(|f| f.kind == FaultKind::Link);
        let mut pairs: Vec<(String, String)> = faults.flat_map(|f| fault_links(&self.scenario, f)).collect();
        pairs.sort();
        pairs.dedup();
        pairs
    }

    /// Ends all and hands over what was seen.
    async fn finish(self: Rc<Self>) -> Result<RunReport, TestbedError> {
        for (name, part) in &self.parts {
            let process = part.process.borrow_mut().take();
            if let Some(mut process) = process {
                process.kill().await; // one that is stopped too
            }
            if part.crashed.get() {
                self.seen.borrow_mut().panics.push(format!("{name} ended by itself"));
            }
        }
        let seen = std::mem::take(&mut *self.seen.borrow_mut());
        let book = std::mem::take(&mut *self.clients.book.borrow_mut());
        Ok(RunReport::new(&self.scenario, &self.specs, self.zero_ms.get(), seen, book))
    }
}

/// A director's place.
fn number_of(name: &str) -> Option<usize> {
    name.strip_prefix("director-")?.parse::<usize>().ok()?.checked_sub(1)
}

/// Who connects to whom on the links that a fault affects.
fn fault_links(scenario: &Scenario, fault: &Fault) -> Vec<(String, String)> {
    let to = match fault.to.as_str() {
        "board" => vec!["board".to_owned()],
        other => scenario.resolve(other).unwrap_or_default().into_iter().collect(),
    };
    let who = scenario.resolve(&fault.who).unwrap_or_default();
    who.into_iter().flat_map(|w| to.iter().map(move |t| (w.clone(), t.clone())).collect::<Vec<_>>()).collect()
}
