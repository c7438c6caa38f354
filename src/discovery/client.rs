//! Client of the discovery service. It keeps a watch connection open and sends the events to the dispatcher.

use super::codec::{self, WatchLine, WatchLineError};
use super::event::{Subscriber, WatchEvent, WatchScope};
use super::DiscoveryService;
use crate::dispatch::DispatcherSender;
use crate::policy::estimators::hash::unit_interval;
use bytes::BytesMut;
use std::convert::Infallible;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Longest time without a byte before a connection is closed. The service sends a heartbeat at least once a
/// second.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Limit on the time to connect. A service that is available again has to be watched within a second, even if
/// its machine did not answer before. The sum of this limit and [`MAX_RECONNECT_DELAY`] is below that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before the first reconnect; it doubles with each failure, up to [`MAX_RECONNECT_DELAY`].
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay before a reconnect.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(400);
/// Initial capacity of the read buffer.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The reason for the end of a watch connection.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    #[error("no connection within {} ms", CONNECT_TIMEOUT.as_millis())]
    ConnectTimeout,
    #[error("connection lost: {0}")]
    Lost(#[source] io::Error),
    #[error("closed by the service")]
    Closed,
    #[error("no data within {} ms, expected a heartbeat every second", HEARTBEAT_TIMEOUT.as_millis())]
    HeartbeatMissing,
    #[error("events were missed: heartbeat has revision {reported}, latest event received has {received}")]
    EventsMissed { reported: u64, received: u64 },
    #[error("line can't be decoded: {0}")]
    Undecodable(#[from] WatchLineError),
}

/// A client that watches the discovery service for as long as the process runs.
#[derive(Debug)]
pub struct DiscoveryClient {
    address: watch::Receiver<String>,
    events: EventReceiver,
}

impl DiscoveryClient {
    /// Creates a client that sends the events after `service.revision` to the dispatcher.
    pub fn new(service: DiscoveryService, dispatcher: DispatcherSender) -> Self {
        let events = EventReceiver {
            revision: service.revision,
            undecodable_after: None,
            heartbeat_received: false,
            event_skipped: false,
            scope: service.scope,
            dispatcher,
            subscriber: service.subscriber,
        };
        DiscoveryClient { address: service.address, events }
    }

    /// Watches the service and reconnects with backoff. If the address changes, closes the connection to the
    /// old one and requests the events after the latest revision from the new one. Returns if there is no
    /// address and the sender of addresses was dropped.
    pub async fn run(mut self) {
        let mut backoff = Backoff::default();
        loop {
            let address = self.address.borrow_and_update().clone();
            if address.is_empty() {
                // Wait until a new configuration sets an address.
                if self.address.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let revision_before = self.events.revision;
            // Cancelling a connection loses no event: the revision advances only after the event is in the
            // dispatcher's queue.
            let error = tokio::select! {
                error = self.events.watch(&address) => error,
                Ok(()) = self.address.changed() => {
                    backoff.reset();
                    tracing::info!(revision = self.events.revision, "discovery address changed");
                    continue;
                }
            };
            tracing::info!(
                %address,
                reason = %error,
                revision = self.events.revision,
                "discovery connection ended, reconnecting"
            );
            // A connection that delivered an event or just a heartbeat counts as successful.
            if self.events.heartbeat_received || self.events.revision > revision_before {
                backoff.reset();
            } else {
                backoff.increase();
            }
            tokio::select! {
                () = sleep(backoff.jittered()) => {}
                Ok(()) = self.address.changed() => self.address.mark_changed(),
            }
        }
    }
}

/// The delay before the next reconnect.
struct Backoff {
    delay: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff { delay: MIN_RECONNECT_DELAY }
    }
}

impl Backoff {
    fn reset(&mut self) {
        self.delay = MIN_RECONNECT_DELAY;
    }

    fn increase(&mut self) {
        self.delay = (self.delay * 2).min(MAX_RECONNECT_DELAY);
    }

    /// Returns the delay, reduced by a random share of up to half. Hundreds of clients that lose the service
    /// at the same time then don't reconnect at the same time, and none reconnects later than without jitter.
    fn jittered(&self) -> Duration {
        let random = RandomState::new().build_hasher().finish();
        self.delay.mul_f64(0.5 + 0.5 * unit_interval(random))
    }
}

/// The state of the watch across connections. Each event is sent to the dispatcher once.
#[derive(Debug)]
struct EventReceiver {
    /// Revision of the latest event that was received or skipped.
    revision: u64,
    /// The revision after which a line could not be decoded. The line is requested a second time, since it
    /// may have been damaged in transit. If the second decoding fails too, the line is skipped; otherwise no
    /// later event would ever be received.
    undecodable_after: Option<u64>,
    /// `true` if a heartbeat arrived on the current connection.
    heartbeat_received: bool,
    /// `true` if an event was skipped on the current connection and its revision is not known yet.
    event_skipped: bool,
    scope: WatchScope,
    dispatcher: DispatcherSender,
    subscriber: Subscriber,
}

impl EventReceiver {
    /// Watches the service over one connection and returns the reason for its end.
    async fn watch(&mut self, address: &str) -> WatchError {
        (self.heartbeat_received, self.event_skipped) = (false, false);
        let Err(error) = self.read_lines(address).await;
        error
    }

    async fn read_lines(&mut self, address: &str) -> Result<Infallible, WatchError> {
        let mut stream = connect(address).await?;
        let request = codec::encode_watch_request(self.revision);
        stream.write_all(request.as_bytes()).await.map_err(WatchError::Lost)?;
        let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
        loop {
            read_more(&mut stream, &mut buffer).await?;
            while let Some(line) = codec::take_line(&mut buffer)? {
                if !line.is_empty() {
                    self.handle_line(&line).await?;
                }
            }
        }
    }

    async fn handle_line(&mut self, line: &[u8]) -> Result<(), WatchError> {
        match codec::decode_line(line) {
            Ok(WatchLine::Heartbeat(revision)) => self.handle_heartbeat(revision),
            Ok(WatchLine::Event(event)) => {
                self.handle_event(event).await;
                Ok(())
            }
            Err(error) => self.handle_undecodable(error),
        }
    }

    fn handle_heartbeat(&mut self, revision: u64) -> Result<(), WatchError> {
        if std::mem::take(&mut self.event_skipped) {
            // The heartbeat gives the revision of the skipped event.
            self.revision = self.revision.max(revision);
            return Ok(());
        }
        // Events arrive in the order of their revisions, so a higher revision means that events were lost.
        if revision > self.revision {
            return Err(WatchError::EventsMissed { reported: revision, received: self.revision });
        }
        self.heartbeat_received = true;
        Ok(())
    }

    async fn handle_event(&mut self, event: WatchEvent) {
        if event.revision <= self.revision {
            return;
        }
        let revision = event.revision;
        self.event_skipped = false;
        if let Some(subscriber) = self.subscriber.as_ref().filter(|_| event.is_in(self.scope)) {
            let _ = subscriber.try_send(event.clone()); // queue full: other directors pass the event on
        }
        if let Some(message) = event.into_message(self.scope) {
            self.dispatcher.send(message).await;
        }
        // Set last, because an address change may cancel the wait for the dispatcher's queue.
        self.revision = revision;
    }

    fn handle_undecodable(&mut self, error: WatchLineError) -> Result<(), WatchError> {
        if self.undecodable_after != Some(self.revision) {
            self.undecodable_after = Some(self.revision);
            return Err(error.into());
        }
        tracing::warn!(reason = %error, revision = self.revision, "undecodable discovery event skipped");
        self.event_skipped = true;
        Ok(())
    }
}

async fn connect(address: &str) -> Result<TcpStream, WatchError> {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(connected) => connected.map_err(WatchError::Connect),
        Err(_) => Err(WatchError::ConnectTimeout),
    }
}

/// Reads more bytes into the buffer. Returns an error at the end of the stream or after
/// [`HEARTBEAT_TIMEOUT`].
async fn read_more(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<(), WatchError> {
    match timeout(HEARTBEAT_TIMEOUT, stream.read_buf(buffer)).await {
        Ok(Ok(0)) => Err(WatchError::Closed),
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(WatchError::Lost(error)),
        Err(_) => Err(WatchError::HeartbeatMissing),
    }
}
