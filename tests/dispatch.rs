//! The module's actor with a clock that stands still and peers that only note what they are told.

mod standin;

use foxhold::dispatch::{self, *};
use foxhold::policy::types::*;
use standin::{listing, paused, settings};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};

const NOW: Micros = 1_764_576_000_000_000;

/// What each server was told, by its name.
#[derive(Clone, Default)]
struct Told {
    orders: Rc<RefCell<Vec<(String, EndpointCommand)>>>,
    /// Each actor ends after its first order, as one that panics does.
    mortal: bool,
}

impl EndpointConnector for Told {
    fn connect(
        &mut self,
        _: ServerId,
        listing: &Endpoint,
        _: DispatcherSender,
    ) -> mpsc::Sender<EndpointCommand> {
        let (mailbox, mut orders) = mpsc::channel(16);
        let (told, name) = (self.clone(), listing.name.to_string());
        tokio::task::spawn_local(async move {
            while let Some(order) = orders.recv().await {
                told.orders.borrow_mut().push((name.clone(), order));
                if told.mortal {
                    return;
                }
            }
        });
        mailbox
    }
}

impl Told {
    fn wants(&self) -> Vec<(String, UpstreamRequest)> {
        let want = |(name, order): &(String, EndpointCommand)| match order {
            EndpointCommand::Send(want) => Some((name.clone(), want.clone())),
            _ => None,
        };
        self.orders.borrow().iter().filter_map(want).collect()
    }

    fn forgotten(&self) -> usize {
        self.orders.borrow().iter().filter(|(_, order)| matches!(order, EndpointCommand::Cancel(_))).count()
    }
}

struct Site {
    core: Dispatcher,
    told: Told,
    clock: Clock,
}

fn site() -> Site {
    site_with(Told::default())
}

fn site_with(told: Told) -> Site {
    site_of(told, settings())
}

fn site_with_settings(settings: Settings) -> Site {
    site_of(Told::default(), settings)
}

fn site_of(told: Told, settings: Settings) -> Site {
    let members = vec![
        listing("cache-1", "a", "edge", "cache"),
        listing("cache-2", "b", "edge", "cache"),
        listing("parent-1", "c", "hub", "parent"),
        listing("origin-1", "d", "hub", "origin"),
    ];
    let clock = Clock::starting_at(NOW);
    let known = vec![DispatcherMessage::Members { full: true, members }];
    let core = dispatch::start(settings, 7, clock, told.clone(), known).expect("good settings").dispatcher;
    Site { core, told, clock }
}

fn ask(class: usize) -> ClientRequest {
    let (id, object) = ("00000000000000aa".into(), "7f3a9c21e0b4d655".into());
    ClientRequest {
        id,
        class,
        object,
        size_kb: 50.0,
        timeout: Duration::from_secs(2),
        ..ClientRequest::default()
    }
}

/// The same under an id of its own.
fn other(site: &Site, class: usize) -> ClientRequest {
    ClientRequest { id: site.core.generate_request_id(), ..ask(class) }
}

fn copy() -> AttemptResult {
    let verdict = ResponseStatus::Ok(Representation { etag: None, body: "bytes".into() });
    Ok(UpstreamResponse {
        status: verdict,
        cache_status: CacheStatus::Hit,
        source_wait: 0,
        load_report: Vec::new(),
    })
}

/// Lets all other tasks run until they wait.
async fn settle() {
    sleep(Duration::from_millis(1)).await;
}

async fn end(site: &Site, ticket: AttemptId, end: AttemptResult) {
    site.core.sender().send(DispatcherMessage::AttemptEnded(ticket, end)).await;
    settle().await;
}

#[test]
fn the_first_end_of_an_attempt_counts_and_later_ones_find_it_gone() {
    paused(async {
        let site = site();
        let pending = site.core.submit(ask(1));
        settle().await;
        let wants = site.told.wants();
        assert_eq!((wants.len(), &wants[0].0[..]), (1, "origin-1"));
        end(&site, wants[0].1.attempt_id, Err(AttemptError::Unanswered)).await;
        end(&site, wants[0].1.attempt_id, copy()).await;
        assert_eq!(
            pending.await,
            ClientResponse::Failed(FailureReason::UpstreamFailed),
            "a write that may have run"
        );
        assert_eq!(site.told.wants().len(), 1, "and never goes again");
    });
}

#[test]
fn how_far_an_attempt_came_decides_whether_a_write_may_go_again() {
    let goes_again = |broken: AttemptError| {
        paused(async move {
            let site = site();
            let pending = site.core.submit(ask(1));
            settle().await;
            end(&site, site.told.wants()[0].1.attempt_id, Err(broken)).await;
            let sent = site.told.wants().len();
            drop(pending);
            sent > 1
        })
    };
    assert!(goes_again(AttemptError::NotConnected), "by another way");
    assert!(goes_again(AttemptError::NotWritten) && goes_again(AttemptError::PartiallyWritten));
    assert!(!goes_again(AttemptError::Unanswered) && !goes_again(AttemptError::ResponseInterrupted));
}

#[test]
fn a_peer_that_says_nothing_still_leaves_one_answer_before_the_client_gives_up() {
    for class in [0, 1] {
        paused(async {
            let (site, begun) = (site(), Instant::now());
            let answer = site.core.submit(ask(class)).await;
            assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
            match answer {
                ClientResponse::Rejected { reason: FailureReason::DeadlineExceeded, .. } => {
                    assert_eq!(class, 0)
                }
                ClientResponse::Failed(FailureReason::DeadlineExceeded) => assert_eq!(class, 1),
                other => panic!("{other:?}"),
            }
            settle().await;
            assert_eq!(site.told.forgotten(), site.told.wants().len(), "all that was out is called off");
        });
    }
}

#[test]
fn what_the_module_gave_up_on_is_answered_at_once_with_advice() {
    paused(async {
        let site = site();
        let members = [("cache-1", "a"), ("cache-2", "b"), ("parent-1", "c"), ("origin-1", "d")];
        let gone = |(name, address)| Endpoint {
            state: MemberState::Gone,
            ..listing(name, address, "edge", "cache")
        };
        let members = members.into_iter().map(gone).collect();
        site.core.sender().send(DispatcherMessage::Members { full: true, members }).await;
        let begun = Instant::now();
        let answer = site.core.submit(ask(0)).await;
        assert!(
            matches!(
                answer,
                ClientResponse::Rejected { retry_after: Some(_), reason: FailureReason::Overloaded }
            ),
            "{answer:?}"
        );
        assert!(begun.elapsed() < Duration::from_millis(5), "{:?}", begun.elapsed());
    });
}

#[test]
fn a_client_that_leaves_has_its_attempts_called_off() {
    paused(async {
        let site = site();
        let pending = site.core.submit(ask(0));
        settle().await;
        drop(pending);
        settle().await;
        assert_eq!((site.told.wants().len(), site.told.forgotten()), (1, 1));
    });
}

#[test]
fn nothing_new_goes_to_a_member_that_drains_nor_names_it_as_a_source() {
    paused(async {
        let site = site();
        for (name, kind, zone) in [("cache-1", "cache", "edge"), ("parent-1", "parent", "hub")] {
            let address = if kind == "cache" { "a" } else { "c" };
            let member = Endpoint { state: MemberState::Draining, ..listing(name, address, zone, kind) };
            site.core.sender().send(DispatcherMessage::Members { full: false, members: vec![member] }).await;
        }
        let asks: Vec<PendingResponse> = (0..50)
            .map(|n| {
                site.core.submit(ClientRequest { object: format!("{n:016x}").into(), ..other(&site, 0) })
            })
            .collect();
        settle().await;
        let wants = site.told.wants();
        assert!(wants.len() >= 10, "{}", wants.len());
        for (name, want) in &wants {
            assert!(name == "cache-2" || name == "origin-1", "{name}");
            assert!(
                want.fill_source.as_deref().is_none_or(|via| via == "origin-1"),
                "{:?}",
                want.fill_source
            );
        }
        drop(asks);
    });
}

#[test]
fn a_new_process_ends_what_its_predecessor_was_sent() {
    paused(async {
        let site = site();
        let pending = site.core.submit(ask(1));
        settle().await;
        sleep(Duration::from_millis(100)).await;
        let member = Endpoint { started_at: site.clock.unix(), ..listing("origin-1", "d", "hub", "origin") };
        site.core.sender().send(DispatcherMessage::Members { full: false, members: vec![member] }).await;
        assert_eq!(pending.await, ClientResponse::Failed(FailureReason::UpstreamFailed));
    });
}

#[test]
fn a_purge_limits_the_age_of_copies_also_where_the_group_is_not_told() {
    paused(async {
        let site = site();
        let purge = DispatcherMessage::Purged {
            object: None,
            group: 9,
            at: site.clock.unix() - 250_000,
            retention: 0,
        };
        site.core.sender().send(purge).await;
        for (group, purged) in [(Some(9), true), (Some(8), false), (None, true)] {
            let pending = site.core.submit(ClientRequest { group, ..ask(0) });
            settle().await;
            let want = site.told.wants().pop().expect("an attempt").1;
            assert_eq!(want.max_age_ms > 0, purged, "{group:?}");
            assert!(want.max_age_ms <= 260, "{group:?}: {}", want.max_age_ms);
            end(&site, want.attempt_id, copy()).await;
            assert!(matches!(pending.await, ClientResponse::Served(_)));
        }
    });
}

/// Directors that hear late may have an old copy fetched long after servers have dropped theirs.
#[test]
fn a_purge_that_is_kept_holds_for_as_long_as_it_says() {
    paused(async {
        let site = site();
        let (at, begun) = (site.clock.unix(), Instant::now());
        for (group, keep) in [(8, 0), (9, 60_000_000)] {
            site.core
                .sender()
                .send(DispatcherMessage::Purged { object: None, group, at, retention: keep })
                .await;
        }
        for (seconds, group, limited) in [(30, 8, false), (30, 9, true), (61, 9, false)] {
            tokio::time::sleep_until(begun + Duration::from_secs(seconds)).await;
            let pending = site.core.submit(ClientRequest { group: Some(group), ..ask(0) });
            settle().await;
            let want = site.told.wants().pop().expect("an attempt").1;
            assert_eq!(want.max_age_ms > 0, limited, "{seconds} s, group {group}: {}", want.max_age_ms);
            assert!(!limited || want.max_age_ms <= seconds * 1_000 + 100);
            end(&site, want.attempt_id, copy()).await;
            assert!(matches!(pending.await, ClientResponse::Served(_)));
        }
    });
}

#[test]
fn while_it_is_careful_no_copy_from_before_a_moment_is_served_and_none_is_joined() {
    paused(async {
        let site = site();
        for (at, limited) in [(Some(site.clock.unix() - 250_000), true), (None, false)] {
            site.core.sender().send(DispatcherMessage::NotBefore(at)).await;
            let pending = site.core.submit(ask(0));
            settle().await;
            let want = site.told.wants().pop().expect("an attempt").1;
            assert_eq!(want.max_age_ms > 0 && want.max_age_ms <= 300, limited, "{}", want.max_age_ms);
            assert!(!(limited && want.collapse));
            end(&site, want.attempt_id, copy()).await;
            assert!(matches!(pending.await, ClientResponse::Served(_)));
        }
    });
}

#[test]
fn a_credential_that_expires_while_its_request_waits_ends_it_at_that_moment() {
    for (class, expected) in [
        (0, ClientResponse::Rejected { retry_after: None, reason: FailureReason::CredentialExpired }),
        (1, ClientResponse::Failed(FailureReason::CredentialExpired)), // a write that may have run
    ] {
        paused(async {
            let (site, begun) = (site(), Instant::now());
            let valid_until = Some(site.clock.unix() + 300_000);
            assert_eq!(
                site.core.submit(ClientRequest { credential_expires_at: valid_until, ..ask(class) }).await,
                expected
            );
            assert_eq!(begun.elapsed().as_millis(), 300);
            settle().await;
            assert_eq!((site.told.wants().len(), site.told.forgotten()), (1, 1));
        });
    }
}

#[test]
fn a_credential_is_good_to_its_last_microsecond_and_not_a_moment_longer() {
    for (left, sent) in [(1_000, 1), (0, 0)] {
        paused(async {
            let site = site();
            let valid_until = Some(site.clock.unix() + left);
            let pending = site.core.submit(ClientRequest { credential_expires_at: valid_until, ..ask(1) });
            tokio::task::yield_now().await;
            tokio::task::yield_now().await;
            assert_eq!(site.told.wants().len(), sent);
            let answer = pending.await;
            // Unsent, it is harmless to try again with a new credential, a write as well.
            assert_eq!(
                matches!(answer, ClientResponse::Rejected { reason: FailureReason::CredentialExpired, .. }),
                sent == 0,
                "{answer:?}"
            );
        });
    }
}

#[test]
fn an_answer_that_began_in_time_runs_on_and_one_that_came_late_does_not_begin() {
    paused(async {
        let site = site();
        let valid_until = Some(site.clock.unix() + 300_000);
        let pending = site.core.submit(ClientRequest { credential_expires_at: valid_until, ..ask(0) });
        settle().await;
        end(&site, site.told.wants()[0].1.attempt_id, copy()).await;
        sleep(Duration::from_secs(1)).await; // the front takes it after the end of its validity
        assert!(matches!(pending.await, ClientResponse::Served(_)));
    });
}

#[test]
fn a_further_attempt_is_not_sent_once_the_credential_has_expired() {
    paused(async {
        let site = site();
        let valid_until = Some(site.clock.unix() + 300_000);
        let pending = site.core.submit(ClientRequest { credential_expires_at: valid_until, ..ask(0) });
        settle().await;
        let ticket = site.told.wants()[0].1.attempt_id;
        assert_eq!(
            pending.await,
            ClientResponse::Rejected { retry_after: None, reason: FailureReason::CredentialExpired }
        );
        end(&site, ticket, Err(AttemptError::NotConnected)).await;
        assert_eq!(site.told.wants().len(), 1);
    });
}

#[test]
fn servers_have_numbers_by_their_names_alone() {
    assert_eq!(object_number("7f3a9c21e0b4d655"), 0x7f3a_9c21_e0b4_d655);
    assert_eq!(object_number("guide/one.mp4"), object_number("guide/one.mp4"));
    assert_ne!(object_number("guide/one.mp4"), object_number("guide/two.mp4"));
    assert_eq!(server_number("s-07c63ad4"), 0x07c6_3ad4);
    assert_ne!(server_number("toy-cache"), server_number("toy-parent"));
}

#[test]
fn a_peer_whose_actor_ended_is_opened_anew() {
    paused(async {
        let site = site_with(Told { mortal: true, ..Told::default() });
        for n in 1..=3 {
            let pending = site.core.submit(ask(1));
            settle().await;
            assert_eq!(site.told.wants().len(), n);
            drop(pending);
            settle().await;
        }
    });
}

#[test]
fn beyond_what_is_held_requests_are_turned_away_at_once() {
    paused(async {
        let site = site();
        let mut held = Vec::new();
        for _ in 0..256 {
            held.extend((0..16).map(|_| site.core.submit(other(&site, 1))));
            settle().await; // so that no mailbox fills
        }
        assert_eq!(site.told.wants().len(), 4096);
        let begun = Instant::now();
        let answer = site.core.submit(other(&site, 1)).await;
        assert!(
            matches!(
                answer,
                ClientResponse::Rejected { retry_after: Some(_), reason: FailureReason::Overloaded }
            ),
            "{answer:?}"
        );
        assert!(begun.elapsed() < Duration::from_millis(5));
        assert_eq!(site.told.wants().len(), 4096);
        drop(held);
    });
}

#[test]
fn a_client_that_would_wait_for_ever_is_held_for_a_day_at_most() {
    paused(async {
        let (site, begun) = (site(), Instant::now());
        let answer = site
            .core
            .submit(ClientRequest {
                timeout: Duration::MAX,
                credential_expires_at: Some(Micros::MAX),
                ..ask(1)
            })
            .await;
        assert_eq!(answer, ClientResponse::Failed(FailureReason::DeadlineExceeded));
        assert!(begun.elapsed() <= Duration::from_secs(24 * 3600), "{:?}", begun.elapsed());
    });
}

/// Guards short waits: what is kept back for the way is a small part of them, and something always is.
#[test]
fn an_answer_leaves_before_the_client_gives_up_by_a_small_share_of_its_wait() {
    for (allow, least, most) in [(60, 54, 59), (200, 185, 196), (2000, 1960, 1980)] {
        paused(async move {
            let site = site();
            let allow = Duration::from_millis(allow);
            let begun = Instant::now();
            let answer = site.core.submit(ClientRequest { timeout: allow, size_kb: 1.0, ..ask(0) }).await;
            assert!(matches!(answer, ClientResponse::Rejected { .. }), "{answer:?}");
            let took = begun.elapsed().as_millis();
            assert!((least..=most).contains(&took), "{allow:?} took {took} ms");
        });
    }
}

/// Guards other sites: an attempt may wait half of what they leave for heeding a drain or a purge, and one
/// that servers are to throw away as a repeat no longer than they do.
#[test]
fn how_long_an_attempt_may_wait_follows_the_site_s_settings() {
    for (drain, purge, wait) in [(1_000_000, 1_000_000, 500), (300_000, 0, 150), (900_000, 200_000, 100)] {
        paused(async {
            let site = site_with_settings(Settings { drain_grace: drain, purge_grace: purge, ..settings() });
            let (_pending, now) = (site.core.submit(ask(1)), Instant::now());
            settle().await;
            let by = site.told.wants()[0].1.send_deadline;
            assert_eq!(by.saturating_duration_since(now).as_millis(), wait, "{drain} {purge}");
        });
    }
    paused(async {
        let mut settings = settings();
        settings.classes[0].idempotency =
            Idempotency::IdempotencyKey { scope: KeyScope::All, window: 400_000 };
        let site = site_with_settings(settings);
        let (_pending, first) = (site.core.submit(ask(0)), Instant::now());
        settle().await;
        sleep(Duration::from_millis(300)).await;
        end(&site, site.told.wants()[0].1.attempt_id, Err(AttemptError::Unanswered)).await;
        let again = &site.told.wants()[1].1;
        let by = again.send_deadline.saturating_duration_since(first).as_millis();
        assert!((395..=400).contains(&by), "{by}");
    });
}

/// Connections that came up late passed for a crowded link, so that fills were turned away: most where a
/// third of them are late. The time counts from when the server had the request.
#[test]
fn what_an_attempt_waited_for_its_connection_is_no_sign_of_a_slow_server() {
    paused(async {
        let site = site();
        for _ in 0..60 {
            let pending = site
                .core
                .submit(ClientRequest { object: site.core.generate_request_id(), ..other(&site, 0) });
            settle().await;
            let (name, want) = site.told.wants().pop().expect("an attempt");
            assert!(name.starts_with("cache") && want.fill_source.as_deref() == Some("parent-1"), "{want:?}");
            sleep(Duration::from_millis(350)).await;
            site.core.sender().send(DispatcherMessage::AttemptWritten(want.attempt_id)).await;
            sleep(Duration::from_millis(60)).await;
            let verdict = ResponseStatus::Ok(Representation { etag: None, body: "bytes".into() });
            end(
                &site,
                want.attempt_id,
                Ok(UpstreamResponse {
                    status: verdict,
                    cache_status: CacheStatus::Filled,
                    source_wait: 0,
                    load_report: Vec::new(),
                }),
            )
            .await;
            assert!(matches!(pending.await, ClientResponse::Served(_)));
        }
    });
}
