//! Membership changes and their log events.

use super::members::Member;
use super::LOG_TARGET;
use foca::OwnedNotification;

/// A membership change as seen by this director.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A member joined or came back.
    Alive(Member),
    /// A member was declared dead or has left.
    Dead(Member),
    /// The director at a known address has changed its name.
    Renamed {
        /// The member under its former name.
        from: Member,
        /// The member under its present name.
        to: Member,
    },
    /// A member has restarted with a later incarnation.
    Restarted(Member),
    /// This director is known to at least one live member.
    Joined,
    /// All other members are dead or have left.
    NoLivePeers,
    /// This director is no longer a member: it has left, or it was declared dead and could not rejoin.
    DeclaredDead,
    /// This director was declared dead by peers and has rejoined with the given later incarnation.
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
            OwnedNotification::Idle => MembershipChange::NoLivePeers,
            OwnedNotification::Defunct => MembershipChange::DeclaredDead,
            OwnedNotification::Rejoin(member) => MembershipChange::Rejoined(member),
        }
    }
}

impl MembershipChange {
    /// Logs the change at level `info`.
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
                "peer changed its name"
            ),
            MembershipChange::Restarted(member) => tracing::info!(
                target: LOG_TARGET, peer = %member.name, address = %member.address, "peer restarted"
            ),
            MembershipChange::Joined => tracing::info!(target: LOG_TARGET, "joined the cluster"),
            MembershipChange::NoLivePeers => tracing::info!(target: LOG_TARGET, "no live peer"),
            MembershipChange::DeclaredDead => tracing::info!(
                target: LOG_TARGET,
                "no longer a member: left the cluster, or declared dead by peers"
            ),
            MembershipChange::Rejoined(member) => tracing::info!(
                target: LOG_TARGET,
                incarnation = member.incarnation,
                "rejoined the cluster after being declared dead"
            ),
        }
    }
}
