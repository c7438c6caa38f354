//! Encoder of requests, cancellations and health checks.

use crate::dispatch::UpstreamRequest;
use bytes::{BufMut, BytesMut};
use std::fmt::{Display, Write as _};
use std::sync::Arc;
use tokio::time::Instant;

/// The tag of a liveness check: a health check that a connection sends to find out whether it still works.
pub const LIVENESS_TAG: &str = "alive";

/// Returns the tag of the router's health check with this number.
pub fn health_check_tag(number: u64) -> Arc<str> {
    format!("p{number}").into()
}

/// Appends the line of a request and its body to `out`.
pub fn write_request(request: &UpstreamRequest, now: Instant, out: &mut BytesMut) {
    let (fields, length) = (encode_fields(request, now), request.body.len());
    out.put_slice(format!("want {} {fields} {length}\r\n", request.id).as_bytes());
    out.put_slice(&request.body);
    out.put_slice(b"\r\n");
}

/// Appends the cancellation of a request to `out`.
pub fn write_cancel(request_id: &str, out: &mut BytesMut) {
    out.put_slice(format!("never_mind {request_id}\r\n").as_bytes());
}

/// Appends a health check to `out`; the server responds with its health and a load report.
pub fn write_health_check(tag: &str, out: &mut BytesMut) {
    out.put_slice(format!("busy {tag}\r\n").as_bytes());
}

fn encode_fields(request: &UpstreamRequest, now: Instant) -> String {
    let timeout_ms = request.deadline.saturating_duration_since(now).as_millis().max(1);
    let mut fields = format!("kind={},obj={}", request.class, request.object);
    add_optional(&mut fields, "seg", request.part.as_ref());
    add(&mut fields, "ms", &timeout_ms);
    add_optional(&mut fields, "via", request.fill_source.as_ref());
    if request.cache_rank > 0 {
        add(&mut fields, "tier", &request.cache_rank);
    }
    if request.max_age_ms > 0 {
        add(&mut fields, "fresh", &request.max_age_ms);
    }
    let options = encode_options(request);
    if !options.is_empty() {
        add(&mut fields, "opts", &options);
    }
    add_optional(&mut fields, "known", request.if_none_match.as_ref());
    add_optional(&mut fields, "token", request.idempotency_key.as_ref());
    fields
}

fn encode_options(request: &UpstreamRequest) -> String {
    let options = [
        (request.collapse, "wait-for"),
        (request.only_if_cached, "no-fetch"),
        (request.revalidate, "background"),
    ];
    let names: Vec<&str> = options.into_iter().filter(|(is_set, _)| *is_set).map(|(_, name)| name).collect();
    names.join("+")
}

fn add(fields: &mut String, name: &str, value: &dyn Display) {
    let _ = write!(fields, ",{name}={value}"); // writing to a string can't fail
}

fn add_optional(fields: &mut String, name: &str, value: Option<&impl Display>) {
    if let Some(value) = value {
        add(fields, name, value);
    }
}
