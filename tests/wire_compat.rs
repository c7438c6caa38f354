//! The bytes that others read: written once by revision 752f85b, and the same since. Nothing here may change
//! with a renaming; the fixtures in `tests/fixtures/v0` are not written anew.

mod standin;

use bytes::BytesMut;
use foxhold::config::settings::{decode_connection_settings, parse_settings};
use foxhold::discovery::codec::{decode_line, WatchLine};
use foxhold::discovery::WatchChange;
use foxhold::dispatch::{AttemptId, Clock, DispatcherMessage, Endpoint, ResponseStatus, UpstreamRequest};
use foxhold::frontend::admin::{self, AdminEndpoint, ReloadCounters};
use foxhold::frontend::platform::PlatformFrontend;
use foxhold::frontend::serve::ShutdownPhase;
use foxhold::upstream::line_codec;
use foxhold::{CacheStatusLevel, Idempotency, KeyScope, Siblings};
use standin::*;
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

fn same_as_fixture(name: &str, actual: &str) {
    let expected = fixture(name);
    for (expected, actual) in expected.lines().zip(actual.lines()) {
        assert_eq!(actual, expected, "{name}");
    }
    assert_eq!(actual, expected, "{name}");
}

/// Bytes with the line ends made visible, one line for each of theirs.
fn visible(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    text.replace('\r', "\\r").split_inclusive('\n').map(|l| l.replace('\n', "\\n\n")).collect()
}

// ---- the line protocol ----

fn plain(id: &str, now: Instant) -> UpstreamRequest {
    let ticket = AttemptId { request: 1, attempt: 0 };
    standin::want(ticket, id, "videos", Vec::new(), now + Duration::from_millis(1500))
}

#[test]
fn requests_to_servers_are_written_byte_by_byte_as_before() {
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
        ..plain("0000000000000002", now)
    };
    let flags = [(true, false, false), (false, true, false), (false, false, true), (true, true, false)];
    let mut out = BytesMut::new();
    line_codec::write_request(&plain("0000000000000001", now), now, &mut out);
    line_codec::write_request(&full, now, &mut out);
    for (join, held_only, renew) in flags {
        let want = UpstreamRequest {
            fill_source: Some(source.clone()),
            cache_rank: 1,
            collapse: join,
            only_if_cached: held_only,
            revalidate: renew,
            ..plain("a", now)
        };
        line_codec::write_request(&want, now, &mut out);
    }
    line_codec::write_request(&UpstreamRequest { deadline: now, ..plain("late", now) }, now, &mut out);
    line_codec::write_cancel("0000000000000001", &mut out);
    line_codec::write_health_check("p7", &mut out);
    same_as_fixture("line-requests.txt", &visible(&out));
}

/// What an answer was read as; notes by their number.
fn answer(content: &line_codec::MessageContent) -> String {
    let reply = match content {
        line_codec::MessageContent::Health(report) => {
            return format!("health {} {:?}", report.healthy, report.load_report);
        }
        line_codec::MessageContent::Response(reply) => reply,
    };
    let verdict = match &reply.status {
        ResponseStatus::Ok(copy) => format!("copy {:?} {:?}", copy.etag, copy.body),
        ResponseStatus::NotModified(tag) => format!("unchanged {tag:?}"),
        ResponseStatus::Miss => "miss".into(),
        ResponseStatus::Rejected => "full".into(),
        ResponseStatus::Error => "error".into(),
        ResponseStatus::Expired => "too late".into(),
    };
    format!(
        "{verdict}, note {}, waited {}, load {:?}",
        reply.cache_status as u8, reply.source_wait, reply.load_report
    )
}

#[test]
fn answers_of_servers_are_read_as_before() {
    let notes = [
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
    for note in notes {
        text += &format!("a ACK tag=t1,lag=12.5,res={note},gauges=load:0.5;x1:1.25 5\r\nbytes\r\n");
    }
    for word in ["NOMOD", "NOENT", "AGAIN", "EIO", "STALE"] {
        text += &format!("b {word} tag=t2 0\r\n\r\n");
    }
    text += "p1 READY - 0\r\n\r\np2 READY\r\np3 AILING gauges=x0:0.25\r\np4 AILING - 0\r\n\r\n";
    let mut buffer = BytesMut::from(text.as_bytes());
    let (mut reader, mut read) = (line_codec::LineDecoder::default(), String::new());
    while let Some(message) = reader.next(&mut buffer).expect("good lines") {
        read += &format!("{} {}\n", message.id, answer(&message.content));
    }
    assert!(buffer.is_empty());
    same_as_fixture("line-answers.txt", &read);
    for bad in ["a ACK - x\r\n", "a WHAT - 0\r\n", "a ACK lag=x 0\r\n", " ACK - 0\r\n", "a\r\n", "a ACK -\n"]
    {
        let mut buffer = BytesMut::from(bad.as_bytes());
        assert!(line_codec::LineDecoder::default().next(&mut buffer).is_err(), "{bad:?}");
    }
}

// ---- discovery ----

/// What an event was read as; states by their number.
fn event(news: &WatchChange) -> String {
    let member = |listing: &Endpoint| {
        let Endpoint { name, address, zone, kind, cell, state, size, started_at: since } = listing;
        format!(" {name} {address} {zone} {kind} {cell} {} {size} {since}", *state as u8)
    };
    match news {
        WatchChange::Members { complete: full, members } => {
            format!("members {full}{}", members.iter().map(member).collect::<String>())
        }
        WatchChange::Purge { object, group, unix_ms: ms } => format!("purge {object:?} {group} {ms}"),
        WatchChange::Unknown => "other".into(),
    }
}

#[test]
fn discovery_lines_are_read_as_before() {
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
    let mut read = String::new();
    for line in lines {
        let line = decode_line(line.as_bytes()).expect("a good line");
        read += &match line {
            WatchLine::Heartbeat(rev) => format!("last {rev}\n"),
            WatchLine::Event(notice) => format!("{} {}\n", notice.revision, event(&notice.change)),
        };
    }
    same_as_fixture("discovery.txt", &read);
    for bad in [r#"{"rev":8,"flush":{"ms":1}}"#, "", "x", &complete.replace("in_service", "resting")] {
        assert!(decode_line(bad.as_bytes()).is_err(), "{bad}");
    }
}

// ---- clients and operators ----

const COPY: Manner = Manner::Says("ID ACK tag=aa,res=cached 5\r\nbytes\r\n");

/// The whole answer to one request, as it stood on the wire; what differs by chance is masked.
async fn raw(address: &str, request: &str) -> String {
    let response = send(address, request).await;
    let mut head = response.head;
    if let Some(at) = head.find("X-Wait-Ms: ") {
        let rest = head.split_off(at + "X-Wait-Ms: ".len());
        head += "N";
        head += rest.trim_start_matches(|c: char| c.is_ascii_digit());
    }
    visible(format!("{head}\r\n\r\n{}", String::from_utf8_lossy(&response.body)).as_bytes()) + "\n"
}

fn request(method: &str, target: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {target} HTTP/1.1\r\nHost: d\r\n{headers}\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
}

#[test]
#[allow(clippy::too_many_lines, reason = "a table: a request a line, which the admin endpoint counts")]
fn answers_to_clients_and_operators_are_byte_by_byte_as_before() {
    local(async {
        let ([cache, parent, origin], members) = trio(COPY).await;
        let core = start(settings(), Clock::system(), members);
        let front = serve(&core, PlatformFrontend(core.clone())).await;
        let (close, closing) = watch::channel(ShutdownPhase::Running);
        let reloads = Rc::new(ReloadCounters::default());
        let door = AdminEndpoint {
            dispatcher: core.clone(),
            requests_in_flight: Rc::new(Cell::new(2)),
            shutdown: closing,
            reloads: reloads.clone(),
            #[cfg(feature = "peers")]
            cluster: None,
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let admin = listener.local_addr().expect("an address").to_string();
        tokio::task::spawn_local(admin::accept(listener, door));
        let videos = "/ops/videos/7f3a9c21e0b4d655";
        let job = |id: u64| format!("X-Job-Id: {id:016x}\r\nX-Allow-Ms: 2900\r\n");
        let mut out = String::new();
        out += &raw(&front, &request("GET", "/alive", "", "")).await;
        out += &raw(&front, &request("GET", videos, &job(1), "")).await;
        out += &raw(&front, &request("GET", &format!("{videos}?block=3"), &job(2), "")).await;
        *cache.manner.borrow_mut() = Manner::Says("ID NOMOD tag=aa 0\r\n\r\n");
        let known = job(3) + "If-None-Match: \"aa\"\r\n";
        out += &raw(&front, &request("GET", videos, &known, "")).await;
        for server in [&cache, &parent, &origin] {
            *server.manner.borrow_mut() = Manner::Says("ID AGAIN - 0\r\n\r\n");
        }
        out += &raw(&front, &request("GET", videos, &job(4), "")).await;
        for server in [&cache, &parent, &origin] {
            *server.manner.borrow_mut() = Manner::Says("ID EIO - 0\r\n\r\n");
        }
        out += &raw(&front, &request("PUT", "/ops/filing/7f3a9c21e0b4d655", &job(5), "text")).await;
        for server in [&cache, &parent, &origin] {
            *server.manner.borrow_mut() = Manner::Silent;
        }
        let short = "X-Job-Id: 0000000000000006\r\nX-Allow-Ms: 200\r\n";
        out += &raw(&front, &request("GET", videos, short, "")).await;
        out += &raw(&front, &request("GET", "/ops/nothing/7f3a9c21e0b4d655", &job(7), "")).await;
        out += &raw(&front, &request("GET", videos, "X-Job-Id: x\r\n", "")).await;
        out += &raw(&front, &request("GET", videos, &(job(8) + "X-Family: 300\r\n"), "")).await;
        out += &raw(&front, &request("GET", videos, &job(9), "body")).await;
        out += &raw(&front, &request("POST", videos, &job(10), "")).await;
        out += &raw(&front, &request("GET", "/elsewhere", "", "")).await;
        same_as_fixture("client-answers.txt", &out);
        let sent: Vec<String> = cache.lines.borrow().clone();
        let words = |line: &String| line.split("ms=").next().map(str::to_owned);
        assert_eq!(
            sent.iter().filter_map(words).take(2).collect::<Vec<_>>(),
            [
                "want 0000000000000001 kind=videos,obj=7f3a9c21e0b4d655,",
                "want 0000000000000002 kind=videos,obj=7f3a9c21e0b4d655,seg=3,",
            ]
        );
        core.sender().send(DispatcherMessage::Members { full: true, members: Vec::new() }).await;
        reloads.failed.set(1);
        let mut calls = String::new();
        for call in ["check\n", "vars\r\n", "reboot\n", &"x".repeat(300)] {
            calls += &visible(without_attempts(&admin_call(&admin, call).await).as_bytes());
        }
        close.send(ShutdownPhase::CloseAfterResponse).expect("an admin endpoint");
        calls += &visible(admin_call(&admin, "check\n").await.as_bytes());
        same_as_fixture("admin-answers.txt", &calls);
    });
}

/// Figures without the number of attempts, which goes by how fast the servers answered.
fn without_attempts(answer: &str) -> String {
    let Some((before, rest)) = answer.split_once("\"attempts\":") else { return answer.into() };
    let rest = rest.trim_start_matches(|c: char| c.is_ascii_digit());
    format!("{before}\"attempts\":N{rest}")
}

async fn admin_call(address: &str, call: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("an admin endpoint");
    stream.write_all(call.as_bytes()).await.expect("a reader");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("text");
    answer
}

// ---- settings ----

/// The numbers and texts in a value's debug form, without the names of types and fields.
fn values<T: std::fmt::Debug + ?Sized>(value: &T) -> String {
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
#[allow(clippy::too_many_lines, reason = "a table: a key of the settings a line")]
fn settings_are_read_as_before() {
    let text = fixture("settings.json");
    let settings = parse_settings(&text).expect("good settings");
    let value = miniserde::json::from_str(&text).expect("JSON");
    let transport = decode_connection_settings(&value).expect("good settings");
    let mut read = String::new();
    let mut line = |name: &str, value: &dyn std::fmt::Debug| read += &format!("{name}: {}\n", values(value));
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
    line("bounds.connectTimeoutMs", &transport.connect_timeout.as_millis());
    line("bounds.connIdleMs", &transport.idle_timeout.as_millis());
    line("bounds.streamsPerConn", &transport.max_streams);
    for class in &settings.classes {
        let keyed = match class.idempotency {
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
        line("services[].effect, windowMs, keyScope", &keyed);
        line("familyInfo.lifetimeByClassMs", &class.freshness_lifetime);
        line("familyInfo.classGraceMs", &class.stale_grace);
        line("familyInfo.worthWhenOld", &class.stale_weight_share);
        line("familyInfo.passOn", &u8::from(class.write));
    }
    same_as_fixture("settings.txt", &read);
}

// ---- what directors send and store ----

#[cfg(feature = "peers")]
mod directors {
    use super::{fixture, same_as_fixture};
    use foxhold::cluster::frame::{Body, FrameCodec, Message};
    use foxhold::cluster::members::Member;
    use foxhold::cluster::store;
    use foxhold::replication::digest::{ChildSums, EntrySum, Node};
    use foxhold::replication::entry::{DrainRecord, EndpointRecord, EndpointState, Incarnation, Key, Value};
    use foxhold::replication::gossip::{GossipMessage, RangeSummary, TransferChunk, TransferRequest};
    use std::time::Duration;

    const UNIX: u64 = 1_764_576_000_000_000;

    fn place() -> EndpointRecord {
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
        let words = DrainRecord {
            started_at: UNIX,
            drains_by_incarnation: [(Incarnation(1), 2), (Incarnation(7), 1)].into(),
            undrains_by_incarnation: [(Incarnation(1), 1)].into(),
        };
        vec![
            (Key::Object("aa".into()), Value::Purged(UNIX)),
            (Key::Group(5), Value::Purged(UNIX + 1)),
            (Key::Drain("s-1".into()), Value::Drain(words)),
            (Key::Endpoint("s-1".into()), Value::Endpoint(9, place())),
        ]
    }

    fn hex(bytes: &[u8]) -> String {
        bytes.iter().map(|b| format!("{b:02x}")).collect()
    }

    fn unhex(text: &str) -> Vec<u8> {
        let digit = |n| u8::from_str_radix(&text[n..n + 2], 16).expect("hex digits");
        (0..text.len()).step_by(2).map(digit).collect()
    }

    #[test]
    fn frames_among_directors_are_byte_by_byte_as_before() {
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
        let seal = FrameCodec::new("toy", &[vec![7; 32]]).expect("a key");
        let from = Member::new("a", "127.0.0.1:1".parse().expect("an address"), 9);
        let messages: Vec<Message> = bodies
            .into_iter()
            .map(|body| Message { from: from.clone(), incarnation: 7, number: 300, body })
            .collect();
        let frames: Vec<Vec<u8>> = messages.iter().map(|m| seal.encode(m).expect("small")).collect();
        same_as_fixture("frames.txt", &frames.iter().map(|f| hex(f) + "\n").collect::<String>());
        for (line, message) in fixture("frames.txt").lines().zip(&messages) {
            assert_eq!(seal.decode(&unhex(line)).as_ref(), Ok(message));
        }
    }

    /// The file: its length, and a line for each part that is not all zero, with its place and its bytes.
    fn unpack(text: &str) -> Vec<u8> {
        let (length, pages) = text.split_once('\n').expect("a length");
        let mut file = vec![0; length.parse().expect("a length")];
        for line in pages.lines() {
            let (at, bytes) = line.split_once(' ').expect("a place and bytes");
            let (at, bytes) = (usize::from_str_radix(at, 16).expect("a place"), unhex(bytes));
            file[at..at + bytes.len()].copy_from_slice(&bytes);
        }
        file
    }

    #[test]
    fn a_stored_state_of_before_is_opened_and_read() {
        let folder = std::env::temp_dir().join(format!("foxhold-stored-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        std::fs::write(folder.join("foxhold-state.redb"), unpack(&fixture("store.txt"))).expect("a file");
        let (store, stored) = store::open(&folder, UNIX + 10).expect("a store");
        assert_eq!(stored.set_aside, None);
        assert_eq!((stored.saved_at, stored.incarnation), (UNIX + 5, UNIX + 10));
        let mut read = stored.entries;
        let mut expected = entries();
        read.sort_by(|a, b| a.0.cmp(&b.0));
        expected.sort_by(|a, b| a.0.cmp(&b.0));
        assert_eq!(read, expected);
        runtime.block_on(store.close(Duration::from_secs(5)));
        std::fs::remove_dir_all(&folder).expect("the folder");
    }
}
