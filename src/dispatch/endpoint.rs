//! What the dispatcher and an endpoint's connection actor say to each other: commands, requests, responses.

use crate::dispatch::membership::Endpoint;
use crate::dispatch::request::Representation;
use crate::dispatch::{AttemptId, CancellationToken, DispatcherSender};
use crate::policy::types::{CacheStatus, Micros, ServerId};
use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A server's status for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseStatus {
    /// The representation.
    Ok(Representation),
    /// The client's copy, named by this tag, is current.
    NotModified(Option<Arc<str>>),
    /// Not cached; the attempt never ran.
    Miss,
    /// No capacity; the attempt never ran.
    Rejected,
    /// An error; the attempt may have run.
    Error,
    /// The request had ended already; the attempt never ran.
    Expired,
}

/// A server's response to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamResponse {
    /// The status.
    pub status: ResponseStatus,
    /// Where the representation came from, or why a fill failed.
    pub cache_status: CacheStatus,
    /// Time spent on waiting for the fill source, in microseconds.
    pub source_wait: Micros,
    /// Load report by name, where one came along.
    pub load_report: Vec<(String, f64)>,
}

/// A server's response to a health check.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthReport {
    /// Whether it reports itself healthy.
    pub healthy: bool,
    /// Load report by name.
    pub load_report: Vec<(String, f64)>,
}

/// An attempt as it is sent to a server.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// Names the attempt in reports.
    pub attempt_id: AttemptId,
    /// The request's id.
    pub id: Arc<str>,
    /// The class's name.
    pub class: Arc<str>,
    /// The object's name.
    pub object: Arc<str>,
    /// The part of the object.
    pub part: Option<u32>,
    /// When the director stops waiting.
    pub deadline: Instant,
    /// Not to be sent after this: drains and purges of the meantime might be missed.
    pub send_deadline: Instant,
    /// Not to be sent once this is cancelled; checked right before the first byte
    /// ([`CancellationToken::check_client`]).
    pub cancellation: CancellationToken,
    /// The server from which a miss is filled; none: no fill.
    pub fill_source: Option<Arc<str>>,
    /// Rank at which the copy is cached.
    pub cache_rank: u8,
    /// The oldest acceptable copy, in milliseconds; 0: the class's freshness lifetime.
    pub max_age_ms: u64,
    /// Join a fill that is in progress.
    pub collapse: bool,
    /// The source gives only what it has cached.
    pub only_if_cached: bool,
    /// Refresh an ageing copy in the background.
    pub revalidate: bool,
    /// The tag of the client's copy.
    pub if_none_match: Option<Arc<str>>,
    /// The key by which the server recognizes a retry.
    pub idempotency_key: Option<Arc<str>>,
    /// What is to be written.
    pub body: Bytes,
}

/// A command to an endpoint's connection actor.
#[derive(Clone, Debug)]
pub enum EndpointCommand {
    /// Send an attempt.
    Send(UpstreamRequest),
    /// Cancel an attempt; its end is not waited for.
    Cancel(AttemptId),
    /// Check the server's health and report under this number.
    HealthCheck(u64),
}

/// Starts the actors that hold the connections to servers.
pub trait EndpointConnector {
    /// Starts the actor for one server and returns its mailbox; the actor ends once that is dropped.
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
