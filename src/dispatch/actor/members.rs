//! Updates of the endpoint list.

use super::Actor;
use crate::dispatch::{DrainCommand, Endpoint, EndpointConnector};
use crate::policy::types::{Event, MemberUpdate, Outcome};
use std::sync::Arc;

impl<C: EndpointConnector> Actor<C> {
    /// Drains a listed server or ends its drain, with precedence over the server's source. Returns whether
    /// the server is listed.
    pub(super) fn override_drain(&mut self, name: &Arc<str>, command: DrainCommand) -> bool {
        let Some(listing) = self.endpoints.override_drain(name, command) else { return false };
        self.apply_listings(MemberUpdate::Incremental, vec![listing]);
        true
    }

    /// Handles an update of the director's own endpoint list.
    pub(super) fn update_members(&mut self, kind: MemberUpdate, listings: Vec<Endpoint>) {
        let in_force = self.endpoints.record_own(kind, listings);
        self.apply_listings(kind, in_force);
    }

    /// Handles a change of a server's entry in the state that directors replicate.
    pub(super) fn update_replicated_member(&mut self, listing: Endpoint) {
        if let Some(in_force) = self.endpoints.record_replicated(listing) {
            self.apply_listings(MemberUpdate::Incremental, vec![in_force]);
        }
    }

    /// Applies listings that are in force. Attempts sent to a process that has been replaced end with a
    /// reset, because that process will not respond any more.
    fn apply_listings(&mut self, kind: MemberUpdate, listings: Vec<Endpoint>) {
        let update = self.endpoints.apply_update(kind, listings, &self.settings);
        self.events.push_back(Event::Members { kind, members: update.members });
        for attempt in self.attempts.lost_to_restarts(&update.restarted) {
            self.complete_attempt(attempt, Outcome::Reset, None);
        }
        self.endpoints.remove_gone(|server| self.attempts.any_at(server));
    }
}
