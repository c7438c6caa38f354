//! A client connection. One task reads and writes it, and the dispatcher can check whether the client has
//! disconnected.

use crate::dispatch::Client;
use crate::upstream::has_closed;
use std::future::poll_fn;
use std::io::{ErrorKind, IoSlice, Result};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Weak};
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes that [`ClientStream::discard`] reads at a time.
const DISCARD_BYTES: usize = 16 * 1024;

/// A client connection. Dropping it closes the socket: the dispatcher holds only weak references.
#[derive(Debug)]
pub struct ClientStream(Arc<TcpStream>);

impl ClientStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        ClientStream(Arc::new(stream))
    }

    /// Returns the socket, for checks that do not consume data.
    pub fn socket(&self) -> &TcpStream {
        &self.0
    }

    /// Reads bytes and drops them, without a buffer that outlives the call. Returns their number, which is 0
    /// at the end of the stream.
    pub async fn discard(&mut self) -> Result<usize> {
        poll_fn(|cx| {
            let mut bytes = [0; DISCARD_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut *self).poll_read(cx, &mut buffer))?;
            Poll::Ready(Ok(buffer.filled().len()))
        })
        .await
    }

    /// Returns a handle that lets the dispatcher detect a disconnect before this connection's task does.
    pub fn client(&self) -> impl Client {
        ConnectedClient(Arc::downgrade(&self.0))
    }
}

/// A weak reference to a client's socket. A closed socket counts as disconnected.
#[derive(Debug)]
struct ConnectedClient(Weak<TcpStream>);

impl Client for ConnectedClient {
    fn has_disconnected(&self) -> bool {
        self.0.upgrade().is_none_or(|stream| has_closed(&stream))
    }
}

/// Returns the result of a read or write. Returns `None` if it would block, so that the caller waits again.
fn unless_would_block<T>(result: Result<T>) -> Option<Result<T>> {
    match result {
        Err(error) if error.kind() == ErrorKind::WouldBlock => None,
        result => Some(result),
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            if let Some(read) = unless_would_block(self.0.try_read(buffer.initialize_unfilled())) {
                return Poll::Ready(read.map(|n| buffer.advance(n)));
            }
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            if let Some(written) = unless_would_block(self.0.try_write_vectored(slices)) {
                return Poll::Ready(written);
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(())) // nothing is buffered
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
