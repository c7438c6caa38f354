//! What the sources of endpoint lists report of each server, and which report is in force. Types without
//! clock or I/O.
//!
//! A director has a list of its own, and may receive that of other directors by gossip. The events of both
//! are numbered, but not always by the same numbering, and one list may be behind the other. Therefore
//! reports are compared by their content: that of the later process is in force and, for one process, the
//! report that excludes it further. A drain or an end that any source has reported is not undone by an older
//! report.

use crate::dispatch::membership::Endpoint;
use crate::policy::types::{MemberState, MemberUpdate};
use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// The last report of each source on one server.
#[derive(Debug, Default)]
struct Reports {
    /// From the director's own list.
    own: Option<Endpoint>,
    /// From the state that directors replicate.
    replicated: Option<Endpoint>,
}

impl Reports {
    /// Returns the report that is in force.
    fn in_force(&self) -> Option<&Endpoint> {
        match (&self.own, &self.replicated) {
            (Some(own), Some(replicated)) => Some(prevailing(own, replicated)),
            (own, replicated) => own.as_ref().or(replicated.as_ref()),
        }
    }

    /// Records that the own list no longer has the server, without naming the process. It is the one that the
    /// own list reported last or, if that never had the server, the replicated state.
    fn end_own(&mut self) {
        let last = self.own.as_ref().or(self.replicated.as_ref());
        self.own = last.map(|last| Endpoint { state: MemberState::Gone, ..last.clone() });
    }

    /// Records an entry of the replicated state. That of an end names neither the process nor the server's
    /// properties; the process is the one that was replicated last.
    fn replace_replicated(&mut self, listing: Endpoint) {
        let started_at = self.replicated.as_ref().map_or(listing.started_at, |last| last.started_at);
        let last = self.replicated.as_ref().or(self.own.as_ref());
        self.replicated = Some(match last {
            Some(last) if listing.state == MemberState::Gone => {
                Endpoint { state: MemberState::Gone, started_at, ..last.clone() }
            }
            _ => listing,
        });
    }

    fn is_obsolete(&self) -> bool {
        let is_gone = |report: &Endpoint| report.state == MemberState::Gone;
        self.own.as_ref().is_none_or(is_gone) && self.replicated.as_ref().is_none_or(is_gone)
    }
}

/// Returns which of two reports on a server is in force.
fn prevailing<'a>(own: &'a Endpoint, replicated: &'a Endpoint) -> &'a Endpoint {
    match own.started_at.cmp(&replicated.started_at) {
        Ordering::Less => replicated,
        Ordering::Greater => own,
        Ordering::Equal if exclusion(replicated.state) > exclusion(own.state) => replicated,
        Ordering::Equal => own,
    }
}

/// Returns how far a state excludes a server from use.
fn exclusion(state: MemberState) -> u8 {
    match state {
        MemberState::Running => 0,
        MemberState::Draining => 1,
        MemberState::Gone => 2,
    }
}

/// The reports of all sources, by server. Servers that no source lists are removed, so that the table is
/// bounded by the endpoint lists.
#[derive(Debug, Default)]
pub(super) struct EndpointSources(HashMap<Arc<str>, Reports>);

impl EndpointSources {
    /// Records an update of the director's own list, and returns the reports that are in force for the
    /// servers concerned: for all servers after a full list, which reports those that it lacks as gone.
    pub(super) fn update_own(&mut self, kind: MemberUpdate, listings: Vec<Endpoint>) -> Vec<Endpoint> {
        let mut names: Vec<Arc<str>> = listings.iter().map(|listing| listing.name.clone()).collect();
        if kind == MemberUpdate::Full {
            let listed: HashSet<Arc<str>> = names.iter().cloned().collect();
            for (name, reports) in &mut self.0 {
                if !listed.contains(name) {
                    reports.end_own();
                    names.push(name.clone());
                }
            }
        }
        for listing in listings {
            let reports = self.0.entry(listing.name.clone()).or_default();
            if listing.state == MemberState::Gone && listing.started_at == 0 {
                reports.end_own();
            } else {
                reports.own = Some(listing);
            }
        }
        self.take_in_force(&names)
    }

    /// Records a report of the replicated state, and returns the report that is in force for the server.
    pub(super) fn update_replicated(&mut self, listing: Endpoint) -> Option<Endpoint> {
        let name = listing.name.clone();
        let reports = self.0.entry(name.clone()).or_default();
        reports.replace_replicated(listing);
        self.take_in_force(&[name]).pop()
    }

    /// Returns the report that is in force for a server, or `None` if no source lists it.
    pub(super) fn in_force(&self, name: &str) -> Option<Endpoint> {
        self.0.get(name).and_then(Reports::in_force).cloned()
    }

    /// Returns the number of servers that a source lists.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the reports in force for these servers, and removes those that no source lists any more.
    fn take_in_force(&mut self, names: &[Arc<str>]) -> Vec<Endpoint> {
        let in_force = names.iter().filter_map(|name| self.in_force(name)).collect();
        for name in names {
            if self.0.get(name).is_some_and(Reports::is_obsolete) {
                self.0.remove(name);
            }
        }
        in_force
    }
}
