//! Compatibility with version 0 of everything that other programs and later versions read: the line protocol,
//! discovery lines, responses to clients and admin calls, settings, cluster frames and stored state. The
//! fixtures in `tests/fixtures/v0` were recorded with revision 752f85b and are never regenerated, so that
//! renaming in the code can't change a format.

mod emulated;

use bytes::BytesMut;
use emulated::*;
use foxhold::config::settings::{decode_connection_settings, parse_settings};
use foxhold::discovery::codec::{decode_line, WatchLine};
use foxhold::discovery::WatchChange;
use foxhold::dispatch::{AttemptId, Clock, DispatcherMessage, Endpoint, ResponseStatus, UpstreamRequest};
use foxhold::frontend::admin::{self, AdminEndpoint, ReloadCounters};
use foxhold::frontend::platform::PlatformFrontend;
use foxhold::frontend::serve::ShutdownPhase;
use foxhold::upstream::line_codec;
use foxhold::{CacheStatusLevel, Idempotency, KeyScope, Siblings};
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

fn fixture(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/v0").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn assert_matches_fixture(name: &str, actual: &str) {
    let expected = fixture(name);
    for (expected, actual) in expected.lines().zip(actual.lines()) {
        assert_eq!(actual, expected, "{name}");
    }
    assert_eq!(actual, expected, "{name}");
}

/// Returns the bytes as text with line ends written as `\r` and `\n`, one line of text for each line.
fn escape_line_ends(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    text.replace('\r', "\\r").split_inclusive('\n').map(|l| l.replace('\n', "\\n\n")).collect()
}

// ---- the line protocol ----

fn minimal_request(id: &str, now: Instant) -> UpstreamRequest {
    let attempt_id = AttemptId { request: 1, attempt: 0 };
    emulated::upstream_request(attempt_id, id, "videos", Vec::new(), now + Duration::from_millis(1500))
}

#[test]
fn encodes_server_requests_like_version_0() {
    let now = Instant::now();
    let source: Arc<str> = "s-parent".into();
    let full = UpstreamRequest {
        part: Some(3),
        fill_source: Some(source.clone()),
        cache_rank: 2,
        max_age_ms: 750,
        collapse: true,
        only_if_cached: true,
        revalidate: true,
        if_none_match: Some("tag-1".into()),
        idempotency_key: Some("token-1".into()),
        body: "bytes".into(),
        ..minimal_request("0000000000000002", now)
    };
    let flags = [(true, false, false), (false, true, false), (false, false, true), (true, true, false)];
    let mut out = BytesMut::new();
    line_codec::write_request(&minimal_request("0000000000000001", now), now, &mut out);
    line_codec::write_request(&full, now, &mut out);
    for (collapse, only_if_cached, revalidate) in flags {
        let request = UpstreamRequest {
            fill_source: Some(source.clone()),
            cache_rank: 1,
            collapse,
            only_if_cached,
            revalidate,
            ..minimal_request("a", now)
        };
        line_codec::write_request(&request, now, &mut out);
    }
    line_codec::write_request(
        &UpstreamRequest { deadline: now, ..minimal_request("late", now) },
        now,
        &mut out,
    );
    line_codec::write_cancel("0000000000000001", &mut out);
    line_codec::write_health_check("p7", &mut out);
    assert_matches_fixture("line-requests.txt", &escape_line_ends(&out));
}

/// Formats a decoded message as in the fixture; cache statuses are numbers.
fn describe_message(content: &line_codec::MessageContent) -> String {
    let response = match content {
        line_codec::MessageContent::Health(report) => {
            return format!("health {} {:?}", report.healthy, report.load_report);
        }
        line_codec::MessageContent::Response(response) => response,
    };
    let status = match &response.status {
        ResponseStatus::Ok(copy) => format!("copy {:?} {:?}", copy.etag, copy.body),
        ResponseStatus::NotModified(tag) => format!("unchanged {tag:?}"),
        ResponseStatus::Miss => "miss".into(),
        ResponseStatus::Rejected => "full".into(),
        ResponseStatus::Error => "error".into(),
        ResponseStatus::Expired => "too late".into(),
    };
    format!(
        "{status}, note {}, waited {}, load {:?}",
        response.cache_status as u8, response.source_wait, response.load_report
    )
}

#[test]
fn decodes_server_responses_like_version_0() {
    let cache_statuses = [
        "cached",
        "fetched",
        "fetched_root",
        "merged",
        "past_fresh",
        "up_refused",
        "up_lost",
        "up_empty",
        "fills_full",
        "root_failed",
        "other",
    ];
    let mut text = String::new();
    for cache_status in cache_statuses {
        text += &format!("a ACK tag=t1,lag=12.5,res={cache_status},gauges=load:0.5;x1:1.25 5\r\nbytes\r\n");
    }
    for word in ["NOMOD", "NOENT", "AGAIN", "EIO", "STALE"] {
        text += &format!("b {word} tag=t2 0\r\n\r\n");
    }
    text += "p1 READY - 0\r\n\r\np2 READY\r\np3 AILING gauges=x0:0.25\r\np4 AILING - 0\r\n\r\n";
    let mut buffer = BytesMut::from(text.as_bytes());
    let (mut decoder, mut decoded) = (line_codec::LineDecoder::default(), String::new());
    while let Some(message) = decoder.next(&mut buffer).expect("valid lines") {
        decoded += &format!("{} {}\n", message.id, describe_message(&message.content));
    }
    assert!(buffer.is_empty());
    assert_matches_fixture("line-answers.txt", &decoded);
    for bad in ["a ACK - x\r\n", "a WHAT - 0\r\n", "a ACK lag=x 0\r\n", " ACK - 0\r\n", "a\r\n", "a ACK -\n"]
    {
        let mut buffer = BytesMut::from(bad.as_bytes());
        assert!(line_codec::LineDecoder::default().next(&mut buffer).is_err(), "{bad:?}");
    }
}

// ---- discovery ----

/// Formats a decoded change as in the fixture; member states are numbers.
fn describe_change(change: &WatchChange) -> String {
    let describe_member = |endpoint: &Endpoint| {
        let Endpoint { name, address, zone, kind, cell, state, size, started_at } = endpoint;
        format!(" {name} {address} {zone} {kind} {cell} {} {size} {started_at}", *state as u8)
    };
    match change {
        WatchChange::Members { complete, members } => {
            format!("members {complete}{}", members.iter().map(describe_member).collect::<String>())
        }
        WatchChange::Purge { object, group, unix_ms } => format!("purge {object:?} {group} {unix_ms}"),
        WatchChange::Unknown => "other".into(),
    }
}

#[test]
fn decodes_discovery_lines_like_version_0() {
    let member = |id: &str, phase: &str| {
        format!(
            concat!(
                r#"{{"id":"{}","host_port":"127.0.0.1:7","locality":"edge","flavor":"cache","cell":3,"#,
                r#""phase":"{}","size":8.5,"up_since_ms":1764576000123}}"#
            ),
            id, phase
        )
    };
    let complete =
        format!(r#"{{"rev":4,"pool":{{"complete":true,"members":[{}]}}}}"#, member("s1", "in_service"));
    let lines = [
        "17".to_owned(),
        complete.clone(),
        format!(r#"{{"rev":5,"pool":{{"members":[{}]}}}}"#, member("s2", "terminating")),
        format!(r#"{{"rev":6,"pool":{{"members":[{}]}}}}"#, member("s3", "terminated")),
        concat!(
            r#"{"rev":7,"pool":{"members":[{"id":"s4","host_port":"h:1","locality":"hub","#,
            r#""flavor":"parent","phase":"in_service"}]}}"#
        )
        .to_owned(),
        r#"{"rev":8,"flush":{"asset":"aa","ms":1764576000123}}"#.to_owned(),
        r#"{"rev":9,"flush":{"collection":5,"ms":1764576000123.5}}"#.to_owned(),
        r#"{"rev":10,"hint":{}}"#.to_owned(),
    ];
    let mut decoded = String::new();
    for line in lines {
        let line = decode_line(line.as_bytes()).expect("a valid line");
        decoded += &match line {
            WatchLine::Heartbeat(revision) => format!("last {revision}\n"),
            WatchLine::Event(event) => format!("{} {}\n", event.revision, describe_change(&event.change)),
        };
    }
    assert_matches_fixture("discovery.txt", &decoded);
    for bad in [r#"{"rev":8,"flush":{"ms":1}}"#, "", "x", &complete.replace("in_service", "resting")] {
        assert!(decode_line(bad.as_bytes()).is_err(), "{bad}");
    }
}

// ---- clients and operators ----

const HIT_RESPONSE: ServerBehavior = ServerBehavior::Responds("ID ACK tag=aa,res=cached 5\r\nbytes\r\n");

/// Sends a request and returns the complete response as received. The value of `X-Wait-Ms`, which varies, is
/// masked.
async fn response_text(address: &str, request: &str) -> String {
    let response = send_request_text(address, request).await;
    let mut head = response.head;
    if let Some(at) = head.find("X-Wait-Ms: ") {
        let rest = head.split_off(at + "X-Wait-Ms: ".len());
        head += "N";
        head += rest.trim_start_matches(|c: char| c.is_ascii_digit());
    }
    escape_line_ends(format!("{head}\r\n\r\n{}", String::from_utf8_lossy(&response.body)).as_bytes()) + "\n"
}

fn http_request(method: &str, target: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {target} HTTP/1.1\r\nHost: d\r\n{headers}\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
}

#[test]
#[allow(clippy::too_many_lines, reason = "a table of requests, all of which the admin endpoint counts")]
fn responds_to_clients_and_admin_calls_like_version_0() {
    run_local(async {
        let ([cache, parent, origin], members) = start_cache_parent_origin(HIT_RESPONSE).await;
        let dispatcher = start(settings(), Clock::system(), members);
        let front = serve(&dispatcher, PlatformFrontend(dispatcher.clone())).await;
        let (shutdown, shutdown_phase) = watch::channel(ShutdownPhase::Running);
        let reloads = Rc::new(ReloadCounters::default());
        let endpoint = AdminEndpoint {
            dispatcher: dispatcher.clone(),
            requests_in_flight: Rc::new(Cell::new(2)),
            shutdown: shutdown_phase,
            reloads: reloads.clone(),
            #[cfg(feature = "peers")]
            cluster: None,
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let admin = listener.local_addr().expect("an address").to_string();
        tokio::task::spawn_local(admin::accept(listener, endpoint));
        let videos = "/ops/videos/7f3a9c21e0b4d655";
        let headers = |id: u64| format!("X-Job-Id: {id:016x}\r\nX-Allow-Ms: 2900\r\n");
        let mut out = String::new();
        out += &response_text(&front, &http_request("GET", "/alive", "", "")).await;
        out += &response_text(&front, &http_request("GET", videos, &headers(1), "")).await;
        out +=
            &response_text(&front, &http_request("GET", &format!("{videos}?block=3"), &headers(2), "")).await;
        *cache.behavior.borrow_mut() = ServerBehavior::Responds("ID NOMOD tag=aa 0\r\n\r\n");
        let conditional_headers = headers(3) + "If-None-Match: \"aa\"\r\n";
        out += &response_text(&front, &http_request("GET", videos, &conditional_headers, "")).await;
        for server in [&cache, &parent, &origin] {
            *server.behavior.borrow_mut() = ServerBehavior::Responds("ID AGAIN - 0\r\n\r\n");
        }
        out += &response_text(&front, &http_request("GET", videos, &headers(4), "")).await;
        for server in [&cache, &parent, &origin] {
            *server.behavior.borrow_mut() = ServerBehavior::Responds("ID EIO - 0\r\n\r\n");
        }
        out +=
            &response_text(&front, &http_request("PUT", "/ops/filing/7f3a9c21e0b4d655", &headers(5), "text"))
                .await;
        for server in [&cache, &parent, &origin] {
            *server.behavior.borrow_mut() = ServerBehavior::Silent;
        }
        let short_deadline_headers = "X-Job-Id: 0000000000000006\r\nX-Allow-Ms: 200\r\n";
        out += &response_text(&front, &http_request("GET", videos, short_deadline_headers, "")).await;
        out += &response_text(&front, &http_request("GET", "/ops/nothing/7f3a9c21e0b4d655", &headers(7), ""))
            .await;
        out += &response_text(&front, &http_request("GET", videos, "X-Job-Id: x\r\n", "")).await;
        out += &response_text(&front, &http_request("GET", videos, &(headers(8) + "X-Family: 300\r\n"), ""))
            .await;
        out += &response_text(&front, &http_request("GET", videos, &headers(9), "body")).await;
        out += &response_text(&front, &http_request("POST", videos, &headers(10), "")).await;
        out += &response_text(&front, &http_request("GET", "/elsewhere", "", "")).await;
        assert_matches_fixture("client-answers.txt", &out);
        let sent: Vec<String> = cache.lines.borrow().clone();
        let before_deadline = |line: &String| line.split("ms=").next().map(str::to_owned);
        assert_eq!(
            sent.iter().filter_map(before_deadline).take(2).collect::<Vec<_>>(),
            [
                "want 0000000000000001 kind=videos,obj=7f3a9c21e0b4d655,",
                "want 0000000000000002 kind=videos,obj=7f3a9c21e0b4d655,seg=3,",
            ]
        );
        dispatcher.sender().send(DispatcherMessage::Members { full: true, members: Vec::new() }).await;
        reloads.failed.set(1);
        let mut calls = String::new();
        for call in ["check\n", "vars\r\n", "reboot\n", &"x".repeat(300)] {
            calls += &escape_line_ends(mask_attempts(&admin_call(&admin, call).await).as_bytes());
        }
        shutdown.send(ShutdownPhase::CloseAfterResponse).expect("an admin endpoint");
        calls += &escape_line_ends(admin_call(&admin, "check\n").await.as_bytes());
        assert_matches_fixture("admin-answers.txt", &calls);
    });
}

/// Masks the number of attempts, which depends on how fast the servers answered.
fn mask_attempts(metrics: &str) -> String {
    let Some((before, rest)) = metrics.split_once("\"attempts\":") else { return metrics.into() };
    let rest = rest.trim_start_matches(|c: char| c.is_ascii_digit());
    format!("{before}\"attempts\":N{rest}")
}

async fn admin_call(address: &str, call: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("an admin endpoint");
    stream.write_all(call.as_bytes()).await.expect("a reader");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("text");
    response
}

// ---- settings ----

/// Returns the numbers and texts in a value's debug form, without the names of types and fields.
fn debug_values<T: std::fmt::Debug + ?Sized>(value: &T) -> String {
    let text = format!("{value:?}");
    let (mut out, mut quoted) = (String::new(), false);
    for c in text.chars() {
        quoted ^= c == '"';
        if quoted || c == '"' || c == '.' || c.is_ascii_digit() {
            out.push(c);
        } else if !out.ends_with(' ') {
            out.push(' ');
        }
    }
    out.trim().to_owned()
}

#[test]
#[allow(clippy::too_many_lines, reason = "a table with one line for each key of the settings")]
fn decodes_settings_like_version_0() {
    let text = fixture("settings.json");
    let settings = parse_settings(&text).expect("valid settings");
    let value = miniserde::json::from_str(&text).expect("JSON");
    let connections = decode_connection_settings(&value).expect("valid settings");
    let mut decoded = String::new();
    let mut line =
        |name: &str, value: &dyn std::fmt::Debug| decoded += &format!("{name}: {}\n", debug_values(value));
    line("balancers", &settings.routers);
    line("zone", &settings.zone);
    line("zones", &settings.zones);
    line("kinds", &settings.kinds);
    line("weights", &u8::from(settings.sizes_known));
    line("discovery", &u8::from(settings.poll_members));
    line("report.names", &settings.load_report);
    line("familyInfo.midKind", &settings.parent_kind);
    line("familyInfo.storeKind", &settings.origin_kind);
    line("familyInfo.instancesByZone", &settings.routers_by_zone);
    line("familyInfo.inletKbPerS", &settings.zone_link_kb_per_s);
    line("familyInfo.flowKbPerS", &settings.transfer_kb_per_s);
    line("familyInfo.passThroughOk", &u8::from(settings.direct_requests));
    line("familyInfo.collapses", &u8::from(settings.request_collapsing));
    line("familyInfo.peersFill", &u8::from(settings.siblings == Siblings::Zone));
    line("familyInfo.noteLevel", &u8::from(settings.cache_status_level == CacheStatusLevel::Hit));
    line("familyInfo.purgeGraceMs", &settings.purge_grace);
    line("familyInfo.purgeDoneMs", &settings.purge_complete_within);
    line("familyInfo.parentFloor", &settings.parent_slow_start.initial_capacity_share);
    line("familyInfo.parentWarmsInMs", &settings.parent_slow_start.warm_up_time);
    line("familyInfo.parentLimitFactor", &settings.parent_slow_start.overload_multiple);
    line("bounds.cancel", &u8::from(settings.can_cancel));
    line("bounds.secondCopies", &u8::from(settings.hedging));
    line("bounds.retryAfter", &u8::from(settings.retry_after));
    line("bounds.maxRetryAfterMs", &settings.max_retry_after);
    line("bounds.maxAttempts", &settings.max_attempts);
    line("bounds.probes", &u8::from(settings.health_checks));
    line("bounds.peers", &u8::from(settings.peer_messages));
    line("rules.stopSendingWithinMs", &settings.drain_grace);
    line("rules.coldFrom", &settings.cache_slow_start.initial_capacity_share);
    line("rules.warmWithinMs", &settings.cache_slow_start.warm_up_time);
    line("rules.fallMultiple", &settings.cache_slow_start.overload_multiple);
    line(
        "rules.overloadForMs",
        &[settings.cache_slow_start.overload_window, settings.parent_slow_start.overload_window],
    );
    line("bounds.connectTimeoutMs", &connections.connect_timeout.as_millis());
    line("bounds.connIdleMs", &connections.idle_timeout.as_millis());
    line("bounds.streamsPerConn", &connections.max_streams);
    for class in &settings.classes {
        let idempotency = match class.idempotency {
            Idempotency::Idempotent => (0, 0, 0),
            Idempotency::IdempotencyKey { scope, window } => (1, window, u8::from(scope == KeyScope::Cell)),
            Idempotency::AtMostOnce => (2, 0, 0),
        };
        line("services[].name", &class.name);
        line("services[].aimMs", &class.latency_objective);
        line("services[].aimStretch", &class.objective_stretch);
        line("services[].deadlineMs", &class.deadline);
        line("services[].worth", &class.priority_weight);
        line("services[].lateShare", &class.late_weight_share);
        line("services[].effect, windowMs, keyScope", &idempotency);
        line("familyInfo.lifetimeByClassMs", &class.freshness_lifetime);
        line("familyInfo.classGraceMs", &class.stale_grace);
        line("familyInfo.worthWhenOld", &class.stale_weight_share);
        line("familyInfo.passOn", &u8::from(class.write));
    }
    assert_matches_fixture("settings.txt", &decoded);
}

// ---- what directors send and store ----

#[cfg(feature = "peers")]
mod directors {
    use super::{assert_matches_fixture, fixture};
    use foxhold::cluster::frame::{Body, FrameCodec, Message};
    use foxhold::cluster::members::Member;
    use foxhold::cluster::store;
    use foxhold::replication::digest::{ChildSums, EntrySum, Node};
    use foxhold::replication::entry::{DrainRecord, EndpointRecord, EndpointState, Incarnation, Key, Value};
    use foxhold::replication::gossip::{GossipMessage, RangeSummary, TransferChunk, TransferRequest};
    use std::time::Duration;

    const UNIX: u64 = 1_764_576_000_000_000;

    fn endpoint_record() -> EndpointRecord {
        EndpointRecord {
            address: "127.0.0.1:7".into(),
            zone: "edge".into(),
            kind: "cache".into(),
            cell: 3,
            state: EndpointState::Draining,
            size: 8.5,
            started_at: UNIX,
        }
    }

    fn entries() -> Vec<(Key, Value)> {
        let drain = DrainRecord {
            started_at: UNIX,
            drains_by_incarnation: [(Incarnation(1), 2), (Incarnation(7), 1)].into(),
            undrains_by_incarnation: [(Incarnation(1), 1)].into(),
        };
        vec![
            (Key::Object("aa".into()), Value::Purged(UNIX)),
            (Key::Group(5), Value::Purged(UNIX + 1)),
            (Key::Drain("s-1".into()), Value::Drain(drain)),
            (Key::Endpoint("s-1".into()), Value::Endpoint(9, endpoint_record())),
        ]
    }

    fn to_hex(bytes: &[u8]) -> String {
        bytes.iter().map(|b| format!("{b:02x}")).collect()
    }

    fn from_hex(text: &str) -> Vec<u8> {
        let digit = |n| u8::from_str_radix(&text[n..n + 2], 16).expect("hex digits");
        (0..text.len()).step_by(2).map(digit).collect()
    }

    #[test]
    fn encodes_and_decodes_cluster_frames_like_version_0() {
        let bodies = [
            Body::Swim(vec![1, 2, 3]),
            Body::Gossip(GossipMessage::Updates(entries())),
            Body::Gossip(GossipMessage::RootDigest(5)),
            Body::Gossip(GossipMessage::ChildDigests(vec![ChildSums {
                node: Node { level: 1, index: 2 },
                sums: vec![7; 16],
            }])),
            Body::Gossip(GossipMessage::RangeSummary(RangeSummary {
                first: 1,
                last: 2,
                entries: vec![EntrySum { key_hash: 3, sum: 4 }],
            })),
            Body::Gossip(GossipMessage::RequestEntries(vec![1, 2])),
            Body::Gossip(GossipMessage::TransferRequest(TransferRequest { lane: 1, first: 2, last: 3 })),
            Body::Gossip(GossipMessage::TransferChunk(TransferChunk {
                lane: 1,
                first: 2,
                entries: entries(),
                next: Some(3),
                sender_caught_up: true,
            })),
        ];
        let codec = FrameCodec::new("toy", &[vec![7; 32]]).expect("a key");
        let from = Member::new("a", "127.0.0.1:1".parse().expect("an address"), 9);
        let messages: Vec<Message> = bodies
            .into_iter()
            .map(|body| Message { from: from.clone(), incarnation: 7, number: 300, body })
            .collect();
        let frames: Vec<Vec<u8>> = messages.iter().map(|m| codec.encode(m).expect("small")).collect();
        assert_matches_fixture("frames.txt", &frames.iter().map(|f| to_hex(f) + "\n").collect::<String>());
        for (line, message) in fixture("frames.txt").lines().zip(&messages) {
            assert_eq!(codec.decode(&from_hex(line)).as_ref(), Ok(message));
        }
    }

    /// Restores a file from its fixture. The first line is the file's length; each further line holds the
    /// offset and the bytes of a part that is not all zero.
    fn unpack_sparse_file(text: &str) -> Vec<u8> {
        let (length, parts) = text.split_once('\n').expect("a length");
        let mut file = vec![0; length.parse().expect("a length")];
        for line in parts.lines() {
            let (offset, bytes) = line.split_once(' ').expect("an offset and bytes");
            let (offset, bytes) = (usize::from_str_radix(offset, 16).expect("an offset"), from_hex(bytes));
            file[offset..offset + bytes.len()].copy_from_slice(&bytes);
        }
        file
    }

    #[test]
    fn opens_a_state_file_of_version_0() {
        let folder = std::env::temp_dir().join(format!("foxhold-stored-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        std::fs::write(folder.join("foxhold-state.redb"), unpack_sparse_file(&fixture("store.txt")))
            .expect("a file");
        let (store, stored) = store::open(&folder, UNIX + 10).expect("a store");
        assert_eq!(stored.set_aside, None);
        assert_eq!((stored.saved_at, stored.incarnation), (UNIX + 5, UNIX + 10));
        let mut decoded = stored.entries;
        let mut expected = entries();
        decoded.sort_by(|a, b| a.0.cmp(&b.0));
        expected.sort_by(|a, b| a.0.cmp(&b.0));
        assert_eq!(decoded, expected);
        runtime.block_on(store.close(Duration::from_secs(5)));
        std::fs::remove_dir_all(&folder).expect("the folder");
    }
}
