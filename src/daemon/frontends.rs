//! Opens the frontends and the admin endpoint.

use super::error::DaemonError;
use super::startup::OptionalCluster;
use crate::config::operator::SignedSection;
use crate::discovery::watched_file::WatchedFile;
use crate::dispatch::{Clock, Dispatcher};
use crate::frontend::admin::{self, AdminEndpoint, ReloadCounters};
use crate::frontend::metrics::MetricsFrontend;
use crate::frontend::platform::PlatformFrontend;
use crate::frontend::serve::{self, ConnectionSlots, ListenerContext, ShutdownPhase};
use crate::frontend::signed::{follow_keys, parse_keys, SignedUrlFrontend};
use crate::memory::MemoryBudget;
use crate::signed::{KeySet, OutcomeCounters};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The signed frontend's section of the operator's file, with the keys read at startup.
pub(super) struct SignedConfig {
    section: SignedSection,
    key_file: WatchedFile,
    keys: KeySet,
}

impl SignedConfig {
    /// Reads the key file.
    pub(super) fn open(section: SignedSection) -> Result<SignedConfig, DaemonError> {
        let (key_file, keys) = WatchedFile::open(section.keys_file.clone(), parse_keys)?;
        Ok(SignedConfig { section, key_file, keys })
    }
}

/// Opens the frontends, and holds what they share.
pub(super) struct Frontends {
    pub(super) dispatcher: Dispatcher,
    pub(super) slots: Rc<ConnectionSlots>,
    pub(super) memory: MemoryBudget,
    pub(super) shutdown: watch::Receiver<ShutdownPhase>,
    pub(super) requests_in_flight: Rc<Cell<usize>>,
}

impl Frontends {
    fn context(&self) -> ListenerContext {
        ListenerContext {
            dispatcher: self.dispatcher.clone(),
            slots: self.slots.clone(),
            memory: self.memory.clone(),
            shutdown: self.shutdown.clone(),
            requests_in_flight: self.requests_in_flight.clone(),
        }
    }

    /// Opens the platform's frontend, on the inherited socket if there is one and otherwise on `address`.
    pub(super) async fn open_platform(
        &self,
        address: &str,
        inherited: Option<std::net::TcpListener>,
    ) -> Result<JoinHandle<()>, DaemonError> {
        let frontend = PlatformFrontend(self.dispatcher.clone());
        let task = match inherited {
            Some(socket) => serve::adopt(socket, self.context(), frontend)?,
            None => serve::listen(address, self.context(), frontend).await?,
        };
        Ok(task)
    }

    /// Opens the admin endpoint unless `address` is empty. It stays open until the process exits, so that
    /// metrics remain available while the last requests are answered.
    pub(super) async fn open_admin(
        &self,
        address: &str,
        reloads: Rc<ReloadCounters>,
        #[cfg_attr(not(feature = "peers"), allow(unused_variables))] cluster: &OptionalCluster,
    ) -> Result<(), DaemonError> {
        if address.is_empty() {
            return Ok(());
        }
        let endpoint = AdminEndpoint {
            dispatcher: self.dispatcher.clone(),
            requests_in_flight: self.requests_in_flight.clone(),
            shutdown: self.shutdown.clone(),
            reloads,
            #[cfg(feature = "peers")]
            cluster: cluster.clone(),
        };
        admin::listen(address, endpoint).await?;
        Ok(())
    }

    /// Opens the signed frontend, and its metrics frontend if the operator's file gives an address for it.
    pub(super) async fn open_signed(&self, config: SignedConfig) -> Result<Vec<JoinHandle<()>>, DaemonError> {
        let SignedConfig { section, key_file, keys } = config;
        let (sender, keys) = watch::channel(Arc::new(keys));
        tokio::task::spawn_local(follow_keys(key_file, sender));
        let counts = Arc::new(OutcomeCounters::default());
        let mut tasks = Vec::new();
        if let Some(address) = section.metrics_listen {
            let metrics = MetricsFrontend(counts.clone());
            tasks.push(serve::listen(&address, self.context(), metrics).await?);
        }
        let dispatcher = self.dispatcher.clone();
        let frontend = SignedUrlFrontend { dispatcher, keys, clock: Clock::system(), counts };
        tasks.push(serve::listen(&section.listen, self.context(), frontend).await?);
        Ok(tasks)
    }
}
