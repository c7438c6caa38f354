//! The HTTP server shared by all frontends: accepts connections, reads requests and writes responses.
//!
//! | module | content |
//! | --- | --- |
//! | [`listener`] | accepts connections, and rejects them if no slot is free |
//! | [`slots`] | limits the number of open connections and selects which one closes when there are too many |
//! | `session` | handles the requests of one connection until it closes |
//! | `connection` | reads requests from a connection and writes responses to it |
//! | `read_buffer` | the buffer of a connection, which grows within the memory budget |
//! | `in_flight` | counts the requests that are accepted and not yet answered |
//! | `log_limit` | limits how often an event is logged |
//!
//! A [`Frontend`] interprets the requests.

mod connection;
mod in_flight;
pub mod listener;
mod log_limit;
mod read_buffer;
mod session;
pub mod slots;

pub use listener::{accept, adopt, listen, ListenError};
pub use slots::ConnectionSlots;

use super::http::{RequestHead, Response};
use crate::dispatch::{ClientRequest, ClientResponse, Dispatcher, MAX_WRITE_BYTES};
use crate::memory::MemoryBudget;
use crate::policy::types::Settings;
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// Translates between HTTP and the dispatcher's requests and responses.
pub trait Frontend: 'static {
    /// Name of the frontend in log events.
    const NAME: &'static str;

    /// Converts a request for the dispatcher. The error is a response that is sent without dispatching.
    fn parse_request(&self, head: &RequestHead, body: Bytes) -> Result<ClientRequest, Response>;

    /// Returns the maximum length of a request body, in bytes.
    fn max_body_bytes(&self) -> usize {
        MAX_WRITE_BYTES
    }

    /// Converts a response of the dispatcher to an HTTP response, by the settings that apply to its request.
    /// This is the only place where the frontend assigns HTTP statuses to the dispatcher's outcomes.
    fn to_response(&self, answer: ClientResponse, settings: &Settings) -> Response;
}

/// Phase of the graceful shutdown. The variants are in the order in which the phases occur.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No shutdown has been requested.
    #[default]
    Running,
    /// Connections are still accepted. Each one closes after its next response.
    CloseAfterResponse,
    /// The listeners close, and so do connections on which no request has begun. A new connection has a short
    /// time left for its first request.
    CloseIdle,
}

/// State of a listener that it shares with all other listeners of the process.
pub struct ListenerContext {
    /// The dispatcher that handles the requests.
    pub dispatcher: Dispatcher,
    /// Connection slots, one limit for all listeners together.
    pub slots: Rc<ConnectionSlots>,
    /// Limit on the memory for requests, one for all listeners together.
    pub memory: MemoryBudget,
    /// Phase of the graceful shutdown.
    pub shutdown: watch::Receiver<ShutdownPhase>,
    /// Number of requests that are accepted and not yet answered.
    pub requests_in_flight: Rc<Cell<usize>>,
}
