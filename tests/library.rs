//! The director embedded in a host: the guarantees of its handle during cancellation, drains, panics of the
//! host's transport, a blocked runtime and shutdown.

mod emulated;

#[path = "library/cancellation.rs"]
mod cancellation;
#[path = "library/drains.rs"]
mod drains;
#[path = "library/fixture.rs"]
mod fixture;

use emulated::{run_on_two_threads, settings};
use fixture::*;
use foxhold::director::{CacheRequest, Director, SendError, Stopped};
use foxhold::discovery::StaticEndpoints;
use foxhold::dispatch::*;
use foxhold::policy::types::*;
use foxhold::upstream::host::HostTransport;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

#[test]
fn two_directors_in_one_process_share_nothing_and_shut_down_independently() {
    run_on_two_threads(async {
        let (first_transport, second_transport) =
            (RecordingTransport::new(|_, _| served()), RecordingTransport::new(|_, _| never_answered()));
        let first = start_director(&first_transport);
        let mut settings = settings();
        settings.classes[0].name = "pages".into();
        let builder = Director::builder(settings).endpoint_source(StaticEndpoints(members())).seed(8);
        let second =
            builder.connector(HostTransport::new(second_transport.clone())).start().expect("a director");
        assert!(matches!(first.send(CacheRequest::new("videos", "a")).await, Ok(ClientResponse::Served(_))));
        let unknown = second.send(CacheRequest::new("videos", "a")).await;
        assert_eq!(unknown, Err(SendError::UnknownClass("videos".into())));
        let pending = [
            second.send(CacheRequest::new("pages", "a")),
            second.send(CacheRequest::new("filing", "b").body("x")),
        ];
        wait_until("both attempts are sent", async || second_transport.exchanges().len() == 2).await;
        let started = Instant::now();
        let shutdown = second.shutdown(Duration::from_millis(100)).await.expect("a completed shutdown");
        assert_eq!((shutdown.pending, shutdown.aborted), (2, 2));
        assert!(started.elapsed() < Duration::from_secs(1));
        for response in pending {
            assert_eq!(response.await, Err(SendError::Stopped { may_have_run: true }));
        }
        let after_shutdown = second.send(filing_request("c")).await;
        assert_eq!(
            after_shutdown,
            Err(SendError::Stopped { may_have_run: false }),
            "rejected after the shutdown"
        );
        assert_eq!(second.drain("cache-1").await, Err(Stopped));
        assert_eq!(second.members(true, members()).await, Err(Stopped));
        assert!(second.metrics().await.is_err() && second.shutdown(Duration::ZERO).await.is_err());
        assert!(
            matches!(first.send(CacheRequest::new("videos", "b")).await, Ok(ClientResponse::Served(_))),
            "the first director keeps running"
        );
        let shutdown = first.shutdown(Duration::from_secs(5)).await.expect("a completed shutdown");
        assert_eq!((shutdown.pending, shutdown.aborted), (0, 0));
    });
}

#[test]
fn a_panic_of_the_transport_does_not_end_the_director() {
    run_on_two_threads(async {
        let count = AtomicUsize::new(0);
        let transport =
            RecordingTransport::new(move |_, request| match count.fetch_add(1, Ordering::SeqCst) {
                0 => panic!("in the call"),
                1 => Box::pin(async { panic!("in the task") }),
                _ if request.body.is_empty() => served(),
                _ => Box::pin(async { panic!("while it sends a write") }),
            });
        let director = start_director(&transport);
        // A panic in the call itself poisons the lock of the test's transport. The director is not affected.
        let _ = director.send(CacheRequest::new("videos", "a").timeout(Duration::from_millis(300))).await;
        assert!(director.metrics().await.is_ok());
    });
}

#[test]
fn a_write_whose_transport_panics_fails_and_reports_of_unknown_attempts_are_ignored() {
    run_on_two_threads(async {
        let transport = RecordingTransport::new(|_, request| match request.body.is_empty() {
            true => served(),
            false => Box::pin(async { panic!("while it sends a write") }),
        });
        let director = start_director(&transport);
        let response = director.send(filing_request("a")).await;
        assert_eq!(
            response,
            Ok(ClientResponse::Failed(FailureReason::UpstreamFailed)),
            "a write that may have run fails"
        );
        assert_eq!(transport.exchanges().len(), 1, "a write that may have run is not retried");
        // Reports of attempts that are not in flight, and a second report of one that has ended.
        let reports = director.dispatcher().sender();
        for attempt in 0..3 {
            let attempt_id = AttemptId { request: 1, attempt };
            let error = AttemptError::NotWritten;
            reports.send(DispatcherMessage::AttemptEnded(attempt_id, Err(error))).await;
            reports.send(DispatcherMessage::AttemptCancelled(attempt_id, error)).await;
        }
        assert!(matches!(
            director.send(CacheRequest::new("videos", "b")).await,
            Ok(ClientResponse::Served(_))
        ));
        assert_eq!(counts(&director, "filing").await.failed, 1);
    });
}

/// A connector that panics when it is asked to connect to a server.
struct PanickingConnector;

impl EndpointConnector for PanickingConnector {
    fn connect(
        &mut self,
        _: ServerId,
        _: &Endpoint,
        _: DispatcherSender,
    ) -> tokio::sync::mpsc::Sender<EndpointCommand> {
        panic!("connector panics on purpose")
    }
}

#[test]
fn a_panic_of_the_connector_does_not_end_the_director() {
    run_on_two_threads(async {
        let director = Director::builder(settings())
            .endpoint_source(StaticEndpoints(members()))
            .connector(PanickingConnector)
            .start();
        let director = director.expect("a director");
        let response = director.send(CacheRequest::new("videos", "a")).await;
        assert!(matches!(response, Ok(ClientResponse::Rejected { .. })), "{response:?}");
    });
}

#[test]
fn errors_for_invalid_requests_state_that_nothing_ran() {
    run_on_two_threads(async {
        let director = start_director(&RecordingTransport::new(|_, _| served()));
        let errors = [
            director.send(CacheRequest::new("nothing", "a")).await,
            director.send(CacheRequest::new("videos", "a,b")).await,
            director.send(CacheRequest::new("videos", "a").body("bytes")).await,
            director.send(CacheRequest::new("filing", "a").body(vec![0; MAX_WRITE_BYTES + 1])).await,
        ];
        for error in errors {
            let error = error.expect_err("an error");
            assert!(!error.may_have_run() && !error.to_string().is_empty());
        }
        let same_id =
            ["00000000000000aa"; 2].map(|id| director.send(CacheRequest::new("videos", "a").id(id)));
        let [first, second] = same_id;
        let responses = (first.await, second.await);
        assert!(matches!(responses.0, Ok(ClientResponse::Served(_))));
        assert!(matches!(
            responses.1,
            Ok(ClientResponse::Failed(FailureReason::DuplicateRequest) | ClientResponse::Served(_))
        ));
    });
}

#[test]
fn a_reload_applies_to_later_requests_and_a_failed_start_reports_its_reason() {
    run_on_two_threads(async {
        let director = start_director(&RecordingTransport::new(|_, _| served()));
        let mut reloaded = settings();
        reloaded.classes[0].name = "pages".into();
        director.reload(reloaded).await.expect("a director");
        wait_until("the new settings are in force", async || {
            director.settings().class_index("pages").is_some()
        })
        .await;
        assert!(matches!(
            director.send(CacheRequest::new("pages", "a")).await,
            Ok(ClientResponse::Served(_))
        ));
        let unknown = director.send(CacheRequest::new("videos", "a")).await;
        assert_eq!(unknown, Err(SendError::UnknownClass("videos".into())));
        let error = Director::builder(Settings::default()).start().expect_err("no classes");
        assert!(error.to_string().contains("no request classes are configured"), "{error}");
        let missing = foxhold::discovery::XdsFile::new("/nowhere/members.json");
        let error = Director::builder(settings()).endpoint_source(missing).start().expect_err("no file");
        assert!(error.to_string().contains("/nowhere/members.json"), "{error}");
    });
}
