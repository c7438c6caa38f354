//! Catch-up: a director that starts, or that was disconnected for longer than tombstones are kept, transfers
//! all entries of other members.
//!
//! The key hashes are divided into transfer lanes that run concurrently. If the source of a lane stops
//! answering, the lane continues at its current position with another member: an entry is valid regardless of
//! its source.

use super::message::{TransferChunk, TransferRequest};
use super::packing::MAX_MESSAGE_BYTES;
use super::random::Random;
use super::{GossipMessage, Outbox};
use crate::policy::types::Micros;
use crate::replication::entry::encode;
use crate::replication::state::ReplicatedState;

/// Number of transfer lanes, which divide the key hashes evenly.
pub const LANES: usize = 8;
/// Time to wait for the answer to a request before the lane continues with another source, in microseconds.
const SOURCE_TIMEOUT: Micros = 250_000;
/// Time after which catch-up ends if there is no member to transfer from, or none that has caught up, in
/// microseconds.
const NO_PEERS_TIMEOUT: Micros = 3_000_000;

/// The stage of catch-up of a director.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The director transfers the entries of other members.
    CatchingUp,
    /// The director has transferred all entries of members that had themselves caught up.
    CaughtUp,
    /// There was no member to transfer from in time, or none that had caught up. The director continues with
    /// the entries that it has.
    NoPeers,
}

/// A range of key hashes, transferred in ascending order.
#[derive(Clone, Debug)]
struct TransferLane<P> {
    /// The key hash to continue from, or `None` if the lane is complete.
    next: Option<u64>,
    last: u64,
    outstanding: Option<OutstandingRequest<P>>,
}

/// A request that has not been answered yet.
#[derive(Clone, Debug)]
struct OutstandingRequest<P> {
    source: P,
    sent_at: Micros,
}

/// The progress of catch-up. `P` identifies a member.
#[derive(Debug)]
pub(super) struct CatchUp<P> {
    stage: Stage,
    lanes: Vec<TransferLane<P>>,
    started_at: Micros,
    /// Whether any chunk came from a source that had not caught up itself.
    incomplete_source: bool,
    /// The member that last answered a request.
    last_source: Option<P>,
}

impl<P: Clone + Eq> CatchUp<P> {
    /// Creates the state for a director that starts: catch-up begins with all lanes.
    pub(super) fn new(now: Micros) -> CatchUp<P> {
        let mut catch_up = CatchUp {
            stage: Stage::CatchingUp,
            lanes: Vec::new(),
            started_at: now,
            incomplete_source: false,
            last_source: None,
        };
        catch_up.restart(now);
        catch_up
    }

    /// Restarts catch-up from the beginning of all lanes.
    pub(super) fn restart(&mut self, now: Micros) {
        let width = (u64::MAX / LANES as u64) + 1;
        let lane =
            |n: u64| TransferLane { next: Some(n * width), last: n * width + (width - 1), outstanding: None };
        self.lanes = (0..LANES as u64).map(lane).collect();
        self.stage = Stage::CatchingUp;
        self.started_at = now;
        self.incomplete_source = false;
    }

    /// Returns the current stage.
    pub(super) fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns whether catch-up has not ended yet.
    pub(super) fn is_catching_up(&self) -> bool {
        self.stage == Stage::CatchingUp
    }

    /// Sends the requests that are due. Returns the number of lanes that replaced an outstanding request.
    pub(super) fn send_requests(
        &mut self,
        peers: &[P],
        now: Micros,
        random: &mut Random,
        out: &mut Outbox<P>,
    ) -> u64 {
        if !self.is_catching_up() {
            return 0;
        }
        if peers.is_empty() {
            if now.saturating_sub(self.started_at) > NO_PEERS_TIMEOUT {
                self.stage = Stage::NoPeers;
            }
            return 0;
        }
        let mut source_changes = 0;
        for lane in 0..self.lanes.len() {
            let Some(next) = self.lanes[lane].next else { continue };
            if self.awaits_answer(lane, peers, now) {
                continue;
            }
            let source = self.choose_source(lane, peers, random);
            source_changes += u64::from(self.lanes[lane].outstanding.is_some());
            self.request(lane, next, source, now, out);
        }
        source_changes
    }

    /// Returns whether a lane has an outstanding request that may still be answered.
    fn awaits_answer(&self, lane: usize, peers: &[P], now: Micros) -> bool {
        self.lanes[lane].outstanding.as_ref().is_some_and(|request| {
            now.saturating_sub(request.sent_at) <= SOURCE_TIMEOUT && peers.contains(&request.source)
        })
    }

    /// Chooses the member that last answered any lane, or a random member if that one is gone or did not
    /// answer this lane.
    fn choose_source(&self, lane: usize, peers: &[P], random: &mut Random) -> P {
        let unresponsive = self.lanes[lane].outstanding.as_ref().map(|request| &request.source);
        let responsive = self
            .last_source
            .as_ref()
            .filter(|source| unresponsive != Some(*source) && peers.contains(source));
        // Drawn even if unused, so that the sequence of draws does not depend on the answers.
        let any = random.below(peers.len());
        responsive.unwrap_or(&peers[any]).clone()
    }

    fn request(&mut self, lane: usize, first: u64, source: P, now: Micros, out: &mut Outbox<P>) {
        self.lanes[lane].outstanding = Some(OutstandingRequest { source: source.clone(), sent_at: now });
        let last = self.lanes[lane].last;
        out.push((source, GossipMessage::TransferRequest(TransferRequest { lane: lane as u8, first, last })));
    }

    /// Handles the answer to a request, after its entries have been merged: requests the next chunk, or ends
    /// catch-up if all lanes are complete.
    pub(super) fn handle_chunk(&mut self, from: &P, chunk: &TransferChunk, now: Micros, out: &mut Outbox<P>) {
        let lane = usize::from(chunk.lane);
        let is_expected = self.lanes.get(lane).is_some_and(|lane| lane.next == Some(chunk.first));
        if !self.is_catching_up() || !is_expected {
            return;
        }
        self.incomplete_source |= !chunk.sender_caught_up;
        self.last_source = Some(from.clone());
        let last = self.lanes[lane].last;
        let next = chunk.next.filter(|next| *next > chunk.first && *next <= last);
        self.lanes[lane].next = next;
        if let Some(next) = next {
            self.request(lane, next, from.clone(), now, out);
        } else if self.lanes.iter().all(|lane| lane.next.is_none()) {
            self.finish(from, now);
        }
    }

    /// Ends catch-up when all lanes are complete, or schedules a retry if a source had not caught up.
    fn finish(&mut self, last_source: &P, now: Micros) {
        if !self.incomplete_source {
            self.stage = Stage::CaughtUp;
        } else if now.saturating_sub(self.started_at) > NO_PEERS_TIMEOUT {
            // No member has caught up because all started at the same time. By now they have sent each other
            // their entries.
            self.stage = Stage::NoPeers;
        } else {
            self.retry_later(last_source, now);
        }
    }

    /// Restarts all lanes after a pause of a quarter of the source timeout, during which other members may
    /// catch up. The start time is kept, so that [`NO_PEERS_TIMEOUT`] still applies.
    fn retry_later(&mut self, last_source: &P, now: Micros) {
        let started_at = self.started_at;
        self.restart(now);
        self.started_at = started_at;
        let retry_at = now + SOURCE_TIMEOUT / 4;
        let outstanding =
            OutstandingRequest { source: last_source.clone(), sent_at: retry_at - SOURCE_TIMEOUT };
        self.lanes.iter_mut().for_each(|lane| lane.outstanding = Some(outstanding.clone()));
    }
}

/// Returns the answer to a transfer request.
pub(super) fn next_chunk(
    state: &ReplicatedState,
    request: TransferRequest,
    sender_caught_up: bool,
) -> TransferChunk {
    let TransferRequest { lane, first, last } = request;
    let (mut entries, mut size, mut next) = (Vec::new(), 0, None);
    let mut key_hash = first;
    for entry in state.range(first..=last) {
        // Keys with the same hash must be in the same chunk: a lane continues from a hash, not from a key.
        if size > MAX_MESSAGE_BYTES && entry.key_hash != key_hash {
            next = Some(entry.key_hash);
            break;
        }
        key_hash = entry.key_hash;
        size += encode(&(entry.key, entry.value)).len();
        entries.push((entry.key.clone(), entry.value.clone()));
    }
    TransferChunk { lane, first, entries, next, sender_caught_up }
}
