//! The second front: signed URLs and tokens. It listens where a file says, and is off without one.

use super::http::{RequestHead, Response};
use super::serve::Frontend;
use crate::discovery::watched_file::WatchedFile;
use crate::dispatch::{bare_tag, ClientRequest, ClientResponse, Clock, Dispatcher};
use crate::signed::{self, CredentialError, HttpOutcome, KeyFile, KeySet, OutcomeCounters};
use bytes::Bytes;
use miniserde::json;
use std::sync::Arc;
use tokio::sync::watch;

/// Reads the keys' file.
pub fn parse_keys(text: &str) -> Result<KeySet, String> {
    KeySet::new(json::from_str::<KeyFile>(text).map_err(|_| "not keys in JSON")?)
}

/// Watches the keys' file, so that keys can be added and removed while the program runs.
pub async fn follow_keys(mut file: WatchedFile, keys: watch::Sender<Arc<KeySet>>) {
    loop {
        let _ = keys.send_replace(Arc::new(file.next(parse_keys).await));
    }
}

/// The front: checks each request, and words each answer.
pub struct SignedUrlFrontend {
    /// Where checked requests go.
    pub dispatcher: Dispatcher,
    /// How they are checked, at present.
    pub keys: watch::Receiver<Arc<KeySet>>,
    /// What time it is.
    pub clock: Clock,
    /// How each ended.
    pub counts: Arc<OutcomeCounters>,
}

impl SignedUrlFrontend {
    fn say(&self, worded: HttpOutcome) -> Response {
        self.counts.increment(worded.outcome);
        let mut response = Response { body: worded.body, ..Response::empty(worded.status) };
        match worded.status {
            200 => response = response.with_header("Content-Type", "application/octet-stream".into()),
            304 => {}
            // So that nothing between here and the client keeps a refusal for others.
            _ => response = response.with_header("Cache-Control", "no-store".into()),
        }
        if let Some(tag) = worded.etag {
            response = response.with_header("ETag", format!("\"{tag}\""));
        }
        if let Some(seconds) = worded.retry_after {
            response = response.with_header("Retry-After", seconds.to_string());
        }
        response
    }

    fn check(&self, head: &RequestHead) -> Result<signed::Grant, CredentialError> {
        let authority = head.single_header("host").ok_or(CredentialError::Malformed)?;
        signed::verify_credential(&self.keys.borrow(), authority, &head.target, self.clock.unix())
    }
}

impl Frontend for SignedUrlFrontend {
    const NAME: &'static str = "signed links";

    fn parse_request(&self, head: &RequestHead, body: Bytes) -> Result<ClientRequest, Response> {
        if head.target == "/alive" {
            return Err(Response::empty(if self.dispatcher.has_ended() { 503 } else { 200 }));
        }
        let grant = self.check(head).map_err(|denied| self.say(signed::to_http_outcome(Err(denied))))?;
        let known = head.single_header("if-none-match").map(bare_tag);
        let id = self.dispatcher.generate_request_id();
        signed::parse_request(&self.dispatcher.settings(), &head.method, &grant, id, known, body).map_err(
            |unfit| {
                self.counts.increment("bad_request");
                let response = Response::empty(unfit.status);
                match unfit.allowed_method {
                    Some(method) => response.with_header("Allow", method.into()),
                    None => response,
                }
            },
        )
    }

    fn to_response(&self, answer: ClientResponse) -> Response {
        self.say(signed::to_http_outcome(Ok(answer)))
    }
}

/// Gives the counts out, at `/metrics` of a listener of their own.
pub struct MetricsFrontend(
    /// The counts.
    pub Arc<OutcomeCounters>,
);

impl Frontend for MetricsFrontend {
    const NAME: &'static str = "metrics";

    fn parse_request(&self, head: &RequestHead, _: Bytes) -> Result<ClientRequest, Response> {
        if head.target != "/metrics" {
            return Err(Response::empty(404));
        }
        let body = self.0.to_prometheus().into();
        let kind = "text/plain; version=0.0.4".into();
        Err(Response { body, ..Response::empty(200) }.with_header("Content-Type", kind))
    }

    fn to_response(&self, _: ClientResponse) -> Response {
        Response::empty(404) // nothing is asked here
    }
}
