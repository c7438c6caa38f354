//! Packs entries into messages that fit a datagram.

use super::GossipMessage;
use crate::replication::entry::{encode, Key, Value};
use crate::replication::state::ReplicatedState;

/// Maximum size of the encoded entries in one message, in bytes. A message with a single entry may be larger.
pub const MAX_MESSAGE_BYTES: usize = 1_050;

/// Packs entries into as many [`GossipMessage::Updates`] messages as their size requires.
pub(super) fn pack_updates(entries: Vec<(Key, Value)>) -> Vec<GossipMessage> {
    let (mut messages, mut size) = (Vec::new(), usize::MAX);
    for entry in entries {
        let entry_size = encode(&entry).len();
        if size.saturating_add(entry_size) > MAX_MESSAGE_BYTES {
            messages.push(Vec::new());
            size = 0;
        }
        size += entry_size;
        if let Some(message) = messages.last_mut() {
            message.push(entry);
        }
    }
    messages.into_iter().map(GossipMessage::Updates).collect()
}

/// Packs the entries with these key hashes into [`GossipMessage::Updates`] messages.
pub(super) fn pack_entries_at(
    state: &ReplicatedState,
    key_hashes: impl Iterator<Item = u64>,
) -> Vec<GossipMessage> {
    let entries = key_hashes.flat_map(|hash| state.range(hash..=hash));
    pack_updates(entries.map(|entry| (entry.key.clone(), entry.value.clone())).collect())
}
