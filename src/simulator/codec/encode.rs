//! Encodes the router's actions as lines.

use crate::policy::types::{Action, Micros};
use base64::{engine::general_purpose::STANDARD, Engine};
use std::fmt::Write as _;

/// The line that ends the reply to a batch.
const END_OF_REPLY: &str = "eor\n";

/// Bits of the last field of `read_through`.
const COLLAPSE_BIT: u32 = 1;
const ONLY_IF_CACHED_BIT: u32 = 2;
const REVALIDATE_BIT: u32 = 8;

/// Appends the line that ends the reply to a batch.
pub(in crate::simulator) fn encode_end_of_reply(out: &mut String) {
    out.push_str(END_OF_REPLY);
}

/// Appends the line for an action of this router.
pub(in crate::simulator) fn encode_action(router: u32, action: &Action, out: &mut String) {
    let written = match action {
        Action::Attempt { request, server, timeout, fill: None } => {
            writeln!(out, "dispatch {router} {} {} {}", request.0, milliseconds(*timeout), server.0)
        }
        Action::Attempt { request, server, timeout, fill: Some(fill) } => {
            let bits = u32::from(fill.collapse) * COLLAPSE_BIT
                + u32::from(fill.only_if_cached) * ONLY_IF_CACHED_BIT
                + u32::from(fill.revalidate) * REVALIDATE_BIT;
            let (timeout, max_age) = (milliseconds(*timeout), milliseconds(fill.max_age));
            let (id, source, rank) = (request.0, fill.source.0, fill.cache_rank);
            writeln!(
                out,
                "read_through {router} {id} {} {timeout} {source} {rank} {max_age} {bits}",
                server.0
            )
        }
        Action::Cancel { request, attempt } => writeln!(out, "abandon {router} {} {attempt}", request.0),
        Action::Reject { request, retry_after } => {
            writeln!(out, "overload_reply {router} {} {}", request.0, milliseconds(*retry_after))
        }
        Action::Fail(request) => writeln!(out, "fail {router} {}", request.0),
        Action::SetTimer { at, token } => writeln!(out, "wake_at {router} {} {token}", milliseconds(*at)),
        Action::HealthCheck(server) => writeln!(out, "sound_out {router} {}", server.0),
        Action::Subscribe => writeln!(out, "tail {router} 1"),
        Action::FetchMembers => writeln!(out, "fetch {router}"),
        Action::SendMessage { to, bytes } => {
            let to = to.map_or("all".to_owned(), |router| router.to_string());
            writeln!(out, "announce {router} {to} {}", STANDARD.encode(bytes))
        }
        Action::Log(line) => writeln!(out, "print {router} {line}"),
    };
    debug_assert!(written.is_ok(), "writing to a string can't fail");
}

/// Formats a time in milliseconds with three decimals.
fn milliseconds(time: Micros) -> String {
    format!("{}.{:03}", time / 1000, time % 1000)
}
