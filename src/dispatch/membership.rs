//! Endpoints as listed by their sources, and drain overrides with precedence over the sources. Types without
//! clock or I/O.
//!
//! Sources report the state that they observe, but an operator or a host application may drain a server. Such
//! an override takes precedence over every source for as long as the same process runs there. A source that
//! lags, or a full list that arrives a moment later, then does not put the server back into service.

use crate::policy::types::{MemberState, Micros};
use std::collections::HashMap;
use std::sync::Arc;

/// A server of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name, which is the same at every director.
    pub name: Arc<str>,
    /// Address that the server listens on.
    pub address: Arc<str>,
    /// Name of the server's zone.
    pub zone: String,
    /// Name of the server's kind.
    pub kind: String,
    /// Number of the cell that the server is in.
    pub cell: u32,
    /// State reported by the source, or set by a drain override.
    pub state: MemberState,
    /// Size of the server; 0 if it is not known.
    pub size: f64,
    /// Unix time at which the server's process started, in microseconds; 0 if it is not known.
    pub started_at: Micros,
}

/// A command of an operator or a host application to drain a server, or to end the drain, with precedence
/// over the server's source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainCommand {
    /// Start a drain.
    Drain,
    /// End a drain.
    Undrain,
}

/// The drain overrides set by an operator or a host application: by server, with the start of the process
/// that is to be drained. Their number is bounded by the endpoint list, because an override for a name that
/// no source lists is removed.
#[derive(Debug, Default)]
pub struct DrainOverrides(HashMap<Arc<str>, Micros>);

impl DrainOverrides {
    /// Sets a drain override for the process that the server's source listed last.
    pub fn begin(&mut self, listing: &Endpoint) {
        self.0.insert(listing.name.clone(), listing.started_at);
    }

    /// Removes a drain override. Returns whether there was one.
    pub fn end(&mut self, name: &str) -> bool {
        self.0.remove(name).is_some()
    }

    /// Applies the drain override to a listing from a source. Removes the override if the process is gone.
    pub fn apply(&mut self, listing: &mut Endpoint) {
        let Some(started_at) = self.0.get(&listing.name) else { return };
        if listing.state == MemberState::Gone || listing.started_at > *started_at {
            // The process that was to be drained is gone, and another may run under its name.
            self.0.remove(&listing.name);
        } else if listing.state == MemberState::Running {
            listing.state = MemberState::Draining;
        }
    }

    /// Removes the overrides of servers that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&Arc<str>) -> bool) {
        self.0.retain(|name, _| is_listed(name));
    }

    /// Returns the number of overrides in force.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no override is in force.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
