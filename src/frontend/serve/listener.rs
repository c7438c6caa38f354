//! Accepts client connections, and rejects them if no slot is free.

use super::in_flight::InFlightGuard;
use super::log_limit::LogLimit;
use super::session;
use super::slots::{ConnectionSlots, LingerPermit, NEW_CONNECTION_GRACE};
use super::{Frontend, ListenerContext, ShutdownPhase};
use crate::dispatch::{ClientResponse, FailureReason};
use crate::frontend::http::Response;
use std::io::{self, Read, Write};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time after which a rejected connection is closed if the client has not closed it.
const REJECT_LINGER: Duration = Duration::from_secs(1);
/// Retry-after for clients whose connection or request is rejected, if the frontend sends one.
const REJECT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Buffer size for reading requests that are rejected, in bytes.
const REJECT_READ_BYTES: usize = 4096;

/// Error of opening a frontend's listener.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The address cannot be bound.
    #[error("listen on {address}: {source}")]
    Address {
        /// The configured address, which can be a host name with a port.
        address: String,
        /// The error from the operating system.
        source: io::Error,
    },
    /// The listening socket inherited from the parent process cannot be used.
    #[error("inherited socket: {0}")]
    InheritedSocket(#[source] io::Error),
}

/// Binds `address` and starts a task that accepts and serves connections. Returns the handle of the task.
pub async fn listen<F: Frontend>(
    address: &str,
    context: ListenerContext,
    frontend: F,
) -> Result<JoinHandle<()>, ListenError> {
    let failed = |source| ListenError::Address { address: address.to_owned(), source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let local_address = listener.local_addr().map_err(failed)?;
    tracing::info!("{} on {local_address}", F::NAME);
    Ok(tokio::task::spawn_local(accept(listener, context, frontend)))
}

/// Starts a task as [`listen`] does, on a listening socket inherited from the parent process.
pub fn adopt<F: Frontend>(
    listener: std::net::TcpListener,
    context: ListenerContext,
    frontend: F,
) -> Result<JoinHandle<()>, ListenError> {
    listener.set_nonblocking(true).map_err(ListenError::InheritedSocket)?;
    let local_address = listener.local_addr().map_err(ListenError::InheritedSocket)?;
    let listener = TcpListener::from_std(listener).map_err(ListenError::InheritedSocket)?;
    tracing::info!("{} on {local_address}, inherited", F::NAME);
    Ok(tokio::task::spawn_local(accept(listener, context, frontend)))
}

/// Accepts connections until [`ShutdownPhase::CloseIdle`]. A connection without a free slot is rejected
/// instead of queued, as it would otherwise wait behind connections that send nothing.
pub async fn accept<F: Frontend>(listener: TcpListener, context: ListenerContext, frontend: F) {
    let mut shutdown = context.shutdown.clone();
    let server = Rc::new(Server { context, frontend, rejection_log: LogLimit::default() });
    let accept_log = LogLimit::default();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = shutdown.wait_for(|phase| *phase == ShutdownPhase::CloseIdle) => break,
        };
        match accepted {
            Ok((stream, _)) => server.start_connection(stream),
            Err(error) => {
                // The process is most likely out of descriptors. Closing a waiting connection frees one.
                accept_log.log(|| tracing::warn!(listener = F::NAME, reason = %error, "accept failed"));
                server.slots().close_one_waiting();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    server.accept_backlog(listener);
}

/// A frontend with the state that its connections share.
pub(super) struct Server<F> {
    pub(super) context: ListenerContext,
    pub(super) frontend: F,
    rejection_log: LogLimit,
}

impl<F: Frontend> Server<F> {
    /// Returns the response to a request that there is no capacity for.
    pub(super) fn rejection(&self) -> Response {
        let rejected = ClientResponse::Rejected {
            retry_after: Some(REJECT_RETRY_AFTER),
            reason: FailureReason::Overloaded,
        };
        self.frontend.to_response(rejected, &self.context.dispatcher.settings())
    }

    /// Logs that a request was rejected because the memory budget had no room for it.
    pub(super) fn log_out_of_memory(&self) {
        let reserved_bytes = self.context.memory.reserved();
        self.rejection_log.log(|| {
            tracing::warn!(listener = F::NAME, reserved_bytes, "request rejected: memory budget exhausted");
        });
    }

    fn slots(&self) -> &Rc<ConnectionSlots> {
        &self.context.slots
    }

    /// Accepts the connections left in the backlog: clients may already have sent complete requests on them.
    fn accept_backlog(self: &Rc<Self>, listener: TcpListener) {
        // Uses the socket directly, as the runtime may not have been notified of these connections yet.
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, _)) = listener.accept() {
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            if let Ok(stream) = stream {
                self.start_connection(stream);
            }
        }
    }

    /// Serves a connection in a separate task, or rejects it if no slot is free.
    fn start_connection(self: &Rc<Self>, stream: TcpStream) {
        let Some(slot) = self.slots().acquire() else {
            self.reject(stream);
            return;
        };
        let server = self.clone();
        tokio::task::spawn_local(async move {
            session::serve(stream, &slot, &server).await;
        });
    }

    fn reject(&self, stream: TcpStream) {
        let response = self.rejection();
        let Some(permit) = self.slots().acquire_linger() else {
            reject_immediately(stream, &response);
            return;
        };
        let requests_in_flight = self.context.requests_in_flight.clone();
        tokio::task::spawn_local(async move {
            // Counted from the first bytes of the request on, so that a shutdown waits for the response.
            let count_in_flight = || InFlightGuard::new(&requests_in_flight);
            reject_first_request(stream, permit, &response, count_in_flight).await;
        });
    }
}

/// Sends `response` to the first request of a connection if its bytes arrive within [`NEW_CONNECTION_GRACE`],
/// otherwise closes without a response. Closing before the request arrives, or with unread bytes, would reset
/// the connection, and the client would lose the response.
async fn reject_first_request(
    mut stream: TcpStream,
    _permit: LingerPermit,
    response: &Response,
    count_in_flight: impl Fn() -> InFlightGuard,
) {
    let mut bytes = [0; REJECT_READ_BYTES];
    let first_read = timeout(NEW_CONNECTION_GRACE, stream.read(&mut bytes)).await;
    if !matches!(first_read, Ok(Ok(n)) if n > 0) {
        return;
    }
    let _in_flight = count_in_flight();
    if stream.write_all(response.encode_head(true).as_bytes()).await.is_err() {
        return;
    }
    if stream.shutdown().await.is_err() {
        return;
    }
    let drain = async { while matches!(stream.read(&mut bytes).await, Ok(n) if n > 0) {} };
    let _ = timeout(REJECT_LINGER, drain).await;
}

/// Sends `response` and closes the connection without waiting for the request.
fn reject_immediately(stream: TcpStream, response: &Response) {
    let Ok(mut stream) = stream.into_std() else { return };
    // Closing with unread bytes would reset the connection before the client reads the response.
    let _ = stream.read(&mut [0; REJECT_READ_BYTES]);
    let _ = stream.write(response.encode_head(true).as_bytes());
}
