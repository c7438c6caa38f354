//! Fills: of a cache from a parent or the origin, and of a parent from the origin.

use super::protocol::{ServerReply, ServerRequest};
use super::upstream::{self, UpstreamCall};
use super::{InFlightGuard, Server};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// How long a server waits for a fill source's reply.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(2_000);

impl Server {
    /// Fills a cache's miss from the source that the request names.
    pub(super) async fn fill(self: &Rc<Self>, request: &ServerRequest, write: bool, kb: f64) -> ServerReply {
        let Some(source) = request.via.clone().filter(|via| *via != self.config.name) else {
            return ServerReply::Other("NOENT", "-");
        };
        if self.fills_in_flight.get() >= self.config.spec.fills {
            return ServerReply::Other("AGAIN", "fills_full");
        }
        let _in_flight = InFlightGuard::new(&self.fills_in_flight);
        let begun = Instant::now();
        let (fetched, lag) = (self.request_from_source(&source, request).await, begun.elapsed());
        let direct = source.starts_with("origin");
        match fetched {
            Some(ServerReply::Copy { minted, note, .. }) => {
                if request.tier > 0 && !write {
                    let memory = self.config.spec.memory;
                    self.memory.borrow_mut().keep(request.key(), kb, request.tier, minted, memory);
                }
                let note = if direct || note == "fetched_root" { "fetched_root" } else { "fetched" };
                ServerReply::Copy { minted, note, lag }
            }
            Some(ServerReply::Other("NOENT", _)) => ServerReply::Other("NOENT", "up_empty"),
            Some(ServerReply::Other("AGAIN", _)) => ServerReply::Other("AGAIN", "up_refused"),
            Some(ServerReply::Other(_, "root_failed")) => ServerReply::Other("EIO", "root_failed"),
            // The outcome is unknown: a write may have run at the source.
            _ => ServerReply::Other("EIO", "up_lost"),
        }
    }

    /// Fetches a parent's miss from the origin. Concurrent requests for the same part share one fetch.
    pub(super) async fn fetch(self: &Rc<Self>, request: &ServerRequest, write: bool, kb: f64) -> ServerReply {
        if request.has_option("no-fetch") {
            return ServerReply::Other("NOENT", "-");
        }
        if write {
            return self
                .request_from_source("origin-1", request)
                .await
                .unwrap_or(ServerReply::Other("EIO", "root_failed"));
        }
        // A request with an age limit does not join a fetch for requests without one.
        let key = (request.object.clone(), format!("{}/{}", request.part, u8::from(request.max_age_ms > 0)));
        let (done, waits) = oneshot::channel();
        let first = {
            let mut joined = self.collapsed.borrow_mut();
            let waiting = joined.entry(key.clone()).or_default();
            waiting.push(done);
            waiting.len() == 1 || request.max_age_ms > 0
        };
        if first {
            let (server, request) = (Rc::clone(self), request.clone());
            tokio::task::spawn_local(async move {
                let fetched = match server.request_from_source("origin-1", &request).await {
                    Some(ServerReply::Copy { minted, .. }) => {
                        if !request.has_option("no-keep") {
                            let memory = server.config.spec.memory;
                            server.memory.borrow_mut().keep(request.key(), kb, 1, minted, memory);
                        }
                        ServerReply::Copy { minted, note: "fetched_root", lag: Duration::ZERO }
                    }
                    Some(ServerReply::Other("AGAIN", _)) => ServerReply::Other("AGAIN", "up_refused"),
                    _ => ServerReply::Other("EIO", "root_failed"),
                };
                let waiting = server.collapsed.borrow_mut().remove(&key).unwrap_or_default();
                waiting.into_iter().for_each(|done| drop(done.send(fetched.clone())));
            });
        }
        waits.await.unwrap_or(ServerReply::Other("EIO", "root_failed"))
    }

    /// Sends a fill request to another server and returns its reply. Returns `None` if that server cannot be
    /// reached, closes the connection or does not reply within [`SOURCE_TIMEOUT`].
    async fn request_from_source(
        self: &Rc<Self>,
        name: &str,
        request: &ServerRequest,
    ) -> Option<ServerReply> {
        let (done, waits) = oneshot::channel();
        let call = UpstreamCall { request: request.clone(), caller: self.config.name.clone(), done };
        let sources = &self.sources;
        let open = sources.borrow().get(name).filter(|s| !s.is_closed()).cloned();
        let source = match open {
            Some(source) => source,
            None => {
                let address = self.peers.borrow().get(name).cloned()?;
                let (calls, queue) = mpsc::unbounded_channel();
                tokio::task::spawn_local(upstream::connect(address, queue));
                sources.borrow_mut().insert(name.into(), calls.clone());
                calls
            }
        };
        source.send(call).ok()?;
        tokio::time::timeout(SOURCE_TIMEOUT, waits).await.ok()?.ok()
    }
}
