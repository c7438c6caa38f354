//! The middleware in axum, with a core whose servers are stand-ins on loopback.
#![cfg(feature = "middleware")]

mod standin;

use axum::body::Body;
use axum::http::{Request, Response};
use axum::routing::get;
use axum::{Extension, Router};
use base64::{engine::general_purpose::URL_SAFE, Engine};
use foxhold::core::Clock;
use foxhold::middleware::{Director, SignedLayer};
use foxhold::signed::{Counts, Grant, Keys};
use hmac::{Hmac, KeyInit, Mac};
use http_body_util::BodyExt;
use standin::{local, settings, start, Manner, Server};
use std::sync::Arc;
use tower::ServiceExt;

const NOW: u64 = 1_764_576_000;
const SECRET: &[u8] = b"0123456789abcdef";

fn layer(clock: Clock, counts: &Arc<Counts>) -> SignedLayer {
    let secret = URL_SAFE.encode(SECRET);
    let file = format!(r#"{{"keys":[{{"name":"u1","alg":"HMAC-SHA256","key":"{secret}"}}]}}"#);
    let keys = Keys::new(miniserde::json::from_str(&file).expect("JSON")).expect("good keys");
    SignedLayer::new(Arc::new(keys), clock, counts.clone())
}

fn request(path: &str, expires: u64) -> Request<Body> {
    let target = format!("{path}?Expires={expires}&KeyName=u1");
    let mut mac = Hmac::<sha2::Sha256>::new_from_slice(SECRET).expect("a key");
    mac.update(format!("https://videos.example{target}").as_bytes());
    let signature = URL_SAFE.encode(mac.finalize().into_bytes());
    let uri = format!("{target}&Signature={signature}");
    Request::get(uri).header("host", "videos.example").body(Body::empty()).expect("a request")
}

async fn body(response: Response<Body>) -> String {
    let bytes = response.into_body().collect().await.expect("a body").to_bytes();
    String::from_utf8(bytes.to_vec()).expect("text")
}

#[test]
fn the_layer_lets_good_links_through_stripped_and_no_others() {
    local(async {
        let (clock, counts) = (Clock::starting_at(NOW * 1_000_000), Arc::new(Counts::default()));
        let show = |Extension(grant): Extension<Grant>, uri: axum::http::Uri| async move {
            format!("{uri} {}", grant.valid_until.expect("an end"))
        };
        let app = Router::new().route("/{*path}", get(show)).layer(layer(clock, &counts));
        let good = app.clone().oneshot(request("/hello", NOW + 60)).await.expect("an answer");
        assert_eq!(good.status(), 200);
        // A router matches before its layers run, so the handler sees what the layer left of the target.
        assert_eq!(body(good).await, format!("/hello {}", (NOW + 65) * 1_000_000));
        assert_eq!(app.clone().oneshot(request("/hello", NOW - 60)).await.expect("an answer").status(), 403);
        let bare = Request::get("/hello").header("host", "videos.example").body(Body::empty());
        assert_eq!(app.oneshot(bare.expect("a request")).await.expect("an answer").status(), 403);
        assert_eq!((counts.get("expired"), counts.get("malformed")), (1, 1));
    });
}

#[test]
fn the_director_serves_behind_the_layer_in_axum() {
    local(async {
        let cache = Server::start(Manner::Says("ID ACK tag=aa,res=cached 5\r\nbytes\r\n")).await;
        let (clock, counts) = (Clock::starting_at(NOW * 1_000_000), Arc::new(Counts::default()));
        let core = start(settings(), clock, vec![cache.listing("s-cache", "edge", "cache")]);
        let director = Director::new(core, counts.clone());
        let app = Router::new().fallback_service(director).layer(layer(clock, &counts));
        let response = app.clone().oneshot(request("/videos/a.mp4", NOW + 60)).await.expect("an answer");
        assert_eq!(response.status(), 200);
        assert_eq!(response.headers()["etag"], "\"aa\"");
        assert_eq!(body(response).await, "bytes");
        *cache.manner.borrow_mut() = Manner::Says("ID AGAIN - 0\r\n\r\n");
        let response = app.clone().oneshot(request("/videos/b.mp4", NOW + 60)).await.expect("an answer");
        assert_eq!(response.status(), 503);
        assert_eq!(response.headers()["retry-after"], "1");
        let other = app.oneshot(request("/filing/a", NOW + 60)).await.expect("an answer");
        assert_eq!(other.status(), 405);
        let counted = ["served", "refused", "bad_request"].map(|outcome| counts.get(outcome));
        assert_eq!(counted, [1, 1, 1]);
    });
}
