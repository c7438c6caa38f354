//! The actor of one endpoint: assigns the dispatcher's commands to the endpoint's connections.
//!
//! Every connection runs as a separate task that reports results directly to the dispatcher. When it
//! closes, it returns the attempts that it has not begun to write. The actor assigns them to another
//! connection unless they have been cancelled or their send deadline has passed.

use super::connection::ConnectionEvent;
use super::connection_pool::ConnectionPool;
use super::descriptor_permits::DescriptorPermits;
use super::COMMAND_QUEUE;
use crate::config::settings::ConnectionSettings;
use crate::dispatch::{
    AttemptError, AttemptId, DispatcherMessage, DispatcherSender, EndpointCommand, UpstreamRequest,
};
use crate::memory::MemoryBudget;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Assigns commands to the connections to one endpoint.
pub(super) struct EndpointActor {
    dispatcher: DispatcherSender,
    pool: ConnectionPool,
    events: mpsc::Receiver<ConnectionEvent>,
}

/// The reason why a command is assigned to a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Placement {
    /// The command comes from the dispatcher.
    First,
    /// The previous connection closed before the command was written.
    Retry,
}

impl EndpointActor {
    /// Creates an actor without connections; they are opened on demand.
    pub(super) fn new(
        address: Arc<str>,
        settings: ConnectionSettings,
        permits: DescriptorPermits,
        memory: MemoryBudget,
        dispatcher: DispatcherSender,
    ) -> Self {
        let (sender, events) = mpsc::channel(COMMAND_QUEUE);
        let pool = ConnectionPool::new(address, settings, permits, memory, dispatcher.clone(), sender);
        EndpointActor { dispatcher, pool, events }
    }

    /// Runs until the dispatcher drops the endpoint: the endpoint has left the server list, or another
    /// process has replaced it. Its connections then close by themselves after their last response, or once
    /// idle.
    pub(super) async fn run(mut self, mut commands: mpsc::Receiver<EndpointCommand>) {
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command, Placement::First).await,
                    None => return,
                },
                Some(event) = self.events.recv() => self.handle_event(event).await,
            }
        }
    }

    async fn handle_event(&mut self, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Up(connection) => self.pool.mark_up(connection),
            ConnectionEvent::AttemptDone(connection, attempt) => self.pool.release(connection, attempt),
            ConnectionEvent::Unresponsive(connection) => self.pool.mark_unresponsive(connection),
            ConnectionEvent::Closed(connection, unsent) => {
                self.pool.remove(connection);
                for command in unsent {
                    self.handle_command(command, Placement::Retry).await;
                }
            }
        }
    }

    async fn handle_command(&mut self, command: EndpointCommand, placement: Placement) {
        match command {
            EndpointCommand::Send(request) if request.cancellation.is_cancelled() => {
                self.report_end(request.attempt_id, AttemptError::Cancelled).await;
            }
            EndpointCommand::Send(request) => self.send(request, placement).await,
            EndpointCommand::Cancel(attempt) => self.pool.cancel(attempt),
            EndpointCommand::HealthCheck(number) => self.check_health(number).await,
        }
    }

    async fn send(&mut self, request: UpstreamRequest, placement: Placement) {
        let attempt = request.attempt_id;
        let error = match self.pool.send(request) {
            Ok(()) => return,
            // A connection has already failed before writing it, so the failure counts against the endpoint.
            Err(AttemptError::NotWritten) if placement == Placement::Retry => AttemptError::NotConnected,
            Err(error) => error,
        };
        self.report_end(attempt, error).await;
    }

    async fn check_health(&mut self, number: u64) {
        if !self.pool.check_health(number) {
            let failed = DispatcherMessage::HealthChecked(number, Err(AttemptError::NotWritten));
            self.dispatcher.send(failed).await;
        }
    }

    async fn report_end(&self, attempt: AttemptId, error: AttemptError) {
        self.dispatcher.send(DispatcherMessage::AttemptEnded(attempt, Err(error))).await;
    }
}
