//! Client of the discovery service: keeps one watch connection up and reports its events.

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

/// The service sends a heartbeat at least once a second; a connection without a byte for this long is dead.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Limit on the time to connect. Together with [`MAX_RECONNECT_DELAY`] it is well under the second within
/// which a service that returns has to be followed again, even if its machine did not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before the first reconnect; it doubles with each failure up to [`MAX_RECONNECT_DELAY`].
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before a reconnect.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(400);
/// Bytes that the read buffer holds at first.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Why a watch connection ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    #[error("no connection within the time limit")]
    ConnectTimeout,
    #[error("connection lost: {0}")]
    Lost(#[source] io::Error),
    #[error("closed by the service")]
    Closed,
    #[error("no heartbeat")]
    HeartbeatMissing,
    #[error("events up to {revision} were missed")]
    EventsMissed { revision: u64 },
    #[error("unreadable line: {0}")]
    Unreadable(#[from] WatchLineError),
}

/// Follows the discovery service for as long as the process runs.
#[derive(Debug)]
pub struct DiscoveryClient {
    address: watch::Receiver<String>,
    events: EventReceiver,
}

impl DiscoveryClient {
    /// Reports the events after the service's `revision` to the dispatcher.
    pub fn new(service: DiscoveryService, dispatcher: DispatcherSender) -> Self {
        let events = EventReceiver {
            revision: service.revision,
            unreadable_after: None,
            heartbeat_received: false,
            event_skipped: false,
            scope: service.scope,
            dispatcher,
            subscriber: service.subscriber,
        };
        DiscoveryClient { address: service.address, events }
    }

    /// Watches the service and reconnects with backoff. A new address is watched at once, from the latest
    /// event on: the old one reports nothing more. Ends if there is no address and nobody can set one any
    /// more.
    pub async fn run(mut self) {
        let mut backoff = Backoff::default();
        loop {
            let address = self.address.borrow_and_update().clone();
            if address.is_empty() {
                // Nothing to watch until a new configuration names an address.
                if self.address.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let revision_before = self.events.revision;
            // Cancelling a connection loses no event: its revision is taken only once the dispatcher's queue
            // has it.
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
            // A connection that brought anything, be it only a heartbeat, was a good one.
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

    /// The delay reduced by a random part of up to half, so that hundreds of clients that lose their service
    /// at once do not all return at once, and none returns later than without the jitter.
    fn jittered(&self) -> Duration {
        let random = RandomState::new().build_hasher().finish();
        self.delay.mul_f64(0.5 + 0.5 * unit_interval(random))
    }
}

/// Receives events and reports each once, over any number of connections.
#[derive(Debug)]
struct EventReceiver {
    /// Revision of the latest event that was reported or skipped.
    revision: u64,
    /// The revision after which a line could not be decoded. The line is requested once more, since it may
    /// have been damaged on the way; if it can't be decoded then either it is skipped, for otherwise nothing
    /// after it would ever be received.
    unreadable_after: Option<u64>,
    /// Whether the present connection brought a heartbeat.
    heartbeat_received: bool,
    /// Whether the present connection skipped an event whose revision is not known yet.
    event_skipped: bool,
    scope: WatchScope,
    dispatcher: DispatcherSender,
    subscriber: Subscriber,
}

impl EventReceiver {
    /// Watches over one connection until it ends, and returns the reason.
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
            Err(error) => self.handle_unreadable(error),
        }
    }

    fn handle_heartbeat(&mut self, revision: u64) -> Result<(), WatchError> {
        if std::mem::take(&mut self.event_skipped) {
            // It is the revision of the skipped event.
            self.revision = self.revision.max(revision);
            return Ok(());
        }
        // Events come in order, so a revision ahead of ours means that some were lost on the way.
        if revision > self.revision {
            return Err(WatchError::EventsMissed { revision });
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
        if let Some(subscriber) = &self.subscriber {
            let _ = subscriber.try_send(event.clone()); // full: other directors report it
        }
        if let Some(message) = event.into_message(self.scope) {
            self.dispatcher.send(message).await;
        }
        // Only now: a new address may cancel the wait for the dispatcher's queue.
        self.revision = revision;
    }

    fn handle_unreadable(&mut self, error: WatchLineError) -> Result<(), WatchError> {
        if self.unreadable_after != Some(self.revision) {
            self.unreadable_after = Some(self.revision);
            return Err(error.into());
        }
        tracing::warn!(reason = %error, revision = self.revision, "unreadable discovery event skipped");
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

/// Reads what comes next; an error if that is the end of the stream or comes too late.
async fn read_more(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<(), WatchError> {
    match timeout(HEARTBEAT_TIMEOUT, stream.read_buf(buffer)).await {
        Ok(Ok(0)) => Err(WatchError::Closed),
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(WatchError::Lost(error)),
        Err(_) => Err(WatchError::HeartbeatMissing),
    }
}
