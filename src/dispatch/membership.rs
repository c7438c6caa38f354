//! Endpoints as sources list them, and the drain overrides above the sources: without clock or I/O.
//!
//! Sources report what they see; an operator or a host application may drain a server. That override stands
//! above every source for as long as the same process runs there, so that a source that lags, or a full list
//! that comes a moment later, does not put the server back into service.

use crate::policy::types::{MemberState, Micros};
use std::collections::HashMap;
use std::sync::Arc;

/// A server of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name, the same at every director.
    pub name: Arc<str>,
    /// The address that it listens on.
    pub address: Arc<str>,
    /// Its zone's name.
    pub zone: String,
    /// Its kind's name.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: MemberState,
    /// Its size; 0: not known.
    pub size: f64,
    /// Unix time of its process's start in microseconds; 0: not known.
    pub started_at: Micros,
}

/// What an operator or a host application wants of a server, whatever its source says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainCommand {
    /// Drain it.
    Drain,
    /// End the drain.
    Undrain,
}

/// Drains that an operator or a host application has ordered, by server, with the start of the process that
/// is to drain. The endpoint list bounds them, for one of a name that no source lists is removed.
#[derive(Debug, Default)]
pub struct DrainOverrides(HashMap<Arc<str>, Micros>);

impl DrainOverrides {
    /// Drains a server, as its source last listed it.
    pub fn begin(&mut self, listing: &Endpoint) {
        self.0.insert(listing.name.clone(), listing.started_at);
    }

    /// Ends a drain; whether there was one.
    pub fn end(&mut self, name: &str) -> bool {
        self.0.remove(name).is_some()
    }

    /// Applies the override to a listing of a source, and ends it where its process has gone.
    pub fn apply(&mut self, listing: &mut Endpoint) {
        let Some(started_at) = self.0.get(&listing.name) else { return };
        if listing.state == MemberState::Gone || listing.started_at > *started_at {
            // The process that was to drain has gone, and another may run under its name.
            self.0.remove(&listing.name);
        } else if listing.state == MemberState::Running {
            listing.state = MemberState::Draining;
        }
    }

    /// Removes the overrides of servers that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(&Arc<str>) -> bool) {
        self.0.retain(|name, _| is_listed(name));
    }

    /// Overrides in force.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
