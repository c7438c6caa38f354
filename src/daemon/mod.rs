//! The daemon: starts the dispatcher, its sources of endpoints and the frontends from a configuration, and
//! stops them.
//!
//! | module | contents |
//! | --- | --- |
//! | [`descriptors`] | the descriptor budget of the process |
//! | [`memory`] | the memory budget of the process |
//! | `startup` | startup of the dispatcher, its sources of endpoints, and gossip among directors |
//! | `frontends` | startup of the frontends and the admin endpoint |
//! | `reload` | configuration reloads |
//! | `shutdown` | graceful shutdown |
//! | `error` | errors that prevent the daemon from starting or end it |

pub mod descriptors;
mod error;
mod frontends;
pub mod memory;
mod reload;
mod shutdown;
mod startup;

pub use error::DaemonError;
pub use reload::ReloadedConfig;

use crate::config::operator::OperatorConfig;
use crate::config::platform::PlatformConfig;
use crate::frontend::admin::ReloadCounters;
use crate::frontend::serve::{ConnectionSlots, ShutdownPhase};
use descriptors::{DescriptorBudget, DescriptorNeeds};
use frontends::{Frontends, SignedConfig};
use reload::Reloader;
use shutdown::{GracefulShutdown, Successor};
use startup::{Backend, Sources};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// Runs a director until `terminated` completes, then shuts down gracefully: accepted requests are answered
/// first.
///
/// The signed frontend runs beside the platform's if the operator's file configures it. A configuration
/// received from `configs` replaces the settings and the discovery service's address; requests in progress
/// are unaffected. If `inherited` is set, clients connect to that socket, which another process serves too,
/// now or after this one.
pub async fn run(
    config: PlatformConfig,
    operator: OperatorConfig,
    inherited: Option<std::net::TcpListener>,
    configs: mpsc::Receiver<ReloadedConfig>,
    terminated: impl Future<Output = ()>,
) -> Result<(), DaemonError> {
    let successor = if inherited.is_some() { Successor::OnInheritedSocket } else { Successor::None };
    let budget = allocate_descriptors(&config, &operator, successor);
    let memory = memory::allocate(config.max_memory_bytes, successor == Successor::OnInheritedSocket);
    let (to_discovery, discovery_address) = watch::channel(config.discovery_address.clone());
    let signed = operator.signed.map(SignedConfig::open).transpose()?;
    let sources = Sources { discovery_address, xds_file: operator.xds_file, peers: operator.peers };
    let Backend { dispatcher, dispatcher_task, cluster } =
        sources.start(&config, budget.upstream_limit, &memory).await?;
    let reloads = Rc::new(ReloadCounters::default());
    let reloader = Reloader {
        current: config.clone(),
        discovery_address: to_discovery,
        dispatcher: dispatcher.clone(),
        counters: reloads.clone(),
    };
    tokio::task::spawn_local(reloader.run(configs));
    let (phase, shutdown) = watch::channel(ShutdownPhase::Running);
    let requests_in_flight = Rc::new(Cell::new(0));
    let frontends = Frontends {
        dispatcher: dispatcher.clone(),
        slots: ConnectionSlots::new(budget.client_soft_limit, budget.client_hard_limit),
        memory,
        shutdown,
        requests_in_flight: requests_in_flight.clone(),
    };
    let mut listeners = vec![frontends.open_platform(&config.listen, inherited).await?];
    frontends.open_admin(&config.admin_address, reloads, &cluster).await?;
    if let Some(signed) = signed {
        listeners.extend(frontends.open_signed(signed).await?);
    }
    tokio::select! {
        () = terminated => {}
        end = dispatcher_task => return Err(DaemonError::DispatcherEnded(end)),
    }
    let shutdown = GracefulShutdown { listeners, successor, phase, requests_in_flight, cluster };
    shutdown.run(&dispatcher).await;
    Ok(())
}

/// Computes the descriptor budget. Called before the director opens any descriptor.
fn allocate_descriptors(
    config: &PlatformConfig,
    operator: &OperatorConfig,
    successor: Successor,
) -> DescriptorBudget {
    let admin = !config.admin_address.is_empty();
    let handover = successor == Successor::OnInheritedSocket;
    let signed = operator.signed.as_ref().map_or(0, |s| 1 + usize::from(s.metrics_listen.is_some()));
    let needs = DescriptorNeeds {
        already_open: descriptors::count_open(),
        listeners: usize::from(!handover) + usize::from(admin) + signed,
        admin,
        cluster: operator.peers.is_some(),
        handover,
    };
    DescriptorBudget::allocate(config.max_descriptors, &needs)
}
