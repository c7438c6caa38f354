//! The second front: signed URLs and tokens. It listens where a file says, and is off without one.

use super::http::{Head, Response};
use super::serve::Frontend;
use crate::discovery::watched_file::WatchedFile;
use crate::dispatch::{bare_tag, ClientRequest, ClientResponse, Clock, Dispatcher};
use crate::signed::{self, Counts, Denied, HttpOutcome, KeyFile, Keys};
use bytes::Bytes;
use miniserde::json;
use std::sync::Arc;
use tokio::sync::watch;

/// Reads the keys' file.
pub fn parse_keys(text: &str) -> Result<Keys, String> {
    Keys::new(json::from_str::<KeyFile>(text).map_err(|_| "not keys in JSON")?)
}

/// Watches the keys' file, so that keys can be added and removed while the program runs.
pub async fn follow_keys(mut file: WatchedFile, keys: watch::Sender<Arc<Keys>>) {
    loop {
        let _ = keys.send_replace(Arc::new(file.next(parse_keys).await));
    }
}

/// The front: checks each request, and words each answer.
pub struct Signed {
    /// Where checked requests go.
    pub core: Dispatcher,
    /// How they are checked, at present.
    pub keys: watch::Receiver<Arc<Keys>>,
    /// What time it is.
    pub clock: Clock,
    /// How each ended.
    pub counts: Arc<Counts>,
}

impl Signed {
    fn say(&self, worded: HttpOutcome) -> Response {
        self.counts.add(worded.outcome);
        let mut response = Response { body: worded.body, ..Response::empty(worded.status) };
        match worded.status {
            200 => response = response.with("Content-Type", "application/octet-stream".into()),
            304 => {}
            // So that nothing between here and the client keeps a refusal for others.
            _ => response = response.with("Cache-Control", "no-store".into()),
        }
        if let Some(tag) = worded.etag {
            response = response.with("ETag", format!("\"{tag}\""));
        }
        if let Some(seconds) = worded.retry_after {
            response = response.with("Retry-After", seconds.to_string());
        }
        response
    }

    fn check(&self, head: &Head) -> Result<signed::Grant, Denied> {
        let authority = head.only("host").ok_or(Denied::Malformed)?;
        signed::check(&self.keys.borrow(), authority, &head.target, self.clock.unix())
    }
}

impl Frontend for Signed {
    const NAME: &'static str = "signed links";

    fn read(&self, head: &Head, body: Bytes) -> Result<ClientRequest, Response> {
        if head.target == "/alive" {
            return Err(Response::empty(if self.core.has_ended() { 503 } else { 200 }));
        }
        let grant = self.check(head).map_err(|denied| self.say(signed::to_http_outcome(Err(denied))))?;
        let known = head.only("if-none-match").map(bare_tag);
        let id = self.core.generate_request_id();
        signed::parse_request(&self.core.settings(), &head.method, &grant, id, known, body).map_err(|unfit| {
            self.counts.add("bad_request");
            let response = Response::empty(unfit.status);
            match unfit.allow {
                Some(method) => response.with("Allow", method.into()),
                None => response,
            }
        })
    }

    fn word(&self, answer: ClientResponse) -> Response {
        self.say(signed::to_http_outcome(Ok(answer)))
    }
}

/// Gives the counts out, at `/metrics` of a listener of their own.
pub struct Metrics(
    /// The counts.
    pub Arc<Counts>,
);

impl Frontend for Metrics {
    const NAME: &'static str = "metrics";

    fn read(&self, head: &Head, _: Bytes) -> Result<ClientRequest, Response> {
        if head.target != "/metrics" {
            return Err(Response::empty(404));
        }
        let body = self.0.exposition().into();
        let kind = "text/plain; version=0.0.4".into();
        Err(Response { body, ..Response::empty(200) }.with("Content-Type", kind))
    }

    fn word(&self, _: ClientResponse) -> Response {
        Response::empty(404) // nothing is asked here
    }
}
