//! One client connection: reads requests from it and writes responses to it.

use crate::dispatch::Client;
use crate::frontend::http::{self, BadRequest, RequestHead, Response};
use crate::frontend::stream::ClientStream;
use crate::upstream::peek_available;
use bytes::{Buf, Bytes, BytesMut};
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

const INITIAL_BUFFER_BYTES: usize = 2048;
/// Bytes kept that came ahead of a response. What comes beyond is read and discarded, for the client's close
/// lies behind it, and the connection closes after the response.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// A client that sends this much while it awaits a response counts as gone: one that keeps to the protocol
/// sends nothing then, and reading on for ever would hold up the others.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// A connection without a request is closed after this; clients close theirs after 4 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// A request must be complete by then, counted from its first byte, or from the accept of a connection
/// on which none has come: a client that sends nothing, or never comes to an end, is owed a close within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A client must have taken a response by then.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long, how often and in what pieces a connection is read on after the response that closes it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_LINGER_READS: usize = 64;
const LINGER_READ_BYTES: usize = 4096;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A complete request.
pub(super) struct ReceivedRequest {
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
}

/// A client's connection with what has been read of it.
pub(super) struct Connection {
    stream: ClientStream,
    buffer: BytesMut,
    /// The head of a request whose body is not complete yet.
    head: Option<RequestHead>,
    /// When the request that has begun must be complete.
    request_deadline: Option<Instant>,
    /// Bytes that were read and discarded: what follows them can't be told apart any more.
    discarded_bytes: usize,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Self {
        Connection {
            stream: ClientStream::new(stream),
            buffer: BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
            head: None,
            request_deadline: Some(Instant::now() + REQUEST_TIMEOUT),
            discarded_bytes: 0,
        }
    }

    /// By which the dispatcher sees that the client has gone.
    pub(super) fn client(&self) -> impl Client {
        self.stream.client()
    }

    /// Whether bytes have been discarded, so that no further request can be read.
    pub(super) fn has_discarded(&self) -> bool {
        self.discarded_bytes > 0
    }

    pub(super) fn set_request_deadline(&mut self, deadline: Instant) {
        self.request_deadline = Some(deadline);
    }

    /// Whether anything of the next request has come, even if the runtime has not been notified of it.
    pub(super) fn has_request_begun(&self) -> bool {
        !self.is_idle() || matches!(peek_available(self.stream.socket()), Ok(n) if n > 0)
    }

    /// Whether nothing of a next request has been read.
    fn is_idle(&self) -> bool {
        self.buffer.is_empty() && self.head.is_none()
    }

    /// Reads the next request; none: the client closed the connection, left it idle or took too long. What
    /// has been read stays when the future is dropped.
    pub(super) async fn next_request(
        &mut self,
        max_body_bytes: usize,
    ) -> Result<Option<ReceivedRequest>, BadRequest> {
        loop {
            if self.head.is_none() {
                self.head = http::parse_head(&mut self.buffer, max_body_bytes)?;
                if self.awaits_continue() && self.write_continue().await.is_err() {
                    return Ok(None);
                }
            }
            if let Some(request) = self.take_request() {
                return Ok(Some(request));
            }
            let deadline = self.read_deadline();
            match timeout_at(deadline, self.stream.read_buf(&mut self.buffer)).await {
                Ok(Ok(n)) if n > 0 => {}
                Err(_) if !self.is_idle() => return Err(BadRequest::Timeout),
                _ => return Ok(None),
            }
        }
    }

    /// Whether the client waits for leave to send the body.
    fn awaits_continue(&self) -> bool {
        let head = self.head.as_ref();
        head.is_some_and(|head| head.expects_continue && self.buffer.len() < head.content_length)
    }

    async fn write_continue(&mut self) -> io::Result<()> {
        let written = timeout(RESPONSE_TIMEOUT, self.stream.write_all(CONTINUE)).await;
        written.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
    }

    /// Takes the request off the buffer, once it is complete.
    fn take_request(&mut self) -> Option<ReceivedRequest> {
        let head = self.head.take_if(|head| self.buffer.len() >= head.content_length)?;
        self.request_deadline = None;
        let body = self.buffer.split_to(head.content_length).freeze();
        Some(ReceivedRequest { head, body })
    }

    /// When the next bytes must have come. A request's time is counted from its first byte, so that one that
    /// trickles in holds no slot for ever.
    fn read_deadline(&mut self) -> Instant {
        if self.is_idle() && self.request_deadline.is_none() {
            return Instant::now() + IDLE_TIMEOUT;
        }
        *self.request_deadline.get_or_insert_with(|| Instant::now() + REQUEST_TIMEOUT)
    }

    /// Returns once the client has closed or reset the connection, or sent far more than it has any reason
    /// to.
    pub(super) async fn closed_by_client(&mut self) {
        while matches!(self.stream.read_buf(&mut self.buffer).await, Ok(n) if n > 0) {
            if self.buffer.len() > MAX_READ_AHEAD_BYTES || self.has_discarded() {
                self.discarded_bytes += self.buffer.len();
                self.buffer.clear();
            }
            if self.discarded_bytes > MAX_DISCARDED_BYTES {
                return;
            }
        }
    }

    /// Writes a response, with the header that says so where the connection closes after it.
    pub(super) async fn write(&mut self, response: &Response, closes: bool) -> io::Result<()> {
        let mut bytes = Bytes::from(response.encode_head(closes)).chain(response.body.clone());
        let written = timeout(RESPONSE_TIMEOUT, self.stream.write_all_buf(&mut bytes)).await;
        written.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
    }

    /// Reads on for a moment after a response that closes, as RFC 9112 (9.6) advises: closing with unread
    /// bytes resets the connection, and the client might never see the response.
    pub(super) async fn linger(&mut self) {
        let _ = self.stream.shutdown().await;
        let mut discarded = [0; LINGER_READ_BYTES];
        // Bounded, for what follows a rejected request may be many MB.
        let drain = async {
            for _ in 0..MAX_LINGER_READS {
                if !matches!(self.stream.read(&mut discarded).await, Ok(n) if n > 0) {
                    return;
                }
            }
        };
        let _ = timeout(LINGER_TIMEOUT, drain).await;
    }
}
