//! Purges and the bound on the age of copies.

use crate::emulated::run_with_paused_clock;
use crate::fixture::*;
use foxhold::dispatch::*;
use foxhold::signed::{self, Grant};
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn a_purge_of_a_group_also_limits_the_age_of_copies_of_an_unknown_group() {
    run_with_paused_clock(async {
        let site = site();
        let purge = DispatcherMessage::Purged {
            object: None,
            group: 9,
            at: site.clock.unix() - 250_000,
            retention: 0,
        };
        site.dispatcher.sender().send(purge).await;
        for (group, purged) in [(Some(9), true), (Some(8), false), (None, true)] {
            let pending = site.dispatcher.submit(ClientRequest { group, ..site.request(0) });
            run_until_idle().await;
            let attempt = site.connector.attempts().pop().expect("an attempt").1;
            assert_eq!(attempt.max_age_ms > 0, purged, "{group:?}");
            assert!(attempt.max_age_ms <= 260, "{group:?}: {}", attempt.max_age_ms);
            end_attempt(&site, attempt.attempt_id, served()).await;
            assert!(matches!(pending.await, ClientResponse::Served(_)));
        }
    });
}

/// Guards against old copies that are fetched long after servers have dropped theirs, through directors that
/// were notified late.
#[test]
fn a_purge_with_a_retention_stays_in_force_for_that_time() {
    run_with_paused_clock(async {
        let site = site();
        let (at, started) = (site.clock.unix(), Instant::now());
        for (group, retention) in [(8, 0), (9, 60_000_000)] {
            site.dispatcher
                .sender()
                .send(DispatcherMessage::Purged { object: None, group, at, retention })
                .await;
        }
        for (seconds, group, limited) in [(30, 8, false), (30, 9, true), (61, 9, false)] {
            tokio::time::sleep_until(started + Duration::from_secs(seconds)).await;
            let pending = site.dispatcher.submit(ClientRequest { group: Some(group), ..site.request(0) });
            run_until_idle().await;
            let attempt = site.connector.attempts().pop().expect("an attempt").1;
            assert_eq!(attempt.max_age_ms > 0, limited, "{seconds} s, group {group}: {}", attempt.max_age_ms);
            assert!(!limited || attempt.max_age_ms <= seconds * 1_000 + 100);
            end_attempt(&site, attempt.attempt_id, served()).await;
            assert!(matches!(pending.await, ClientResponse::Served(_)));
        }
    });
}

#[test]
fn not_before_excludes_older_copies_and_joined_fills_until_it_is_lifted() {
    run_with_paused_clock(async {
        let site = site();
        for (at, limited) in [(Some(site.clock.unix() - 250_000), true), (None, false)] {
            site.dispatcher.sender().send(DispatcherMessage::NotBefore(at)).await;
            let pending = site.dispatcher.submit(site.request(0));
            run_until_idle().await;
            let attempt = site.connector.attempts().pop().expect("an attempt").1;
            assert_eq!(
                attempt.max_age_ms > 0 && attempt.max_age_ms <= 300,
                limited,
                "{}",
                attempt.max_age_ms
            );
            assert!(!(limited && attempt.collapse));
            end_attempt(&site, attempt.attempt_id, served()).await;
            assert!(matches!(pending.await, ClientResponse::Served(_)));
        }
    });
}

/// Guards against a purge that is accepted and never applied: the object's name in a link has separators of
/// the line protocol, which requests have in encoded form.
#[test]
fn a_purge_by_the_name_in_the_link_or_as_forwarded_applies_to_the_object() {
    const FORWARDED: &str = "2026/walkthrough%2Cpart%3D1.mp4";
    for name in ["2026/walkthrough,part=1.mp4", FORWARDED] {
        run_with_paused_clock(async {
            let site = site();
            let parse = || {
                let grant = Grant { target: "/videos/2026/walkthrough,part=1.mp4".into(), expires_at: None };
                let (settings, id) = (site.dispatcher.settings(), site.dispatcher.generate_request_id());
                signed::parse_request(settings, "GET", &grant, id, None, Default::default())
            };
            for is_purged in [false, true] {
                if is_purged {
                    let (object, at) = (Some(name.into()), site.clock.unix() - 250_000);
                    let purge = DispatcherMessage::Purged { object, group: 0, at, retention: 0 };
                    site.dispatcher.sender().send(purge).await;
                }
                let pending = site.dispatcher.submit(parse().expect("a valid target"));
                run_until_idle().await;
                let attempt = site.connector.attempts().pop().expect("an attempt").1;
                assert_eq!(&*attempt.object, FORWARDED);
                assert_eq!(attempt.max_age_ms > 0, is_purged, "{name}");
                end_attempt(&site, attempt.attempt_id, served()).await;
                assert!(matches!(pending.await, ClientResponse::Served(_)));
            }
        });
    }
}
