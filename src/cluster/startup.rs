//! Opens what the actor needs: the keys, the socket and the stored state.

use super::actor::{Actor, Parts};
use super::frame::{parse_keys, FrameCodec};
use super::handle::{ClusterHandle, COMMAND_QUEUE};
use super::members::{Member, Members};
use super::store::{self, Store};
use super::transport::Transport;
use super::{draw, source, LOG_TARGET};
use crate::config::operator::PeersSection;
use crate::discovery::WatchEvent;
use crate::dispatch::{Clock, DispatcherSender};
use crate::policy::types::Micros;
use crate::replication::entry::{Incarnation, Key, Value};
use crate::replication::gossip::GossipProtocol;
use crate::replication::state::{Bounds, ClockReading, ReplicatedState};
use std::path::Path;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Bytes of entries that the state may hold, for each entry that it may hold.
const BYTES_PER_ENTRY: usize = 512;

/// Opens the socket and the stored state. `known`: events of the discovery source that the configuration
/// holds; `notices`: its further ones. An error is one line that names the key at fault.
pub async fn open(
    section: PeersSection,
    core: DispatcherSender,
    clock: Clock,
    known: &[WatchEvent],
    notices: mpsc::Receiver<WatchEvent>,
) -> Result<(ClusterHandle, Actor), String> {
    let seal = read_keys(&section)?;
    let socket = UdpSocket::bind(section.listen)
        .await
        .map_err(|e| format!("peers.listen: {}: {e}", section.listen))?;
    let (now, run) = (ClockReading { monotonic: clock.now(), unix: clock.unix() }, draw());
    let mut state = ReplicatedState::new(Incarnation(run), bounds(&section));
    let (store, incarnation) = match &section.state_folder {
        Some(folder) => restore(folder, &mut state, now).map(|(store, n)| (Some(store), n))?,
        None => (None, now.unix),
    };
    for notice in known {
        source::apply(&mut state, notice, now);
    }
    let own = Member::new(&section.name, section.advertise, incarnation);
    let (sender, commands) = mpsc::channel(COMMAND_QUEUE);
    let actor = Actor::new(Parts {
        replication: GossipProtocol::new(state, run, now),
        members: Members::new(own, section.expected_directors, run),
        transport: Transport::new(socket, seal, section.advertise, run),
        store,
        core,
        clock,
        commands,
        notices,
        section,
    });
    Ok((ClusterHandle(sender), actor))
}

fn read_keys(section: &PeersSection) -> Result<FrameCodec, String> {
    let file = section.key_file.display();
    let text = std::fs::read_to_string(&section.key_file).map_err(|e| format!("peers.key: {file}: {e}"))?;
    let keys = parse_keys(&text).map_err(|e| format!("peers.key: {file}: {e}"))?;
    FrameCodec::new(&section.fleet, &keys).ok_or("peers.key: no usable key".into())
}

/// Loads the stored entries into the state; returns the store and the incarnation to start with.
fn restore(folder: &Path, state: &mut ReplicatedState, now: ClockReading) -> Result<(Store, u64), String> {
    let (store, stored) = store::open(folder, now.unix)?;
    if let Some(reason) = &stored.set_aside {
        tracing::warn!(
            target: LOG_TARGET,
            "peers: the state on the disk is broken: {reason}; it is fetched from the others"
        );
    }
    let entries = stored.entries.len();
    let merged = |(key, entry): &&(Key, Value)| state.merge(key, entry, now).is_ok();
    let taken = stored.entries.iter().filter(merged).count();
    // A clock that was set back makes the age unknown, which counts as too old.
    let age = now.unix.checked_sub(stored.saved_at);
    if stored.saved_at > 0 && age.is_none_or(|age| age > state.bounds().tombstone_retention) {
        let forgotten = state.forget_members();
        tracing::info!(
            target: LOG_TARGET,
            "peers: the state on the disk is older than the horizon: {forgotten} listings forgotten"
        );
    }
    tracing::info!(target: LOG_TARGET, "peers: {taken} of {entries} entries taken from the disk");
    Ok((store, stored.incarnation))
}

fn bounds(section: &PeersSection) -> Bounds {
    Bounds {
        entries: section.max_entries,
        bytes: section.max_entries.saturating_mul(BYTES_PER_ENTRY),
        purge_retention: section.purge_retention.as_micros() as Micros,
        tombstone_retention: section.tombstone_retention.as_micros() as Micros,
    }
}
