//! Timeouts, send deadlines and the capacity of the dispatcher.

use crate::emulated::{run_with_paused_clock, settings};
use crate::fixture::*;
use foxhold::dispatch::*;
use foxhold::policy::types::*;
use std::time::Duration;
use tokio::time::{sleep, Instant};

#[test]
fn a_client_of_an_unresponsive_server_gets_a_response_before_its_timeout() {
    for class in [0, 1] {
        run_with_paused_clock(async {
            let (site, started) = (site(), Instant::now());
            let response = site.dispatcher.submit(site.request(class)).await;
            assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
            match response {
                ClientResponse::Rejected { reason: FailureReason::DeadlineExceeded, .. } => {
                    assert_eq!(class, 0)
                }
                ClientResponse::Failed(FailureReason::DeadlineExceeded) => assert_eq!(class, 1),
                other => panic!("{other:?}"),
            }
            run_until_idle().await;
            assert_eq!(
                site.connector.cancellations(),
                site.connector.attempts().len(),
                "expected all attempts in flight to be cancelled"
            );
        });
    }
}

#[test]
fn requests_beyond_capacity_are_rejected_at_once() {
    run_with_paused_clock(async {
        let site = site();
        let mut pending = Vec::new();
        for _ in 0..256 {
            pending.extend((0..16).map(|_| site.dispatcher.submit(site.request_with_new_id(1))));
            run_until_idle().await; // keeps the mailboxes from filling up
        }
        assert_eq!(site.connector.attempts().len(), 4096);
        let started = Instant::now();
        let response = site.dispatcher.submit(site.request_with_new_id(1)).await;
        assert!(
            matches!(
                response,
                ClientResponse::Rejected { retry_after: Some(_), reason: FailureReason::Overloaded }
            ),
            "{response:?}"
        );
        assert!(started.elapsed() < Duration::from_millis(5));
        assert_eq!(site.connector.attempts().len(), 4096);
        drop(pending);
    });
}

#[test]
fn a_request_without_a_practical_timeout_is_pending_for_a_day_at_most() {
    run_with_paused_clock(async {
        let (site, started) = (site(), Instant::now());
        let response = site
            .dispatcher
            .submit(ClientRequest {
                timeout: Duration::MAX,
                credential_expires_at: Some(Micros::MAX),
                ..site.request(1)
            })
            .await;
        assert_eq!(response, ClientResponse::Failed(FailureReason::DeadlineExceeded));
        assert!(started.elapsed() <= Duration::from_secs(24 * 3600), "{:?}", started.elapsed());
    });
}

/// Guards against a reserve for the delivery of the response that takes a large part of a short timeout, or
/// is zero.
#[test]
fn a_response_is_sent_a_small_share_of_the_timeout_before_the_client_times_out() {
    for (timeout, min_ms, max_ms) in [(60, 54, 59), (200, 185, 196), (2000, 1960, 1980)] {
        run_with_paused_clock(async move {
            let site = site();
            let timeout = Duration::from_millis(timeout);
            let started = Instant::now();
            let response =
                site.dispatcher.submit(ClientRequest { timeout, size_kb: 1.0, ..site.request(0) }).await;
            assert!(matches!(response, ClientResponse::Rejected { .. }), "{response:?}");
            let elapsed_ms = started.elapsed().as_millis();
            assert!((min_ms..=max_ms).contains(&elapsed_ms), "{timeout:?}: after {elapsed_ms} ms");
        });
    }
}

/// Checks that an attempt may wait half of the time in which a drain or a purge must be complete, and that a
/// retry with an idempotency key waits no longer than servers recognize the key.
#[test]
fn the_send_deadline_follows_grace_periods_and_the_idempotency_window() {
    for (drain, purge, wait) in [(1_000_000, 1_000_000, 500), (300_000, 0, 150), (900_000, 200_000, 100)] {
        run_with_paused_clock(async {
            let site = site_with_settings(Settings { drain_grace: drain, purge_grace: purge, ..settings() });
            let (_pending, now) = (site.dispatcher.submit(site.request(1)), Instant::now());
            run_until_idle().await;
            let send_deadline = site.connector.attempts()[0].1.send_deadline;
            assert_eq!(
                send_deadline.saturating_duration_since(now).as_millis(),
                wait,
                "drain {drain}, purge {purge}"
            );
        });
    }
    run_with_paused_clock(async {
        let mut settings = settings();
        settings.classes[0].idempotency =
            Idempotency::IdempotencyKey { scope: KeyScope::All, window: 400_000 };
        let site = site_with_settings(settings);
        let (_pending, first) = (site.dispatcher.submit(site.request(0)), Instant::now());
        run_until_idle().await;
        sleep(Duration::from_millis(300)).await;
        end_attempt(&site, site.connector.attempts()[0].1.attempt_id, Err(AttemptError::Unanswered)).await;
        let retry = &site.connector.attempts()[1].1;
        let wait_ms = retry.send_deadline.saturating_duration_since(first).as_millis();
        assert!((395..=400).contains(&wait_ms), "expected 395 to 400 ms, got {wait_ms} ms");
    });
}
