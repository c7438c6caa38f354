//! A client's request and its response, whichever frontend it came through: types without clock or I/O.

use crate::policy::types::Micros;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// The largest body of a write, in bytes.
pub const MAX_WRITE_BYTES: usize = 48_000;

/// The longest name that is forwarded to servers, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// A client's request, as any frontend hands it on.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    /// The id under which it is forwarded to servers.
    pub id: Arc<str>,
    /// Index among the settings' classes.
    pub class: usize,
    /// The object's name.
    pub object: Arc<str>,
    /// The part of it, where one was named.
    pub part: Option<u32>,
    /// The object's group, which purges may name; none: not known, so that it may be any.
    pub group: Option<u32>,
    /// Size in KB; 0: not known.
    pub size_kb: f64,
    /// Marked as a client's retry.
    pub is_retry: bool,
    /// How long the client waits from now on.
    pub timeout: Duration,
    /// The tag of the client's copy.
    pub if_none_match: Option<Arc<str>>,
    /// The client's key by which servers recognize a retry, where they discard retries: the same each time.
    pub idempotency_key: Option<Arc<str>>,
    /// What is to be written.
    pub body: Bytes,
    /// The Unix time in microseconds from which no response may begin; none: the client's credential, if it
    /// has one, does not expire.
    pub credential_expires_at: Option<Micros>,
}

/// What a server served.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Representation {
    /// The entity tag, without quotes.
    pub etag: Option<Arc<str>>,
    /// The bytes, unchanged.
    pub body: Bytes,
}

/// Why there is no response from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// There was no capacity for it.
    Overloaded,
    /// The time to answer has passed.
    DeadlineExceeded,
    /// Servers failed it, or none could be reached.
    UpstreamFailed,
    /// The client's credential expired while the request waited.
    CredentialExpired,
    /// A request with the same id is pending already.
    DuplicateRequest,
    /// The dispatcher has ended, or is about to.
    ShuttingDown,
}

/// The one final response to a [`ClientRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientResponse {
    /// The representation asked for.
    Served(Representation),
    /// The client's own copy, named by this tag, is the one that would be served.
    NotModified(Option<Arc<str>>),
    /// Rejected: nothing ran that may not run again.
    Rejected {
        /// When to come back, where that is known.
        retry_after: Option<Duration>,
        /// Why.
        reason: FailureReason,
    },
    /// Failed: attempts may have run.
    Failed(FailureReason),
}

/// Whether a name can be forwarded to servers unchanged, as a word among fields.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_graphic() && b != b',' && b != b'=';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// An entity tag without its quotes and weakness.
pub fn bare_tag(tag: &str) -> &str {
    let tag = tag.strip_prefix("W/").unwrap_or(tag);
    tag.strip_prefix('"').and_then(|t| t.strip_suffix('"')).unwrap_or(tag)
}
