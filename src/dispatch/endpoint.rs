//! Messages between the dispatcher and the connection actors of endpoints: commands, requests and responses.

use crate::dispatch::membership::Endpoint;
use crate::dispatch::request::Representation;
use crate::dispatch::{AttemptId, CancellationToken, DispatcherSender};
use crate::policy::types::{CacheStatus, Micros, ServerId};
use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The status of a server's response to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseStatus {
    /// The server served this representation.
    Ok(Representation),
    /// The client's copy, identified by this ETag, is current.
    NotModified(Option<Arc<str>>),
    /// The object is not cached; the attempt never ran.
    Miss,
    /// The server has no capacity; the attempt never ran.
    Rejected,
    /// The server reported an error; the attempt may have run.
    Error,
    /// The request had already ended; the attempt never ran.
    Expired,
}

/// A server's response to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamResponse {
    /// How the server handled the attempt.
    pub status: ResponseStatus,
    /// Where the representation came from, or why a fill failed.
    pub cache_status: CacheStatus,
    /// Time spent waiting for the fill source, in microseconds.
    pub source_wait: Micros,
    /// Load report, by name. Empty if the response has none.
    pub load_report: Vec<(String, f64)>,
}

/// A server's response to a health check.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthReport {
    /// Whether the server reports itself as healthy.
    pub healthy: bool,
    /// Load report, by name.
    pub load_report: Vec<(String, f64)>,
}

/// An attempt, as it is sent to a server.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// Identifies the attempt in reports.
    pub attempt_id: AttemptId,
    /// Id under which the request is forwarded.
    pub id: Arc<str>,
    /// Name of the request's class.
    pub class: Arc<str>,
    /// The object's name.
    pub object: Arc<str>,
    /// The part of the object. `None` if the client named none.
    pub part: Option<u32>,
    /// When the director stops waiting for the response.
    pub deadline: Instant,
    /// The attempt must not be sent after this time, because it could miss a drain or purge that occurred in
    /// the meantime.
    pub send_deadline: Instant,
    /// The attempt must not be sent once this token is cancelled. It is checked right before the first byte
    /// ([`CancellationToken::check_client`]).
    pub cancellation: CancellationToken,
    /// The server from which a miss is filled. `None` if a miss is not filled.
    pub fill_source: Option<Arc<str>>,
    /// Rank at which the copy is cached.
    pub cache_rank: u8,
    /// Maximum age of the copy, in milliseconds; 0 means the class's freshness lifetime.
    pub max_age_ms: u64,
    /// Whether to join a fill that is in progress.
    pub collapse: bool,
    /// Whether the fill source may return only what it has cached.
    pub only_if_cached: bool,
    /// Whether to refresh an ageing copy in the background.
    pub revalidate: bool,
    /// ETag of the client's copy.
    pub if_none_match: Option<Arc<str>>,
    /// Key by which the server recognizes a retry.
    pub idempotency_key: Option<Arc<str>>,
    /// The body of a write.
    pub body: Bytes,
}

/// A command to an endpoint's connection actor.
#[derive(Clone, Debug)]
pub enum EndpointCommand {
    /// Send an attempt.
    Send(UpstreamRequest),
    /// Cancel an attempt. The dispatcher does not wait for its end.
    Cancel(AttemptId),
    /// Check the server's health and report the result under this number.
    HealthCheck(u64),
}

/// Starts the connection actors, which hold the connections to servers.
pub trait EndpointConnector {
    /// Starts the connection actor of one server and returns its mailbox. The actor ends once the mailbox is
    /// dropped.
    fn connect(
        &mut self,
        server: ServerId,
        listing: &Endpoint,
        reports: DispatcherSender,
    ) -> mpsc::Sender<EndpointCommand>;
}

impl EndpointConnector for Box<dyn EndpointConnector + Send> {
    fn connect(
        &mut self,
        server: ServerId,
        listing: &Endpoint,
        reports: DispatcherSender,
    ) -> mpsc::Sender<EndpointCommand> {
        (**self).connect(server, listing, reports)
    }
}
