//! Requests that the host cancels by dropping their futures.

use crate::emulated::{
    self, run_local, run_on_two_threads, settings, upstream_request, EmulatedServer, ServerBehavior,
};
use crate::fixture::*;
use foxhold::director::{CacheRequest, Director};
use foxhold::discovery::StaticEndpoints;
use foxhold::dispatch::*;
use foxhold::policy::types::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

#[test]
fn a_request_cancelled_in_the_mailbox_is_never_sent() {
    run_on_two_threads(async {
        let is_busy = Arc::new(AtomicBool::new(false));
        let set_busy = is_busy.clone();
        let transport = RecordingTransport::new(move |_, _| {
            set_busy.store(true, Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(300)); // blocks the director's thread
            served()
        });
        let director = start_director(&transport);
        let first = director.send(CacheRequest::new("videos", "one"));
        wait_until("the director is busy", async || is_busy.load(Ordering::SeqCst)).await;
        drop(director.send(filing_request("two")));
        assert!(matches!(first.await, Ok(ClientResponse::Served(_))));
        wait_until("the cancellation is counted", async || {
            cancelled_counts(&director, "filing").await == (1, 0)
        })
        .await;
        assert_eq!(transport.exchanges().len(), 1);
        assert!(is_idle(&director).await);
    });
}

#[test]
fn a_request_cancelled_while_its_attempt_runs_may_have_run_and_is_never_retried() {
    run_on_two_threads(async {
        let transport = RecordingTransport::new(|_, _| never_answered());
        let director = start_director(&transport);
        let pending = director.send(filing_request("one"));
        wait_until("the attempt is sent", async || transport.exchanges().len() == 1).await;
        drop(pending);
        wait_until("the cancellation is counted", async || {
            cancelled_counts(&director, "filing").await == (0, 1)
        })
        .await;
        wait_until("the director is idle", async || is_idle(&director).await).await;
        sleep(Duration::from_millis(100)).await;
        assert_eq!(transport.exchanges().len(), 1);
    });
}

#[test]
fn a_cancelled_attempt_that_was_written_is_cancelled_at_its_server_and_may_have_run() {
    for behavior in [ServerBehavior::Silent, ServerBehavior::StallsResponse] {
        run_local(async {
            let origin = EmulatedServer::start(behavior).await;
            let source = StaticEndpoints(vec![origin.endpoint_listing("s-origin", "hub", "origin")]);
            let director = Director::builder(settings()).endpoint_source(source).start().expect("a director");
            let pending = director.send(filing_request("one"));
            wait_until("the attempt is sent", async || origin.requests().len() == 1).await;
            drop(pending);
            wait_until("the cancellation is counted", async || {
                cancelled_counts(&director, "filing").await == (0, 1)
            })
            .await;
            wait_until("the server receives the cancellation", async || {
                origin.lines.borrow().iter().any(|l| l.starts_with("never_mind"))
            })
            .await;
            assert_eq!(origin.requests().len(), 1);
            drop(director);
            wait_until("connections are closed", async || origin.closed.get() == origin.connections.get())
                .await;
        });
    }
}

#[test]
fn an_attempt_cancelled_before_it_is_written_is_reported_as_not_written() {
    run_local(async {
        let server = EmulatedServer::start(ServerBehavior::Silent).await;
        let (reports, mut inbox) = tokio::sync::mpsc::channel(16);
        let mut connector = foxhold::upstream::UpstreamConnector::new(emulated::connection_settings(), 4);
        let commands = connector.connect(
            ServerId(1),
            &server.endpoint_listing("s", "edge", "cache"),
            DispatcherSender::new(reports),
        );
        let attempt_id = AttemptId { request: 1, attempt: 0 };
        let deadline = tokio::time::Instant::now() + Duration::from_secs(1);
        let request =
            upstream_request(attempt_id, "00000000000000aa", "filing", b"a filing".to_vec(), deadline);
        commands.try_send(EndpointCommand::Send(request)).expect("capacity");
        commands.try_send(EndpointCommand::Cancel(attempt_id)).expect("capacity");
        let report =
            tokio::time::timeout(Duration::from_secs(2), inbox.recv()).await.expect("a report in time");
        assert!(
            matches!(
                report,
                Some(DispatcherMessage::AttemptCancelled(t, AttemptError::NotWritten)) if t == attempt_id
            ),
            "{report:?}"
        );
        sleep(Duration::from_millis(50)).await;
        assert_eq!(server.requests(), Vec::<String>::new());
    });
}

#[cfg(target_os = "linux")]
fn count_open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").expect("proc").count()
}

#[cfg(not(target_os = "linux"))]
fn count_open_descriptors() -> usize {
    0
}

#[test]
fn ten_thousand_cancelled_requests_leave_no_state_and_no_descriptors() {
    run_local(async {
        let cache = EmulatedServer::start(ServerBehavior::Silent).await;
        let source = StaticEndpoints(vec![cache.endpoint_listing("s-cache", "edge", "cache")]);
        let director = Director::builder(settings()).endpoint_source(source).start().expect("a director");
        let mut before = 0;
        for round in 0..100 {
            let pending: Vec<_> = (0..100)
                .map(|n| director.send(CacheRequest::new("videos", format!("{round}-{n}"))))
                .collect();
            tokio::task::yield_now().await;
            if round % 10 == 0 {
                sleep(Duration::from_millis(5)).await; // time for some attempts to be written
            }
            drop(pending);
            wait_until("the director is idle after the round", async || is_idle(&director).await).await;
            if round == 4 {
                before = count_open_descriptors();
            }
        }
        let counts = counts(&director, "videos").await;
        let total = counts.cancelled_not_run
            + counts.cancelled_may_have_run
            + counts.rejected
            + counts.served
            + counts.failed;
        assert_eq!(total, 10_000, "{counts:?}");
        assert!(counts.cancelled_not_run > 0 && counts.cancelled_may_have_run > 0, "{counts:?}");
        let after = count_open_descriptors();
        assert!(after <= before + 8, "{before} open descriptors after round 4, {after} at the end");
    });
}
