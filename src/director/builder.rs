//! How a director is put together and its thread started.

use super::{BuildError, Control, Director, Shutdown};
use crate::config::operator::LibrarySection;
use crate::config::platform::PlatformConfig;
use crate::config::settings::ConnectionSettings;
use crate::discovery::{DiscoveryService, EndpointSource, WatchScope};
use crate::dispatch::{self, Clock, Dispatcher, EndpointConnector, RunningDispatcher};
use crate::policy::types::{Settings, SettingsError};
use crate::upstream::UpstreamConnector;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

/// How often a shutdown looks whether all is answered.
const LOOK: Duration = Duration::from_millis(2);

/// The parts of a director before it runs.
pub struct Builder {
    settings: Settings,
    seed: u64,
    clock: Clock,
    sources: Vec<Box<dyn EndpointSource>>,
    peers: Box<dyn EndpointConnector + Send>,
}

impl Builder {
    pub(super) fn new(settings: Settings) -> Self {
        Builder {
            settings,
            seed: std::process::id().into(),
            clock: Clock::system(),
            sources: Vec::new(),
            peers: Box::new(UpstreamConnector::new(
                ConnectionSettings::default(),
                LibrarySection::default().max_descriptors,
            )),
        }
    }

    pub(super) fn from_config(config: PlatformConfig) -> Self {
        let servers = config.upstream_connector();
        let PlatformConfig {
            discovery_address: board,
            seed,
            settings,
            discovery_revision: rev,
            initial_events: known,
            ..
        } = config;
        // The address stays: nobody else holds the sender.
        let address = watch::channel(board).1;
        Builder::new(settings).seed(seed).connector(servers).endpoint_source(DiscoveryService {
            address,
            revision: rev,
            initial_events: known,
            scope: WatchScope::MembersAndPurges,
            subscriber: None,
        })
    }

    /// Where members come from; called again it adds a further source. Without one there are only those that
    /// [`Director::members`] tells of.
    pub fn endpoint_source(mut self, source: impl EndpointSource) -> Self {
        self.sources.push(Box::new(source));
        self
    }

    /// How servers are reached; the line protocol unless told otherwise.
    pub fn connector(mut self, peers: impl EndpointConnector + Send + 'static) -> Self {
        self.peers = Box::new(peers);
        self
    }

    /// The clock; the system's unless told otherwise.
    pub fn clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }

    /// For random numbers; two directors in one process should differ in it.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Starts the director's thread and waits until it serves, some milliseconds. Settings, sources and files
    /// that can't be used end the start with a line that says why.
    pub fn start(self) -> Result<Director, BuildError> {
        let (ready, started) = sync_channel(1);
        let (control, orders) = mpsc::unbounded_channel();
        std::thread::Builder::new().name("foxhold".into()).spawn(move || self.run(ready, orders))?;
        let core = started.recv().map_err(|_| BuildError::Ended)??;
        Ok(Director::new(core, control))
    }

    fn run(
        self,
        ready: SyncSender<Result<Dispatcher, BuildError>>,
        mut orders: mpsc::UnboundedReceiver<Control>,
    ) {
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => return drop(ready.send(Err(error.into()))),
        };
        let tasks = LocalSet::new();
        let Builder { settings, seed, clock, sources, peers } = self;
        let done = tasks.block_on(&runtime, async {
            let started = start_core(settings, seed, clock, peers, sources).map_err(BuildError::Config);
            let (core, mut task) = match started {
                Ok(RunningDispatcher { dispatcher: core, task }) => (core, task),
                Err(error) => {
                    let _ = ready.send(Err(error));
                    return None;
                }
            };
            if ready.send(Ok(core.clone())).is_err() {
                return None;
            }
            tokio::select! {
                order = orders.recv() => match order {
                    Some(Control::Shutdown(deadline, reply)) => {
                        Some((wind_down(&core, deadline).await, reply))
                    }
                    None => None, // the last handle was dropped
                },
                _ = &mut task => None,
            }
        });
        // Tasks go first, each on this thread, and with them every connection.
        drop(tasks);
        drop(runtime);
        if let Some((shutdown, reply)) = done {
            let _ = reply.send(shutdown); // who asked may have gone
        }
    }
}

/// Waits until all is answered or the deadline is over.
async fn wind_down(core: &Dispatcher, deadline: Duration) -> Shutdown {
    let begun = Instant::now();
    let live = || async { core.metrics().await.map_or(0, |f| f.tables.pending_requests) };
    let open = live().await;
    let mut left = open;
    while left > 0 && begun.elapsed() < deadline {
        tokio::time::sleep(LOOK.min(deadline)).await;
        left = live().await;
    }
    Shutdown { open, cut_off: left, took: begun.elapsed() }
}

/// Opens the sources and starts the core on the present `LocalSet`, with what they know, and follows them:
/// the same for the daemon and the library. An error is one plain line.
pub fn start_core(
    settings: Settings,
    seed: u64,
    clock: Clock,
    peers: Box<dyn EndpointConnector + Send>,
    mut sources: Vec<Box<dyn EndpointSource>>,
) -> Result<RunningDispatcher, String> {
    let mut known = Vec::new();
    for source in &mut sources {
        known.extend(source.initial().map_err(|e| e.to_string())?);
    }
    let running =
        dispatch::start(settings, seed, clock, peers, known).map_err(|e: SettingsError| e.to_string())?;
    for source in sources {
        tokio::task::spawn_local(source.follow(running.dispatcher.sender()));
    }
    Ok(running)
}
