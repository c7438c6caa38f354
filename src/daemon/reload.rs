//! Applies configurations that are reloaded while the process runs.

use crate::config::platform::{PlatformConfig, PlatformConfigError};
use crate::dispatch::Dispatcher;
use crate::frontend::admin::ReloadCounters;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};

/// A configuration that was read again, or the error that makes it unusable.
pub type ReloadedConfig = Result<PlatformConfig, PlatformConfigError>;

/// Applies the parts of a new configuration that can change at runtime: the settings and the discovery
/// service's address. The watch continues from its present revision, so the events that a new configuration
/// contains are not read from it: the discovery service sends them. An invalid configuration is rejected as a
/// whole, and the current one stays in force.
pub(super) struct Reloader {
    pub(super) current: PlatformConfig,
    pub(super) discovery_address: watch::Sender<String>,
    pub(super) dispatcher: Dispatcher,
    pub(super) counters: Rc<ReloadCounters>,
}

impl Reloader {
    pub(super) async fn run(mut self, mut configs: mpsc::Receiver<ReloadedConfig>) {
        while let Some(config) = configs.recv().await {
            match self.validate(config) {
                Ok(config) => {
                    self.counters.succeeded.set(self.counters.succeeded.get() + 1);
                    self.apply(config).await;
                }
                Err(error) => {
                    tracing::warn!(reason = %error, "configuration rejected; keeping the current one");
                    self.counters.failed.set(self.counters.failed.get() + 1);
                }
            }
        }
    }

    fn validate(&self, config: ReloadedConfig) -> ReloadedConfig {
        let config = config?;
        config.can_replace(&self.current)?;
        Ok(config)
    }

    async fn apply(&mut self, config: PlatformConfig) {
        tracing::info!("configuration reloaded");
        if needs_restart(&self.current, &config) {
            tracing::info!(
                "changes to listen addresses, limits, connections, zones and kinds require a restart"
            );
        }
        if config.settings != self.current.settings {
            // If the dispatcher has ended, so does the process.
            let _ = self.dispatcher.reload(config.settings.clone()).await;
        }
        self.discovery_address.send_if_modified(|address| {
            let is_changed = *address != config.discovery_address;
            address.clone_from(&config.discovery_address);
            is_changed
        });
        self.current = config;
    }
}

/// Returns whether a new configuration differs in values that are fixed at startup.
fn needs_restart(current: &PlatformConfig, new: &PlatformConfig) -> bool {
    let (old_settings, new_settings) = (&current.settings, &new.settings);
    current.listen != new.listen
        || current.admin_address != new.admin_address
        || current.max_descriptors != new.max_descriptors
        || current.max_memory_bytes != new.max_memory_bytes
        || current.connections != new.connections
        || old_settings.zones != new_settings.zones
        || old_settings.zone != new_settings.zone
        || old_settings.kinds != new_settings.kinds
        || old_settings.parent_kind != new_settings.parent_kind
        || old_settings.origin_kind != new_settings.origin_kind
}
