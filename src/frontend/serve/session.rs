//! The requests of one connection, from its first byte to its close.

use super::connection::{Connection, ReceivedRequest};
use super::in_flight::InFlightGuard;
use super::slots::{Awaited, ConnectionSlot, NEW_CONNECTION_GRACE};
use super::{Frontend, ListenerContext, ShutdownPhase};
use crate::frontend::http::{BadRequest, Response};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

/// Serves a connection until it closes.
pub(super) async fn serve<F: Frontend>(
    stream: TcpStream,
    slot: &ConnectionSlot,
    context: &ListenerContext,
    frontend: &F,
) {
    let _ = stream.set_nodelay(true);
    let session = Session {
        connection: Connection::new(stream),
        slot,
        context,
        frontend,
        shutdown: context.shutdown.clone(),
        awaited: Awaited::First,
        in_flight: None,
    };
    session.run().await;
}

struct Session<'a, F> {
    connection: Connection,
    slot: &'a ConnectionSlot,
    context: &'a ListenerContext,
    frontend: &'a F,
    shutdown: watch::Receiver<ShutdownPhase>,
    awaited: Awaited,
    /// Counts a request that was not complete when idle connections were closed, so that the process waits
    /// for it. Any other request is counted once it is complete.
    in_flight: Option<InFlightGuard>,
}

/// What came first while a connection waited for a request.
enum Event {
    Read(Result<Option<ReceivedRequest>, BadRequest>),
    /// Idle connections are to close, for the process ends.
    Shutdown,
    /// The connection is to make room for others.
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
                    let _ = self.connection.write(&Response::empty(error.status()), true).await;
                    self.connection.linger().await;
                    return;
                }
            };
            if let AfterResponse::Close = self.answer(request).await {
                return;
            }
        }
    }

    /// Waits for the next request; none: the connection is to close.
    async fn next_request(&mut self) -> Result<Option<ReceivedRequest>, BadRequest> {
        loop {
            let (_waiting, must_close) = self.slot.wait(self.awaited);
            let event = tokio::select! {
                request = self.connection.next_request(self.frontend.max_body_bytes()) => {
                    Event::Read(request)
                }
                _ = self.shutdown.wait_for(|phase| *phase == ShutdownPhase::CloseIdle),
                    if self.in_flight.is_none() => Event::Shutdown,
                Ok(()) = must_close => Event::MustClose,
            };
            let stays = match event {
                Event::Read(request) => {
                    self.awaited = Awaited::Next;
                    return request;
                }
                Event::Shutdown => self.stays_for_shutdown(),
                Event::MustClose => self.stays_at_close(),
            };
            if !stays {
                return Ok(None);
            }
        }
    }

    /// Whether a request is still answered before the process ends: one that has begun to come, or the first
    /// one of a new connection, which is on the way.
    fn stays_for_shutdown(&mut self) -> bool {
        if !self.connection.has_request_begun() {
            if self.awaited == Awaited::Next {
                return false;
            }
            self.connection.set_request_deadline(Instant::now() + NEW_CONNECTION_GRACE);
        }
        self.in_flight = Some(InFlightGuard::new(&self.context.requests_in_flight));
        true
    }

    /// Whether a request crosses the close of its connection and is read all the same; on a new connection
    /// only a complete one.
    fn stays_at_close(&mut self) -> bool {
        if !self.connection.has_request_begun() {
            return false;
        }
        if self.awaited == Awaited::First {
            self.connection.set_request_deadline(Instant::now());
        }
        true
    }

    async fn answer(&mut self, request: ReceivedRequest) -> AfterResponse {
        let counted = self.in_flight.take();
        let _in_flight = counted.unwrap_or_else(|| InFlightGuard::new(&self.context.requests_in_flight));
        let response = match self.frontend.parse_request(&request.head, request.body) {
            Err(response) => response,
            Ok(client_request) => {
                let client = self.connection.client();
                let pending = self.context.dispatcher.submit_for_client(client_request, client);
                tokio::select! {
                    answer = pending => self.frontend.to_response(answer),
                    // Dropping the pending response tells the dispatcher that the client has gone.
                    () = self.connection.closed_by_client() => return AfterResponse::Close,
                }
            }
        };
        let has_overrun = self.connection.has_discarded();
        let is_ending = *self.context.shutdown.borrow() != ShutdownPhase::Running;
        let closes = request.head.closes_connection || has_overrun || is_ending;
        if self.connection.write(&response, closes).await.is_err() {
            return AfterResponse::Close;
        }
        if has_overrun {
            self.connection.linger().await;
        }
        if closes {
            AfterResponse::Close
        } else {
            AfterResponse::KeepAlive
        }
    }
}
