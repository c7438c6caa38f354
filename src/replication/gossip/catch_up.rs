//! Catching up: a director that starts, or that was away for longer than tombstones are kept, transfers all
//! entries of others.
//!
//! The key hashes are divided into lanes that are transferred side by side. A lane whose source falls silent
//! continues with another member from where it is: it makes no difference from whom an entry comes.

use super::message::{TransferChunk, TransferRequest};
use super::packing::MAX_MESSAGE_BYTES;
use super::random::Random;
use super::{GossipMessage, Outbox};
use crate::policy::types::Micros;
use crate::replication::entry::encode;
use crate::replication::state::ReplicatedState;

/// Transfer lanes.
pub const LANES: usize = 8;
/// A lane whose source has been silent for this long (microseconds) continues with another.
const SOURCE_TIMEOUT: Micros = 250_000;
/// Without a member, or with none that has caught up, a director goes on alone after this (microseconds).
const ALONE_AFTER: Micros = 3_000_000;

/// How far a director has caught up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It transfers what others hold.
    CatchingUp,
    /// It holds what the members that it caught up from held.
    CaughtUp,
    /// Nobody could be asked in time: it goes on with what it has.
    Alone,
}

/// A range of key hashes that is transferred in order.
#[derive(Clone, Debug)]
struct TransferLane<P> {
    /// The key hash to continue from; none: the lane is complete.
    next: Option<u64>,
    last: u64,
    outstanding: Option<Outstanding<P>>,
}

/// A request that is not yet answered.
#[derive(Clone, Debug)]
struct Outstanding<P> {
    source: P,
    sent_at: Micros,
}

/// The progress of catching up; `P` names a member.
#[derive(Debug)]
pub(super) struct CatchUp<P> {
    stage: Stage,
    lanes: Vec<TransferLane<P>>,
    started_at: Micros,
    /// Whether some source had not caught up itself.
    incomplete_source: bool,
    /// The member that last answered a request.
    last_source: Option<P>,
}

impl<P: Clone + Eq> CatchUp<P> {
    /// At the start of a director.
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

    /// Begins anew with all lanes.
    pub(super) fn restart(&mut self, now: Micros) {
        let width = (u64::MAX / LANES as u64) + 1;
        let lane =
            |n: u64| TransferLane { next: Some(n * width), last: n * width + (width - 1), outstanding: None };
        self.lanes = (0..LANES as u64).map(lane).collect();
        self.stage = Stage::CatchingUp;
        self.started_at = now;
        self.incomplete_source = false;
    }

    /// The present stage.
    pub(super) fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether entries are still transferred.
    pub(super) fn is_catching_up(&self) -> bool {
        self.stage == Stage::CatchingUp
    }

    /// Sends the requests that are due. Returns how many lanes continue with another source.
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
            if now.saturating_sub(self.started_at) > ALONE_AFTER {
                self.stage = Stage::Alone;
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

    /// Whether a lane has an outstanding request that may still be answered.
    fn awaits_answer(&self, lane: usize, peers: &[P], now: Micros) -> bool {
        self.lanes[lane].outstanding.as_ref().is_some_and(|request| {
            now.saturating_sub(request.sent_at) <= SOURCE_TIMEOUT && peers.contains(&request.source)
        })
    }

    /// The member that answers other lanes, or else any.
    fn choose_source(&self, lane: usize, peers: &[P], random: &mut Random) -> P {
        let silent = self.lanes[lane].outstanding.as_ref().map(|request| &request.source);
        let answering =
            self.last_source.as_ref().filter(|source| silent != Some(*source) && peers.contains(source));
        // Drawn in any case, so that the order of draws does not depend on the answers.
        let any = random.below(peers.len());
        answering.unwrap_or(&peers[any]).clone()
    }

    fn request(&mut self, lane: usize, first: u64, source: P, now: Micros, out: &mut Outbox<P>) {
        self.lanes[lane].outstanding = Some(Outstanding { source: source.clone(), sent_at: now });
        let last = self.lanes[lane].last;
        out.push((source, GossipMessage::TransferRequest(TransferRequest { lane: lane as u8, first, last })));
    }

    /// Follows the answer to a request, whose entries have been merged.
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

    /// All lanes are complete.
    fn finish(&mut self, last_source: &P, now: Micros) {
        if !self.incomplete_source {
            self.stage = Stage::CaughtUp;
        } else if now.saturating_sub(self.started_at) > ALONE_AFTER {
            // Nobody has caught up: all started at the same time, and have now sent each other what they
            // have.
            self.stage = Stage::Alone;
        } else {
            self.retry_later(last_source, now);
        }
    }

    /// Begins anew after a pause, by the end of which others may have caught up.
    fn retry_later(&mut self, last_source: &P, now: Micros) {
        let started_at = self.started_at;
        self.restart(now);
        self.started_at = started_at;
        let retry_at = now + SOURCE_TIMEOUT / 4;
        let outstanding = Outstanding { source: last_source.clone(), sent_at: retry_at - SOURCE_TIMEOUT };
        self.lanes.iter_mut().for_each(|lane| lane.outstanding = Some(outstanding.clone()));
    }
}

/// The answer to a request of a director that catches up.
pub(super) fn next_chunk(
    state: &ReplicatedState,
    request: TransferRequest,
    sender_caught_up: bool,
) -> TransferChunk {
    let TransferRequest { lane, first, last } = request;
    let (mut entries, mut size, mut next) = (Vec::new(), 0, None);
    let mut key_hash = first;
    for entry in state.range(first..=last) {
        // Keys with the same hash go together: a lane continues from a hash, not from a key.
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
