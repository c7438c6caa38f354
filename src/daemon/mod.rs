//! The daemon: a configuration, a source of members, the core and its fronts, put together.

pub mod descriptors;

#[cfg(feature = "peers")]
use crate::cluster;
use crate::config::operator::{OperatorConfig, PeersSection, SignedSection};
use crate::config::platform::PlatformConfig;
use crate::director::start_core;
use crate::discovery::watched_file::WatchedFile;
use crate::discovery::{DiscoveryService, EndpointSource, WatchScope, XdsFile};
use crate::dispatch::{Clock, Dispatcher, DispatcherMessage, DispatcherSender, RunningDispatcher};
use crate::frontend::admin::{self, AdminEndpoint, ReloadCounters};
use crate::frontend::platform::PlatformFrontend;
use crate::frontend::serve::{self, ConnectionSlots, ListenerContext, ShutdownPhase};
use crate::frontend::signed::{self, parse_keys, MetricsFrontend, SignedUrlFrontend};
use crate::policy::types::Settings;
use crate::signed::{KeySet, OutcomeCounters};
use crate::upstream::UpstreamConnector;
use descriptors::{DescriptorBudget, DescriptorNeeds};
use std::cell::Cell;
use std::future::Future;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
#[cfg(feature = "peers")]
use tokio::time::timeout;
use tokio::time::{sleep, sleep_until, Instant};

/// After SIGTERM connections and requests keep coming for this long, and are served.
const STILL_COMING: Duration = Duration::from_millis(700);
/// Events of the board that wait for the talk among directors; one more is missed here and told by the
/// others.
const NOTICES: usize = 1024;
/// The others are told of the end, and the disk of the last changes, within this.
#[cfg(feature = "peers")]
const LEAVING: Duration = Duration::from_millis(1200);
/// The least that the longest deadline counts as when the program ends.
const LEAST_DEADLINE: Duration = Duration::from_secs(3);

/// Runs a director until `terminated` is done and what it had taken by then is answered. The second front
/// runs beside the platform's where the operator's file says so. Of a configuration that comes later the
/// board's address and the settings are taken over; whatever is under way is left alone. Clients come to the
/// inherited socket, where there is one: another process serves it too, or will.
pub async fn run(
    config: PlatformConfig,
    operator: OperatorConfig,
    inherited: Option<std::net::TcpListener>,
    configs: mpsc::Receiver<Result<PlatformConfig, String>>,
    terminated: impl Future<Output = ()>,
) -> Result<(), String> {
    let last_answers = inherited.is_some();
    let shares = shares(&config, &operator, last_answers);
    let (to_board, board) = watch::channel(config.discovery_address.clone());
    let keyed = open_keys(operator.signed)?;
    let sources = Sources { board, xds: operator.xds_file, peers: operator.peers };
    let Started { core, task, peers } = sources.start(&config, shares).await?;
    let reloads = Rc::new(ReloadCounters::default());
    tokio::task::spawn_local(take_over(config.clone(), configs, to_board, core.sender(), reloads.clone()));
    let (close, closing) = watch::channel(ShutdownPhase::Running);
    let open = Rc::new(Cell::new(0));
    let places = ConnectionSlots::new(shares.client_soft_limit, shares.client_hard_limit);
    let fronts = Fronts { core: core.clone(), places, closing: closing.clone(), open: open.clone() };
    let mut accepting = vec![fronts.platform(&config.listen, inherited).await?];
    if !config.admin_address.is_empty() {
        let door = AdminEndpoint {
            dispatcher: core.clone(),
            requests_in_flight: open.clone(),
            shutdown: closing,
            reloads,
            #[cfg(feature = "peers")]
            peers: peers.clone(),
        };
        // Open until the program ends, for the figures of what is still under way.
        admin::listen(&config.admin_address, door).await?;
    }
    if let Some(keyed) = keyed {
        accepting.extend(fronts.signed(keyed).await?);
    }
    tokio::select! {
        () = terminated => {}
        end = task => return Err(format!("the core ended: {end:?}")),
    }
    Ending { accepting, last_answers, close, open, peers }.run(&core).await;
    Ok(())
}

/// Shares out the descriptors, before anything of the director's is opened.
fn shares(config: &PlatformConfig, operator: &OperatorConfig, hand_over: bool) -> DescriptorBudget {
    let operators = !config.admin_address.is_empty();
    let signed = operator.signed.as_ref().map_or(0, |s| 1 + usize::from(s.metrics_listen.is_some()));
    let listeners = usize::from(!hand_over) + usize::from(operators) + signed;
    let open = descriptors::open_now();
    let needs = DescriptorNeeds {
        already_open: open,
        listeners,
        admin: operators,
        cluster: operator.peers.is_some(),
        handover: hand_over,
    };
    DescriptorBudget::allocate(config.max_descriptors, &needs)
}

/// The section of the signed front with its keys' file, read for the first time.
type Keyed = (WatchedFile, KeySet, SignedSection);

fn open_keys(section: Option<SignedSection>) -> Result<Option<Keyed>, String> {
    let Some(section) = section else { return Ok(None) };
    let (file, keys) = WatchedFile::open(section.keys_file.clone(), parse_keys).map_err(|e| e.to_string())?;
    Ok(Some((file, keys, section)))
}

/// The talk among directors, where the operator's file has a section for it.
#[cfg(feature = "peers")]
type Talk = Option<cluster::ClusterHandle>;
/// There is none in a program that was built without it.
#[cfg(not(feature = "peers"))]
type Talk = Option<std::convert::Infallible>;

/// Where members and purges come from.
struct Sources {
    board: watch::Receiver<String>,
    xds: Option<PathBuf>,
    peers: Option<PeersSection>,
}

/// The core, its task, and the talk among directors.
struct Started {
    core: Dispatcher,
    task: JoinHandle<()>,
    peers: Talk,
}

impl Sources {
    /// Opens them and starts the core, and the talk among directors where the operator's file has a section
    /// for it; nothing of that is opened or started otherwise.
    async fn start(self, config: &PlatformConfig, shares: DescriptorBudget) -> Result<Started, String> {
        #[cfg(not(feature = "peers"))]
        if self.peers.is_some() {
            return Err("peers: this program was built without talk among directors".into());
        }
        let clock = Clock::system();
        let (tap, notices) = self.peers.as_ref().map(|_| mpsc::channel(NOTICES)).unzip();
        // Where the list comes from a file, the board tells of purges only.
        let scope = if self.xds.is_some() { WatchScope::PurgesOnly } else { WatchScope::MembersAndPurges };
        let mut sources: Vec<Box<dyn EndpointSource>> = Vec::new();
        sources.extend(self.xds.map(|path| Box::new(XdsFile::new(path)) as Box<dyn EndpointSource>));
        let (address, rev, known) = (self.board, config.discovery_revision, config.initial_events.clone());
        sources.push(Box::new(DiscoveryService {
            address,
            revision: rev,
            initial_events: known,
            scope,
            subscriber: tap,
        }));
        let servers = Box::new(UpstreamConnector::new(config.connections.clone(), shares.upstream_limit));
        let RunningDispatcher { dispatcher: core, task } =
            start_core(config.settings.clone(), config.seed, clock, servers, sources)?;
        #[cfg(feature = "peers")]
        let peers = match self.peers.zip(notices) {
            Some((section, notices)) => {
                let opened =
                    cluster::open(section, core.sender(), clock, &config.initial_events, notices).await;
                let (peers, actor) = opened?;
                tokio::task::spawn_local(actor.run());
                Some(peers)
            }
            None => None,
        };
        #[cfg(not(feature = "peers"))]
        let peers = {
            drop(notices); // nobody hears them
            None
        };
        Ok(Started { core, task, peers })
    }
}

/// What the fronts of the program share.
struct Fronts {
    core: Dispatcher,
    places: Rc<ConnectionSlots>,
    closing: watch::Receiver<ShutdownPhase>,
    open: Rc<Cell<usize>>,
}

impl Fronts {
    fn share(&self) -> ListenerContext {
        ListenerContext {
            dispatcher: self.core.clone(),
            slots: self.places.clone(),
            shutdown: self.closing.clone(),
            requests_in_flight: self.open.clone(),
        }
    }

    /// Opens the platform's front, on the inherited socket where there is one.
    async fn platform(
        &self,
        address: &str,
        inherited: Option<std::net::TcpListener>,
    ) -> Result<JoinHandle<()>, String> {
        let front = PlatformFrontend(self.core.clone());
        match inherited {
            Some(socket) => serve::adopt(socket, self.share(), front).map_err(|e| e.to_string()),
            None => serve::listen(address, self.share(), front).await.map_err(|e| e.to_string()),
        }
    }

    /// Opens the signed front, and its figures where the operator's file says so.
    async fn signed(&self, (keys_file, keys, section): Keyed) -> Result<Vec<JoinHandle<()>>, String> {
        let (sender, keys) = watch::channel(Arc::new(keys));
        tokio::task::spawn_local(signed::follow_keys(keys_file, sender));
        let counts = Arc::new(OutcomeCounters::default());
        let mut accepting = Vec::new();
        if let Some(metrics) = section.metrics_listen {
            accepting.push(
                serve::listen(&metrics, self.share(), MetricsFrontend(counts.clone()))
                    .await
                    .map_err(|e| e.to_string())?,
            );
        }
        let front = SignedUrlFrontend { dispatcher: self.core.clone(), keys, clock: Clock::system(), counts };
        accepting.push(serve::listen(&section.listen, self.share(), front).await.map_err(|e| e.to_string())?);
        Ok(accepting)
    }
}

/// The end of the program.
struct Ending {
    accepting: Vec<JoinHandle<()>>,
    /// Clients came to an inherited socket, which a successor serves.
    last_answers: bool,
    close: watch::Sender<ShutdownPhase>,
    /// Requests that are taken and not answered.
    open: Rc<Cell<usize>>,
    #[cfg_attr(not(feature = "peers"), allow(dead_code))]
    peers: Talk,
}

impl Ending {
    /// Returns once what was taken is answered, or the longest deadline is over.
    async fn run(self, core: &Dispatcher) {
        let told = Instant::now();
        let longest = core.settings().classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let longest = Duration::from_micros(longest).max(LEAST_DEADLINE);
        if self.last_answers {
            // Guards against taking from the shared socket what the successor should: who is served here once
            // more is told to come anew, and comes to it.
            self.accepting.iter().for_each(JoinHandle::abort);
            let _ = self.close.send(ShutdownPhase::CloseAfterResponse);
        }
        #[cfg(feature = "peers")]
        if let Some(peers) = &self.peers {
            // Others hear at once that it goes, and the disk has all that was told; what comes is served.
            let _ = timeout(LEAVING, peers.send(cluster::ClusterCommand::Leave)).await;
        }
        sleep_until(told + STILL_COMING).await;
        let _ = self.close.send(ShutdownPhase::CloseIdle);
        // Slept first: connections with a request that has begun to come are counted once they are told.
        loop {
            sleep(Duration::from_millis(5)).await;
            if self.open.get() == 0 || told.elapsed() >= longest + STILL_COMING {
                break;
            }
        }
        // The last answers are written; a moment for what the clients have not yet read.
        sleep(Duration::from_millis(20)).await;
    }
}

/// Takes over what can change while the program runs: the settings, and where the board is; its numbers carry
/// on, so the events that a later configuration holds will come from there. What else is new is logged. One
/// that can't be used is turned down whole, and the one before stays.
async fn take_over(
    mut config: PlatformConfig,
    mut configs: mpsc::Receiver<Result<PlatformConfig, String>>,
    board: watch::Sender<String>,
    core: DispatcherSender,
    reloads: Rc<ReloadCounters>,
) {
    while let Some(new) = configs.recv().await {
        let new = match new.and_then(|new| new.can_replace(&config).map(|()| new).map_err(|e| e.to_string()))
        {
            Ok(new) => new,
            Err(error) => {
                tracing::warn!("{error}; the configuration before stays");
                reloads.failed.set(reloads.failed.get() + 1);
                continue;
            }
        };
        tracing::info!("configuration read anew");
        reloads.succeeded.set(reloads.succeeded.get() + 1);
        let placed = |s: &Settings| (s.zones.clone(), s.zone, s.kinds.clone(), s.parent_kind, s.origin_kind);
        let fixed = |c: &PlatformConfig| {
            (
                c.listen.clone(),
                c.admin_address.clone(),
                c.max_descriptors,
                c.connections.clone(),
                placed(&c.settings),
            )
        };
        if fixed(&new) != fixed(&config) {
            tracing::info!(
                "configuration: addresses, limits, connections, zones and kinds wait for a restart"
            );
        }
        if new.settings != config.settings {
            core.send(DispatcherMessage::Settings(Box::new(new.settings.clone()))).await;
        }
        config = new;
        board.send_if_modified(|at| {
            std::mem::replace(at, config.discovery_address.clone()) != config.discovery_address
        });
    }
}
