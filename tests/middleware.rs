//! The middleware in axum, in front of a dispatcher with servers emulated on loopback.
#![cfg(feature = "axum")]

mod emulated;

use axum::body::Body;
use axum::http::{Request, Response};
use axum::routing::get;
use axum::Router;
use base64::{engine::general_purpose::URL_SAFE, Engine};
use emulated::{run_local, settings, start, EmulatedServer, ServerBehavior};
use foxhold::config::operator::LibrarySection;
use foxhold::director::Director;
use foxhold::discovery::StaticEndpoints;
use foxhold::dispatch::Clock;
use foxhold::middleware::{DirectorLayer, DirectorService, Route, Routes, SignedLayer};
use foxhold::signed::{Grant, KeySet, OutcomeCounters};
use hmac::{Hmac, KeyInit, Mac};
use http_body_util::BodyExt;
use std::sync::Arc;
use tower::ServiceExt;

const NOW: u64 = 1_764_576_000;
const SECRET: &[u8] = b"0123456789abcdef";

fn signed_layer(clock: Clock, counts: &Arc<OutcomeCounters>) -> SignedLayer {
    let secret = URL_SAFE.encode(SECRET);
    let file = format!(r#"{{"keys":[{{"name":"u1","alg":"HMAC-SHA256","key":"{secret}"}}]}}"#);
    let keys = KeySet::new(miniserde::json::from_str(&file).expect("JSON")).expect("valid keys");
    SignedLayer::new(Arc::new(keys), clock, counts.clone())
}

fn signed_request(path: &str, expires: u64) -> Request<Body> {
    let target = format!("{path}?Expires={expires}&KeyName=u1");
    let mut mac = Hmac::<sha2::Sha256>::new_from_slice(SECRET).expect("a key");
    mac.update(format!("https://videos.example{target}").as_bytes());
    let signature = URL_SAFE.encode(mac.finalize().into_bytes());
    let uri = format!("{target}&Signature={signature}");
    Request::get(uri).header("host", "videos.example").body(Body::empty()).expect("a request")
}

async fn body_text(response: Response<Body>) -> String {
    let bytes = response.into_body().collect().await.expect("a body").to_bytes();
    String::from_utf8(bytes.to_vec()).expect("text")
}

#[test]
fn the_signed_layer_strips_valid_credentials_and_denies_all_others() {
    run_local(async {
        let (clock, counts) = (Clock::starting_at(NOW * 1_000_000), Arc::new(OutcomeCounters::default()));
        let handler = |grant: Grant, uri: axum::http::Uri| async move {
            format!("{uri} {}", grant.expires_at.expect("an expiry time"))
        };
        let app = Router::new().route("/{*path}", get(handler)).layer(signed_layer(clock, &counts));
        let valid = app.clone().oneshot(signed_request("/hello", NOW + 60)).await.expect("a response");
        assert_eq!(valid.status(), 200);
        // A router matches before its layers run, so the handler gets the target without its credential.
        assert_eq!(body_text(valid).await, format!("/hello {}", (NOW + 65) * 1_000_000));
        assert_eq!(
            app.clone().oneshot(signed_request("/hello", NOW - 60)).await.expect("a response").status(),
            403
        );
        let unsigned = Request::get("/hello").header("host", "videos.example").body(Body::empty());
        assert_eq!(app.oneshot(unsigned.expect("a request")).await.expect("a response").status(), 403);
        assert_eq!((counts.get("expired"), counts.get("malformed")), (1, 1));
    });
}

#[test]
fn the_director_serves_requests_behind_the_signed_layer() {
    run_local(async {
        let cache =
            EmulatedServer::start(ServerBehavior::Responds("ID ACK tag=aa,res=cached 5\r\nbytes\r\n")).await;
        let (clock, counts) = (Clock::starting_at(NOW * 1_000_000), Arc::new(OutcomeCounters::default()));
        let dispatcher = start(settings(), clock, vec![cache.endpoint_listing("s-cache", "edge", "cache")]);
        let director = DirectorService::new(dispatcher, counts.clone());
        let app = Router::new().fallback_service(director).layer(signed_layer(clock, &counts));
        let response =
            app.clone().oneshot(signed_request("/videos/a.mp4", NOW + 60)).await.expect("a response");
        assert_eq!(response.status(), 200);
        assert_eq!(response.headers()["etag"], "\"aa\"");
        assert_eq!(body_text(response).await, "bytes");
        *cache.behavior.borrow_mut() = ServerBehavior::Responds("ID AGAIN - 0\r\n\r\n");
        let response =
            app.clone().oneshot(signed_request("/videos/b.mp4", NOW + 60)).await.expect("a response");
        assert_eq!(response.status(), 503);
        assert_eq!(response.headers()["retry-after"], "1");
        let other = app.oneshot(signed_request("/filing/a", NOW + 60)).await.expect("a response");
        assert_eq!(other.status(), 405);
        let counted = ["served", "refused", "bad_request"].map(|outcome| counts.get(outcome));
        assert_eq!(counted, [1, 1, 1]);
    });
}

fn routes() -> Routes {
    let route = |prefix: &str, class: &str| Route { prefix: prefix.into(), class: class.into() };
    Routes::new(vec![route("/media", "videos"), route("/desk/filings", "filing")]).expect("valid routes")
}

#[test]
fn the_director_layer_serves_what_its_routes_match_and_leaves_the_rest_to_the_host() {
    run_local(async {
        let cache =
            EmulatedServer::start(ServerBehavior::Responds("ID ACK tag=aa,res=cached 5\r\nbytes\r\n")).await;
        let members = vec![
            cache.endpoint_listing("s-cache", "edge", "cache"),
            cache.endpoint_listing("s-origin", "hub", "origin"),
        ];
        let director = Director::builder(settings())
            .endpoint_source(StaticEndpoints(members))
            .start()
            .expect("a director");
        let counts = Arc::new(OutcomeCounters::default());
        let layer = DirectorLayer::new(director, counts.clone(), routes(), &LibrarySection::default());
        let app = Router::new().route("/hello", get(|| async { "of the host" })).layer(layer);
        let send = |method: &str, path: &str, body: &'static str| {
            let request = Request::builder().method(method).uri(path).body(Body::from(body));
            app.clone().oneshot(request.expect("a request"))
        };
        assert_eq!(body_text(send("GET", "/hello", "").await.expect("a response")).await, "of the host");
        assert_eq!(
            body_text(send("GET", "/media/a/b.mp4?block=2", "").await.expect("a response")).await,
            "bytes"
        );
        assert_eq!(send("PUT", "/desk/filings/7", "a filing").await.expect("a response").status(), 200);
        assert_eq!(send("GET", "/desk/filings/7", "").await.expect("a response").status(), 405);
        assert_eq!(
            send("GET", "/mediax/a", "").await.expect("a response").status(),
            404,
            "a path outside the routes is left to the host"
        );
        let requests = cache.requests();
        assert!(requests[0].contains("obj=a/b.mp4") && requests[0].contains("seg=2"), "{requests:?}");
        assert!(requests[1].contains("kind=filing"), "{requests:?}");
        assert_eq!([counts.get("served"), counts.get("bad_request")], [2, 1]);
    });
}

#[test]
fn readiness_reserves_a_slot_and_bodies_share_one_budget() {
    run_local(async {
        let origin = EmulatedServer::start(ServerBehavior::Silent).await;
        let members = vec![origin.endpoint_listing("s-origin", "hub", "origin")];
        let director = Director::builder(settings())
            .endpoint_source(StaticEndpoints(members))
            .start()
            .expect("a director");
        let limits = LibrarySection { max_open_requests: 2, body_budget_kb: 60, ..LibrarySection::default() };
        let counts = Arc::new(OutcomeCounters::default());
        let mut service = DirectorService::with(director, counts.clone(), Some(routes()), &limits);
        let put = |bytes: usize| {
            Request::put("/desk/filings/1").body(Body::from(vec![b'x'; bytes])).expect("a request")
        };
        let ready = tower::ServiceExt::<Request<Body>>::ready;
        let call =
            |service: &mut DirectorService, request| tokio::spawn(tower::Service::call(service, request));
        let first = call(ready(&mut service).await.expect("a slot"), put(40_000));
        while origin.requests().is_empty() {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
        // The budget has no capacity for a second body of this size: rejected at once, with a Retry-After.
        let second = call(ready(&mut service).await.expect("a slot"), put(40_000)).await.expect("a task");
        let second = second.expect("a response");
        assert_eq!(
            (second.status().as_u16(), &second.headers()["retry-after"]),
            (503, &"1".parse().expect("one"))
        );
        let third = call(ready(&mut service).await.expect("a slot"), put(100));
        let third_slot =
            tokio::time::timeout(std::time::Duration::from_millis(50), ready(&mut service)).await;
        assert!(third_slot.is_err(), "no slot while two requests are pending");
        // The host cancels a request, which releases its slot and its bytes.
        first.abort();
        let _ = tokio::time::timeout(std::time::Duration::from_secs(1), ready(&mut service))
            .await
            .expect("a slot");
        let fourth = call(&mut service, put(40_000));
        while origin.requests().len() < 3 {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
        third.abort();
        fourth.abort();
        assert_eq!(counts.get("refused"), 1);
    });
}
