//! The builder of a director, and the thread that runs it.

use super::{BuildError, Control, Director, Shutdown, StartError};
use crate::config::operator::LibrarySection;
use crate::config::platform::PlatformConfig;
use crate::config::settings::ConnectionSettings;
use crate::discovery::{DiscoveryService, EndpointSource, WatchScope};
use crate::dispatch::{self, Clock, Dispatcher, EndpointConnector, RunningDispatcher};
use crate::policy::types::Settings;
use crate::upstream::UpstreamConnector;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;

/// Interval at which a shutdown checks whether all requests are answered.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Builds a director from settings, sources of endpoints and a connector.
pub struct Builder {
    settings: Settings,
    seed: u64,
    clock: Clock,
    sources: Vec<Box<dyn EndpointSource>>,
    connector: Box<dyn EndpointConnector + Send>,
}

impl Builder {
    pub(super) fn new(settings: Settings) -> Self {
        Builder {
            settings,
            seed: std::process::id().into(),
            clock: Clock::system(),
            sources: Vec::new(),
            connector: Box::new(UpstreamConnector::new(
                ConnectionSettings::default(),
                LibrarySection::default().max_descriptors,
            )),
        }
    }

    pub(super) fn from_config(config: PlatformConfig) -> Self {
        let connector = config.upstream_connector();
        let PlatformConfig { discovery_address, seed, settings, discovery_revision, initial_events, .. } =
            config;
        // The sender is dropped: without reloads the address never changes.
        let address = watch::channel(discovery_address).1;
        Builder::new(settings).seed(seed).connector(connector).endpoint_source(DiscoveryService {
            address,
            revision: discovery_revision,
            initial_events,
            scope: WatchScope::MembersAndPurges,
            subscriber: None,
        })
    }

    /// Adds a source of endpoints. Without one, the only endpoints are those given to [`Director::members`].
    pub fn endpoint_source(mut self, source: impl EndpointSource) -> Self {
        self.sources.push(Box::new(source));
        self
    }

    /// Sets the connector that reaches servers. The default is [`UpstreamConnector`], which speaks the line
    /// protocol.
    pub fn connector(mut self, connector: impl EndpointConnector + Send + 'static) -> Self {
        self.connector = Box::new(connector);
        self
    }

    /// Sets the clock. The default is the system's.
    pub fn clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the seed of random numbers. The default is the process id, so a second director in one process
    /// should get another seed.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Starts the director's thread and blocks until it serves, which takes some milliseconds. Returns an
    /// error if the settings, a source or a file is invalid.
    pub fn start(self) -> Result<Director, BuildError> {
        let (ready, started) = sync_channel(1);
        let (control, commands) = mpsc::unbounded_channel();
        std::thread::Builder::new().name("foxhold".into()).spawn(move || self.run(ready, commands))?;
        let dispatcher = started.recv().map_err(|_| BuildError::Ended)??;
        Ok(Director::new(dispatcher, control))
    }

    /// Runs the director's thread until a shutdown, a panic, or the last handle is dropped.
    fn run(
        self,
        ready: SyncSender<Result<Dispatcher, BuildError>>,
        commands: mpsc::UnboundedReceiver<Control>,
    ) {
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => return drop(ready.send(Err(error.into()))),
        };
        let tasks = LocalSet::new();
        let finished = tasks.block_on(&runtime, self.serve(ready, commands));
        // Dropping the tasks on this thread closes every connection before the shutdown is reported.
        drop(tasks);
        drop(runtime);
        if let Some(FinishedShutdown { result, reply }) = finished {
            let _ = reply.send(result); // fails if the caller no longer waits
        }
    }

    async fn serve(
        self,
        ready: SyncSender<Result<Dispatcher, BuildError>>,
        mut commands: mpsc::UnboundedReceiver<Control>,
    ) -> Option<FinishedShutdown> {
        let Builder { settings, seed, clock, sources, connector } = self;
        let (dispatcher, mut task) = match start_dispatcher(settings, seed, clock, connector, sources) {
            Ok(RunningDispatcher { dispatcher, task }) => (dispatcher, task),
            Err(error) => {
                let _ = ready.send(Err(error.into()));
                return None;
            }
        };
        if ready.send(Ok(dispatcher.clone())).is_err() {
            return None;
        }
        tokio::select! {
            command = commands.recv() => match command {
                Some(Control::Shutdown { deadline, reply }) => {
                    let result = drain_requests(&dispatcher, deadline).await;
                    Some(FinishedShutdown { result, reply })
                }
                None => None, // the last handle was dropped
            },
            _ = &mut task => None,
        }
    }
}

/// A shutdown whose result is reported after the thread's connections are closed.
struct FinishedShutdown {
    result: Shutdown,
    reply: oneshot::Sender<Shutdown>,
}

/// Waits until all requests are answered or `deadline` has passed since the call.
async fn drain_requests(dispatcher: &Dispatcher, deadline: Duration) -> Shutdown {
    let started = Instant::now();
    let count_pending = || async { dispatcher.metrics().await.map_or(0, |m| m.tables.pending_requests) };
    let pending = count_pending().await;
    let mut remaining = pending;
    while remaining > 0 && started.elapsed() < deadline {
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL.min(deadline)).await;
        remaining = count_pending().await;
    }
    Shutdown { pending, aborted: remaining, elapsed: started.elapsed() }
}

/// Starts the dispatcher on the current `LocalSet` with the initial endpoints of all sources, then follows
/// the sources. Used by both the daemon and the library.
pub fn start_dispatcher(
    settings: Settings,
    seed: u64,
    clock: Clock,
    connector: Box<dyn EndpointConnector + Send>,
    mut sources: Vec<Box<dyn EndpointSource>>,
) -> Result<RunningDispatcher, StartError> {
    let mut initial = Vec::new();
    for source in &mut sources {
        initial.extend(source.initial()?);
    }
    let running = dispatch::start(settings, seed, clock, connector, initial)?;
    for source in sources {
        tokio::task::spawn_local(source.follow(running.dispatcher.sender()));
    }
    Ok(running)
}
