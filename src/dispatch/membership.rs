//! What is made of several words about one member: decisions without clock or I/O.
//!
//! Sources report what they see; an operator or a host application may say that a server drains. That word
//! stands above every source for as long as the same process runs there, so that a source that lags, or a
//! full list that comes a moment later, does not put the server back into service.

use crate::policy::types::{MemberState, Micros};
use std::collections::HashMap;
use std::sync::Arc;

/// What is told of a member of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name, the same at every director.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: Arc<str>,
    /// Its zone's name.
    pub zone: String,
    /// Its kind's name.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: MemberState,
    /// Its size; 0: not told.
    pub size: f64,
    /// Unix time of a late start in microseconds, or 0.
    pub started_at: Micros,
}

/// Drains that were told beside the sources, at most; the list itself bounds it, for a name that no source
/// lists is not kept.
#[derive(Debug, Default)]
pub struct DrainOverrides(HashMap<Arc<str>, Micros>);

impl DrainOverrides {
    /// Puts a member, as its source last listed it, into drain.
    pub fn begin(&mut self, listing: &Endpoint) {
        self.0.insert(listing.name.clone(), listing.started_at);
    }

    /// Takes the word back; whether there was one.
    pub fn end(&mut self, name: &str) -> bool {
        self.0.remove(name).is_some()
    }

    /// What a source's word about a member comes to.
    pub fn apply(&mut self, listing: &mut Endpoint) {
        let Some(since) = self.0.get(&listing.name) else { return };
        if listing.state == MemberState::Gone || listing.started_at > *since {
            // The process that was to drain has gone, and another may run under its name.
            self.0.remove(&listing.name);
        } else if listing.state == MemberState::Running {
            listing.state = MemberState::Draining;
        }
    }

    /// Forgets all that is not listed any more.
    pub fn retain(&mut self, listed: impl Fn(&Arc<str>) -> bool) {
        self.0.retain(|name, _| listed(name));
    }

    /// How many are in force.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
