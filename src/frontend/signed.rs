//! The frontend for signed URLs and tokens. The operators' file sets its address; without one it is disabled.

use super::http::{RequestHead, Response};
use super::serve::Frontend;
use crate::discovery::watched_file::WatchedFile;
use crate::dispatch::{bare_tag, ClientRequest, ClientResponse, Clock, Dispatcher};
use crate::policy::types::Settings;
use crate::signed::{
    self, CredentialError, Grant, HttpOutcome, InvalidRequest, KeyError, KeyFile, KeySet, OutcomeCounters,
};
use bytes::Bytes;
use miniserde::json;
use std::sync::Arc;
use tokio::sync::watch;

const READINESS_PATH: &str = "/alive";

/// Parses the text of a key file and decodes its keys.
pub fn parse_keys(text: &str) -> Result<KeySet, KeyError> {
    let file: KeyFile = json::from_str(text).map_err(|_| KeyError::NotJson)?;
    KeySet::new(file)
}

/// Publishes each valid new version of the key file, so that keys can be added and removed at run time.
pub async fn follow_keys(mut file: WatchedFile, keys: watch::Sender<Arc<KeySet>>) {
    loop {
        let changed = file.next(parse_keys).await;
        let _ = keys.send_replace(Arc::new(changed));
    }
}

/// A frontend that verifies the credential of each request before dispatch and counts every outcome.
pub struct SignedUrlFrontend {
    /// The dispatcher that handles requests with a valid credential.
    pub dispatcher: Dispatcher,
    /// The current keys.
    pub keys: watch::Receiver<Arc<KeySet>>,
    /// Clock for checking the validity period of credentials.
    pub clock: Clock,
    /// Number of responses for each outcome.
    pub counts: Arc<OutcomeCounters>,
}

impl SignedUrlFrontend {
    fn verify(&self, head: &RequestHead) -> Result<Grant, CredentialError> {
        let authority = head.single_header("host").ok_or(CredentialError::Malformed)?;
        signed::verify_credential(&self.keys.borrow(), authority, &head.target, self.clock.unix())
    }

    /// Counts an outcome and converts it into a response.
    fn respond(&self, outcome: HttpOutcome) -> Response {
        self.counts.increment(outcome.outcome);
        let mut response = Response { body: outcome.body, ..Response::empty(outcome.status) };
        match outcome.status {
            200 => response = response.with_header("Content-Type", "application/octet-stream".into()),
            304 => {}
            // Keeps shared caches on the path from serving this rejection to other clients.
            _ => response = response.with_header("Cache-Control", "no-store".into()),
        }
        if let Some(etag) = outcome.etag {
            response = response.with_header("ETag", format!("\"{etag}\""));
        }
        if let Some(seconds) = outcome.retry_after {
            response = response.with_header("Retry-After", seconds.to_string());
        }
        response
    }

    /// Counts a request that cannot be dispatched and returns the response for it.
    fn respond_invalid(&self, invalid: InvalidRequest) -> Response {
        self.counts.increment("bad_request");
        let response = Response::empty(invalid.status);
        match invalid.allowed_method {
            Some(method) => response.with_header("Allow", method.into()),
            None => response,
        }
    }
}

impl Frontend for SignedUrlFrontend {
    const NAME: &'static str = "signed links";

    fn parse_request(&self, head: &RequestHead, body: Bytes) -> Result<ClientRequest, Response> {
        if head.target == READINESS_PATH {
            return Err(Response::empty(if self.dispatcher.has_ended() { 503 } else { 200 }));
        }
        let denied = |error| self.respond(signed::to_http_outcome(Err(error)));
        let grant = self.verify(head).map_err(denied)?;
        let if_none_match = head.single_header("if-none-match").map(bare_tag);
        let id = self.dispatcher.generate_request_id();
        let settings = self.dispatcher.settings();
        signed::parse_request(settings, &head.method, &grant, id, if_none_match, body)
            .map_err(|invalid| self.respond_invalid(invalid))
    }

    fn to_response(&self, answer: ClientResponse, _: &Settings) -> Response {
        self.respond(signed::to_http_outcome(Ok(answer)))
    }
}
