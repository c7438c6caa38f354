//! A test client of a fleet's directors: it holds the fleet's key and sends them updates, acknowledged or
//! not.
//!
//! Directors do not acknowledge the updates that they send each other: what one loses it gets from another
//! later. A client has nobody to repeat for it, so it reads back what it sent. Each batch of updates is
//! followed by a [`GossipMessage::TransferRequest`] of the range of places that the batch lies in, and the
//! [`GossipMessage::TransferChunk`] that answers it acknowledges every update of the batch that it contains.
//! What is not acknowledged in time is sent again, unchanged, so that a director that already holds it has
//! nothing to do. Batches outstanding, their rate, attempts for each and the time for all are bounded.

use crate::scenarios::cluster::Fleet;
use crate::scenarios::replay::TestbedError;
use crate::servers::emulated::unix_ms;
use foxhold::cluster::frame::{Body, FrameCodec, Message};
use foxhold::cluster::members::Member;
use foxhold::replication::digest::stable_hash;
use foxhold::replication::entry::{encode, Key, MergeOutcome, Value};
use foxhold::replication::gossip::{GossipMessage, TransferRequest};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, sleep_until, Instant};

/// Updates in one batch: as many purges as one answer of a director holds.
const BATCH_UPDATES: usize = 64;
/// Batches that are sent and not yet acknowledged, at most. Their datagrams fit a socket's buffer several
/// times over.
const MAX_OUTSTANDING: usize = 8;
/// Between two new batches: 4,000 updates a second, half of what directors pass on to each other without
/// leaving some to be found by their digests (512 in three rounds of 20 ms).
const BATCH_INTERVAL: Duration = Duration::from_millis(16);
/// A batch that is not acknowledged is sent again after this; the wait doubles each time, up to the longest.
const FIRST_RETRY_AFTER: Duration = Duration::from_millis(250);
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(2);
/// A batch is sent so many times at most without any of it being acknowledged.
const MAX_ATTEMPTS: u32 = 20;
/// All batches of one delivery are acknowledged within this. It bounds a delivery that goes on slowly; one
/// that stands still ends by its attempts, after 36 s at most.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(180);
/// Purges are of so long ago, as most are that a director that returns hears of.
const PURGE_AGE_MS: u64 = 60_000;
/// An unacknowledged flood: updates in a datagram, and the pause after every second one.
const FLOOD_UPDATES: usize = 80;
const FLOOD_PAUSE: Duration = Duration::from_millis(4);
/// No director sends larger datagrams.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// Why updates were not delivered.
#[derive(Debug, thiserror::Error)]
pub enum DeliveryError {
    /// One batch used up its attempts.
    #[error("{missing} updates of a batch are not acknowledged after {MAX_ATTEMPTS} attempts")]
    AttemptsExhausted {
        /// Updates of that batch that the director has not shown to hold.
        missing: usize,
    },
    /// The time for the whole delivery is over.
    #[error("{missing} updates are not acknowledged after {} s", DELIVERY_TIMEOUT.as_secs())]
    TimedOut {
        /// Updates that the director has not shown to hold.
        missing: usize,
    },
    /// A message does not fit a datagram.
    #[error("a message is too large for a datagram")]
    TooLarge,
    /// The socket failed.
    #[error("socket: {0}")]
    Socket(#[from] std::io::Error),
}

/// What a delivery took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Delivered {
    /// Batches, each of which was acknowledged in full.
    pub batches: u64,
    /// Batches, or what was left of them, that were sent again.
    pub retries: u64,
}

/// An update with its place in a director's map.
struct Update {
    place: u64,
    key: Key,
    value: Value,
}

impl Update {
    fn new(key: Key, word: Value) -> Update {
        Update { place: stable_hash(&encode(&key)), key, value: word }
    }

    /// Whether a director that holds this word of the key has heard of the update.
    fn is_in(&self, key: &Key, held: &Value) -> bool {
        self.key == *key && held.clone().merge(&self.value) == MergeOutcome::Unchanged
    }
}

/// Updates that are sent together, in the order of their places, and when they are next due.
struct Batch {
    updates: Vec<Update>,
    /// Whether any of it was sent before.
    sent: bool,
    /// Times sent since any of it was last acknowledged.
    attempts: u32,
    retry_after: Duration,
    due: Instant,
}

impl Batch {
    fn new(updates: Vec<Update>) -> Batch {
        Batch { updates, sent: false, attempts: 0, retry_after: FIRST_RETRY_AFTER, due: Instant::now() }
    }

    /// The first and the last place.
    fn range(&self) -> Option<(u64, u64)> {
        Some((self.updates.first()?.place, self.updates.last()?.place))
    }

    /// Takes out what a director holds. Where that is some of it, the rest is due at once.
    fn acknowledge(&mut self, held: &[(Key, Value)]) {
        let before = self.updates.len();
        self.updates.retain(|update| !held.iter().any(|(key, word)| update.is_in(key, word)));
        if self.updates.len() < before {
            self.attempts = 0;
            self.retry_after = FIRST_RETRY_AFTER;
            self.due = Instant::now();
        }
    }

    /// Counts one more attempt, and sets when the next is due.
    fn attempt(&mut self) -> Result<(), DeliveryError> {
        if self.attempts >= MAX_ATTEMPTS {
            return Err(DeliveryError::AttemptsExhausted { missing: self.updates.len() });
        }
        self.attempts += 1;
        self.due = Instant::now() + self.retry_after;
        self.retry_after = (self.retry_after * 2).min(LONGEST_RETRY_AFTER);
        Ok(())
    }
}

/// The batches of one delivery.
struct Delivery {
    waiting: VecDeque<Batch>,
    outstanding: Vec<Batch>,
    next_batch: Instant,
}

impl Delivery {
    fn new(updates: Vec<(Key, Value)>) -> Delivery {
        let mut updates: Vec<Update> =
            updates.into_iter().map(|(key, word)| Update::new(key, word)).collect();
        updates.sort_by_key(|update| update.place);
        let mut waiting = VecDeque::new();
        while !updates.is_empty() {
            let rest = updates.split_off(updates.len().min(BATCH_UPDATES));
            waiting.push_back(Batch::new(std::mem::replace(&mut updates, rest)));
        }
        Delivery { waiting, outstanding: Vec::new(), next_batch: Instant::now() }
    }

    /// Whether one more batch may be outstanding, once its time has come.
    fn has_room(&self) -> bool {
        !self.waiting.is_empty() && self.outstanding.len() < MAX_OUTSTANDING
    }

    /// Lets the next batch be outstanding, where there is room and its time has come.
    fn admit(&mut self) {
        let now = Instant::now();
        if !self.has_room() || now < self.next_batch {
            return;
        }
        self.next_batch = now + BATCH_INTERVAL;
        self.outstanding.extend(self.waiting.pop_front().map(|batch| Batch { due: now, ..batch }));
    }

    /// Entries that a director holds from this place on.
    fn acknowledge(&mut self, first: u64, held: &[(Key, Value)]) {
        let answered = |batch: &&mut Batch| batch.range().is_some_and(|range| range.0 == first);
        if let Some(batch) = self.outstanding.iter_mut().find(answered) {
            batch.acknowledge(held);
        }
        self.outstanding.retain(|batch| !batch.updates.is_empty());
    }

    /// When a batch is next due; none: all are acknowledged.
    fn next_due(&self) -> Option<Instant> {
        let new = self.has_room().then_some(self.next_batch);
        self.outstanding.iter().map(|batch| batch.due).chain(new).min()
    }

    /// Updates that are not acknowledged.
    fn missing(&self) -> usize {
        self.outstanding.iter().chain(&self.waiting).map(|batch| batch.updates.len()).sum()
    }
}

/// A sender with a fleet's key that is no member of it.
pub struct TestClient {
    socket: UdpSocket,
    seal: FrameCodec,
    from: Member,
    number: u64,
}

impl TestClient {
    /// Opens a client of this fleet on a loopback port of its own.
    pub async fn open(fleet: &Fleet) -> Result<TestClient, TestbedError> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let from = Member::new("test-client", socket.local_addr()?, 1);
        let seal = FrameCodec::new("lab", &fleet.keys()?).ok_or("no key")?;
        Ok(TestClient { socket, seal, from, number: 0 })
    }

    /// Seals a message as the next of this sender.
    pub fn sealed(&mut self, say: GossipMessage) -> Result<Vec<u8>, DeliveryError> {
        self.number += 1;
        let message =
            Message { from: self.from.clone(), incarnation: 1, number: self.number, body: Body::Gossip(say) };
        self.seal.encode(&message).ok_or(DeliveryError::TooLarge)
    }

    /// Sends bytes as they are.
    pub async fn send(&self, to: SocketAddr, datagram: &[u8]) -> std::io::Result<()> {
        self.socket.send_to(datagram, to).await?;
        Ok(())
    }

    /// Sends updates to a director until it has acknowledged each of them.
    pub async fn deliver(
        &mut self,
        to: SocketAddr,
        updates: Vec<(Key, Value)>,
    ) -> Result<Delivered, DeliveryError> {
        let deadline = Instant::now() + DELIVERY_TIMEOUT;
        let mut delivery = Delivery::new(updates);
        let mut delivered = Delivered::default();
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        loop {
            delivery.admit();
            self.send_due(to, &mut delivery, &mut delivered).await?;
            let Some(due) = delivery.next_due() else { return Ok(delivered) };
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Some((first, held)) = self.chunk(to, &buffer[..received?.0]) {
                        delivery.acknowledge(first, &held);
                    }
                }
                () = sleep_until(due) => {}
                () = sleep_until(deadline) => {
                    return Err(DeliveryError::TimedOut { missing: delivery.missing() });
                }
            }
        }
    }

    /// Sends the batches that are due, each with the request that it is acknowledged by.
    async fn send_due(
        &mut self,
        to: SocketAddr,
        delivery: &mut Delivery,
        delivered: &mut Delivered,
    ) -> Result<(), DeliveryError> {
        let now = Instant::now();
        for batch in delivery.outstanding.iter_mut().filter(|batch| batch.due <= now) {
            let Some((first, last)) = batch.range() else { continue };
            let retry = std::mem::replace(&mut batch.sent, true);
            batch.attempt()?;
            let updates = batch.updates.iter().map(|update| (update.key.clone(), update.value.clone()));
            let update = self.sealed(GossipMessage::Updates(updates.collect()))?;
            let read_back =
                self.sealed(GossipMessage::TransferRequest(TransferRequest { lane: 0, first, last }))?;
            self.send(to, &update).await?;
            self.send(to, &read_back).await?;
            delivered.batches += u64::from(!retry);
            delivered.retries += u64::from(retry);
        }
        Ok(())
    }

    /// The entries that a director answers a request to read with, and the place that they begin at; none: it
    /// is another message, or from somebody else.
    fn chunk(&self, director: SocketAddr, datagram: &[u8]) -> Option<(u64, Vec<(Key, Value)>)> {
        let message = self.seal.decode(datagram).ok()?;
        match message.body {
            Body::Gossip(GossipMessage::TransferChunk(chunk)) if message.from.address == director => {
                Some((chunk.first, chunk.entries))
            }
            _ => None,
        }
    }

    /// Delivers so many purges of groups to a director of the fleet, which holds all of them then.
    pub async fn fill(&mut self, fleet: &Fleet, n: usize, entries: u32) -> Result<Delivered, TestbedError> {
        let delivered = self.deliver(fleet.reached_at(n), purges(0..entries)).await?;
        let held = fleet.purge_count(n).await?;
        if held < u64::from(entries) {
            return Err(format!("director {n} holds {held} of {entries}").into());
        }
        Ok(delivered)
    }

    /// Sends purges of groups without having them acknowledged, at a pace that a socket's buffer bears; some
    /// may be lost all the same.
    pub async fn flood(&mut self, to: SocketAddr, groups: Range<u32>) -> Result<(), DeliveryError> {
        for (n, updates) in purges(groups).chunks(FLOOD_UPDATES).enumerate() {
            let datagram = self.sealed(GossipMessage::Updates(updates.to_vec()))?;
            self.send(to, &datagram).await?;
            if n % 2 == 0 {
                sleep(FLOOD_PAUSE).await;
            }
        }
        Ok(())
    }
}

/// Purges of groups, all of the same moment.
fn purges(groups: Range<u32>) -> Vec<(Key, Value)> {
    let at = (unix_ms() - PURGE_AGE_MS) * 1_000;
    groups.map(|group| (Key::Group(group), Value::Purged(at))).collect()
}
