//! Updates of the member list, and backoff between failed fetches of it.

use crate::policy::random::RandomSequence;
use crate::policy::router::Router;
use crate::policy::slow_start::TokenBucket;
use crate::policy::timers::Timer;
use crate::policy::types::{Action, Member, MemberUpdate, Micros, ServerId};

/// Wait before the list is fetched again, doubled at each failure in a row.
const MIN_BACKOFF: Micros = 200_000;
const MAX_BACKOFF: Micros = 16 * MIN_BACKOFF;

/// Exponential backoff with jitter.
pub(super) struct MemberListBackoff {
    wait: Micros,
}

impl Default for MemberListBackoff {
    fn default() -> Self {
        MemberListBackoff { wait: MIN_BACKOFF }
    }
}

impl MemberListBackoff {
    /// The wait after a failure: at least the present one, with as much again at random.
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
    /// Takes news of the member list.
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

    /// Takes one entry. A server that starts begins with a debt of tokens drawn at random, so that the first
    /// transfers of many routers don't come together.
    fn update_member(&mut self, now: Micros, member: Member) {
        let id = member.server;
        let tokens = -self.service_times.max_transfer_time() * self.random.next_unit();
        if self.endpoints.update(member, TokenBucket::new(tokens, now), &self.settings) {
            self.congestion.forget(id.0);
        }
    }

    /// How the member list is fetched again.
    pub(super) fn fetch_members(&self) -> Action {
        if self.settings.poll_members {
            Action::Subscribe
        } else {
            Action::FetchMembers
        }
    }
}
