//! The connector for the director's own connections: starts an actor for each endpoint.

use super::descriptor_permits::DescriptorPermits;
use super::endpoint::EndpointActor;
use super::COMMAND_QUEUE;
use crate::config::settings::ConnectionSettings;
use crate::dispatch::{DispatcherSender, Endpoint, EndpointCommand, EndpointConnector};
use crate::policy::types::ServerId;
use tokio::sync::mpsc;

/// An [`EndpointConnector`] that uses the director's own connections and the line protocol.
#[derive(Clone, Debug)]
pub struct UpstreamConnector {
    settings: ConnectionSettings,
    permits: DescriptorPermits,
}

impl UpstreamConnector {
    /// Creates a connector that keeps at most `descriptors` connections open to all endpoints together.
    pub fn new(settings: ConnectionSettings, descriptors: usize) -> Self {
        UpstreamConnector { settings, permits: DescriptorPermits::new(descriptors) }
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
        let actor = EndpointActor::new(endpoint.address.clone(), settings, permits, dispatcher);
        tokio::task::spawn_local(actor.run(commands));
        sender
    }
}
