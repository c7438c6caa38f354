//! One client connection: reads requests from it and writes responses to it.

use super::read_buffer::{self, OutOfMemory, ReadBuffer};
use crate::dispatch::Client;
use crate::frontend::http::{self, BadRequest, RequestHead, Response};
use crate::frontend::stream::ClientStream;
use crate::memory::{MemoryBudget, MemoryReservation, MemoryUse};
use crate::upstream::peek_available;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

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

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request whose head and body have been received completely.
pub(super) struct ReceivedRequest {
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    /// The memory of a head that is longer than usual, until the head is dropped.
    pub(super) head_memory: Option<MemoryReservation>,
}

/// A request whose head has been received, with the part of its body that has been.
struct IncomingRequest {
    head: RequestHead,
    head_memory: Option<MemoryReservation>,
    body: BytesMut,
    body_memory: Option<MemoryReservation>,
}

impl IncomingRequest {
    /// Reserves the memory of a request whose head is `head_bytes` long, and allocates that of its body.
    fn new(
        head: RequestHead,
        head_bytes: usize,
        memory: &MemoryBudget,
    ) -> Result<IncomingRequest, BadRequest> {
        let reserve =
            |bytes| memory.try_reserve(bytes, MemoryUse::Request).ok_or(BadRequest::OutOfMemory).map(Some);
        let head_memory = if head_bytes > read_buffer::INITIAL_BYTES { reserve(head_bytes)? } else { None };
        let body_memory = if head.content_length > 0 { reserve(head.content_length)? } else { None };
        let body = BytesMut::with_capacity(head.content_length);
        Ok(IncomingRequest { head, head_memory, body, body_memory })
    }

    /// Returns the number of bytes of the body that have not been received.
    fn missing_bytes(&self) -> usize {
        self.head.content_length - self.body.len()
    }

    fn into_received(self) -> ReceivedRequest {
        let body = self.body.freeze();
        let body = match self.body_memory {
            Some(memory) => memory.attach(body),
            None => body,
        };
        ReceivedRequest { head: self.head, body, head_memory: self.head_memory }
    }
}

/// A client connection with its read buffer.
pub(super) struct Connection {
    stream: ClientStream,
    memory: MemoryBudget,
    buffer: ReadBuffer,
    /// A request whose body is not complete yet.
    incoming: Option<IncomingRequest>,
    /// Deadline for receiving the current request. `None` between requests on a persistent connection.
    request_deadline: Option<Instant>,
    /// Number of bytes that were read and discarded. If not 0, the start of the next request is unknown.
    discarded_bytes: usize,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, memory: MemoryBudget) -> Self {
        Connection {
            stream: ClientStream::new(stream),
            buffer: ReadBuffer::new(memory.clone()),
            memory,
            incoming: None,
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
        self.buffer.is_empty() && self.incoming.is_none()
    }

    /// Reads the next request. Returns `None` if the client closed the connection or sent nothing in time.
    /// Bytes already read are kept if the future is dropped.
    pub(super) async fn next_request(
        &mut self,
        max_body_bytes: usize,
    ) -> Result<Option<ReceivedRequest>, BadRequest> {
        loop {
            if self.incoming.is_none() {
                self.incoming = self.parse_head(max_body_bytes)?;
                if self.awaits_continue() && self.write_continue().await.is_err() {
                    return Ok(None);
                }
            }
            if let Some(request) = self.take_request() {
                return Ok(Some(request));
            }
            let deadline = self.read_deadline();
            match timeout_at(deadline, self.read()).await {
                Ok(read) if read? > 0 => {}
                Err(_) if !self.is_idle() => return Err(BadRequest::Timeout),
                _ => return Ok(None),
            }
        }
    }

    /// Removes a request's head from the buffer. Returns `None` if it is not complete yet.
    fn parse_head(&mut self, max_body_bytes: usize) -> Result<Option<IncomingRequest>, BadRequest> {
        let buffered = self.buffer.len();
        let Some(head) = http::parse_head(self.buffer.bytes_mut(), max_body_bytes)? else { return Ok(None) };
        let head_bytes = buffered - self.buffer.len();
        let mut request = IncomingRequest::new(head, head_bytes, &self.memory)?;
        let body_bytes = request.missing_bytes();
        self.buffer.move_to(&mut request.body, body_bytes);
        Ok(Some(request))
    }

    /// Reads more of the current request. Returns the number of bytes, or 0 if the connection has ended.
    async fn read(&mut self) -> Result<usize, BadRequest> {
        let read = match &mut self.incoming {
            Some(request) => {
                let missing = request.missing_bytes();
                self.stream.read_buf(&mut (&mut request.body).limit(missing)).await
            }
            None => {
                let buffer =
                    self.buffer.with_room_for_head().map_err(|OutOfMemory| BadRequest::OutOfMemory)?;
                self.stream.read_buf(buffer).await
            }
        };
        Ok(read.unwrap_or(0))
    }

    /// Returns whether the client waits for `100 Continue` before it sends the rest of the body.
    fn awaits_continue(&self) -> bool {
        let incoming = self.incoming.as_ref();
        incoming.is_some_and(|request| request.head.expects_continue && request.missing_bytes() > 0)
    }

    async fn write_continue(&mut self) -> io::Result<()> {
        let written = timeout(RESPONSE_TIMEOUT, self.stream.write_all(CONTINUE)).await;
        written.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
    }

    /// Returns the current request if it is complete.
    fn take_request(&mut self) -> Option<ReceivedRequest> {
        let request = self.incoming.take_if(|request| request.missing_bytes() == 0)?;
        self.request_deadline = None;
        Some(request.into_received())
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
        while matches!(self.read_ahead().await, Ok(n) if n > 0) {
            if self.discarded_bytes > MAX_DISCARDED_BYTES {
                return;
            }
        }
    }

    /// Reads bytes while a response is pending. Those that the buffer has no room for are discarded, so that
    /// a close by the client after them is detected. The connection then closes after the response.
    async fn read_ahead(&mut self) -> io::Result<usize> {
        if !self.has_discarded() {
            if let Ok(buffer) = self.buffer.with_room_to_read_ahead() {
                return self.stream.read_buf(buffer).await;
            }
        }
        let bytes = self.stream.discard().await?;
        if bytes > 0 {
            self.discarded_bytes += self.buffer.len() + bytes;
            self.buffer.clear();
        }
        Ok(bytes)
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
        // The number of reads is limited, because many MB can follow a rejected request.
        let drain = async {
            for _ in 0..MAX_LINGER_READS {
                if !matches!(self.stream.discard().await, Ok(n) if n > 0) {
                    return;
                }
            }
        };
        let _ = timeout(LINGER_TIMEOUT, drain).await;
    }
}
