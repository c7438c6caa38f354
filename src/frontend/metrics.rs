//! The metrics endpoint: the counters of the frontend for signed URLs, in Prometheus' text format.

use super::http::{RequestHead, Response};
use super::serve::Frontend;
use crate::dispatch::{ClientRequest, ClientResponse};
use crate::signed::OutcomeCounters;
use bytes::Bytes;
use std::sync::Arc;

const PATH: &str = "/metrics";
const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Serves the counters at `/metrics` of a listener of its own.
pub struct MetricsFrontend(
    /// The counters.
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

    fn to_response(&self, _: ClientResponse) -> Response {
        Response::empty(404) // no request is ever dispatched
    }
}
