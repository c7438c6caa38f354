//! Handles the requests of one connection until it closes.

use super::connection::{Connection, ReceivedRequest};
use super::in_flight::InFlightGuard;
use super::listener::Server;
use super::slots::{AwaitedRequest, ConnectionSlot, NEW_CONNECTION_GRACE};
use super::{Frontend, ShutdownPhase};
use crate::frontend::http::{BadRequest, Response};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

/// Serves a connection until it closes.
pub(super) async fn serve<F: Frontend>(stream: TcpStream, slot: &ConnectionSlot, server: &Server<F>) {
    let _ = stream.set_nodelay(true);
    let session = Session {
        connection: Connection::new(stream, server.context.memory.clone()),
        slot,
        server,
        shutdown: server.context.shutdown.clone(),
        awaited: AwaitedRequest::First,
        in_flight: None,
    };
    session.run().await;
}

struct Session<'a, F> {
    connection: Connection,
    slot: &'a ConnectionSlot,
    server: &'a Server<F>,
    shutdown: watch::Receiver<ShutdownPhase>,
    awaited: AwaitedRequest,
    /// Counts a request that was not complete at [`ShutdownPhase::CloseIdle`], so that the shutdown waits for
    /// it. Other requests are counted once they are complete.
    in_flight: Option<InFlightGuard>,
}

/// The first event while a connection waits for a request.
enum Event {
    /// A request was read, or reading it failed.
    Read(Result<Option<ReceivedRequest>, BadRequest>),
    /// The shutdown reached [`ShutdownPhase::CloseIdle`].
    Shutdown,
    /// The slots selected this connection to close, in favour of a new one.
    MustClose,
}

enum AfterResponse {
    KeepAlive,
    Close,
}

impl<F: Frontend> Session<'_, F> {
    async fn run(mut self) {
        loop {
            let request = match self.next_request().await {
                Ok(Some(request)) => request,
                Ok(None) => return,
                Err(error) => {
                    let response = self.error_response(error);
                    let _ = self.connection.write(&response, true).await;
                    self.connection.linger().await;
                    return;
                }
            };
            if let AfterResponse::Close = self.answer(request).await {
                return;
            }
        }
    }

    fn error_response(&self, error: BadRequest) -> Response {
        if error == BadRequest::OutOfMemory {
            self.server.log_out_of_memory();
            self.server.rejection()
        } else {
            Response::empty(error.status())
        }
    }

    /// Waits for the next request. Returns `None` if the connection must close.
    async fn next_request(&mut self) -> Result<Option<ReceivedRequest>, BadRequest> {
        loop {
            let (_waiting, must_close) = self.slot.wait(self.awaited);
            let event = tokio::select! {
                request = self.connection.next_request(self.server.frontend.max_body_bytes()) => {
                    Event::Read(request)
                }
                _ = self.shutdown.wait_for(|phase| *phase == ShutdownPhase::CloseIdle),
                    if self.in_flight.is_none() => Event::Shutdown,
                Ok(()) = must_close => Event::MustClose,
            };
            let stays_open = match event {
                Event::Read(request) => {
                    self.awaited = AwaitedRequest::Next;
                    return request;
                }
                Event::Shutdown => self.stays_open_at_shutdown(),
                Event::MustClose => self.stays_open_for_request(),
            };
            if !stays_open {
                return Ok(None);
            }
        }
    }

    /// Returns whether the connection stays open at shutdown until its next request is answered. It does if
    /// bytes of that request have arrived, or if it is the first one of a new connection, which is expected
    /// to arrive.
    fn stays_open_at_shutdown(&mut self) -> bool {
        if !self.connection.has_request_begun() {
            if self.awaited == AwaitedRequest::Next {
                return false;
            }
            self.connection.set_request_deadline(Instant::now() + NEW_CONNECTION_GRACE);
        }
        self.in_flight = Some(InFlightGuard::new(&self.server.context.requests_in_flight));
        true
    }

    /// Returns whether the connection stays open although the slots selected it to close. It does if bytes of
    /// a request have arrived in the meantime. On a new connection this request is answered only if it is
    /// complete.
    fn stays_open_for_request(&mut self) -> bool {
        if !self.connection.has_request_begun() {
            return false;
        }
        if self.awaited == AwaitedRequest::First {
            self.connection.set_request_deadline(Instant::now());
        }
        true
    }

    async fn answer(&mut self, request: ReceivedRequest) -> AfterResponse {
        let counted = self.in_flight.take();
        let _in_flight =
            counted.unwrap_or_else(|| InFlightGuard::new(&self.server.context.requests_in_flight));
        let ReceivedRequest { head, body, head_memory } = request;
        let client_closes = head.closes_connection;
        let parsed = self.server.frontend.parse_request(&head, body);
        drop((head, head_memory)); // not held while the response is pending
        let response = match parsed {
            Err(response) => response,
            Ok(client_request) => {
                let client = self.connection.client();
                let settings = client_request.rules.settings().clone();
                let pending = self.server.context.dispatcher.submit_for_client(client_request, client);
                tokio::select! {
                    answer = pending => self.server.frontend.to_response(answer, &settings),
                    // Dropping the pending response notifies the dispatcher that the client has disconnected.
                    () = self.connection.closed_by_client() => return AfterResponse::Close,
                }
            }
        };
        let has_discarded = self.connection.has_discarded();
        let is_shutting_down = *self.server.context.shutdown.borrow() != ShutdownPhase::Running;
        let closes = client_closes || has_discarded || is_shutting_down;
        if self.connection.write(&response, closes).await.is_err() {
            return AfterResponse::Close;
        }
        if has_discarded {
            self.connection.linger().await;
        }
        if closes {
            AfterResponse::Close
        } else {
            AfterResponse::KeepAlive
        }
    }
}
