//! Formats actions of the decision module as lines.

use crate::policy::types::{Action, Micros};
use base64::{engine::general_purpose::STANDARD, Engine};
use std::fmt::Write as _;

/// A time in milliseconds, to the microsecond.
fn ms(t: Micros) -> String {
    format!("{}.{:03}", t / 1000, t % 1000)
}

/// Appends the line of an action.
pub(super) fn format_action(who: u32, action: &Action, out: &mut String) {
    let done = match action {
        Action::Attempt { request, server, timeout, fill: None } => {
            writeln!(out, "dispatch {who} {} {} {}", request.0, ms(*timeout), server.0)
        }
        Action::Attempt { request, server, timeout, fill: Some(fill) } => {
            let bits = u32::from(fill.collapse)
                + 2 * u32::from(fill.only_if_cached)
                + 8 * u32::from(fill.revalidate);
            let (timeout, age) = (ms(*timeout), ms(fill.max_age));
            let (id, source, keep) = (request.0, fill.source.0, fill.cache_rank);
            writeln!(out, "read_through {who} {id} {} {timeout} {source} {keep} {age} {bits}", server.0)
        }
        Action::Cancel { request, attempt } => writeln!(out, "abandon {who} {} {attempt}", request.0),
        Action::Reject { request, retry_after } => {
            writeln!(out, "overload_reply {who} {} {}", request.0, ms(*retry_after))
        }
        Action::Fail(request) => writeln!(out, "fail {who} {}", request.0),
        Action::SetTimer { at, token } => writeln!(out, "wake_at {who} {} {token}", ms(*at)),
        Action::HealthCheck(server) => writeln!(out, "sound_out {who} {}", server.0),
        Action::Subscribe => writeln!(out, "tail {who} 1"),
        Action::FetchMembers => writeln!(out, "fetch {who}"),
        Action::SendMessage { to, bytes } => {
            let to = to.map_or("all".to_owned(), |n| n.to_string());
            writeln!(out, "announce {who} {to} {}", STANDARD.encode(bytes))
        }
        Action::Log(line) => writeln!(out, "print {who} {line}"),
    };
    debug_assert!(done.is_ok(), "a string takes every line");
}
