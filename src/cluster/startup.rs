//! Startup of the actor: reads the keys and opens the socket and the stored state.

use super::actor::{Actor, ActorParts};
use super::frame::{FrameCodec, MIN_KEY_BYTES};
use super::handle::{ClusterHandle, COMMAND_QUEUE_CAPACITY};
use super::key_file::{parse_keys, KeyFileError};
use super::members::{Member, Members};
use super::store::{self, Store, StoreError, StoredState};
use super::transport::Transport;
use super::{random, source, LOG_TARGET};
use crate::config::operator::PeersSection;
use crate::discovery::{WatchEvent, WatchScope};
use crate::dispatch::{Clock, DispatcherSender};
use crate::policy::types::Micros;
use crate::replication::entry::{Incarnation, Key, Kind};
use crate::replication::gossip::GossipProtocol;
use crate::replication::state::{Bounds, ClockReading, ReplicatedState};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Bytes of state allowed per entry of the configured maximum (`peers.entries`).
const BYTES_PER_ENTRY: usize = 512;

/// An error on starting the actor. Each message names the setting in the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The key file cannot be read.
    #[error("peers.key: {}: {source}", path.display())]
    ReadKeys {
        /// Path of the key file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The key file cannot be parsed.
    #[error("peers.key: {}: {source}", path.display())]
    ParseKeys {
        /// Path of the key file.
        path: PathBuf,
        /// What is wrong with its content.
        source: KeyFileError,
    },
    /// There is no key, or one is too short.
    #[error("peers.key: expected at least one key, each of at least {MIN_KEY_BYTES} bytes")]
    NoUsableKey,
    /// The socket cannot be opened.
    #[error("peers.listen: {address}: {source}")]
    Bind {
        /// The configured address to listen on.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The stored state cannot be opened.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Reads the keys, opens the socket and the stored state, and returns the actor with a handle to it.
///
/// `initial_events` are the watch events that the configuration contains; `watch_events` delivers the later
/// ones of the discovery source. Of both, the director uses those that `scope` selects. Without member
/// changes among them its list comes from elsewhere, and the replicated list is not applied.
pub async fn open(
    section: PeersSection,
    dispatcher: DispatcherSender,
    clock: Clock,
    initial_events: &[WatchEvent],
    watch_events: mpsc::Receiver<WatchEvent>,
    scope: WatchScope,
) -> Result<(ClusterHandle, Actor), StartError> {
    let codec = read_keys(&section)?;
    let address = section.listen;
    let socket = UdpSocket::bind(address).await.map_err(|source| StartError::Bind { address, source })?;
    let now = ClockReading { monotonic: clock.now(), unix: clock.unix() };
    let incarnation = random();
    let mut state = ReplicatedState::new(Incarnation(incarnation), bounds(&section));
    let folder = section.state_folder.as_deref();
    let initial_events: Vec<_> = initial_events.iter().filter(|event| event.is_in(scope)).collect();
    let (store, member_incarnation) = open_store(folder, &mut state, &initial_events, now)?;
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
        scope,
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

/// Opens the store if a folder is configured, and loads its entries into the state. Also returns this
/// director's initial incarnation in the membership protocol.
fn open_store(
    folder: Option<&Path>,
    state: &mut ReplicatedState,
    initial_events: &[&WatchEvent],
    now: ClockReading,
) -> Result<(Option<Store>, u64), StoreError> {
    let Some(folder) = folder else { return Ok((None, now.unix)) };
    let (store, stored) = store::open(folder, now.unix)?;
    if let Some(file) = &stored.set_aside {
        tracing::warn!(
            target: LOG_TARGET,
            reason = %file.reason,
            file = %file.path.display(),
            "stored state is unreadable; file renamed, state will be fetched from peers"
        );
    }
    restore(&stored, state, initial_events, now);
    if state.len() < stored.entries.len() {
        // Entries that were left out must leave the disk too, which writing all others does.
        store.status.incomplete.store(true, Ordering::Relaxed);
    }
    Ok((Some(store), stored.incarnation))
}

/// Merges the stored entries into the state. If they are older than the retention time of tombstones, the
/// endpoint list is dropped, as peers may have removed endpoints and forgotten the tombstones since.
///
/// The stored endpoint list is also left out if the events at the start hold a complete one. That is the
/// later one, but would lose the merge: each start begins a new numbering, and stored revisions may be
/// higher.
fn restore(
    stored: &StoredState,
    state: &mut ReplicatedState,
    initial_events: &[&WatchEvent],
    now: ClockReading,
) {
    let has_list = initial_events.iter().any(|event| event.is_complete_list());
    let is_replaced = |key: &Key| has_list && key.kind() == Kind::Members;
    let kept = stored.entries.iter().filter(|(key, _)| !is_replaced(key));
    let merged = kept.filter(|(key, value)| state.merge(key, value, now).is_ok()).count();
    // If the clock was set back, the age is unknown and counts as too old.
    let age = now.unix.checked_sub(stored.saved_at);
    if stored.saved_at > 0 && age.is_none_or(|age| age > state.bounds().tombstone_retention) {
        let forgotten = state.forget_members();
        tracing::info!(
            target: LOG_TARGET,
            forgotten,
            "stored state is older than the horizon; its endpoint list is dropped"
        );
    }
    tracing::info!(
        target: LOG_TARGET,
        merged,
        stored = stored.entries.len(),
        "entries loaded from disk"
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
