//! Requests that the host cancels by dropping their futures.

use crate::emulated::{self, run_local, settings, want, EmulatedServer, ServerBehavior};
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
fn a_request_cancelled_in_the_mailbox_is_sent_nowhere() {
    threads(async {
        let is_busy = Arc::new(AtomicBool::new(false));
        let set_busy = is_busy.clone();
        let transport = RecordingTransport::new(move |_, _| {
            set_busy.store(true, Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(300)); // the director's thread is blocked meanwhile
            served()
        });
        let director = director(&transport);
        let first = director.send(CacheRequest::new("videos", "one"));
        wait_until("it is busy", async || is_busy.load(Ordering::SeqCst)).await;
        drop(director.send(filing("two")));
        assert!(matches!(first.await, Ok(ClientResponse::Served(_))));
        wait_until("it is counted", async || cancelled(&director, "filing").await == (1, 0)).await;
        assert_eq!(transport.exchanges().len(), 1);
        assert!(is_idle(&director).await);
    });
}

#[test]
fn a_request_cancelled_while_its_attempt_runs_may_have_run_and_is_never_retried() {
    threads(async {
        let transport = RecordingTransport::new(|_, _| never_answered());
        let director = director(&transport);
        let pending = director.send(filing("one"));
        wait_until("it is sent", async || transport.exchanges().len() == 1).await;
        drop(pending);
        wait_until("it is counted", async || cancelled(&director, "filing").await == (0, 1)).await;
        wait_until("nothing is left", async || is_idle(&director).await).await;
        sleep(Duration::from_millis(100)).await;
        assert_eq!(transport.exchanges().len(), 1);
    });
}

#[test]
fn a_cancelled_attempt_that_was_written_is_cancelled_at_its_server_and_may_have_run() {
    for behavior in [ServerBehavior::Silent, ServerBehavior::StallsResponse] {
        run_local(async {
            let origin = EmulatedServer::start(behavior).await;
            let source = StaticEndpoints(vec![origin.listing("s-origin", "hub", "origin")]);
            let director = Director::builder(settings()).endpoint_source(source).start().expect("a director");
            let pending = director.send(filing("one"));
            wait_until("it is sent", async || origin.requests().len() == 1).await;
            drop(pending);
            wait_until("it is counted", async || cancelled(&director, "filing").await == (0, 1)).await;
            wait_until("it is cancelled", async || {
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
fn a_cancelled_attempt_that_no_connection_began_to_write_never_ran() {
    run_local(async {
        let server = EmulatedServer::start(ServerBehavior::Silent).await;
        let (reports, mut inbox) = tokio::sync::mpsc::channel(16);
        let mut connector = foxhold::upstream::UpstreamConnector::new(emulated::transport(), 4);
        let commands = connector.connect(
            ServerId(1),
            &server.listing("s", "edge", "cache"),
            DispatcherSender::new(reports),
        );
        let attempt_id = AttemptId { request: 1, attempt: 0 };
        let deadline = tokio::time::Instant::now() + Duration::from_secs(1);
        let request = want(attempt_id, "00000000000000aa", "filing", b"a filing".to_vec(), deadline);
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
fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").expect("proc").count()
}

#[cfg(not(target_os = "linux"))]
fn open_descriptors() -> usize {
    0
}

#[test]
fn ten_thousand_cancelled_requests_leave_nothing_behind() {
    run_local(async {
        let cache = EmulatedServer::start(ServerBehavior::Silent).await;
        let source = StaticEndpoints(vec![cache.listing("s-cache", "edge", "cache")]);
        let director = Director::builder(settings()).endpoint_source(source).start().expect("a director");
        let mut before = 0;
        for round in 0..100 {
            let pending: Vec<_> = (0..100)
                .map(|n| director.send(CacheRequest::new("videos", format!("{round}-{n}"))))
                .collect();
            tokio::task::yield_now().await;
            if round % 10 == 0 {
                sleep(Duration::from_millis(5)).await; // some are written
            }
            drop(pending);
            wait_until("the round is over", async || is_idle(&director).await).await;
            if round == 4 {
                before = open_descriptors();
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
        let after = open_descriptors();
        assert!(after <= before + 8, "{before} descriptors, then {after}");
    });
}
