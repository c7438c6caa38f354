//! A client's request and its answer, whichever front it came through: types without a clock or I/O, below
//! the core that answers them.

use crate::policy::types::Micros;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// The longest name that is passed on to servers, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// A client's request, as any front words it.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    /// The id that servers are given.
    pub id: Arc<str>,
    /// Place among the settings' classes.
    pub class: usize,
    /// The object's name.
    pub object: Arc<str>,
    /// The part of it, where one was named.
    pub part: Option<u32>,
    /// The object's group, which purges may name; none: not told, so that it may be any.
    pub group: Option<u32>,
    /// Size in KB; 0: not told.
    pub size_kb: f64,
    /// Marked as a client's repeat.
    pub is_retry: bool,
    /// How long the client waits from now on.
    pub timeout: Duration,
    /// The tag of the client's copy.
    pub if_none_match: Option<Arc<str>>,
    /// What servers know a repeat by, where they throw repeats away: the client's word, the same each time.
    pub idempotency_key: Option<Arc<str>>,
    /// What is to be written.
    pub body: Bytes,
    /// The Unix time in microseconds from which no answer may begin; none: the client's credential, if it
    /// has one, does not expire.
    pub credential_expires_at: Option<Micros>,
}

/// What a server gave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Representation {
    /// The copy's tag.
    pub etag: Option<Arc<str>>,
    /// The bytes, unchanged.
    pub body: Bytes,
}

/// Why there is no answer from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// There was no room for it.
    Overloaded,
    /// The time to answer was over.
    DeadlineExceeded,
    /// Servers failed it, or none could be asked.
    UpstreamFailed,
    /// The client's credential expired while the request waited.
    CredentialExpired,
    /// A request with the same id is held already.
    DuplicateRequest,
    /// The core has ended, or is about to.
    ShuttingDown,
}

/// The one final answer to an [`ClientRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientResponse {
    /// The bytes asked for.
    Served(Representation),
    /// The client's own copy is the one that would be served.
    NotModified(Option<Arc<str>>),
    /// Turned away: nothing ran that may not run again.
    Rejected {
        /// When to come back, where that is advised.
        retry_after: Option<Duration>,
        /// Why.
        reason: FailureReason,
    },
    /// Failed: nothing is promised of what ran.
    Failed(FailureReason),
}

/// Whether a name can be passed on to servers unchanged, as a word among fields.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_graphic() && b != b',' && b != b'=';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}
