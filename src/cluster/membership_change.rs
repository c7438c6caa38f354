//! Changes of the membership, and their log events.

use super::members::Member;
use super::LOG_TARGET;
use foca::OwnedNotification;

/// A change of the membership, as one director sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A member is alive.
    Alive(Member),
    /// A member is dead, or has left.
    Dead(Member),
    /// The director at an address has another name.
    Renamed {
        /// What it was.
        from: Member,
        /// What it is.
        to: Member,
    },
    /// A member has restarted.
    Restarted(Member),
    /// This director has joined others.
    Joined,
    /// No other member is alive.
    Alone,
    /// Others have declared this director dead.
    DeclaredDead,
    /// This director was declared dead, and is back.
    Rejoined(Member),
}

impl From<OwnedNotification<Member>> for MembershipChange {
    fn from(notification: OwnedNotification<Member>) -> MembershipChange {
        match notification {
            OwnedNotification::MemberUp(member) => MembershipChange::Alive(member),
            OwnedNotification::MemberDown(member) => MembershipChange::Dead(member),
            OwnedNotification::Rename(from, to) if from.name != to.name => {
                MembershipChange::Renamed { from, to }
            }
            OwnedNotification::Rename(_, member) => MembershipChange::Restarted(member),
            OwnedNotification::Active => MembershipChange::Joined,
            OwnedNotification::Idle => MembershipChange::Alone,
            OwnedNotification::Defunct => MembershipChange::DeclaredDead,
            OwnedNotification::Rejoin(member) => MembershipChange::Rejoined(member),
        }
    }
}

impl MembershipChange {
    /// Logs the change.
    pub(super) fn log(&self) {
        match self {
            MembershipChange::Alive(member) => tracing::info!(
                target: LOG_TARGET, peer = %member.name, address = %member.address, "peer is alive"
            ),
            MembershipChange::Dead(member) => tracing::info!(
                target: LOG_TARGET, peer = %member.name, address = %member.address, "peer is dead or has left"
            ),
            MembershipChange::Renamed { from, to } => tracing::info!(
                target: LOG_TARGET,
                peer = %to.name,
                address = %from.address,
                former_name = %from.name,
                "peer has another name"
            ),
            MembershipChange::Restarted(member) => tracing::info!(
                target: LOG_TARGET, peer = %member.name, address = %member.address, "peer has restarted"
            ),
            MembershipChange::Joined => tracing::info!(target: LOG_TARGET, "joined the cluster"),
            MembershipChange::Alone => tracing::info!(target: LOG_TARGET, "no other director is alive"),
            MembershipChange::DeclaredDead => {
                tracing::info!(target: LOG_TARGET, "others take this director for dead")
            }
            MembershipChange::Rejoined(member) => tracing::info!(
                target: LOG_TARGET,
                incarnation = member.incarnation,
                "others took this director for dead, it has rejoined"
            ),
        }
    }
}
