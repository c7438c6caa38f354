//! The daemon: a configuration, the dispatcher, its sources of endpoints and its frontends, put together.
//!
//! | module | job |
//! | --- | --- |
//! | [`descriptors`] | divides the descriptors that the process may hold |
//! | `startup` | starts the dispatcher, its sources, and the gossip among directors |
//! | `frontends` | opens the frontends |
//! | `reload` | applies configurations that come while the process runs |
//! | `shutdown` | the graceful shutdown |
//! | `error` | why the daemon can't start, or ended by itself |

pub mod descriptors;
mod error;
mod frontends;
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

/// Runs a director until `terminated` is done and every request accepted by then is answered.
///
/// The signed frontend runs beside the platform's where the operators' file says so. Of a configuration that
/// comes later the discovery service's address and the settings are applied; what is under way is left alone.
/// Clients connect to the inherited socket, where there is one: another process serves it too, or will.
pub async fn run(
    config: PlatformConfig,
    operator: OperatorConfig,
    inherited: Option<std::net::TcpListener>,
    configs: mpsc::Receiver<ReloadedConfig>,
    terminated: impl Future<Output = ()>,
) -> Result<(), DaemonError> {
    let successor = if inherited.is_some() { Successor::OnInheritedSocket } else { Successor::None };
    let budget = allocate_descriptors(&config, &operator, successor);
    let (to_discovery, discovery_address) = watch::channel(config.discovery_address.clone());
    let signed = operator.signed.map(SignedConfig::open).transpose()?;
    let sources = Sources { discovery_address, xds_file: operator.xds_file, peers: operator.peers };
    let Backend { dispatcher, dispatcher_task, cluster } =
        sources.start(&config, budget.upstream_limit).await?;
    let reloads = Rc::new(ReloadCounters::default());
    let reloader = Reloader {
        current: config.clone(),
        discovery_address: to_discovery,
        dispatcher: dispatcher.sender(),
        counters: reloads.clone(),
    };
    tokio::task::spawn_local(reloader.run(configs));
    let (phase, shutdown) = watch::channel(ShutdownPhase::Running);
    let requests_in_flight = Rc::new(Cell::new(0));
    let frontends = Frontends {
        dispatcher: dispatcher.clone(),
        slots: ConnectionSlots::new(budget.client_soft_limit, budget.client_hard_limit),
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

/// Divides the descriptors, before the director opens any.
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
