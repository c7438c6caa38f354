//! The dispatcher with a paused clock and a connector that records its commands.

mod emulated;

#[path = "dispatch/credentials.rs"]
mod credentials;
#[path = "dispatch/endpoint_sources.rs"]
mod endpoint_sources;
#[path = "dispatch/endpoints.rs"]
mod endpoints;
#[path = "dispatch/fixture.rs"]
mod fixture;
#[path = "dispatch/limits.rs"]
mod limits;
#[path = "dispatch/purges.rs"]
mod purges;
#[path = "dispatch/reloads.rs"]
mod reloads;

use emulated::{endpoint_listing, run_with_paused_clock};
use fixture::*;
use foxhold::dispatch::*;
use foxhold::policy::types::*;
use std::time::Duration;
use tokio::time::{sleep, Instant};

#[test]
fn only_the_first_end_of_an_attempt_counts() {
    run_with_paused_clock(async {
        let site = site();
        let pending = site.dispatcher.submit(site.request(1));
        run_until_idle().await;
        let attempts = site.connector.attempts();
        assert_eq!((attempts.len(), &attempts[0].0[..]), (1, "origin-1"));
        end_attempt(&site, attempts[0].1.attempt_id, Err(AttemptError::Unanswered)).await;
        end_attempt(&site, attempts[0].1.attempt_id, served()).await;
        assert_eq!(
            pending.await,
            ClientResponse::Failed(FailureReason::UpstreamFailed),
            "expected a failure: the write may have run"
        );
        assert_eq!(site.connector.attempts().len(), 1, "expected no retry");
    });
}

#[test]
fn a_write_is_retried_only_if_its_attempt_provably_never_ran() {
    let is_retried = |error: AttemptError| {
        run_with_paused_clock(async move {
            let site = site();
            let pending = site.dispatcher.submit(site.request(1));
            run_until_idle().await;
            end_attempt(&site, site.connector.attempts()[0].1.attempt_id, Err(error)).await;
            let sent = site.connector.attempts().len();
            drop(pending);
            sent > 1
        })
    };
    assert!(is_retried(AttemptError::NotConnected), "expected a retry by another route");
    assert!(is_retried(AttemptError::NotWritten) && is_retried(AttemptError::PartiallyWritten));
    assert!(!is_retried(AttemptError::Unanswered) && !is_retried(AttemptError::ResponseInterrupted));
}

#[test]
fn a_request_without_a_usable_server_is_rejected_at_once_with_a_retry_after() {
    run_with_paused_clock(async {
        let site = site();
        let members = [("cache-1", "a"), ("cache-2", "b"), ("parent-1", "c"), ("origin-1", "d")];
        let gone = |(name, address)| Endpoint {
            state: MemberState::Gone,
            ..endpoint_listing(name, address, "edge", "cache")
        };
        let members = members.into_iter().map(gone).collect();
        site.dispatcher.sender().send(DispatcherMessage::Members { full: true, members }).await;
        let started = Instant::now();
        let response = site.dispatcher.submit(site.request(0)).await;
        assert!(
            matches!(
                response,
                ClientResponse::Rejected { retry_after: Some(_), reason: FailureReason::Overloaded }
            ),
            "{response:?}"
        );
        assert!(started.elapsed() < Duration::from_millis(5), "{:?}", started.elapsed());
    });
}

#[test]
fn the_attempts_of_a_client_that_disconnects_are_cancelled() {
    run_with_paused_clock(async {
        let site = site();
        let pending = site.dispatcher.submit(site.request(0));
        run_until_idle().await;
        drop(pending);
        run_until_idle().await;
        assert_eq!((site.connector.attempts().len(), site.connector.cancellations()), (1, 1));
    });
}

/// Guards against a regression: connections that were established late were taken for a congested link, and
/// fills were rejected, most of all if a third of the connections were late. The time of an attempt counts
/// from when the server has received the request.
#[test]
fn time_spent_waiting_for_a_connection_is_not_counted_against_the_server() {
    run_with_paused_clock(async {
        let site = site();
        for _ in 0..60 {
            let pending = site.dispatcher.submit(ClientRequest {
                object: site.dispatcher.generate_request_id(),
                ..site.request_with_new_id(0)
            });
            run_until_idle().await;
            let (name, attempt) = site.connector.attempts().pop().expect("an attempt");
            assert!(
                name.starts_with("cache") && attempt.fill_source.as_deref() == Some("parent-1"),
                "{attempt:?}"
            );
            sleep(Duration::from_millis(350)).await;
            site.dispatcher.sender().send(DispatcherMessage::AttemptWritten(attempt.attempt_id)).await;
            sleep(Duration::from_millis(60)).await;
            end_attempt(&site, attempt.attempt_id, served_as(CacheStatus::Filled)).await;
            assert!(matches!(pending.await, ClientResponse::Served(_)));
        }
    });
}
