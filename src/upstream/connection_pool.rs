//! The connections to one endpoint, and the selection of one for each request.

use super::connection::{Connection, ConnectionEvent, ConnectionId, Reporter};
use super::descriptor_permits::DescriptorPermits;
use super::COMMAND_QUEUE;
use crate::config::settings::ConnectionSettings;
use crate::dispatch::{AttemptError, AttemptId, DispatcherSender, EndpointCommand, UpstreamRequest};
use crate::memory::MemoryBudget;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Maximum number of connections to one endpoint, so that all endpoints together fit the descriptor limit.
const MAX_CONNECTIONS: usize = 8;
/// Number of attempts on a connection from which another one is opened, because a response that can't be
/// decoded fails every attempt on its connection. If no other can be opened, a connection carries up to
/// `max_streams` attempts.
const PREFERRED_ATTEMPTS: usize = 4;

/// The connections to one endpoint.
pub(super) struct ConnectionPool {
    address: Arc<str>,
    settings: ConnectionSettings,
    permits: DescriptorPermits,
    memory: MemoryBudget,
    dispatcher: DispatcherSender,
    events: mpsc::Sender<ConnectionEvent>,
    connections: Vec<PooledConnection>,
    next_id: u64,
}

/// The pool's record of a connection.
struct PooledConnection {
    id: ConnectionId,
    commands: mpsc::Sender<EndpointCommand>,
    /// The attempts assigned to the connection, with the ids of their requests.
    attempts: HashMap<AttemptId, Arc<str>>,
    is_up: bool,
    /// The connection may be broken and gets no new requests or health checks.
    is_unresponsive: bool,
}

impl PooledConnection {
    /// Returns whether the connection can carry the request. Two attempts of one request never share a
    /// connection, because their responses would have the same id.
    fn accepts(&self, request: &UpstreamRequest, max_streams: usize) -> bool {
        !self.is_unresponsive
            && self.attempts.len() < max_streams
            && self.attempts.values().all(|id| *id != request.id)
    }
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub(super) fn new(
        address: Arc<str>,
        settings: ConnectionSettings,
        permits: DescriptorPermits,
        memory: MemoryBudget,
        dispatcher: DispatcherSender,
        events: mpsc::Sender<ConnectionEvent>,
    ) -> Self {
        let connections = Vec::new();
        ConnectionPool { address, settings, permits, memory, dispatcher, events, connections, next_id: 0 }
    }

    /// Records that a connection is established.
    pub(super) fn mark_up(&mut self, id: ConnectionId) {
        if let Some(connection) = self.find(id) {
            connection.is_up = true;
        }
    }

    /// Records that a connection no longer carries an attempt.
    pub(super) fn release(&mut self, id: ConnectionId, attempt: AttemptId) {
        if let Some(connection) = self.find(id) {
            connection.attempts.remove(&attempt);
        }
        self.drop_unresponsive();
    }

    /// Records that a connection may be broken: it gets no new requests and is dropped after its last
    /// attempt.
    pub(super) fn mark_unresponsive(&mut self, id: ConnectionId) {
        if let Some(connection) = self.find(id) {
            connection.is_unresponsive = true;
        }
        self.drop_unresponsive();
    }

    /// Removes a connection that has closed.
    pub(super) fn remove(&mut self, id: ConnectionId) {
        self.connections.retain(|connection| connection.id != id);
    }

    /// Sends a request on a connection chosen for it.
    pub(super) fn send(&mut self, request: UpstreamRequest) -> Result<(), AttemptError> {
        let (attempt, id) = (request.attempt_id, request.id.clone());
        let connection = self.choose(&request)?;
        let command = EndpointCommand::Send(request);
        connection.commands.try_send(command).map_err(|_| AttemptError::NotWritten)?;
        connection.attempts.insert(attempt, id);
        Ok(())
    }

    /// Passes a cancellation to the connection that carries the attempt.
    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        let assigned = self.connections.iter().find(|connection| connection.attempts.contains_key(&attempt));
        if let Some(connection) = assigned {
            // If the channel is full or closed, the cancellation token still prevents an unwritten request
            // from being written.
            let _ = connection.commands.try_send(EndpointCommand::Cancel(attempt));
        }
    }

    /// Sends a health check on any responsive connection, opening one if there is none; returns whether a
    /// connection accepted it.
    pub(super) fn check_health(&mut self, number: u64) -> bool {
        let usable = self.connections.iter().position(|connection| !connection.is_unresponsive);
        let Some(index) = usable.or_else(|| self.open().ok()) else { return false };
        let command = EndpointCommand::HealthCheck(number);
        self.connections.get(index).is_some_and(|connection| connection.commands.try_send(command).is_ok())
    }

    /// Chooses the connection for a request. Among connections below the preferred number of attempts it
    /// prefers established ones and then the one with the most attempts, so that the others become idle and
    /// close. If there is none it opens a new connection; if that fails it takes the one with the fewest
    /// attempts.
    fn choose(&mut self, request: &UpstreamRequest) -> Result<&mut PooledConnection, AttemptError> {
        // A connection that has closed, but whose report is still under way, would return the attempt unsent.
        self.connections.retain(|connection| !connection.commands.is_closed());
        let max_streams = self.settings.max_streams;
        let usable = || {
            let all = self.connections.iter().enumerate();
            all.filter(|(_, connection)| connection.accepts(request, max_streams))
        };
        let preferred = usable()
            .filter(|(_, connection)| connection.attempts.len() < PREFERRED_ATTEMPTS)
            .max_by_key(|(_, connection)| (connection.is_up, connection.attempts.len()))
            .map(|(index, _)| index);
        let least_loaded =
            usable().min_by_key(|(_, connection)| connection.attempts.len()).map(|(index, _)| index);
        let index = match preferred {
            Some(index) => index,
            None => self.open().or_else(|error| least_loaded.ok_or(error))?,
        };
        self.connections.get_mut(index).ok_or(AttemptError::NotWritten)
    }

    /// Opens a connection and returns its index. Returns an error if the endpoint has the maximum number of
    /// connections or no descriptor is free; the attempt then ends unsent and the router chooses another
    /// endpoint.
    fn open(&mut self) -> Result<usize, AttemptError> {
        if self.connections.len() >= MAX_CONNECTIONS {
            return Err(AttemptError::NotWritten);
        }
        let permit = self.permits.try_acquire().ok_or(AttemptError::NoDescriptor)?;
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let (sender, commands) = mpsc::channel(COMMAND_QUEUE);
        let reporter = Reporter::new(id, self.dispatcher.clone(), self.events.clone());
        let (address, settings, memory) = (self.address.clone(), self.settings.clone(), self.memory.clone());
        let connection = Connection::new(address, settings, permit, memory, reporter);
        tokio::task::spawn_local(connection.run(commands));
        self.connections.push(PooledConnection {
            id,
            commands: sender,
            attempts: HashMap::new(),
            is_up: false,
            is_unresponsive: false,
        });
        Ok(self.connections.len() - 1)
    }

    fn find(&mut self, id: ConnectionId) -> Option<&mut PooledConnection> {
        self.connections.iter_mut().find(|connection| connection.id == id)
    }

    fn drop_unresponsive(&mut self) {
        self.connections.retain(|connection| !(connection.is_unresponsive && connection.attempts.is_empty()));
    }
}
