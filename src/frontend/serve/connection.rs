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
/// Maximum number of bytes buffered while a response is pending. Further bytes are read and discarded, so
/// that a close by the client after them is detected. The connection then closes after the response.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Number of discarded bytes after which a client that waits for a response counts as disconnected. A client
/// that follows the protocol sends nothing then, and reading without limit would delay other connections.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// Time after which an idle connection is closed. Clients close idle connections after 4 s, so usually first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time limit for receiving a request, from its first byte, or from the accept for the first request. A
/// client that sends nothing or an incomplete request must see the connection closed within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for writing a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for reading from a connection after its last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of reads after the last response.
const MAX_LINGER_READS: usize = 64;
/// Maximum number of bytes per read after the last response.
const LINGER_READ_BYTES: usize = 4096;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request whose head and body have been received completely.
pub(super) struct ReceivedRequest {
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
}

/// A client connection with its read buffer.
pub(super) struct Connection {
    stream: ClientStream,
    buffer: BytesMut,
    /// Head of a request whose body is not complete yet.
    head: Option<RequestHead>,
    /// Deadline for receiving the current request. `None` between requests on a persistent connection.
    request_deadline: Option<Instant>,
    /// Number of bytes that were read and discarded. If not 0, the start of the next request is unknown.
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

    /// Returns a handle that lets the dispatcher detect that the client has disconnected.
    pub(super) fn client(&self) -> impl Client {
        self.stream.client()
    }

    /// Returns whether bytes have been discarded, so that no further request can be read.
    pub(super) fn has_discarded(&self) -> bool {
        self.discarded_bytes > 0
    }

    pub(super) fn set_request_deadline(&mut self, deadline: Instant) {
        self.request_deadline = Some(deadline);
    }

    /// Returns whether any byte of the next request has arrived, even before the runtime is notified of it.
    pub(super) fn has_request_begun(&self) -> bool {
        !self.is_idle() || matches!(peek_available(self.stream.socket()), Ok(n) if n > 0)
    }

    /// Returns whether no byte of the next request has been read.
    fn is_idle(&self) -> bool {
        self.buffer.is_empty() && self.head.is_none()
    }

    /// Reads the next request. Returns `None` if the client closed the connection or sent nothing in time.
    /// Bytes already read are kept if the future is dropped.
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

    /// Returns whether the client waits for `100 Continue` before it sends the rest of the body.
    fn awaits_continue(&self) -> bool {
        let head = self.head.as_ref();
        head.is_some_and(|head| head.expects_continue && self.buffer.len() < head.content_length)
    }

    async fn write_continue(&mut self) -> io::Result<()> {
        let written = timeout(RESPONSE_TIMEOUT, self.stream.write_all(CONTINUE)).await;
        written.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
    }

    /// Removes the current request from the buffer. Returns `None` if it is not complete yet.
    fn take_request(&mut self) -> Option<ReceivedRequest> {
        let head = self.head.take_if(|head| self.buffer.len() >= head.content_length)?;
        self.request_deadline = None;
        let body = self.buffer.split_to(head.content_length).freeze();
        Some(ReceivedRequest { head, body })
    }

    /// Returns the deadline for the next read. It is fixed from the first byte of a request on, so that a
    /// request that arrives slowly cannot hold its slot without limit.
    fn read_deadline(&mut self) -> Instant {
        if self.is_idle() && self.request_deadline.is_none() {
            return Instant::now() + IDLE_TIMEOUT;
        }
        *self.request_deadline.get_or_insert_with(|| Instant::now() + REQUEST_TIMEOUT)
    }

    /// Returns once the client has closed or reset the connection, or sent more than [`MAX_DISCARDED_BYTES`].
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

    /// Writes a response. If `closes` is set, its header `Connection: close` announces the close.
    pub(super) async fn write(&mut self, response: &Response, closes: bool) -> io::Result<()> {
        let mut bytes = Bytes::from(response.encode_head(closes)).chain(response.body.clone());
        let written = timeout(RESPONSE_TIMEOUT, self.stream.write_all_buf(&mut bytes)).await;
        written.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
    }

    /// Closes the write side and reads for a short time before the connection is closed, as RFC 9112 (9.6)
    /// recommends. Closing with unread bytes resets the connection, and the client can lose the response.
    pub(super) async fn linger(&mut self) {
        let _ = self.stream.shutdown().await;
        let mut discarded = [0; LINGER_READ_BYTES];
        // The number of reads is limited, because many MB can follow a rejected request.
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
