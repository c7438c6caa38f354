//! The frontend for signed URLs on loopback, with emulated servers, and its counters of outcomes.

mod emulated;

use base64::{engine::general_purpose::URL_SAFE, Engine};
use emulated::*;
use foxhold::discovery::watched_file::WatchedFile;
use foxhold::dispatch::{Clock, Dispatcher, DispatcherMessage};
use foxhold::frontend::metrics::MetricsFrontend;
use foxhold::frontend::signed::{follow_keys, parse_keys, SignedUrlFrontend};
use foxhold::policy::types::Micros;
use foxhold::signed::OutcomeCounters;
use hmac::{Hmac, KeyInit, Mac};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

const SECRET: &[u8] = b"0123456789abcdef0123456789abcdef";
const NOW: u64 = 1_764_576_000;

struct Deployment {
    dispatcher: Dispatcher,
    cache: EmulatedServer,
    parent: EmulatedServer,
    origin: EmulatedServer,
    address: String,
    counts: Arc<OutcomeCounters>,
}

/// Starts a director whose clock is `clock_offset` microseconds ahead of the issuer's, and servers of the
/// same behavior.
async fn start_deployment(behavior: ServerBehavior, clock_offset: i64) -> Deployment {
    let ([cache, parent, origin], members) = start_cache_parent_origin(behavior).await;
    let clock = Clock::starting_at((NOW * 1_000_000).saturating_add_signed(clock_offset));
    let dispatcher = start(settings(), clock, members);
    let secret = URL_SAFE.encode(SECRET);
    let file = format!(
        r#"{{"scheme":"http","keys":[{{"name":"u1","alg":"HMAC-SHA1","key":"{secret}"}},
        {{"name":"t1","alg":"HS256","key":"{secret}"}}]}}"#
    );
    let keys = watch::channel(Arc::new(parse_keys(&file).expect("valid keys"))).1;
    let counts = Arc::new(OutcomeCounters::default());
    let frontend = SignedUrlFrontend { dispatcher: dispatcher.clone(), keys, clock, counts: counts.clone() };
    let address = serve(&dispatcher, frontend).await;
    Deployment { dispatcher, cache, parent, origin, address, counts }
}

impl Deployment {
    fn attempts(&self) -> usize {
        [&self.cache, &self.parent, &self.origin].iter().map(|s| s.requests().len()).sum()
    }

    async fn get(&self, target: &str) -> Response {
        self.send("GET", target, "").await
    }

    async fn send(&self, method: &str, target: &str, body: &str) -> Response {
        let length = body.len();
        let request = format!(
            "{method} {target} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\
             Content-Length: {length}\r\n\r\n{body}",
            self.address
        );
        send_request_text(&self.address, &request).await
    }

    /// Returns a signed link, made as its issuer makes it, that expires at this Unix time in seconds.
    fn signed_link(&self, path: &str, expires: u64) -> String {
        let target = format!("{path}?Expires={expires}&KeyName=u1");
        let mut mac = Hmac::<sha1::Sha1>::new_from_slice(SECRET).expect("a key");
        mac.update(format!("http://{}{target}", self.address).as_bytes());
        format!("{target}&Signature={}", URL_SAFE.encode(mac.finalize().into_bytes()))
    }

    /// Returns the path with a signed token that carries these claims.
    fn signed_token(&self, path: &str, claims: &str) -> String {
        let encode = |text: &str| URL_SAFE.encode(text).trim_end_matches('=').to_owned();
        let body = format!("{}.{}", encode(r#"{"alg":"HS256"}"#), encode(claims));
        let mut mac = Hmac::<sha2::Sha256>::new_from_slice(SECRET).expect("a key");
        mac.update(body.as_bytes());
        let signature = URL_SAFE.encode(mac.finalize().into_bytes());
        format!("{path}?URISigningPackage={body}.{}", signature.trim_end_matches('='))
    }

    /// Asserts that this outcome was counted this many times, and no other.
    fn assert_counted(&self, outcome: &str, times: u64) {
        assert_eq!(self.counts.get(outcome), times, "{outcome}: {}", self.counts.to_prometheus());
        let total: u64 = self
            .counts
            .to_prometheus()
            .lines()
            .filter_map(|l| l.rsplit_once(' ')?.1.parse::<u64>().ok())
            .sum();
        assert_eq!(total, times, "no other outcome expected: {}", self.counts.to_prometheus());
    }
}

const COPY: ServerBehavior = ServerBehavior::Responds("ID ACK tag=aa,minted=1,res=cached 5\r\nbytes\r\n");
const SECOND: i64 = 1_000_000;

#[test]
fn a_valid_link_is_served_and_its_credential_is_not_forwarded() {
    run_local(async {
        let deployment = start_deployment(COPY, 0).await;
        let answer = deployment.get(&deployment.signed_link("/videos/guide/one.mp4", NOW + 60)).await;
        assert_eq!((answer.status, &answer.body[..]), (200, &b"bytes"[..]));
        assert_eq!(answer.header("etag"), Some("\"aa\""));
        let wants = deployment.cache.requests();
        assert!(wants[0].contains("kind=videos,obj=guide/one.mp4,ms="), "{wants:?}");
        assert!(!wants[0].contains("Signature"), "{wants:?}");
        deployment.assert_counted("served", 1);
        assert_eq!(
            deployment
                .get(&deployment.signed_token("/videos/a", r#"{"cdniuc":"regex:.*/videos/a"}"#))
                .await
                .status,
            200
        );
        deployment.assert_counted("served", 2);
    });
}

#[test]
fn forged_expired_early_and_malformed_links_get_403_and_are_counted_separately() {
    run_local(async {
        let early_claims = format!(r#"{{"cdniuc":"regex:.*","nbf":{}}}"#, NOW + 600);
        type Target<'a> = &'a dyn Fn(&Deployment) -> String;
        let cases: [(&str, Target); 5] = [
            ("forged", &|s| s.signed_link("/videos/a", NOW + 60).replace("videos/a", "videos/b")),
            ("expired", &|s| s.signed_link("/videos/a", NOW - 60)),
            ("not_yet_valid", &|s| s.signed_token("/videos/a", &early_claims)),
            ("malformed", &|s| s.signed_link("/videos/a", NOW + 60) + "&Expires=9"),
            ("malformed", &|_| "/videos/a".into()),
        ];
        for (outcome, target) in cases {
            let deployment = start_deployment(COPY, 0).await;
            assert_eq!(
                deployment.get(&target(&deployment)).await.status,
                403,
                "status of a link that is {outcome}"
            );
            deployment.assert_counted(outcome, 1);
            assert_eq!(deployment.attempts(), 0, "attempts for a link that is {outcome}");
        }
    });
}

#[test]
fn a_clock_offset_below_the_allowed_skew_does_not_affect_validity() {
    // The link expires at NOW and the token becomes valid at NOW; the director's clock is ahead or behind.
    for (clock_offset, link_status, token_status) in
        [(4 * SECOND, 200, 200), (5 * SECOND, 403, 200), (-4 * SECOND, 200, 200), (-6 * SECOND, 200, 403)]
    {
        run_local(async {
            let deployment = start_deployment(COPY, clock_offset).await;
            assert_eq!(
                deployment.get(&deployment.signed_link("/videos/a", NOW)).await.status,
                link_status,
                "link with a clock offset of {clock_offset} us"
            );
            let claims = format!(r#"{{"cdniuc":"regex:.*","nbf":{NOW}}}"#);
            assert_eq!(
                deployment.get(&deployment.signed_token("/videos/a", &claims)).await.status,
                token_status,
                "token with a clock offset of {clock_offset} us"
            );
            assert_eq!(
                deployment.counts.get("served"),
                u64::from(link_status == 200) + u64::from(token_status == 200)
            );
            assert_eq!(deployment.counts.get("expired"), u64::from(link_status == 403));
            assert_eq!(deployment.counts.get("not_yet_valid"), u64::from(token_status == 403));
        });
    }
}

#[test]
fn a_request_whose_link_expires_while_it_is_pending_gets_a_403_and_is_cancelled() {
    run_local(async {
        // 300 ms remain of the five seconds of allowed skew.
        let deployment = start_deployment(ServerBehavior::Silent, 4_700_000).await;
        assert_eq!(deployment.get(&deployment.signed_link("/videos/a", NOW)).await.status, 403);
        deployment.assert_counted("expired", 1);
        assert_eq!(deployment.attempts(), 1);
        while !deployment.cache.lines.borrow().iter().any(|l| l.starts_with("never_mind ")) {
            tokio::task::yield_now().await;
        }
    });
}

#[test]
fn a_write_whose_link_expires_after_it_was_sent_is_counted_as_unknown() {
    run_local(async {
        let deployment = start_deployment(ServerBehavior::Silent, 4_700_000).await;
        let answer = deployment.send("PUT", &deployment.signed_link("/filing/a", NOW), "a filing").await;
        assert_eq!((answer.status, answer.header("retry-after")), (504, None));
        deployment.assert_counted("expired_unknown", 1);
        assert_eq!(deployment.attempts(), 1);
    });
}

#[test]
fn slow_failing_and_rejecting_servers_each_give_their_status() {
    for (behavior, method, path, status, outcome, retry) in [
        (ServerBehavior::Responds(""), "GET", "/videos/a", 504, "deadline", false),
        (ServerBehavior::ClosesConnection, "PUT", "/filing/a", 502, "upstream", false),
        (ServerBehavior::BreaksOffResponse, "GET", "/videos/a", 502, "upstream", true),
        (ServerBehavior::Responds("ID EIO - 0\r\n\r\n"), "PUT", "/filing/a", 502, "upstream", false),
        (ServerBehavior::Responds("ID AGAIN - 0\r\n\r\n"), "GET", "/videos/a", 503, "refused", true),
    ] {
        run_local(async {
            let deployment = start_deployment(behavior.clone(), 0).await;
            let answer = deployment.send(method, &deployment.signed_link(path, NOW + 60), "").await;
            assert_eq!(answer.status, status, "status with {behavior:?}");
            assert_eq!(answer.header("retry-after").is_some(), retry, "{behavior:?}: {answer:?}");
            deployment.assert_counted(outcome, 1);
        });
    }
}

#[test]
fn a_valid_link_to_an_invalid_target_is_counted_as_a_bad_request() {
    run_local(async {
        let deployment = start_deployment(COPY, 0).await;
        for (path, status) in
            [("/nothing/a", 404), ("/videos/", 400), ("/videos/../filing/a", 400), ("/filing/a", 405)]
        {
            assert_eq!(
                deployment.get(&deployment.signed_link(path, NOW + 60)).await.status,
                status,
                "{path}"
            );
        }
        deployment.assert_counted("bad_request", 4);
        assert_eq!(deployment.attempts(), 0);
    });
}

#[test]
fn the_outcome_counters_are_served_at_the_metrics_path() {
    run_local(async {
        let counts = Arc::new(OutcomeCounters::default());
        counts.increment("forged");
        let dispatcher = start(settings(), Clock::starting_at(1 as Micros), Vec::new());
        let address = serve(&dispatcher, MetricsFrontend(counts)).await;
        let answer =
            send_request_text(&address, "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                .await;
        let text = String::from_utf8(answer.body).expect("text");
        assert!(text.contains("foxhold_signed_responses_total{outcome=\"forged\"} 1\n"), "{text}");
    });
}

#[test]
fn servers_that_refuse_connections_give_a_502_with_retry_after() {
    run_local(async {
        let unused = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = unused.local_addr().expect("a bound address").to_string();
        let deployment = start_deployment(COPY, 0).await;
        drop(unused);
        let member = |name, zone, kind| endpoint_listing(name, &address, zone, kind);
        let members = vec![
            member("s-cache", "edge", "cache"),
            member("s-parent", "hub", "parent"),
            member("s-origin", "hub", "origin"),
        ];
        deployment.dispatcher.sender().send(DispatcherMessage::Members { full: true, members }).await;
        for (method, path) in [("GET", "/videos/a"), ("PUT", "/filing/a")] {
            let answer = deployment.send(method, &deployment.signed_link(path, NOW + 60), "").await;
            assert_eq!(answer.status, 502, "{method}");
            // No request ran, so that even a write may be retried.
            assert!(answer.header("retry-after").is_some(), "{method}: {answer:?}");
        }
        deployment.assert_counted("upstream", 2);
        assert_eq!(deployment.attempts(), 0);
    });
}

#[test]
fn keys_are_replaced_at_run_time_and_an_invalid_file_is_ignored() {
    let path = std::env::temp_dir().join(format!("foxhold-keys-{}.json", std::process::id()));
    let key_file = |name: &str| {
        let key = URL_SAFE.encode(SECRET);
        format!(r#"{{"scheme":"http","keys":[{{"name":"{name}","alg":"HMAC-SHA1","key":"{key}"}}]}}"#)
    };
    std::fs::write(&path, key_file("u0")).expect("a writable file");
    run_with_paused_clock(async {
        let (watched, first) = WatchedFile::open(path.clone(), parse_keys).expect("a valid file");
        let (sender, keys) = watch::channel(Arc::new(first));
        tokio::task::spawn_local(follow_keys(watched, sender));
        let current_keys = || format!("{:?}", keys.borrow());
        for (text, expected) in
            [("{".to_owned(), "u0"), (key_file("u1"), "u1"), (key_file("u1").replace("SHA1", "X"), "u1")]
        {
            std::fs::write(&path, text).expect("a writable file");
            tokio::time::sleep(Duration::from_secs(1)).await;
            assert!(current_keys().contains(&format!("[\"{expected}\"]")), "{}", current_keys());
        }
    });
    std::fs::remove_file(&path).expect("the file");
}
