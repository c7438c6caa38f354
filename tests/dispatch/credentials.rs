//! Requests whose credentials expire.

use crate::emulated::run_with_paused_clock;
use crate::fixture::*;
use foxhold::dispatch::*;
use std::time::Duration;
use tokio::time::{sleep, Instant};

#[test]
fn a_pending_request_ends_when_its_credential_expires() {
    for (class, expected) in [
        (0, ClientResponse::Rejected { retry_after: None, reason: FailureReason::CredentialExpired }),
        (1, ClientResponse::Failed(FailureReason::CredentialExpired)), // a write that may have run
    ] {
        run_with_paused_clock(async {
            let (site, started) = (site(), Instant::now());
            let expires_at = Some(site.clock.unix() + 300_000);
            assert_eq!(
                site.dispatcher
                    .submit(ClientRequest { credential_expires_at: expires_at, ..site.request(class) })
                    .await,
                expected
            );
            assert_eq!(started.elapsed().as_millis(), 300);
            run_until_idle().await;
            assert_eq!((site.connector.attempts().len(), site.connector.cancellations()), (1, 1));
        });
    }
}

#[test]
fn a_credential_is_valid_until_exactly_its_expiry() {
    for (remaining, expected_attempts) in [(1_000, 1), (0, 0)] {
        run_with_paused_clock(async {
            let site = site();
            let expires_at = Some(site.clock.unix() + remaining);
            let pending = site
                .dispatcher
                .submit(ClientRequest { credential_expires_at: expires_at, ..site.request(1) });
            tokio::task::yield_now().await;
            tokio::task::yield_now().await;
            assert_eq!(site.connector.attempts().len(), expected_attempts);
            let response = pending.await;
            // A request that was not sent, even a write, can safely be retried with a new credential.
            assert_eq!(
                matches!(response, ClientResponse::Rejected { reason: FailureReason::CredentialExpired, .. }),
                expected_attempts == 0,
                "{response:?}"
            );
        });
    }
}

#[test]
fn a_response_that_began_before_the_credential_expired_is_delivered() {
    run_with_paused_clock(async {
        let site = site();
        let expires_at = Some(site.clock.unix() + 300_000);
        let pending =
            site.dispatcher.submit(ClientRequest { credential_expires_at: expires_at, ..site.request(0) });
        run_until_idle().await;
        end_attempt(&site, site.connector.attempts()[0].1.attempt_id, served()).await;
        sleep(Duration::from_secs(1)).await; // the frontend takes it after the credential's expiry
        assert!(matches!(pending.await, ClientResponse::Served(_)));
    });
}

#[test]
fn no_retry_is_sent_once_the_credential_has_expired() {
    run_with_paused_clock(async {
        let site = site();
        let expires_at = Some(site.clock.unix() + 300_000);
        let pending =
            site.dispatcher.submit(ClientRequest { credential_expires_at: expires_at, ..site.request(0) });
        run_until_idle().await;
        let attempt_id = site.connector.attempts()[0].1.attempt_id;
        assert_eq!(
            pending.await,
            ClientResponse::Rejected { retry_after: None, reason: FailureReason::CredentialExpired }
        );
        end_attempt(&site, attempt_id, Err(AttemptError::NotConnected)).await;
        assert_eq!(site.connector.attempts().len(), 1);
    });
}
