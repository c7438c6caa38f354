//! A director with a host transport that records the attempts it is given.
#![allow(dead_code, reason = "each test file uses a part of it")]

use crate::emulated::{endpoint_listing, settings};
use foxhold::director::{CacheRequest, Director};
use foxhold::discovery::StaticEndpoints;
use foxhold::dispatch::*;
use foxhold::policy::types::*;
use foxhold::upstream::host::{BoxFuture, Exchange, HostTransport};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Decides how the host's transport responds to an attempt.
type Behavior = dyn Fn(&Endpoint, &UpstreamRequest) -> BoxFuture<AttemptResult> + Send;

/// An attempt that the transport was given, with the time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAttempt {
    pub class: String,
    pub server: String,
    pub fill_source: Option<String>,
    pub at: Instant,
}

/// A host's transport that records the attempts that it is given.
#[derive(Clone)]
pub struct RecordingTransport {
    exchanges: Arc<Mutex<Vec<RecordedAttempt>>>,
    behavior: Arc<Mutex<Box<Behavior>>>,
}

impl RecordingTransport {
    pub fn new(
        behavior: impl Fn(&Endpoint, &UpstreamRequest) -> BoxFuture<AttemptResult> + Send + 'static,
    ) -> Self {
        RecordingTransport { exchanges: Arc::default(), behavior: Arc::new(Mutex::new(Box::new(behavior))) }
    }

    /// Returns the attempts so far.
    pub fn exchanges(&self) -> Vec<RecordedAttempt> {
        self.exchanges.lock().expect("a list").clone()
    }
}

impl Exchange for RecordingTransport {
    fn exchange(&self, server: &Endpoint, request: UpstreamRequest) -> BoxFuture<AttemptResult> {
        let fill_source = request.fill_source.as_ref().map(|source| source.to_string());
        let (class, server_name) = (request.class.to_string(), server.name.to_string());
        let attempt = RecordedAttempt { class, server: server_name, fill_source, at: Instant::now() };
        self.exchanges.lock().expect("a list").push(attempt);
        self.behavior.lock().expect("a behavior")(server, &request)
    }
}

/// Returns a successful response with this representation and cache status.
pub fn served_as(representation: Representation, cache_status: CacheStatus) -> AttemptResult {
    let status = ResponseStatus::Ok(representation);
    Ok(UpstreamResponse { status, cache_status, source_wait: 0, load_report: Vec::new() })
}

/// Responds at once with a hit.
pub fn served() -> BoxFuture<AttemptResult> {
    let representation = Representation { etag: None, body: "bytes".into() };
    Box::pin(async { served_as(representation, CacheStatus::Hit) })
}

/// Returns a future that never completes, as if the server never responded.
pub fn never_answered() -> BoxFuture<AttemptResult> {
    Box::pin(std::future::pending())
}

/// Returns a member list of three caches, two parents and an origin.
pub fn members() -> Vec<Endpoint> {
    let mut members: Vec<Endpoint> =
        (1..=3).map(|n| endpoint_listing(&format!("cache-{n}"), "a", "edge", "cache")).collect();
    members.extend((1..=2).map(|n| endpoint_listing(&format!("parent-{n}"), "b", "hub", "parent")));
    members.push(endpoint_listing("origin-1", "c", "hub", "origin"));
    members
}

/// Starts a director for these members that sends through the transport.
pub fn start_director(transport: &RecordingTransport) -> Director {
    let builder = Director::builder(settings()).endpoint_source(StaticEndpoints(members())).seed(7);
    builder.connector(HostTransport::new(transport.clone())).start().expect("a director")
}

/// Waits until a condition holds, for 5 s at most.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < Duration::from_secs(5), "not within 5 s: {what}");
        sleep(Duration::from_millis(2)).await;
    }
}

/// Returns the request counts of a class.
pub async fn counts(director: &Director, class: &str) -> ClassCounts {
    director.metrics().await.expect("metrics").requests[class]
}

/// Returns the numbers of a class's cancelled requests that never ran and that may have run.
pub async fn cancelled_counts(director: &Director, class: &str) -> (u64, u64) {
    let counts = counts(director, class).await;
    (counts.cancelled_not_run, counts.cancelled_may_have_run)
}

/// Returns whether the director has no requests, attempts or health checks pending.
pub async fn is_idle(director: &Director) -> bool {
    let tables = director.metrics().await.expect("metrics").tables;
    tables.pending_requests == 0
        && tables.attempts_in_flight == 0
        && tables.cancelled_requests == 0
        && tables.health_checks == 0
}

/// Returns a write of a class that must not run twice.
pub fn filing_request(object: &str) -> CacheRequest {
    CacheRequest::new("filing", object).body("a filing")
}
