//! A server of the endpoint list, as it is replicated.

use crate::dispatch::membership::Endpoint;
use crate::policy::types::{MemberState, Micros};
use serde::{Deserialize, Serialize};

/// The state of a server, encoded as one byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "u8", into = "u8")]
pub enum EndpointState {
    /// It takes requests (0).
    #[default]
    Running,
    /// It finishes the requests that it has (1).
    Draining,
    /// It is gone (2).
    Gone,
    /// A byte that this version does not know. No requests are sent to the server, but its entry does not
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

/// A server without its name, which is in the key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Where it listens.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: EndpointState,
    /// Its size; 0: not known.
    pub size: f64,
    /// Unix time of a late start in microseconds, or 0.
    pub started_at: Micros,
}

impl EndpointRecord {
    /// A server that is gone: a tombstone without any other field, so that all directors store the same.
    pub fn tombstone() -> EndpointRecord {
        EndpointRecord { state: EndpointState::Gone, ..EndpointRecord::default() }
    }

    /// Whether the server is gone.
    pub fn is_gone(&self) -> bool {
        self.state == EndpointState::Gone
    }

    /// The endpoint of this name.
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
