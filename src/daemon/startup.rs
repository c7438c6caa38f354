//! Starts the dispatcher, its sources of endpoints, and gossip among directors.

use super::error::DaemonError;
#[cfg(feature = "peers")]
use crate::cluster::{self, ClusterHandle};
use crate::config::operator::PeersSection;
use crate::config::platform::PlatformConfig;
use crate::director::start_dispatcher;
use crate::discovery::event::WatchEvent;
use crate::discovery::{DiscoveryService, EndpointSource, WatchScope, XdsFile};
use crate::dispatch::{Clock, Dispatcher, RunningDispatcher};
use crate::memory::MemoryBudget;
use crate::upstream::UpstreamConnector;
use std::path::PathBuf;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// Maximum number of discovery events queued for gossip. Events beyond it are dropped here; this director
/// then receives them from the other directors.
const EVENT_QUEUE_LEN: usize = 1024;

/// The handle of gossip among directors; `None` if the operator's file has no section `peers`.
#[cfg(feature = "peers")]
pub(super) type OptionalCluster = Option<ClusterHandle>;
/// Always `None`: the program was built without gossip among directors.
#[cfg(not(feature = "peers"))]
pub(super) type OptionalCluster = Option<std::convert::Infallible>;

/// The configured sources of endpoints and purges.
pub(super) struct Sources {
    pub(super) discovery_address: watch::Receiver<String>,
    pub(super) xds_file: Option<PathBuf>,
    pub(super) peers: Option<PeersSection>,
}

/// The running dispatcher, which frontends submit requests to, and gossip among directors.
pub(super) struct Backend {
    pub(super) dispatcher: Dispatcher,
    pub(super) dispatcher_task: JoinHandle<()>,
    pub(super) cluster: OptionalCluster,
}

impl Sources {
    /// Opens the sources and starts the dispatcher. Starts gossip among directors if the operator's file has
    /// a section `peers`.
    pub(super) async fn start(
        self,
        config: &PlatformConfig,
        upstream_limit: usize,
        memory: &MemoryBudget,
    ) -> Result<Backend, DaemonError> {
        #[cfg(not(feature = "peers"))]
        if self.peers.is_some() {
            return Err(DaemonError::ClusterNotSupported);
        }
        let clock = Clock::system();
        let (subscriber, events) = self.peers.as_ref().map(|_| mpsc::channel(EVENT_QUEUE_LEN)).unzip();
        // With endpoints from a file, only purges are taken from the discovery service.
        let scope = match self.xds_file {
            Some(_) => WatchScope::PurgesOnly,
            None => WatchScope::MembersAndPurges,
        };
        let sources = endpoint_sources(self.discovery_address, self.xds_file, config, scope, subscriber);
        let connector = UpstreamConnector::new(config.connections.clone(), upstream_limit);
        let connector = Box::new(connector.with_memory(memory.clone()));
        let RunningDispatcher { dispatcher, task: dispatcher_task } =
            start_dispatcher(config.settings.clone(), config.seed, clock, connector, sources)?;
        #[cfg(feature = "peers")]
        let cluster = match self.peers.zip(events) {
            Some((section, events)) => {
                Some(start_cluster(section, &dispatcher, clock, config, events, scope).await?)
            }
            None => None,
        };
        #[cfg(not(feature = "peers"))]
        let cluster = {
            drop(events); // not read without the feature `peers`
            None
        };
        Ok(Backend { dispatcher, dispatcher_task, cluster })
    }
}

/// Returns the sources in the order in which they are read: the file in xDS form, if there is one, then the
/// discovery service.
fn endpoint_sources(
    discovery_address: watch::Receiver<String>,
    xds_file: Option<PathBuf>,
    config: &PlatformConfig,
    scope: WatchScope,
    subscriber: Option<mpsc::Sender<WatchEvent>>,
) -> Vec<Box<dyn EndpointSource>> {
    let mut sources: Vec<Box<dyn EndpointSource>> = Vec::new();
    if let Some(path) = xds_file {
        sources.push(Box::new(XdsFile::new(path)));
    }
    sources.push(Box::new(DiscoveryService {
        address: discovery_address,
        revision: config.discovery_revision,
        initial_events: config.initial_events.clone(),
        scope,
        subscriber,
    }));
    sources
}

#[cfg(feature = "peers")]
async fn start_cluster(
    section: PeersSection,
    dispatcher: &Dispatcher,
    clock: Clock,
    config: &PlatformConfig,
    events: mpsc::Receiver<WatchEvent>,
    scope: WatchScope,
) -> Result<ClusterHandle, DaemonError> {
    let (dispatcher, initial) = (dispatcher.sender(), &config.initial_events);
    let (handle, actor) = cluster::open(section, dispatcher, clock, initial, events, scope).await?;
    tokio::task::spawn_local(actor.run());
    Ok(handle)
}
