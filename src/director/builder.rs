//! The builder of a director, and the director's thread.

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

/// How often a shutdown checks whether all requests are answered.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The parts of a director before it runs.
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
        // The address stays: nobody else holds the sender.
        let address = watch::channel(discovery_address).1;
        Builder::new(settings).seed(seed).connector(connector).endpoint_source(DiscoveryService {
            address,
            revision: discovery_revision,
            initial_events,
            scope: WatchScope::MembersAndPurges,
            subscriber: None,
        })
    }

    /// Where endpoints come from; called again it adds a further source. Without one there are only those of
    /// [`Director::members`].
    pub fn endpoint_source(mut self, source: impl EndpointSource) -> Self {
        self.sources.push(Box::new(source));
        self
    }

    /// How servers are reached; the line protocol unless set otherwise.
    pub fn connector(mut self, connector: impl EndpointConnector + Send + 'static) -> Self {
        self.connector = Box::new(connector);
        self
    }

    /// The clock; the system's unless set otherwise.
    pub fn clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }

    /// The seed of random numbers; two directors in one process should differ in it.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Starts the director's thread and waits until it serves, some milliseconds. Settings, sources and files
    /// that can't be used are errors that say why.
    pub fn start(self) -> Result<Director, BuildError> {
        let (ready, started) = sync_channel(1);
        let (control, commands) = mpsc::unbounded_channel();
        std::thread::Builder::new().name("foxhold".into()).spawn(move || self.run(ready, commands))?;
        let dispatcher = started.recv().map_err(|_| BuildError::Ended)??;
        Ok(Director::new(dispatcher, control))
    }

    /// The director's thread: runs until a shutdown, a panic, or the end of all handles.
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
        // Tasks go first, each on this thread, and with them every connection.
        drop(tasks);
        drop(runtime);
        if let Some(FinishedShutdown { result, reply }) = finished {
            let _ = reply.send(result); // whoever asked may have gone
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

/// A shutdown whose result is reported once the thread's connections are closed.
struct FinishedShutdown {
    result: Shutdown,
    reply: oneshot::Sender<Shutdown>,
}

/// Waits until all requests are answered or the deadline has passed.
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

/// Starts the dispatcher on the present `LocalSet` with what the sources know, and follows them: the same for
/// the daemon and the library.
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
