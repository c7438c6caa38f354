//! Opens what the actor needs: the keys, the socket and the stored state.

use super::actor::{Actor, ActorParts};
use super::frame::FrameCodec;
use super::handle::{ClusterHandle, COMMAND_QUEUE_CAPACITY};
use super::key_file::{parse_keys, KeyFileError};
use super::members::{Member, Members};
use super::store::{self, Store, StoreError, StoredState};
use super::transport::Transport;
use super::{random, source, LOG_TARGET};
use crate::config::operator::PeersSection;
use crate::discovery::WatchEvent;
use crate::dispatch::{Clock, DispatcherSender};
use crate::policy::types::Micros;
use crate::replication::entry::Incarnation;
use crate::replication::gossip::GossipProtocol;
use crate::replication::state::{Bounds, ClockReading, ReplicatedState};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Bytes of entries that the state may hold, for each entry that it may hold.
const BYTES_PER_ENTRY: usize = 512;

/// Why the actor cannot start. Each text names the key of the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The key file cannot be read.
    #[error("peers.key: {}: {source}", path.display())]
    ReadKeys {
        /// The file.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// The key file holds something else.
    #[error("peers.key: {}: {source}", path.display())]
    ParseKeys {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: KeyFileError,
    },
    /// No key can be used.
    #[error("peers.key: no usable key")]
    NoUsableKey,
    /// The socket cannot be opened.
    #[error("peers.listen: {address}: {source}")]
    Bind {
        /// The address to listen at.
        address: SocketAddr,
        /// What failed.
        source: io::Error,
    },
    /// The stored state cannot be opened.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Opens the socket and the stored state. `initial_events`: events of the discovery source that the
/// configuration holds; `watch_events`: its further ones.
pub async fn open(
    section: PeersSection,
    dispatcher: DispatcherSender,
    clock: Clock,
    initial_events: &[WatchEvent],
    watch_events: mpsc::Receiver<WatchEvent>,
) -> Result<(ClusterHandle, Actor), StartError> {
    let codec = read_keys(&section)?;
    let address = section.listen;
    let socket = UdpSocket::bind(address).await.map_err(|source| StartError::Bind { address, source })?;
    let now = ClockReading { monotonic: clock.now(), unix: clock.unix() };
    let incarnation = random();
    let mut state = ReplicatedState::new(Incarnation(incarnation), bounds(&section));
    let (store, member_incarnation) = open_store(section.state_folder.as_deref(), &mut state, now)?;
    for event in initial_events {
        source::apply(&mut state, event, now);
    }
    let own = Member::new(&section.name, section.advertise, member_incarnation);
    let (sender, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let actor = Actor::new(ActorParts {
        replication: GossipProtocol::new(state, incarnation, now),
        members: Members::new(own, section.expected_directors, incarnation),
        transport: Transport::new(socket, codec, section.advertise, incarnation),
        store,
        dispatcher,
        clock,
        commands,
        watch_events,
        section,
    });
    Ok((ClusterHandle(sender), actor))
}

fn read_keys(section: &PeersSection) -> Result<FrameCodec, StartError> {
    let path = &section.key_file;
    let text = std::fs::read_to_string(path)
        .map_err(|source| StartError::ReadKeys { path: path.clone(), source })?;
    let keys = parse_keys(&text).map_err(|source| StartError::ParseKeys { path: path.clone(), source })?;
    FrameCodec::new(&section.fleet, &keys).ok_or(StartError::NoUsableKey)
}

/// Opens the store, where the operator names a folder, and loads its entries into the state. Returns the
/// incarnation to start with as a member.
fn open_store(
    folder: Option<&Path>,
    state: &mut ReplicatedState,
    now: ClockReading,
) -> Result<(Option<Store>, u64), StoreError> {
    let Some(folder) = folder else { return Ok((None, now.unix)) };
    let (store, stored) = store::open(folder, now.unix)?;
    if let Some(file) = &stored.set_aside {
        tracing::warn!(
            target: LOG_TARGET,
            reason = %file.reason,
            file = %file.path.display(),
            "stored state can't be read: it is put aside as broken and fetched from peers"
        );
    }
    restore(&stored, state, now);
    Ok((Some(store), stored.incarnation))
}

/// Merges the stored entries into the state. If they are older than tombstones are kept, the endpoint list is
/// forgotten.
fn restore(stored: &StoredState, state: &mut ReplicatedState, now: ClockReading) {
    let merged = stored.entries.iter().filter(|(key, value)| state.merge(key, value, now).is_ok()).count();
    // A clock that was set back makes the age unknown, which counts as too old.
    let age = now.unix.checked_sub(stored.saved_at);
    if stored.saved_at > 0 && age.is_none_or(|age| age > state.bounds().tombstone_retention) {
        let forgotten = state.forget_members();
        tracing::info!(
            target: LOG_TARGET,
            forgotten,
            "stored state is older than the horizon: its endpoint list is forgotten"
        );
    }
    tracing::info!(
        target: LOG_TARGET,
        merged,
        stored = stored.entries.len(),
        "entries taken from the disk"
    );
}

fn bounds(section: &PeersSection) -> Bounds {
    Bounds {
        entries: section.max_entries,
        bytes: section.max_entries.saturating_mul(BYTES_PER_ENTRY),
        purge_retention: section.purge_retention.as_micros() as Micros,
        tombstone_retention: section.tombstone_retention.as_micros() as Micros,
    }
}
