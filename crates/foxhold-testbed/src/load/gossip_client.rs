//! A test client for a fleet's directors. It holds the fleet's key and sends updates with or without
//! acknowledgement.
//!
//! Directors do not acknowledge each other's updates: a director that loses one gets it from another director
//! later. The client's updates exist at no other member, so it reads back what it sent. After each batch of
//! updates it sends a [`GossipMessage::TransferRequest`] for the batch's range of positions. The
//! [`GossipMessage::TransferChunk`] in reply acknowledges the updates of the batch that it contains. Updates
//! that are not acknowledged in time are sent again unchanged, which has no effect on a director that already
//! holds them. The number of outstanding batches, their rate, the attempts of each batch and the time of a
//! delivery are bounded.

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

/// Updates in one batch. A director's [`GossipMessage::TransferChunk`] holds this many purges.
const BATCH_UPDATES: usize = 64;
/// Maximum number of batches that are sent and not yet acknowledged. A socket's buffer holds several times
/// their datagrams.
const MAX_OUTSTANDING: usize = 8;
/// Interval between two new batches. It gives 4,000 updates per second, half the rate up to which directors
/// forward all updates to each other without leaving some to be found by digests (512 in three rounds of 20
/// ms).
const BATCH_INTERVAL: Duration = Duration::from_millis(16);
/// Time until an unacknowledged batch is sent again. It doubles with each retry, up to
/// [`LONGEST_RETRY_AFTER`].
const FIRST_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Longest time until an unacknowledged batch is sent again.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Maximum number of times that a batch is sent without any of its updates being acknowledged.
const MAX_ATTEMPTS: u32 = 20;
/// Time limit for acknowledging all batches of a delivery. It ends a delivery that makes slow progress; one
/// without progress ends by [`MAX_ATTEMPTS`] after 36 s at the latest.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(180);
/// Age of the purges that this client sends: typical of the purges that a returning director catches up on.
const PURGE_AGE_MS: u64 = 60_000;
/// Updates in each datagram of a flood.
const FLOOD_UPDATES: usize = 80;
/// Pause of a flood after every second datagram.
const FLOOD_PAUSE: Duration = Duration::from_millis(4);
/// Size of the receive buffer. Directors send no larger datagrams.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// The reason why updates were not delivered.
#[derive(Debug, thiserror::Error)]
pub enum DeliveryError {
    /// A batch was sent `MAX_ATTEMPTS` times without progress.
    #[error("{missing} updates of a batch were not acknowledged after {MAX_ATTEMPTS} attempts")]
    AttemptsExhausted {
        /// Number of the batch's updates that the director has not acknowledged.
        missing: usize,
    },
    /// The delivery took longer than `DELIVERY_TIMEOUT`.
    #[error("{missing} updates were not acknowledged after {} s", DELIVERY_TIMEOUT.as_secs())]
    TimedOut {
        /// Number of updates that the director has not acknowledged.
        missing: usize,
    },
    /// A message does not fit into a datagram.
    #[error("message too large for a datagram")]
    TooLarge,
    /// Sending or receiving failed.
    #[error("gossip client's socket failed: {0}")]
    Socket(#[from] std::io::Error),
}

/// The batches sent for a delivery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Delivered {
    /// Number of batches. Each was acknowledged in full.
    pub batches: u64,
    /// Number of retries, each of a batch that was not yet acknowledged in full.
    pub retries: u64,
}

/// An update and its position in a director's map, which is ordered by the hash of the keys.
struct Update {
    position: u64,
    key: Key,
    value: Value,
}

impl Update {
    fn new(key: Key, value: Value) -> Update {
        Update { position: stable_hash(&encode(&key)), key, value }
    }

    /// Returns whether a director that holds this value for the key has the update.
    fn is_in(&self, key: &Key, held: &Value) -> bool {
        self.key == *key && held.clone().merge(&self.value) == MergeOutcome::Unchanged
    }
}

/// Updates that are sent together, ordered by position, and when to send them next.
struct Batch {
    updates: Vec<Update>,
    /// Whether it was sent before.
    sent: bool,
    /// Times sent since any of its updates was last acknowledged.
    attempts: u32,
    retry_after: Duration,
    due: Instant,
}

impl Batch {
    fn new(updates: Vec<Update>) -> Batch {
        Batch { updates, sent: false, attempts: 0, retry_after: FIRST_RETRY_AFTER, due: Instant::now() }
    }

    /// Returns the first and the last position.
    fn range(&self) -> Option<(u64, u64)> {
        Some((self.updates.first()?.position, self.updates.last()?.position))
    }

    /// Removes the updates that a director holds. If there are any, the rest is due immediately.
    fn acknowledge(&mut self, held: &[(Key, Value)]) {
        let before = self.updates.len();
        self.updates.retain(|update| !held.iter().any(|(key, value)| update.is_in(key, value)));
        if self.updates.len() < before {
            self.attempts = 0;
            self.retry_after = FIRST_RETRY_AFTER;
            self.due = Instant::now();
        }
    }

    /// Counts an attempt and sets the time of the next.
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
            updates.into_iter().map(|(key, value)| Update::new(key, value)).collect();
        updates.sort_by_key(|update| update.position);
        let mut waiting = VecDeque::new();
        while !updates.is_empty() {
            let rest = updates.split_off(updates.len().min(BATCH_UPDATES));
            waiting.push_back(Batch::new(std::mem::replace(&mut updates, rest)));
        }
        Delivery { waiting, outstanding: Vec::new(), next_batch: Instant::now() }
    }

    /// Returns whether another batch may be sent once [`BATCH_INTERVAL`] has passed.
    fn may_admit(&self) -> bool {
        !self.waiting.is_empty() && self.outstanding.len() < MAX_OUTSTANDING
    }

    /// Moves the next batch to the outstanding ones, if their number and [`BATCH_INTERVAL`] allow it.
    fn admit(&mut self) {
        let now = Instant::now();
        if !self.may_admit() || now < self.next_batch {
            return;
        }
        self.next_batch = now + BATCH_INTERVAL;
        self.outstanding.extend(self.waiting.pop_front().map(|batch| Batch { due: now, ..batch }));
    }

    /// Acknowledges the updates among the entries that a director holds from position `first` on.
    fn acknowledge(&mut self, first: u64, held: &[(Key, Value)]) {
        let answered = |batch: &&mut Batch| batch.range().is_some_and(|range| range.0 == first);
        if let Some(batch) = self.outstanding.iter_mut().find(answered) {
            batch.acknowledge(held);
        }
        self.outstanding.retain(|batch| !batch.updates.is_empty());
    }

    /// Returns when a batch is next due, or `None` if all are acknowledged.
    fn next_due(&self) -> Option<Instant> {
        let new = self.may_admit().then_some(self.next_batch);
        self.outstanding.iter().map(|batch| batch.due).chain(new).min()
    }

    /// Returns the number of updates that are not acknowledged.
    fn missing(&self) -> usize {
        self.outstanding.iter().chain(&self.waiting).map(|batch| batch.updates.len()).sum()
    }
}

/// A sender that has a fleet's key without being a member of the fleet.
pub struct TestClient {
    socket: UdpSocket,
    codec: FrameCodec,
    from: Member,
    number: u64,
}

impl TestClient {
    /// Opens a client of this fleet on a free loopback port.
    pub async fn open(fleet: &Fleet) -> Result<TestClient, TestbedError> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let from = Member::new("test-client", socket.local_addr()?, 1);
        let codec = FrameCodec::new("lab", &fleet.keys()?).ok_or("no key")?;
        Ok(TestClient { socket, codec, from, number: 0 })
    }

    /// Encodes and authenticates a message with this sender's next message number.
    pub fn sealed(&mut self, message: GossipMessage) -> Result<Vec<u8>, DeliveryError> {
        self.number += 1;
        let message = Message {
            from: self.from.clone(),
            incarnation: 1,
            number: self.number,
            body: Body::Gossip(message),
        };
        self.codec.encode(&message).ok_or(DeliveryError::TooLarge)
    }

    /// Sends a datagram unchanged.
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

    /// Sends the batches that are due, each with the transfer request whose reply acknowledges it.
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

    /// Returns the entries of a director's [`GossipMessage::TransferChunk`] and the position that they begin
    /// at. Returns `None` for another message or another sender.
    fn chunk(&self, director: SocketAddr, datagram: &[u8]) -> Option<(u64, Vec<(Key, Value)>)> {
        let message = self.codec.decode(datagram).ok()?;
        match message.body {
            Body::Gossip(GossipMessage::TransferChunk(chunk)) if message.from.address == director => {
                Some((chunk.first, chunk.entries))
            }
            _ => None,
        }
    }

    /// Delivers `entries` purges of groups to a director of the fleet, and checks that it holds them all.
    pub async fn fill(&mut self, fleet: &Fleet, n: usize, entries: u32) -> Result<Delivered, TestbedError> {
        let delivered = self.deliver(fleet.relay_address(n), purges(0..entries)).await?;
        let held = fleet.purge_count(n).await?;
        if held < u64::from(entries) {
            return Err(format!("director {n} holds {held} of {entries} delivered purges").into());
        }
        Ok(delivered)
    }

    /// Sends purges of groups without acknowledgement, at a rate that a socket's buffer can take. Some may
    /// still be lost.
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

/// Returns purges of groups, all with the same time.
fn purges(groups: Range<u32>) -> Vec<(Key, Value)> {
    let at = (unix_ms() - PURGE_AGE_MS) * 1_000;
    groups.map(|group| (Key::Group(group), Value::Purged(at))).collect()
}
