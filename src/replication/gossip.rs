//! The conversation: messages in, messages out. No socket and no clock; the host gives times and random
//! draws.
//!
//! Three things go on side by side, each of which alone would bring two directors to the same state:
//!
//! - **Rumours.** What changed is told to a few members at once, and by each for whom it was new to a few
//!   more. Each rumour is told [`ROUNDS`] times to [`FANOUT`] members, then it is over. Nearly all hear it
//!   within a few steps.
//! - **Digests.** Now and then the root of the digest is sent to one member. Where it differs the two walk
//!   down the tree to the leaves that differ, and each sends what the other lacks. So the rest hear it, and
//!   who was cut off.
//! - **Catching up.** Who starts, or was away past the horizon, pulls all of another's entries, in lanes side
//!   by side, each a range of places that is gone through in order. A lane whose source falls silent goes on
//!   with another member from where it stands: it matters to nobody from whom an entry comes.
//!
//! All of it is bounded: a message by [`MAX_MESSAGE_BYTES`], rumours by [`MAX_PENDING_UPDATES`] (beyond that
//! digests find the rest), a step of a walk by 16 nodes. A message answers one message with a few, so a peer
//! that floods gets no more back than a fixed multiple.

use super::digest::Node;
use super::entry::{encode, Key, MergeOutcome, Value};
use super::state::{leaf_key_hashes, ClockReading, MergeError, ReplicatedState};
use crate::policy::estimators::hash::{mix, unit};
use crate::policy::types::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Debug;
use std::hash::Hash;

/// Members that a rumour is told to in one round, and rounds.
pub const FANOUT: usize = 3;
/// See [`FANOUT`].
pub const ROUNDS: u8 = 3;
/// Rumours that are under way at a time.
pub const MAX_PENDING_UPDATES: usize = 512;
/// Bytes of entries in one message, as near as a whole entry allows.
pub const MAX_MESSAGE_BYTES: usize = 1_050;
/// Nodes or leaves of a walk that one message leads to.
const MOST_STEPS: usize = 16;
/// Sums of entries in one message.
const MOST_SUMS: usize = 50;
/// Lanes of catching up.
pub const LANES: usize = 8;
/// A lane whose source has said nothing for so long goes on with another.
const LANE_SILENT: Micros = 250_000;
/// Between two digests on the mean.
const DIGESTS: Micros = 500_000;
/// With nobody to ask, or with nobody who is caught up, for so long, a director takes itself for caught up.
const ALONE: Micros = 3_000_000;

/// What directors say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Entries: rumours and repairs.
    Updates(Vec<(Key, Value)>),
    /// The root of the sender's digest.
    RootDigest(u64),
    /// Sums of the children of nodes.
    ChildDigests(Vec<(Node, Vec<u64>)>),
    /// All places and sums that the sender has in a range, both ends included.
    RangeSummary(u64, u64, Vec<(u64, u64)>),
    /// Asks for the entries at these places.
    RequestEntries(Vec<u64>),
    /// Catching up: asks for entries from a place on, up to another.
    TransferRequest(u8, u64, u64),
    /// Catching up: entries from a place on, and the place to go on with, none at the lane's end; and whether
    /// the sender is caught up itself.
    TransferChunk(u8, u64, Vec<(Key, Value)>, Option<u64>, bool),
}

/// Something that this director came to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// The key.
    pub key: Key,
    /// What is held of it now.
    pub value: Value,
}

/// How far a director has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It is pulling what others hold.
    CatchingUp,
    /// It holds what the one that it caught up from held.
    CaughtUp,
    /// Nobody could be asked in time: it goes on with what it has.
    Alone,
}

/// What was counted since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipCounters {
    /// Entries that changed what is held.
    pub merged: u64,
    /// Entries that told nothing new.
    pub unchanged: u64,
    /// Copies of one version that differed.
    pub conflicts: u64,
    /// Entries turned down, by cause.
    pub rejected: BTreeMap<MergeError, u64>,
    /// Rumours that found no room.
    pub updates_dropped: u64,
    /// Digests that differed.
    pub digest_mismatches: u64,
    /// Times that a lane of catching up went on with another source.
    pub source_changes: u64,
}

#[derive(Clone, Debug)]
struct TransferLane<P> {
    /// The next place, none: done.
    next: Option<u64>,
    until: u64,
    /// Who was asked, and when.
    asked: Option<(P, Micros)>,
}

/// One director's part in the conversation; `P` names a member.
#[derive(Debug)]
pub struct GossipProtocol<P> {
    /// All entries.
    pub state: ReplicatedState,
    peers: Vec<P>,
    /// Rounds left of each rumour.
    rumours: BTreeMap<Key, u8>,
    lanes: Vec<TransferLane<P>>,
    stage: Stage,
    since: Micros,
    /// Heard that a lane's source was not caught up itself.
    from_unsure: bool,
    /// Who last answered a lane.
    answers: Option<P>,
    next_digest: Micros,
    next_expiry: Micros,
    /// When any member was last heard.
    heard: Micros,
    random: u64,
    counts: GossipCounters,
    news: Vec<Update>,
    /// When a digest of this member was last the same as ours.
    alike: HashMap<P, Micros>,
}

impl<P: Clone + Debug + Eq + Hash> GossipProtocol<P> {
    /// Begins at this time, with what a disk held, and catches up once there are members.
    pub fn new(state: ReplicatedState, seed: u64, now: ClockReading) -> GossipProtocol<P> {
        let mut talk = GossipProtocol {
            state,
            peers: Vec::new(),
            rumours: BTreeMap::new(),
            lanes: Vec::new(),
            stage: Stage::CatchingUp,
            since: now.monotonic,
            from_unsure: false,
            answers: None,
            next_digest: now.monotonic,
            next_expiry: now.monotonic,
            heard: now.monotonic,
            random: mix(seed, 3),
            counts: GossipCounters::default(),
            news: Vec::new(),
            alike: HashMap::new(),
        };
        talk.catch_up(now);
        talk
    }

    fn draw(&mut self, below: usize) -> usize {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (unit(mix(self.random, 0)) * below as f64) as usize
    }

    /// How far it has come.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// What was counted.
    pub fn counters(&self) -> &GossipCounters {
        &self.counts
    }

    /// The members, without oneself.
    pub fn peers(&self) -> &[P] {
        &self.peers
    }

    /// When a member's digest was last the same as ours, by the steady clock.
    pub fn last_in_sync(&self, peer: &P) -> Option<Micros> {
        self.alike.get(peer).copied()
    }

    /// The members are these now.
    pub fn set_members(&mut self, peers: Vec<P>) {
        self.alike.retain(|peer, _| peers.contains(peer));
        self.peers = peers;
    }

    /// What others' words changed here since the last time.
    pub fn take_updates(&mut self) -> Vec<Update> {
        std::mem::take(&mut self.news)
    }

    /// Something that was told here and is to be told on.
    pub fn publish(&mut self, change: Option<(Key, Value)>) {
        if let Some((key, _)) = change {
            self.rumour(key);
        }
    }

    fn rumour(&mut self, key: Key) {
        if self.rumours.len() >= MAX_PENDING_UPDATES && !self.rumours.contains_key(&key) {
            self.counts.updates_dropped += 1;
            return;
        }
        self.rumours.insert(key, ROUNDS);
    }

    // ---- by itself ----

    fn catch_up(&mut self, now: ClockReading) {
        let width = (u64::MAX / LANES as u64) + 1;
        let lane =
            |n: u64| TransferLane { next: Some(n * width), until: n * width + (width - 1), asked: None };
        self.lanes = (0..LANES as u64).map(lane).collect();
        (self.stage, self.since, self.from_unsure) = (Stage::CatchingUp, now.monotonic, false);
    }

    /// What is due: called often, some tens of times a second.
    pub fn tick(&mut self, now: ClockReading, out: &mut Vec<(P, GossipMessage)>) {
        if now.monotonic >= self.next_expiry {
            self.next_expiry = now.monotonic + 1_000_000;
            self.state.expire(now);
        }
        self.spread(out);
        self.pull(now, out);
        if now.monotonic >= self.next_digest {
            // Drawn between half and one and a half of the mean, so that a fleet does not come in step.
            let gap = DIGESTS / 2 + self.draw(DIGESTS as usize) as Micros;
            self.next_digest = now.monotonic + gap;
            if !self.peers.is_empty() {
                let one = self.draw(self.peers.len());
                out.push((
                    self.peers[one].clone(),
                    GossipMessage::RootDigest(self.state.digest().sum(Node::ROOT)),
                ));
            }
        }
    }

    /// One round of all rumours.
    fn spread(&mut self, out: &mut Vec<(P, GossipMessage)>) {
        if self.rumours.is_empty() || self.peers.is_empty() {
            return;
        }
        let mut words = Vec::new();
        for key in self.rumours.keys() {
            if let Some(word) = self.state.get(key) {
                words.push((key.clone(), word.clone()));
            }
        }
        self.rumours.values_mut().for_each(|rounds| *rounds -= 1);
        self.rumours.retain(|_, rounds| *rounds > 0);
        let messages = packed(words);
        for peer in self.some(FANOUT) {
            out.extend(messages.iter().map(|words| (peer.clone(), GossipMessage::Updates(words.clone()))));
        }
    }

    /// So many members, drawn.
    fn some(&mut self, many: usize) -> Vec<P> {
        let mut places: Vec<usize> = (0..self.peers.len()).collect();
        let many = many.min(places.len());
        for n in 0..many {
            let other = n + self.draw(places.len() - n);
            places.swap(n, other);
        }
        places[..many].iter().map(|n| self.peers[*n].clone()).collect()
    }

    fn pull(&mut self, now: ClockReading, out: &mut Vec<(P, GossipMessage)>) {
        if self.stage != Stage::CatchingUp {
            return;
        }
        let waited = now.monotonic.saturating_sub(self.since);
        if self.peers.is_empty() {
            if waited > ALONE {
                self.stage = Stage::Alone;
            }
            return;
        }
        for n in 0..self.lanes.len() {
            let Some(next) = self.lanes[n].next else { continue };
            let silent = match &self.lanes[n].asked {
                Some((peer, at)) => {
                    now.monotonic.saturating_sub(*at) > LANE_SILENT || !self.peers.contains(peer)
                }
                None => true,
            };
            if silent {
                // One that answers another lane, or else any.
                let silent = self.lanes[n].asked.as_ref().map(|(peer, _)| peer);
                let good =
                    self.answers.as_ref().filter(|p| silent != Some(p) && self.peers.contains(p)).cloned();
                let any = self.draw(self.peers.len());
                let peer = good.unwrap_or_else(|| self.peers[any].clone());
                self.counts.source_changes += u64::from(self.lanes[n].asked.is_some());
                self.ask(n, next, peer, now, out);
            }
        }
    }

    fn ask(&mut self, lane: usize, next: u64, peer: P, now: ClockReading, out: &mut Vec<(P, GossipMessage)>) {
        self.lanes[lane].asked = Some((peer.clone(), now.monotonic));
        out.push((peer, GossipMessage::TransferRequest(lane as u8, next, self.lanes[lane].until)));
    }

    // ---- what others say ----

    /// A member said something.
    pub fn handle_message(
        &mut self,
        from: &P,
        say: GossipMessage,
        now: ClockReading,
        out: &mut Vec<(P, GossipMessage)>,
    ) {
        let silent = now.monotonic.saturating_sub(self.heard);
        self.heard = now.monotonic;
        if silent > self.state.bounds().tombstone_retention && self.stage != Stage::CatchingUp {
            // Others may have let go of what this list still has.
            self.state.forget_members();
            self.catch_up(now);
        }
        match say {
            GossipMessage::Updates(words) => {
                for (key, word) in words {
                    self.take(key, word, now, true);
                }
            }
            GossipMessage::RootDigest(root) => {
                if root == self.state.digest().sum(Node::ROOT) {
                    self.alike.insert(from.clone(), now.monotonic);
                } else if self.stage != Stage::CatchingUp {
                    self.counts.digest_mismatches += 1;
                    out.push((from.clone(), GossipMessage::ChildDigests(vec![self.children(Node::ROOT)])));
                }
            }
            GossipMessage::ChildDigests(nodes) => self.compare(from, &nodes, out),
            GossipMessage::RangeSummary(first, last, sums) => self.repair(from, first, last, &sums, out),
            GossipMessage::RequestEntries(places) => {
                let all = places.into_iter().take(MOST_SUMS);
                let words = all.flat_map(|p| self.state.range(p..=p).map(|e| (e.1.clone(), e.2.clone())));
                let words = packed(words.collect());
                out.extend(words.into_iter().map(|words| (from.clone(), GossipMessage::Updates(words))));
            }
            GossipMessage::TransferRequest(lane, first, last) => {
                let chunk = self.chunk(lane, first, last);
                out.push((from.clone(), chunk));
            }
            GossipMessage::TransferChunk(lane, first, words, next, whole) => {
                self.chunk_came(from, (lane, first, next, whole), words, now, out);
            }
        }
    }

    fn take(&mut self, key: Key, word: Value, now: ClockReading, tell: bool) {
        match self.state.merge(&key, &word, now) {
            Ok(MergeOutcome::Unchanged) => self.counts.unchanged += 1,
            Ok(merged) => {
                self.counts.conflicts += u64::from(merged != MergeOutcome::Changed);
                if merged == (MergeOutcome::Conflict { changed: false }) {
                    return;
                }
                self.counts.merged += 1;
                if let Some(word) = self.state.get(&key).cloned() {
                    if tell {
                        self.rumour(key.clone());
                    }
                    self.news.push(Update { key, value: word });
                }
            }
            Err(cause) => *self.counts.rejected.entry(cause).or_default() += 1,
        }
    }

    fn children(&self, node: Node) -> (Node, Vec<u64>) {
        (node, node.children().map(|child| self.state.digest().sum(child)).collect())
    }

    /// Another's sums of some nodes' children: on with those that differ.
    fn compare(&mut self, from: &P, nodes: &[(Node, Vec<u64>)], out: &mut Vec<(P, GossipMessage)>) {
        let digest = self.state.digest();
        let mut unlike: Vec<Node> = Vec::new();
        for (node, sums) in nodes.iter().take(MOST_STEPS) {
            let children = node.children().zip(sums);
            unlike.extend(children.filter(|(child, sum)| digest.sum(*child) != **sum).map(|c| c.0));
        }
        // Not always the first: what is left out now is met by a later walk.
        let most = MOST_STEPS.min(unlike.len());
        let first = self.draw(unlike.len());
        unlike.rotate_left(first);
        let (leaves, above): (Vec<Node>, Vec<Node>) = unlike[..most].iter().partition(|node| node.is_leaf());
        for some in above.chunks(4) {
            let sums = some.iter().map(|node| self.children(*node)).collect();
            out.push((from.clone(), GossipMessage::ChildDigests(sums)));
        }
        for node in leaves {
            let places = leaf_key_hashes(node.index);
            let all: Vec<(u64, u64)> = self.state.entry_sums(places.clone()).collect();
            // In pieces that cover the leaf without a gap.
            let mut first = *places.start();
            let mut pieces = all.chunks(MOST_SUMS).peekable();
            loop {
                let piece = pieces.next().unwrap_or_default();
                let last = match (pieces.peek(), piece.last()) {
                    (Some(_), Some(last)) => last.0,
                    _ => *places.end(),
                };
                out.push((from.clone(), GossipMessage::RangeSummary(first, last, piece.to_vec())));
                if last == *places.end() {
                    break;
                }
                first = last + 1;
            }
        }
    }

    /// What another has in a range: it is sent what it lacks and asked for what is lacking here.
    fn repair(
        &mut self,
        from: &P,
        first: u64,
        last: u64,
        theirs: &[(u64, u64)],
        out: &mut Vec<(P, GossipMessage)>,
    ) {
        let mine: Vec<(u64, u64)> = self.state.entry_sums(first..=last).take(4 * MOST_SUMS).collect();
        let lacks = |all: &[(u64, u64)], one: &(u64, u64)| !all.contains(one);
        let places = mine.iter().filter(|one| lacks(theirs, one)).map(|one| one.0);
        let words = places.flat_map(|p| self.state.range(p..=p).map(|e| (e.1.clone(), e.2.clone())));
        out.extend(
            packed(words.collect()).into_iter().map(|words| (from.clone(), GossipMessage::Updates(words))),
        );
        let wanted: Vec<u64> = theirs.iter().filter(|one| lacks(&mine, one)).map(|one| one.0).collect();
        for places in wanted.chunks(MOST_SUMS) {
            out.push((from.clone(), GossipMessage::RequestEntries(places.to_vec())));
        }
    }

    fn chunk(&self, lane: u8, first: u64, last: u64) -> GossipMessage {
        let (mut words, mut size, mut next) = (Vec::new(), 0, None);
        let mut at = first;
        for (place, key, word) in self.state.range(first..=last) {
            // Whole places only: a place is gone on with, not a key.
            if size > MAX_MESSAGE_BYTES && place != at {
                next = Some(place);
                break;
            }
            at = place;
            size += encode(&(key, word)).len();
            words.push((key.clone(), word.clone()));
        }
        GossipMessage::TransferChunk(lane, first, words, next, self.stage != Stage::CatchingUp)
    }

    fn chunk_came(
        &mut self,
        from: &P,
        (lane, first, next, whole): (u8, u64, Option<u64>, bool),
        words: Vec<(Key, Value)>,
        now: ClockReading,
        out: &mut Vec<(P, GossipMessage)>,
    ) {
        // Whatever they were asked for: entries are entries. They are not told on: others have them.
        for (key, word) in words {
            self.take(key, word, now, false);
        }
        let n = usize::from(lane);
        let due = self.lanes.get(n).is_some_and(|l| l.next == Some(first));
        if self.stage != Stage::CatchingUp || !due {
            return;
        }
        self.from_unsure |= !whole;
        self.answers = Some(from.clone());
        let next = next.filter(|next| *next > first && *next <= self.lanes[n].until);
        self.lanes[n].next = next;
        if let Some(next) = next {
            self.ask(n, next, from.clone(), now, out);
        } else if self.lanes.iter().all(|l| l.next.is_none()) {
            if !self.from_unsure {
                self.stage = Stage::CaughtUp;
            } else if now.monotonic.saturating_sub(self.since) > ALONE {
                // Nobody is caught up: all started at once, and have now told each other what they have.
                self.stage = Stage::Alone;
            } else {
                let since = self.since;
                self.catch_up(now);
                self.since = since;
                // Not at once: by then others may be.
                let later = now.monotonic + LANE_SILENT / 4;
                self.lanes.iter_mut().for_each(|l| l.asked = Some((from.clone(), later - LANE_SILENT)));
            }
        }
    }
}

/// Words in messages of a bounded size.
fn packed(words: Vec<(Key, Value)>) -> Vec<Vec<(Key, Value)>> {
    let (mut messages, mut size) = (Vec::new(), usize::MAX);
    for one in words {
        let bytes = encode(&one).len();
        if size.saturating_add(bytes) > MAX_MESSAGE_BYTES {
            messages.push(Vec::new());
            size = 0;
        }
        size += bytes;
        if let Some(last) = messages.last_mut() {
            last.push(one);
        }
    }
    messages
}
