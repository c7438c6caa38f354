//! The replicated form of a server in the endpoint list.

use crate::dispatch::membership::Endpoint;
use crate::policy::types::{MemberState, Micros};
use serde::{Deserialize, Serialize};

/// The lifecycle state of a server, encoded as one byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "u8", into = "u8")]
pub enum EndpointState {
    /// The server accepts requests (encoded as 0).
    #[default]
    Running,
    /// The server finishes its current requests and gets no new ones (encoded as 1).
    Draining,
    /// The server has left the endpoint list (encoded as 2).
    Gone,
    /// A state that this version does not know. No requests are sent to the server, but its entry does not
    /// expire.
    Unknown(u8),
}

impl From<u8> for EndpointState {
    fn from(byte: u8) -> EndpointState {
        match byte {
            0 => EndpointState::Running,
            1 => EndpointState::Draining,
            2 => EndpointState::Gone,
            byte => EndpointState::Unknown(byte),
        }
    }
}

impl From<EndpointState> for u8 {
    fn from(state: EndpointState) -> u8 {
        match state {
            EndpointState::Running => 0,
            EndpointState::Draining => 1,
            EndpointState::Gone => 2,
            EndpointState::Unknown(byte) => byte,
        }
    }
}

impl From<MemberState> for EndpointState {
    fn from(state: MemberState) -> EndpointState {
        match state {
            MemberState::Running => EndpointState::Running,
            MemberState::Draining => EndpointState::Draining,
            MemberState::Gone => EndpointState::Gone,
        }
    }
}

impl From<EndpointState> for MemberState {
    fn from(state: EndpointState) -> MemberState {
        match state {
            EndpointState::Running => MemberState::Running,
            EndpointState::Draining => MemberState::Draining,
            EndpointState::Gone | EndpointState::Unknown(_) => MemberState::Gone,
        }
    }
}

/// A server of the endpoint list. Its name is in the key of the entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The address that the server listens on.
    pub address: String,
    /// The name of the zone.
    pub zone: String,
    /// The name of the kind of server.
    pub kind: String,
    /// The cell within the zone.
    pub cell: u32,
    /// The lifecycle state, which also marks tombstones.
    pub state: EndpointState,
    /// The registered capacity, in concurrent transfers at full rate; 0 if unknown.
    pub size: f64,
    /// Unix time in microseconds at which the server process started; 0 if unknown or long ago.
    pub started_at: Micros,
}

impl EndpointRecord {
    /// Returns the record of a server that is gone. All other fields have their defaults, so that all
    /// directors store the same tombstone.
    pub fn tombstone() -> EndpointRecord {
        EndpointRecord { state: EndpointState::Gone, ..EndpointRecord::default() }
    }

    /// Returns whether the record is a tombstone.
    pub fn is_gone(&self) -> bool {
        self.state == EndpointState::Gone
    }

    /// Converts the record to an [`Endpoint`] with this name.
    pub fn to_endpoint(&self, name: &str) -> Endpoint {
        Endpoint {
            name: name.into(),
            address: self.address.as_str().into(),
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            cell: self.cell,
            state: self.state.into(),
            size: self.size,
            started_at: self.started_at,
        }
    }
}

impl From<&Endpoint> for EndpointRecord {
    fn from(endpoint: &Endpoint) -> EndpointRecord {
        if endpoint.state == MemberState::Gone {
            return EndpointRecord::tombstone();
        }
        EndpointRecord {
            address: endpoint.address.to_string(),
            zone: endpoint.zone.clone(),
            kind: endpoint.kind.clone(),
            cell: endpoint.cell,
            state: endpoint.state.into(),
            size: endpoint.size,
            started_at: endpoint.started_at,
        }
    }
}
