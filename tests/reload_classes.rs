//! A request keeps its class and the rules in force when the class was chosen, however many reloads come
//! before its end.
#![cfg(feature = "middleware")]

mod emulated;

#[path = "reload_classes/fixture.rs"]
mod fixture;
#[path = "library/fixture.rs"]
mod library;

use emulated::{run_on_two_threads, settings};
use fixture::*;
use foxhold::director::{CacheRequest, SendError};
use foxhold::dispatch::ClientResponse;
use http::StatusCode;
use std::time::Duration;
use tokio::time::timeout;

/// Most reloads during one request. Two are enough to hand its place in the settings to another class.
const MAX_RELOADS: usize = 5;
/// How long a reload is seen to wait for a director whose thread is blocked.
const WAIT_WHILE_BLOCKED: Duration = Duration::from_millis(50);

/// Guards against forwarding an upload as another class: the class was an index in the settings, chosen
/// before the body was read, and two reloads during the body gave that index to another class.
#[test]
fn an_upload_keeps_its_class_through_any_number_of_reloads() {
    run_on_two_threads(async {
        for reloads in 0..=MAX_RELOADS {
            let host = Host::start();
            let mut upload = host.begin_upload("/filing/a").await;
            upload.send("a fi");
            for number in 0..reloads {
                host.reload(number).await;
            }
            upload.send("ling");
            assert_eq!(upload.response().await, StatusCode::OK, "after {reloads} reloads");
            assert_eq!(host.forwarded(), [("filing".to_owned(), "origin-1".to_owned())], "{reloads} reloads");
        }
    });
}

/// Guards against the same for a request that is submitted while reloads are queued before it.
#[test]
fn a_request_queued_behind_reloads_keeps_its_class() {
    run_on_two_threads(async {
        for reloads in 0..=MAX_RELOADS {
            let host = Host::start();
            let unblock = host.block_director().await;
            for number in 0..reloads {
                host.queue_reload(number);
            }
            let response = host.director.send(CacheRequest::new("filing", "a").body("a filing"));
            drop(unblock);
            assert!(matches!(response.await, Ok(ClientResponse::Served(_))), "after {reloads} reloads");
            let filings: Vec<_> = host.forwarded().into_iter().filter(|(_, at)| at == "origin-1").collect();
            assert_eq!(filings, [("filing".to_owned(), "origin-1".to_owned())], "{reloads} reloads");
        }
    });
}

/// Guards against a reload that returns before its settings are in force, so that requests sent after it are
/// handled by the earlier ones.
#[test]
fn requests_sent_after_a_reload_has_returned_have_its_settings() {
    run_on_two_threads(async {
        let host = Host::start();
        let unblock = host.block_director().await;
        let mut settings = settings();
        settings.classes[0].name = "pages".into();
        let mut reload = std::pin::pin!(host.director.reload(settings));
        assert!(timeout(WAIT_WHILE_BLOCKED, &mut reload).await.is_err(), "the director is still blocked");
        drop(unblock);
        reload.await.expect("a director");
        let page = host.director.send(CacheRequest::new("pages", "a")).await;
        assert!(matches!(page, Ok(ClientResponse::Served(_))), "{page:?}");
        let removed = host.director.send(CacheRequest::new("videos", "a")).await;
        assert_eq!(removed, Err(SendError::UnknownClass("videos".into())));
    });
}
