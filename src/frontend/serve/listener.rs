//! Accepts client connections, and rejects those for which no slot is free.

use super::in_flight::InFlightGuard;
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
use tokio::time::{sleep, timeout, Instant};

/// The pause after an accept that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Failed accepts are logged no more often than this.
const ACCEPT_ERROR_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// A rejected connection that its client does not close is closed here after this.
const REJECT_LINGER: Duration = Duration::from_secs(1);
/// The Retry-After of a rejected client, where the frontend sends one.
const REJECT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// How much is read of a request that is rejected, in bytes a read.
const REJECT_READ_BYTES: usize = 4096;

/// Why a frontend can't listen.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// Its address can't be opened.
    #[error("listen on {address}: {source}")]
    Address {
        /// The address.
        address: String,
        /// What the system said.
        source: io::Error,
    },
    /// The socket that the process was started with can't be used.
    #[error("inherited socket: {0}")]
    InheritedSocket(#[source] io::Error),
}

/// Listens on an address, and serves connections for as long as the task lives.
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

/// The same on a socket that was opened by whoever started the process.
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

/// Accepts connections until [`ShutdownPhase::CloseIdle`]. It waits for no slot: where connections come and
/// send nothing, others would wait behind them.
pub async fn accept<F: Frontend>(listener: TcpListener, context: ListenerContext, frontend: F) {
    let mut shutdown = context.shutdown.clone();
    let server = Rc::new(Server { context, frontend });
    let mut errors = AcceptErrorLog::default();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = shutdown.wait_for(|phase| *phase == ShutdownPhase::CloseIdle) => break,
        };
        match accepted {
            Ok((stream, _)) => server.start_connection(stream),
            Err(error) => {
                // Out of descriptors, most likely: a connection that waits for a request makes room.
                errors.record(F::NAME, &error);
                server.slots().close_one_waiting();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    server.accept_backlog(listener);
}

/// Logs failed accepts, at a limited rate.
#[derive(Default)]
struct AcceptErrorLog {
    logged_at: Option<Instant>,
}

impl AcceptErrorLog {
    fn record(&mut self, frontend: &str, error: &io::Error) {
        let is_due = |logged_at: Instant| logged_at.elapsed() >= ACCEPT_ERROR_LOG_INTERVAL;
        if self.logged_at.is_none_or(is_due) {
            tracing::warn!(listener = frontend, reason = %error, "accept failed");
            self.logged_at = Some(Instant::now());
        }
    }
}

/// A frontend with what its connections need.
struct Server<F> {
    context: ListenerContext,
    frontend: F,
}

impl<F: Frontend> Server<F> {
    fn slots(&self) -> &Rc<ConnectionSlots> {
        &self.context.slots
    }

    /// Accepts what the listener holds at the end, for clients may have sent complete requests there already.
    fn accept_backlog(self: &Rc<Self>, listener: TcpListener) {
        // The runtime may not have been notified of these yet, so the socket itself is asked.
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, _)) = listener.accept() {
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            if let Ok(stream) = stream {
                self.start_connection(stream);
            }
        }
    }

    /// Serves a connection in a task of its own, or rejects it where no slot is free.
    fn start_connection(self: &Rc<Self>, stream: TcpStream) {
        let Some(slot) = self.slots().acquire() else {
            self.reject(stream);
            return;
        };
        let server = self.clone();
        tokio::task::spawn_local(async move {
            session::serve(stream, &slot, &server.context, &server.frontend).await;
        });
    }

    fn reject(&self, stream: TcpStream) {
        let response = self.frontend.to_response(ClientResponse::Rejected {
            retry_after: Some(REJECT_RETRY_AFTER),
            reason: FailureReason::Overloaded,
        });
        let Some(permit) = self.slots().acquire_linger() else {
            reject_at_once(stream, &response);
            return;
        };
        let requests_in_flight = self.context.requests_in_flight.clone();
        tokio::task::spawn_local(async move {
            // A shutdown waits for the response once a request has come.
            let count = || InFlightGuard::new(&requests_in_flight);
            reject_first_request(stream, permit, &response, count).await;
        });
    }
}

/// Rejects the first request of a connection, if one comes soon: a close before it has come, or over bytes
/// that are not read, resets the connection and the response with it.
async fn reject_first_request(
    mut stream: TcpStream,
    _permit: LingerPermit,
    response: &Response,
    count: impl Fn() -> InFlightGuard,
) {
    let mut bytes = [0; REJECT_READ_BYTES];
    let first_read = timeout(NEW_CONNECTION_GRACE, stream.read(&mut bytes)).await;
    if !matches!(first_read, Ok(Ok(n)) if n > 0) {
        return;
    }
    let _in_flight = count();
    if stream.write_all(response.encode_head(true).as_bytes()).await.is_err() {
        return;
    }
    if stream.shutdown().await.is_err() {
        return;
    }
    let drain = async { while matches!(stream.read(&mut bytes).await, Ok(n) if n > 0) {} };
    let _ = timeout(REJECT_LINGER, drain).await;
}

/// Rejects a connection without waiting for anything.
fn reject_at_once(stream: TcpStream, response: &Response) {
    let Ok(mut stream) = stream.into_std() else { return };
    // Closing with unread bytes would reset the connection before the response is read.
    let _ = stream.read(&mut [0; REJECT_READ_BYTES]);
    let _ = stream.write(response.encode_head(true).as_bytes());
}
