//! The HTTP server of every frontend: it accepts connections, reads requests and writes responses.
//!
//! | module | job |
//! | --- | --- |
//! | [`listener`] | accepts connections, or rejects them where no slot is free |
//! | [`slots`] | how many connections may be open, and which one closes to make room |
//! | `session` | the requests of one connection, from its first byte to its close |
//! | `connection` | reads requests from a connection and writes responses to it |
//! | `in_flight` | counts the requests that are accepted and not answered yet |
//!
//! What a request means is the business of a [`Frontend`].

mod connection;
mod in_flight;
pub mod listener;
mod session;
pub mod slots;

pub use listener::{accept, adopt, listen, ListenError};
pub use slots::ConnectionSlots;

use super::http::{RequestHead, Response};
use crate::dispatch::{ClientRequest, ClientResponse, Dispatcher, MAX_WRITE_BYTES};
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// Translates between HTTP and the dispatcher's requests and responses.
pub trait Frontend: 'static {
    /// The name in the log.
    const NAME: &'static str;

    /// The request for the dispatcher; the error is a response that needs no dispatcher.
    fn parse_request(&self, head: &RequestHead, body: Bytes) -> Result<ClientRequest, Response>;

    /// The largest body of a request, in bytes.
    fn max_body_bytes(&self) -> usize {
        MAX_WRITE_BYTES
    }

    /// The one place where this frontend maps outcomes to statuses.
    fn to_response(&self, answer: ClientResponse) -> Response;
}

/// How far the graceful shutdown has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Not begun.
    #[default]
    Running,
    /// Each connection closes after its next response.
    CloseAfterResponse,
    /// Connections without a request in flight close now.
    CloseIdle,
}

/// What all listeners of a process share.
pub struct ListenerContext {
    /// Where requests go.
    pub dispatcher: Dispatcher,
    /// The slots of client connections, for all listeners together.
    pub slots: Rc<ConnectionSlots>,
    /// How far the graceful shutdown has come.
    pub shutdown: watch::Receiver<ShutdownPhase>,
    /// Requests that are accepted and not answered yet.
    pub requests_in_flight: Rc<Cell<usize>>,
}
