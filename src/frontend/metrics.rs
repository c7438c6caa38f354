//! The metrics endpoint: serves the counters of the frontend for signed URLs in the Prometheus text format.

use super::http::{RequestHead, Response};
use super::serve::Frontend;
use crate::dispatch::{ClientRequest, ClientResponse};
use crate::policy::types::Settings;
use crate::signed::OutcomeCounters;
use bytes::Bytes;
use std::sync::Arc;

const PATH: &str = "/metrics";
const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// A frontend that serves the counters at `/metrics` on a separate listener.
pub struct MetricsFrontend(
    /// Counters of the frontend for signed URLs, by outcome.
    pub Arc<OutcomeCounters>,
);

impl Frontend for MetricsFrontend {
    const NAME: &'static str = "metrics";

    fn parse_request(&self, head: &RequestHead, _: Bytes) -> Result<ClientRequest, Response> {
        if head.target != PATH {
            return Err(Response::empty(404));
        }
        let body = self.0.to_prometheus().into();
        Err(Response { body, ..Response::empty(200) }.with_header("Content-Type", CONTENT_TYPE.into()))
    }

    fn to_response(&self, _: ClientResponse, _: &Settings) -> Response {
        Response::empty(404) // parse_request never returns a request to dispatch
    }
}
