//! The connector for the director's own connections: starts an actor for each endpoint.

use super::descriptor_permits::DescriptorPermits;
use super::endpoint::EndpointActor;
use super::COMMAND_QUEUE;
use crate::config::settings::ConnectionSettings;
use crate::dispatch::{DispatcherSender, Endpoint, EndpointCommand, EndpointConnector};
use crate::memory::MemoryBudget;
use crate::policy::types::ServerId;
use tokio::sync::mpsc;

/// Limit on the bytes of responses if the host of the connector sets none.
const DEFAULT_RESPONSE_BYTES: usize = 64 << 20;

/// An [`EndpointConnector`] that uses the director's own connections and the line protocol.
#[derive(Clone, Debug)]
pub struct UpstreamConnector {
    settings: ConnectionSettings,
    permits: DescriptorPermits,
    memory: MemoryBudget,
}

impl UpstreamConnector {
    /// Creates a connector that keeps at most `descriptors` connections open to all endpoints together.
    pub fn new(settings: ConnectionSettings, descriptors: usize) -> Self {
        let memory = MemoryBudget::new(DEFAULT_RESPONSE_BYTES);
        UpstreamConnector { settings, permits: DescriptorPermits::new(descriptors), memory }
    }

    /// Uses this budget for responses. The default is a budget of 64 MiB of the connector's own.
    pub fn with_memory(self, memory: MemoryBudget) -> Self {
        UpstreamConnector { memory, ..self }
    }
}

impl EndpointConnector for UpstreamConnector {
    fn connect(
        &mut self,
        _: ServerId,
        endpoint: &Endpoint,
        dispatcher: DispatcherSender,
    ) -> mpsc::Sender<EndpointCommand> {
        let (sender, commands) = mpsc::channel(COMMAND_QUEUE);
        let (settings, permits) = (self.settings.clone(), self.permits.clone());
        let (address, memory) = (endpoint.address.clone(), self.memory.clone());
        let actor = EndpointActor::new(address, settings, permits, memory, dispatcher);
        tokio::task::spawn_local(actor.run(commands));
        sender
    }
}
