//! The endpoint registry: the servers of the endpoint list, with their numbers and connection actors.
//!
//! An update of a list is recorded first, which gives the reports that are in force; these are applied then.

use super::endpoint_sources::EndpointSources;
use super::naming::server_number;
use crate::dispatch::membership::{DrainOverrides, Endpoint};
use crate::dispatch::{Clock, DispatcherSender, DrainCommand, EndpointCommand, EndpointConnector};
use crate::policy::types::{Member, MemberState, MemberUpdate, Micros, ServerId, Settings};
use std::collections::HashMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use tokio::sync::mpsc;

/// A server of the endpoint list, or one that is gone but still has attempts in flight.
struct RegisteredEndpoint {
    listing: Endpoint,
    /// Start of its process, by the monotonic clock.
    started_at: Micros,
    mailbox: mpsc::Sender<EndpointCommand>,
}

impl RegisteredEndpoint {
    fn is_gone(&self) -> bool {
        self.listing.state == MemberState::Gone
    }

    /// Returns whether the listing describes the process that this endpoint is connected to.
    fn is_same_process(&self, listing: &Endpoint) -> bool {
        self.listing.address == listing.address && self.listing.started_at == listing.started_at
    }
}

/// An endpoint whose process was replaced by a new one.
#[derive(Clone, Copy, Debug)]
pub(super) struct RestartedEndpoint {
    pub(super) server: ServerId,
    /// Start of the new process, by the monotonic clock.
    pub(super) started_at: Micros,
}

/// The result of applying an update of the endpoint list.
#[derive(Debug, Default)]
pub(super) struct RegistryUpdate {
    /// The entries in the form that the policy receives.
    pub(super) members: Vec<Member>,
    /// Endpoints whose process was replaced by a new one.
    pub(super) restarted: Vec<RestartedEndpoint>,
}

/// The servers by number and name, and the connector that starts their connection actors.
pub(super) struct EndpointRegistry<C> {
    connector: C,
    reports: DispatcherSender,
    clock: Clock,
    endpoints: HashMap<ServerId, RegisteredEndpoint>,
    numbers: HashMap<Arc<str>, ServerId>,
    sources: EndpointSources,
    drains: DrainOverrides,
}

impl<C: EndpointConnector> EndpointRegistry<C> {
    /// Creates an empty registry, whose connection actors report to `reports`.
    pub(super) fn new(connector: C, reports: DispatcherSender, clock: Clock) -> Self {
        EndpointRegistry {
            connector,
            reports,
            clock,
            endpoints: HashMap::new(),
            numbers: HashMap::new(),
            sources: EndpointSources::default(),
            drains: DrainOverrides::default(),
        }
    }

    /// Returns the name of a registered server.
    pub(super) fn name(&self, server: ServerId) -> Option<&Arc<str>> {
        self.endpoints.get(&server).map(|endpoint| &endpoint.listing.name)
    }

    /// Returns the number of servers in the endpoint list.
    pub(super) fn listed(&self) -> usize {
        self.endpoints.values().filter(|endpoint| !endpoint.is_gone()).count()
    }

    /// Returns the number of registered servers: those in the endpoint list, and those that are gone but
    /// still have attempts in flight.
    pub(super) fn len(&self) -> usize {
        self.endpoints.len().max(self.numbers.len()).max(self.sources.len())
    }

    /// Returns the number of messages queued in the mailbox to which the connection actors report.
    pub(super) fn queued_reports(&self) -> usize {
        self.reports.queued()
    }

    /// Sends a command to a server's connection actor. Returns whether the actor accepted it.
    pub(super) fn try_send(&self, server: ServerId, command: EndpointCommand) -> bool {
        self.endpoints.get(&server).is_some_and(|endpoint| endpoint.mailbox.try_send(command).is_ok())
    }

    /// Restarts a server's connection actor if it has ended. While the server is listed, only a panic ends
    /// the actor.
    pub(super) fn reconnect_if_ended(&mut self, server: ServerId) {
        let Some(endpoint) = self.endpoints.get_mut(&server) else { return };
        if endpoint.mailbox.is_closed() && !endpoint.is_gone() {
            tracing::warn!(
                server = %endpoint.listing.name,
                "connection task ended unexpectedly; restarting it"
            );
            endpoint.mailbox = connect(&mut self.connector, server, &endpoint.listing, &self.reports);
        }
    }

    /// Records that a server is to be drained or no longer drained. Returns what its sources report, which
    /// the caller must apply again. Returns `None` if the server is not listed.
    pub(super) fn override_drain(&mut self, name: &Arc<str>, command: DrainCommand) -> Option<Endpoint> {
        let endpoint = self.numbers.get(name).and_then(|server| self.endpoints.get(server))?;
        if endpoint.is_gone() {
            return None;
        }
        let listing = self.sources.in_force(name)?;
        match command {
            DrainCommand::Drain => self.drains.begin(&listing),
            DrainCommand::Undrain => drop(self.drains.end(name)),
        }
        Some(listing)
    }

    /// Records an update of the director's own list. Returns the listings to apply.
    pub(super) fn record_own(&mut self, kind: MemberUpdate, listings: Vec<Endpoint>) -> Vec<Endpoint> {
        self.sources.update_own(kind, listings)
    }

    /// Records a server's entry in the replicated state. Returns the listing to apply, if there is one.
    pub(super) fn record_replicated(&mut self, listing: Endpoint) -> Option<Endpoint> {
        self.sources.update_replicated(listing)
    }

    /// Applies listings that are in force. A full update marks all servers that it does not name as gone.
    pub(super) fn apply_update(
        &mut self,
        kind: MemberUpdate,
        mut listings: Vec<Endpoint>,
        settings: &Settings,
    ) -> RegistryUpdate {
        listings.iter_mut().for_each(|listing| self.drains.apply(listing));
        if kind == MemberUpdate::Full {
            listings.retain(|listing| listing.state != MemberState::Gone);
            self.endpoints.values_mut().for_each(|e| e.listing.state = MemberState::Gone);
        }
        let mut update = RegistryUpdate::default();
        for listing in listings {
            self.apply_listing(listing, settings, &mut update);
        }
        update
    }

    fn apply_listing(&mut self, listing: Endpoint, settings: &Settings, update: &mut RegistryUpdate) {
        let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let zone = position(&settings.zones, &listing.zone);
        let kind = position(&settings.kinds, &listing.kind);
        let (Some(zone), Some(kind)) = (zone, kind) else {
            tracing::info!(
                server = %listing.name,
                zone = %listing.zone,
                kind = %listing.kind,
                "endpoint of unknown zone or kind ignored"
            );
            return;
        };
        let server = self.assign_number(&listing.name);
        let started_at = self.monotonic_start(server, &listing);
        let (cell, state, size) = (listing.cell, listing.state, listing.size);
        if self.register(server, listing, started_at) == Registration::Restarted {
            update.restarted.push(RestartedEndpoint { server, started_at });
        }
        update.members.push(Member { server, zone, kind, cell, state, size, started_at });
    }

    /// Returns the start of a listed process by the monotonic clock. The time is converted only once: the
    /// result of a second conversion could differ slightly and be taken for another start.
    fn monotonic_start(&self, server: ServerId, listing: &Endpoint) -> Micros {
        match self.endpoints.get(&server) {
            Some(known) if known.listing.started_at == listing.started_at => known.started_at,
            _ => self.clock.unix_to_monotonic(listing.started_at),
        }
    }

    /// Registers a listing, and connects to the server if it is new or its process has been replaced.
    /// Connections to the old process are of no use, and if its machine has failed, they would stay open
    /// without any traffic.
    fn register(&mut self, server: ServerId, listing: Endpoint, started_at: Micros) -> Registration {
        let is_gone = listing.state == MemberState::Gone;
        let registration = match self.endpoints.get_mut(&server) {
            None if is_gone => return Registration::Unchanged,
            None => Registration::Added,
            Some(known) => {
                let is_same = known.is_same_process(&listing);
                let has_restarted = !is_same && listing.started_at > 0;
                let registration =
                    if has_restarted { Registration::Restarted } else { Registration::Unchanged };
                if is_same || is_gone {
                    known.listing = listing;
                    return registration;
                }
                registration
            }
        };
        let mailbox = connect(&mut self.connector, server, &listing, &self.reports);
        self.endpoints.insert(server, RegisteredEndpoint { listing, started_at, mailbox });
        registration
    }

    /// Returns the number by which the policy knows a server, and assigns it if the server is new. The number
    /// is derived from the name alone, so that all directors agree. If two names give the same number, the
    /// later server gets the next free number.
    fn assign_number(&mut self, name: &Arc<str>) -> ServerId {
        if let Some(server) = self.numbers.get(name) {
            return *server;
        }
        let mut number = server_number(name);
        while self.endpoints.contains_key(&ServerId(number)) {
            number = number.wrapping_add(1);
        }
        self.numbers.insert(name.clone(), ServerId(number));
        ServerId(number)
    }

    /// Removes the servers that are gone and have no attempts in flight, with all data about them.
    pub(super) fn remove_gone(&mut self, has_attempts: impl Fn(ServerId) -> bool) {
        self.endpoints.retain(|server, endpoint| !endpoint.is_gone() || has_attempts(*server));
        let endpoints = &self.endpoints;
        self.numbers.retain(|_, server| endpoints.contains_key(server));
        let numbers = &self.numbers;
        self.drains.retain(|name| numbers.contains_key(name));
    }
}

/// The effect of registering a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Registration {
    /// The server was not registered before.
    Added,
    /// A new process replaced the one that was registered.
    Restarted,
    /// The process is not known to have been replaced.
    Unchanged,
}

/// Starts a connection actor. Guards the dispatcher against a panic in the connector of a host application:
/// the server then has a mailbox without a receiver, attempts there end unsent, and each attempt tries to
/// restart the actor.
fn connect<C: EndpointConnector>(
    connector: &mut C,
    server: ServerId,
    listing: &Endpoint,
    reports: &DispatcherSender,
) -> mpsc::Sender<EndpointCommand> {
    let connected = catch_unwind(AssertUnwindSafe(|| connector.connect(server, listing, reports.clone())));
    connected.unwrap_or_else(|_| mpsc::channel(1).0)
}
