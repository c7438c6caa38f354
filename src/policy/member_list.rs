//! Updates of the member list, and the backoff after failed updates.

use crate::policy::random::RandomSequence;
use crate::policy::router::Router;
use crate::policy::slow_start::TokenBucket;
use crate::policy::timers::Timer;
use crate::policy::types::{Action, Member, MemberUpdate, Micros, ServerId};

/// Shortest wait before the member list is fetched again. Each consecutive failure doubles it.
const MIN_BACKOFF: Micros = 200_000;
/// Longest wait, before jitter.
const MAX_BACKOFF: Micros = 16 * MIN_BACKOFF;

/// Exponential backoff with jitter for fetches of the member list.
pub(super) struct MemberListBackoff {
    wait: Micros,
}

impl Default for MemberListBackoff {
    fn default() -> Self {
        MemberListBackoff { wait: MIN_BACKOFF }
    }
}

impl MemberListBackoff {
    /// Returns the wait after a failure: the present backoff plus a random addition of up to the same length.
    fn next_wait(&mut self, random: &mut RandomSequence) -> Micros {
        let wait = self.wait + random.next_u64() % self.wait;
        self.wait = (self.wait * 2).min(MAX_BACKOFF);
        wait
    }

    fn reset(&mut self) {
        self.wait = MIN_BACKOFF;
    }
}

impl Router {
    /// Applies an update of the member list, or schedules the next fetch if the update failed.
    pub(super) fn update_members(
        &mut self,
        now: Micros,
        kind: MemberUpdate,
        members: Vec<Member>,
        actions: &mut Vec<Action>,
    ) {
        match kind {
            MemberUpdate::Failed => {
                let at = now + self.member_list_backoff.next_wait(&mut self.random);
                actions.push(Action::SetTimer { at, token: Timer::MemberList.token() });
                return;
            }
            MemberUpdate::Stale if self.settings.poll_members => actions.push(Action::Subscribe),
            _ => self.member_list_backoff.reset(),
        }
        if kind != MemberUpdate::Incremental {
            self.endpoints.mark_all_gone();
        }
        for member in members {
            self.update_member(now, member);
        }
        self.endpoints.rebuild_pools(&self.settings);
        let caches = &self.endpoints.caches;
        self.congestion.retain(|id| caches.contains(ServerId(id)));
    }

    /// Applies one entry. The token bucket of a server that starts begins with a random debt, so that the
    /// first transfers of many routers don't arrive at the same time.
    fn update_member(&mut self, now: Micros, member: Member) {
        let id = member.server;
        let tokens = -self.service_times.max_transfer_time() * self.random.next_unit();
        if self.endpoints.update(member, TokenBucket::new(tokens, now), &self.settings) {
            self.congestion.forget(id.0);
        }
    }

    /// Returns the action that fetches the member list again: [`Action::Subscribe`] if `poll_members` is set,
    /// otherwise [`Action::FetchMembers`].
    pub(super) fn fetch_members(&self) -> Action {
        if self.settings.poll_members {
            Action::Subscribe
        } else {
            Action::FetchMembers
        }
    }
}
