//! Requests of clients and their responses, independent of the frontend. Types without clock or I/O.

use crate::policy::types::{Micros, RequestRules};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of the body of a write, in bytes.
pub const MAX_WRITE_BYTES: usize = 48_000;

/// Maximum length of a name that is forwarded to servers, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// A client's request, in the same form from every frontend.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The id under which it is forwarded to servers.
    pub id: Arc<str>,
    /// Its class, and the settings in force when the class was chosen. They apply to it until its end.
    pub rules: RequestRules,
    /// The object's name.
    pub object: Arc<str>,
    /// The part of the object. `None` if the client named none.
    pub part: Option<u32>,
    /// The object's group, which purges may name. `None` if it is not known; the object may then be in any
    /// group.
    pub group: Option<u32>,
    /// Size in KB; 0 if it is not known.
    pub size_kb: f64,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// How long the client waits, counted from the submission of the request.
    pub timeout: Duration,
    /// ETag of the client's copy.
    pub if_none_match: Option<Arc<str>>,
    /// Key from the client by which servers recognize a retry, if they discard retries. It is the same for
    /// each retry.
    pub idempotency_key: Option<Arc<str>>,
    /// The body of a write.
    pub body: Bytes,
    /// Unix time, in microseconds, from which no response may begin. `None` if the client has no credential,
    /// or one that does not expire.
    pub credential_expires_at: Option<Micros>,
}

impl ClientRequest {
    /// Creates a request with these rules and the timeout of its class. All other fields are empty.
    pub fn new(rules: RequestRules) -> Self {
        ClientRequest {
            id: Arc::default(),
            timeout: Duration::from_micros(rules.class().deadline),
            rules,
            object: Arc::default(),
            part: None,
            group: None,
            size_kb: 0.0,
            is_retry: false,
            if_none_match: None,
            idempotency_key: None,
            body: Bytes::new(),
            credential_expires_at: None,
        }
    }
}

/// A representation of an object, as served by a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Representation {
    /// The ETag without quotes.
    pub etag: Option<Arc<str>>,
    /// The body, unchanged.
    pub body: Bytes,
}

/// Why a request has no response from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// There was no capacity for the request.
    Overloaded,
    /// The deadline for answering the request has passed.
    DeadlineExceeded,
    /// Attempts failed at the servers, or no server could be reached.
    UpstreamFailed,
    /// The client's credential expired while the request waited.
    CredentialExpired,
    /// A request with the same id is already pending.
    DuplicateRequest,
    /// The dispatcher has ended or is shutting down.
    ShuttingDown,
}

/// The only, final response to a [`ClientRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientResponse {
    /// The requested representation.
    Served(Representation),
    /// The copy that the client has, identified by this ETag, is the one that would be served.
    NotModified(Option<Arc<str>>),
    /// The request was rejected. Nothing has run that must not run twice, so the client may retry.
    Rejected {
        /// Time after which the client should retry, if it is known.
        retry_after: Option<Duration>,
        /// Why the request was rejected.
        reason: FailureReason,
    },
    /// The request failed. Attempts may have run.
    Failed(FailureReason),
}

/// Returns whether a name can be forwarded to servers unchanged, as one word among other fields.
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_graphic() && b != b',' && b != b'=';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Returns an object's name in the form in which it is forwarded to servers: the characters that separate
/// fields there are percent-encoded. A name in that form stays as it is.
pub fn forwarded_object_name(name: &str) -> String {
    name.replace(',', "%2C").replace('=', "%3D")
}

/// Returns an ETag without its quotes and without the prefix of a weak ETag.
pub fn bare_tag(tag: &str) -> &str {
    let tag = tag.strip_prefix("W/").unwrap_or(tag);
    tag.strip_prefix('"').and_then(|t| t.strip_suffix('"')).unwrap_or(tag)
}
