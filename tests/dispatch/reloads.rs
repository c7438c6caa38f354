//! Requests that wait while settings are replaced: in the caller's hands, in the mailbox, and between
//! attempts.

use crate::emulated::{run_with_paused_clock, settings};
use crate::fixture::*;
use foxhold::dispatch::*;
use foxhold::policy::types::*;
use std::sync::Arc;
use std::time::Duration;

/// Most reloads during one request.
const MAX_RELOADS: usize = 4;

/// Returns settings in which every rule of every class differs from `settings()`, and which differ from those
/// of other numbers. The classes are in another order.
fn changed_settings(number: usize) -> Settings {
    let change = number as Micros + 1;
    let mut changed = Settings {
        max_attempts: 1,
        hedging: false,
        direct_requests: false,
        retry_after: false,
        ..settings()
    };
    for class in &mut changed.classes {
        class.deadline -= change;
        class.latency_objective += change;
        class.freshness_lifetime = 7_000 * change;
        class.idempotency = match class.idempotency {
            Idempotency::Idempotent => Idempotency::AtMostOnce,
            _ => Idempotency::Idempotent,
        };
        class.write = !class.write;
    }
    changed.classes.rotate_left(1);
    changed
}

/// Returns settings with classes that no other number has. None of them is in `settings()`.
fn settings_with_other_classes(number: usize) -> Settings {
    let mut changed = changed_settings(number);
    for class in &mut changed.classes {
        class.name = format!("{}-{number}", class.name);
    }
    changed
}

/// Where a request waits while the settings are replaced.
#[derive(Clone, Copy, Debug)]
enum Wait {
    BeforeSubmission,
    InMailbox,
    AfterFirstAttempt,
}

const WAITS: [Wait; 3] = [Wait::BeforeSubmission, Wait::InMailbox, Wait::AfterFirstAttempt];

/// Submits a request of a class, replaces the settings while it waits, and returns once its first attempt is
/// sent and all settings have been replaced.
async fn submit_across_reloads(
    site: &Site,
    class: usize,
    wait: Wait,
    reloads: impl IntoIterator<Item = Settings>,
) -> PendingResponse {
    let request = site.request(class);
    let reload = || reloads.into_iter().for_each(|settings| site.queue_settings(settings));
    let pending = match wait {
        Wait::BeforeSubmission => {
            reload();
            run_until_idle().await;
            site.dispatcher.submit(request)
        }
        Wait::InMailbox => {
            reload();
            site.dispatcher.submit(request)
        }
        Wait::AfterFirstAttempt => {
            let pending = site.dispatcher.submit(request);
            run_until_idle().await;
            reload();
            pending
        }
    };
    run_until_idle().await;
    pending
}

/// Calls `check` with the numbers of reloads, with classes that are changed or removed, and the place where
/// the request waits.
fn for_each_order(check: impl Fn(Wait, Vec<Settings>)) {
    for wait in WAITS {
        for reloads in 0..=MAX_RELOADS {
            check(wait, (0..reloads).map(changed_settings).collect());
            check(wait, (0..reloads).map(settings_with_other_classes).collect());
        }
    }
}

/// Guards against forwarding a write that must run once as a read to a cache, and against a second attempt at
/// it: its class was an index that later settings had given to another class.
#[test]
fn a_write_stays_a_write_that_must_not_run_twice_whatever_is_reloaded() {
    for_each_order(|wait, reloads| {
        run_with_paused_clock(async {
            let (site, order) = (site(), format!("{wait:?}, {} reloads", reloads.len()));
            let pending = submit_across_reloads(&site, 1, wait, reloads).await;
            let (server, attempt) = site.connector.attempts().pop().expect("an attempt");
            assert_eq!((&*server, &*attempt.class), ("origin-1", "filing"), "{order}");
            end_attempt(&site, attempt.attempt_id, Err(AttemptError::Unanswered)).await;
            assert_eq!(site.connector.attempts().len(), 1, "{order}: an attempt that may have run");
            assert_eq!(pending.await, ClientResponse::Failed(FailureReason::UpstreamFailed), "{order}");
        });
    });
}

/// Guards against rules of later settings for a request that has chosen its class: the limit on attempts,
/// whether it may run again, the age of copies, and Retry-After.
#[test]
fn a_read_keeps_its_attempts_and_the_age_of_its_copies_whatever_is_reloaded() {
    for_each_order(|wait, reloads| {
        run_with_paused_clock(async {
            let (site, order) = (site(), format!("{wait:?}, {} reloads", reloads.len()));
            let pending = submit_across_reloads(&site, 0, wait, reloads).await;
            for number in 0..2 {
                let attempts = site.connector.attempts();
                assert_eq!(attempts.len(), number + 1, "{order}");
                let (_, attempt) = &attempts[number];
                assert_eq!((&*attempt.class, attempt.max_age_ms), ("videos", 0), "{order}");
                end_attempt(&site, attempt.attempt_id, Err(AttemptError::Unanswered)).await;
            }
            let (_, attempt) = site.connector.attempts().pop().expect("a third attempt");
            end_attempt(&site, attempt.attempt_id, served()).await;
            assert!(matches!(pending.await, ClientResponse::Served(_)), "{order}");
        });
    });
}

/// Guards against a rejection without Retry-After because later settings turn it off.
#[test]
fn a_rejection_follows_the_settings_that_its_request_began_under() {
    for_each_order(|wait, reloads| {
        run_with_paused_clock(async {
            let (site, order) = (site(), format!("{wait:?}, {} reloads", reloads.len()));
            let pending = submit_across_reloads(&site, 0, wait, reloads).await;
            let response = pending.await;
            assert!(
                matches!(response, ClientResponse::Rejected { retry_after: Some(_), .. }),
                "{order}: {response:?}"
            );
        });
    });
}

/// Checks what the reload is for: requests whose class is chosen after it have the new rules, and a class
/// that was removed can't be chosen.
#[test]
fn requests_after_a_reload_have_the_new_rules() {
    run_with_paused_clock(async {
        let site = site();
        site.queue_settings(changed_settings(0));
        run_until_idle().await;
        let rules = site.dispatcher.class_rules("filing").expect("a class");
        assert_eq!((rules.class_index(), rules.class().idempotency), (0, Idempotency::Idempotent));
        let _pending = site.dispatcher.submit(site.request(0));
        run_until_idle().await;
        let (server, attempt) = site.connector.attempts().pop().expect("an attempt");
        assert!(server.starts_with("cache") && &*attempt.class == "filing", "{server}: {attempt:?}");
        assert_eq!(attempt.max_age_ms, 7);
        end_attempt(&site, attempt.attempt_id, Err(AttemptError::Unanswered)).await;
        assert_eq!(site.connector.attempts().len(), 1, "one attempt is allowed");
        site.queue_settings(settings_with_other_classes(1));
        run_until_idle().await;
        assert!(site.dispatcher.class_rules("filing").is_none());
        assert!(site.dispatcher.class_rules("filing-1").is_some());
    });
}

/// Guards against state that grows with the number of reloads: the settings, counters and estimates of
/// classes that are gone.
#[test]
fn settings_and_classes_exist_only_while_they_are_in_force_or_in_use() {
    const RELOADS: usize = 1_000;
    /// Every so many reloads a request begins that lasts until the end.
    const RELOADS_PER_REQUEST: usize = 100;
    run_with_paused_clock(async {
        let site = site();
        let classes = settings().classes.len();
        let (mut pending, mut replaced) = (Vec::new(), Vec::new());
        for number in 0..RELOADS {
            site.queue_settings(settings_with_other_classes(number));
            run_until_idle().await;
            if number % RELOADS_PER_REQUEST == 0 {
                pending.push(site.dispatcher.submit(site.request_with_new_id(0)));
            } else {
                drop(site.dispatcher.submit(site.request_with_new_id(0)));
            }
            run_until_idle().await;
            replaced.push(Arc::downgrade(&site.dispatcher.settings()));
            let in_use = replaced.iter().filter(|settings| settings.strong_count() > 0).count();
            assert!(in_use <= pending.len() + 1, "{in_use} settings exist after {number} reloads");
            let metrics = site.dispatcher.metrics().await.expect("a dispatcher");
            assert!(metrics.tables.classes <= classes * (pending.len() + 1), "{:?}", metrics.tables);
            let estimates = metrics.tables.class_estimates;
            assert!(estimates <= classes + pending.len(), "{:?}", metrics.tables);
            let counted = metrics.requests.len();
            assert!(counted <= classes * (pending.len() + 2), "{counted} classes counted");
        }
        drop(pending);
        tokio::time::sleep(Duration::from_secs(4)).await;
        for (_, attempt) in site.connector.attempts() {
            end_attempt(&site, attempt.attempt_id, Err(AttemptError::Unanswered)).await;
        }
        site.queue_settings(settings());
        run_until_idle().await;
        site.queue_settings(changed_settings(0));
        run_until_idle().await;
        let metrics = site.dispatcher.metrics().await.expect("a dispatcher");
        let TableSizes { pending_requests, classes: in_use, class_estimates, .. } = metrics.tables;
        assert_eq!((pending_requests, in_use, class_estimates), (0, classes, classes));
        assert_eq!(metrics.requests.len(), classes, "{:?}", metrics.requests);
        assert_eq!(site.dispatcher.settings_in_use().len(), 1);
    });
}
