//! The platform's frontend on loopback, with real clients and emulated servers.

mod emulated;

use emulated::*;
use foxhold::dispatch::{ClientResponse, Clock, FailureReason};
use foxhold::frontend::platform::PlatformFrontend;
use foxhold::frontend::serve::{Frontend, ShutdownPhase};
use foxhold::policy::types::Settings;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

struct Site {
    cache: EmulatedServer,
    parent: EmulatedServer,
    origin: EmulatedServer,
    address: String,
}

async fn start_site(behavior: ServerBehavior) -> Site {
    let ([cache, parent, origin], members) = start_cache_parent_origin(behavior).await;
    let dispatcher = start(settings(), Clock::system(), members);
    let address = serve(&dispatcher, PlatformFrontend(dispatcher.clone())).await;
    Site { cache, parent, origin, address }
}

fn get_request(object: &str, extra_headers: &str) -> String {
    format!(
        "GET /ops/videos/{object}?block=3 HTTP/1.1\r\nHost: a\r\nX-Job-Id: 9b1f03aa5c7e2d41\r\n\
         X-Allow-Ms: 1000\r\nX-Family: 17\r\nConnection: close\r\n{extra_headers}\r\n"
    )
}

fn put_request(body: &str) -> String {
    format!(
        "PUT /ops/filing/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Job-Id: 9b1f03aa5c7e2d42\r\n\
         X-Allow-Ms: 800\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

const SERVED: ServerBehavior =
    ServerBehavior::Responds("ID ACK tag=4be0c1927d55a6f3,minted=1,res=cached 5\r\nbytes\r\n");

#[test]
fn a_hit_forwards_id_class_object_part_and_bytes_unchanged() {
    run_local(async {
        let site = start_site(SERVED).await;
        let response = send_request_text(&site.address, &get_request("7f3a9c21e0b4d655", "")).await;
        assert_eq!((response.status, &response.body[..]), (200, &b"bytes"[..]));
        assert_eq!(response.header("etag"), Some("\"4be0c1927d55a6f3\""));
        let wants = site.cache.requests();
        assert_eq!(wants.len(), 1);
        let fields = "want 9b1f03aa5c7e2d41 kind=videos,obj=7f3a9c21e0b4d655,seg=3,ms=";
        assert!(wants[0].starts_with(fields), "{wants:?}");
        assert!(wants[0].contains(",via=s-parent,tier=1 0"), "{wants:?}");
        assert!(site.parent.requests().is_empty() && site.origin.requests().is_empty());
    });
}

#[test]
fn a_client_with_a_current_copy_gets_a_304_without_a_body() {
    run_local(async {
        let site = start_site(ServerBehavior::Responds("ID NOMOD tag=aa,res=cached 0\r\n\r\n")).await;
        let response =
            send_request_text(&site.address, &get_request("7f3a9c21e0b4d655", "If-None-Match: \"aa\"\r\n"))
                .await;
        assert_eq!((response.status, response.body.len()), (304, 0));
        assert_eq!(response.header("etag"), Some("\"aa\""));
        assert!(site.cache.requests()[0].contains(",known=aa "), "{:?}", site.cache.requests());
    });
}

/// Guards against losing the client's idempotency key, by which servers recognize a retry and discard it:
/// without the key such a class can't be served.
#[test]
fn a_clients_idempotency_key_is_forwarded_unchanged_and_none_is_generated() {
    run_local(async {
        let site = start_site(SERVED).await;
        let put_with =
            |header: &str| put_request("x").replace("Content-Length", &format!("{header}Content-Length"));
        assert_eq!(send_request_text(&site.address, &put_with("X-Unique: k-17f\r\n")).await.status, 200);
        assert_eq!(send_request_text(&site.address, &put_with("")).await.status, 200);
        let wants = site.origin.requests();
        assert!(wants[0].contains(",token=k-17f "), "{wants:?}");
        assert!(!wants[1].contains("token"), "{wants:?}");
        // A key that no server can parse would cost the connection, and two keys would be ambiguous.
        for bad in ["X-Unique: a,b=c\r\n", "X-Unique: a\r\nX-Unique: b\r\n", "X-Unique:\r\n"] {
            assert_eq!(send_request_text(&site.address, &put_with(bad)).await.status, 400, "{bad}");
        }
        assert_eq!(site.origin.requests().len(), 2);
    });
}

#[test]
fn a_rejection_is_immediate_and_says_when_to_retry() {
    run_local(async {
        let site = start_site(ServerBehavior::Responds("ID AGAIN - 0\r\n\r\n")).await;
        let started = Instant::now();
        let response = send_request_text(&site.address, &get_request("7f3a9c21e0b4d655", "")).await;
        assert_eq!(response.status, 503);
        let wait: u64 = response.header("x-wait-ms").expect("a retry delay").parse().expect("a number");
        assert!((400..=1000).contains(&wait), "a delay of {wait} ms");
        assert!(started.elapsed() < Duration::from_millis(700), "the rejection took {:?}", started.elapsed());
    });
}

#[test]
fn a_write_that_may_have_run_is_sent_once_and_not_reported_as_safe_to_retry() {
    for behavior in [
        ServerBehavior::ClosesConnection,
        ServerBehavior::BreaksOffResponse,
        ServerBehavior::Silent,
        ServerBehavior::Responds("ID EIO - 0\r\n\r\n"),
    ] {
        run_local(async {
            let site = start_site(behavior.clone()).await;
            let response = send_request_text(&site.address, &put_request("a filing")).await;
            let sent =
                site.cache.requests().len() + site.parent.requests().len() + site.origin.requests().len();
            assert_eq!(sent, 1, "attempts with {behavior:?}");
            assert!(matches!(response.status, 502 | 504), "{behavior:?}: {response:?}");
        });
    }
}

#[test]
fn a_write_that_was_not_sent_is_rejected_as_safe_to_retry() {
    run_local(async {
        let unused = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = unused.local_addr().expect("a bound address").to_string();
        drop(unused); // no socket listens on the address any more
        let members = vec![endpoint_listing("s-origin", &address, "hub", "origin")];
        let dispatcher = start(settings(), Clock::system(), members);
        let address = serve(&dispatcher, PlatformFrontend(dispatcher.clone())).await;
        assert_eq!(send_request_text(&address, &put_request("a filing")).await.status, 503);
    });
}

#[test]
fn an_interrupted_read_is_retried_at_another_server_and_never_partially_served() {
    for behavior in [ServerBehavior::ClosesConnection, ServerBehavior::BreaksOffResponse] {
        run_local(async {
            let site = start_site(SERVED).await;
            *site.cache.behavior.borrow_mut() = behavior;
            let response = send_request_text(&site.address, &get_request("7f3a9c21e0b4d655", "")).await;
            assert_eq!((response.status, &response.body[..]), (200, &b"bytes"[..]));
        });
    }
}

#[test]
fn the_attempt_of_a_client_that_disconnects_is_cancelled() {
    run_local(async {
        let site = start_site(ServerBehavior::Silent).await;
        let mut stream = TcpStream::connect(&site.address).await.expect("a listener");
        stream.write_all(get_request("7f3a9c21e0b4d655", "").as_bytes()).await.expect("a connected peer");
        while site.cache.requests().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        drop(stream);
        let is_cancelled = || site.cache.lines.borrow().iter().any(|l| l == "never_mind 9b1f03aa5c7e2d41");
        while !is_cancelled() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

#[test]
fn a_malformed_request_is_answered_and_its_connection_closed() {
    run_local(async {
        let site = start_site(SERVED).await;
        let long = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(20_000));
        let cases = [
            ("GET\r\n\r\n", 400),
            ("GET / HTTP/1.1\r\nbad header\r\n\r\n", 400),
            ("PUT /ops/filing/a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
            ("PUT /ops/filing/a HTTP/1.1\r\nContent-Length: 48001\r\n\r\n", 413),
            ("PUT /ops/filing/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 501),
            (&long, 431),
            ("GET /ops/videos/a HTTP/1.1\r\nConnection: close\r\n\r\n", 400),
            ("GET /ops/nothing/a HTTP/1.1\r\nConnection: close\r\n\r\n", 404),
            ("PUT /ops/videos/a HTTP/1.1\r\nConnection: close\r\n\r\n", 405),
            ("GET /alive HTTP/1.1\r\nConnection: close\r\n\r\n", 200),
        ];
        for (request, status) in cases {
            assert_eq!(send_request_text(&site.address, request).await.status, status, "{:.60}", request);
        }
        assert!(site.cache.requests().is_empty());
    });
}

#[test]
fn a_connection_serves_pipelined_requests() {
    run_local(async {
        let site = start_site(SERVED).await;
        let mut stream = TcpStream::connect(&site.address).await.expect("a listener");
        let both = get_request("7f3a9c21e0b4d655", "").replace("Connection: close\r\n", "").repeat(2);
        stream.write_all(both.as_bytes()).await.expect("a connected peer");
        let mut bytes = Vec::new();
        while bytes.windows(5).filter(|w| w == b"bytes").count() < 2 {
            assert!(
                stream.read_buf(&mut bytes).await.expect("an answer") > 0,
                "the connection closed before both responses"
            );
        }
    });
}

#[test]
fn a_malformed_response_closes_only_its_connection() {
    run_local(async {
        let site = start_site(SERVED).await;
        *site.cache.behavior.borrow_mut() = ServerBehavior::Responds("ID WHAT - 0\r\n\r\n");
        assert_eq!(
            send_request_text(&site.address, &get_request("7f3a9c21e0b4d655", "")).await.status,
            200,
            "the retry at another server is served"
        );
        *site.cache.behavior.borrow_mut() = SERVED;
        assert_ne!(send_request_text(&site.address, &get_request("00000000000000aa", "")).await.status, 409);
    });
}

#[test]
fn a_partially_received_request_is_still_answered_during_shutdown() {
    run_local(async {
        let cache = EmulatedServer::start(SERVED).await;
        let dispatcher =
            start(settings(), Clock::system(), vec![cache.endpoint_listing("s-cache", "edge", "cache")]);
        let (shutdown_sender, shutdown) = tokio::sync::watch::channel(ShutdownPhase::Running);
        let address = serve_until(&dispatcher, PlatformFrontend(dispatcher.clone()), shutdown).await;
        let request = get_request("7f3a9c21e0b4d655", "").replace("Connection: close\r\n", "");
        let mut idle = TcpStream::connect(&address).await.expect("a listener");
        let mut partial = TcpStream::connect(&address).await.expect("a listener");
        partial.write_all(&request.as_bytes()[..20]).await.expect("a connected peer");
        tokio::time::sleep(Duration::from_millis(50)).await; // until the director has received it
        shutdown_sender.send(ShutdownPhase::CloseIdle).expect("a frontend");
        assert_eq!(idle.read(&mut [0]).await.expect("a closed connection"), 0, "idle connections are closed");
        partial.write_all(&request.as_bytes()[20..]).await.expect("a connected peer");
        let mut response = String::new();
        partial.read_to_string(&mut response).await.expect("a response and the close");
        assert!(
            response.starts_with("HTTP/1.1 200 ") && response.contains("Connection: close"),
            "{response}"
        );
    });
}

/// Guards against idle connections that occupy all slots while clients with requests wait to be accepted.
#[test]
fn idle_connections_are_evicted_for_clients_with_requests_and_closed_in_time() {
    run_local(async {
        let site = start_site(SERVED).await;
        let started = Instant::now();
        let mut idle = Vec::new();
        for n in 0..300 {
            idle.push(TcpStream::connect(&site.address).await.expect("a listener"));
            if n % 50 == 49 {
                let sent_at = Instant::now();
                assert_eq!(
                    send_request_text(&site.address, &get_request("7f3a9c21e0b4d655", "")).await.status,
                    200
                );
                assert!(
                    sent_at.elapsed() < Duration::from_millis(500),
                    "the response took {:?}",
                    sent_at.elapsed()
                );
            }
        }
        // Connections that stay open after a first request are evicted as well.
        for n in 0..300 {
            let mut stream = TcpStream::connect(&site.address).await.expect("a listener");
            let request = get_request(&format!("{n:016x}"), "").replace("Connection: close\r\n", "");
            stream.write_all(request.as_bytes()).await.expect("a connected peer");
            assert_eq!(stream.read(&mut [0; 12]).await.expect("an answer"), 12);
            idle.push(stream);
        }
        for mut stream in idle.into_iter().take(300) {
            let _ = stream.read(&mut [0; 1]).await; // closed or reset
        }
        assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
    });
}

/// Guards against a request that never ends, and against one that hides another in its body (request
/// smuggling).
#[test]
fn a_request_of_ambiguous_or_excessive_length_is_rejected_and_its_connection_closed() {
    run_local(async {
        let site = start_site(SERVED).await;
        let hidden = get_request("7f3a9c21e0b4d655", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n");
        let hidden = hidden.replace("Connection: close\r\n", "") + "0\r\n\r\n" + &get_request("aa", "");
        let two = get_request("7f3a9c21e0b4d655", "Content-Length: 1\r\nContent-Length: 2\r\n");
        let large = get_request("7f3a9c21e0b4d655", "Content-Length: 60000000\r\n");
        let endless = "GET / HTTP/1.1\r\nX: ".to_owned() + &"x".repeat(20_000);
        for (request, status) in [(hidden, 400), (two, 400), (large, 413), (endless, 431)] {
            assert_eq!(send_request_text(&site.address, &request).await.status, status, "{request}");
        }
        let started = Instant::now();
        assert_eq!(
            send_request_text(&site.address, "GET /ops/videos/aa HTTP/1.1\r\nX-Job").await.status,
            408
        );
        assert!(started.elapsed() < Duration::from_millis(2500), "{:?}", started.elapsed());
        assert!(site.cache.requests().is_empty());
    });
}

/// Guards against forwarding values that a server can't use or parse, which would cost an attempt or a
/// connection.
#[test]
fn invalid_values_are_rejected_and_not_forwarded() {
    run_local(async {
        let site = start_site(SERVED).await;
        let good = get_request("7f3a9c21e0b4d655", "X-Ram-Kb: 12.5\r\n");
        for (from, to) in [
            ("X-Allow-Ms: 1000", "X-Allow-Ms: NaN"),
            ("X-Allow-Ms: 1000", "X-Allow-Ms: 1e300"),
            ("X-Family: 17", "X-Family: 256"),
            ("X-Family: 17", "X-Family: 1.5"),
            ("X-Ram-Kb: 12.5", "X-Ram-Kb: inf"),
            ("X-Ram-Kb: 12.5", "X-Ram-Kb: -1"),
            ("block=3", "block=-3"),
            ("block=3", "block=99999999999"),
            ("X-Job-Id: 9b1f03aa5c7e2d41", "X-Job-Id: short"),
            ("X-Job-Id: 9b1f03aa5c7e2d41\r\n", ""),
            ("7f3a9c21e0b4d655?", "7f,kind=filing?"),
            ("\r\n\r\n", "\r\nContent-Length: 2\r\n\r\nhi"),
        ] {
            let request = good.replacen(from, to, 1);
            assert_ne!(request, good, "{from}");
            assert_eq!(send_request_text(&site.address, &request).await.status, 400, "{to}");
        }
        assert!(site.cache.requests().is_empty());
        assert_eq!(send_request_text(&site.address, &good).await.status, 200);
    });
}

/// Guards against a second request with the same id affecting the first, which is answered as if it were
/// alone.
#[test]
fn a_duplicate_of_a_pending_request_is_rejected_and_the_first_continues() {
    run_local(async {
        let site = start_site(ServerBehavior::Responds("")).await;
        let address = site.address.clone();
        let first = tokio::task::spawn_local(async move {
            send_request_text(&address, &get_request("7f3a9c21e0b4d655", "")).await
        });
        while site.cache.requests().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(send_request_text(&site.address, &get_request("00000000000000aa", "")).await.status, 409);
        assert_eq!(first.await.expect("an answer").status, 503);
        *site.cache.behavior.borrow_mut() = SERVED;
        assert_ne!(send_request_text(&site.address, &get_request("00000000000000aa", "")).await.status, 409);
    });
}

/// Guards against a 304 to a client though no server has confirmed the ETag of the client's copy.
#[test]
fn a_not_modified_response_with_another_etag_or_none_is_invalid() {
    for response in ["ID NOMOD tag=bb,res=cached 0\r\n\r\n", "ID NOMOD res=cached 0\r\n\r\n"] {
        run_local(async {
            let site = start_site(ServerBehavior::Responds(response)).await;
            let response = send_request_text(
                &site.address,
                &get_request("7f3a9c21e0b4d655", "If-None-Match: \"aa\"\r\n"),
            )
            .await;
            assert!(![200, 304].contains(&response.status), "{response:?}");
        });
    }
}

/// Guards against a retry delay that clients don't follow: at some sites they follow only a shorter one, or
/// none.
#[test]
fn the_retry_delay_of_a_rejection_is_capped_at_the_configured_maximum_and_omitted_if_disabled() {
    run_local(async {
        let ([_cache, ..], members) = start_cache_parent_origin(SERVED).await;
        for (retry_after, max_retry_after, expected) in [(true, 300_000, Some("300")), (false, 300_000, None)]
        {
            let settings = Settings { retry_after, max_retry_after, ..settings() };
            let dispatcher = start(settings, Clock::system(), members.clone());
            let wait = Some(Duration::from_millis(500));
            let rejected = ClientResponse::Rejected { retry_after: wait, reason: FailureReason::Overloaded };
            let in_force = dispatcher.settings();
            let rejected = PlatformFrontend(dispatcher).to_response(rejected, &in_force);
            let head = rejected.encode_head(true);
            let delay = head.lines().find_map(|l| l.strip_prefix("X-Wait-Ms: "));
            assert_eq!(delay, expected, "{head}");
        }
    });
}
