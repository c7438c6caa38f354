//! Endpoints that the director's own list and the replicated state report, in every order.

use crate::emulated::{endpoint_listing, run_with_paused_clock};
use crate::fixture::*;
use foxhold::dispatch::*;
use foxhold::policy::types::*;

const STATES: [MemberState; 3] = [MemberState::Running, MemberState::Draining, MemberState::Gone];
const REQUESTS: usize = 12;

/// A report of one of the sources.
#[derive(Clone, Debug)]
enum Report {
    Own(Endpoint),
    OwnFullList(Vec<Endpoint>),
    Replicated(Endpoint),
}

/// Returns an entry for the first cache.
fn cache(state: MemberState, started_at: Micros) -> Endpoint {
    Endpoint { state, started_at, ..endpoint_listing("cache-1", "a", "edge", "cache") }
}

/// Returns the list without the first cache.
fn other_servers() -> Vec<Endpoint> {
    vec![
        endpoint_listing("cache-2", "b", "edge", "cache"),
        endpoint_listing("parent-1", "c", "hub", "parent"),
        endpoint_listing("origin-1", "d", "hub", "origin"),
    ]
}

async fn send(site: &Site, report: Report) {
    let message = match report {
        Report::Own(member) => DispatcherMessage::Members { full: false, members: vec![member] },
        Report::OwnFullList(members) => DispatcherMessage::Members { full: true, members },
        Report::Replicated(member) => DispatcherMessage::ReplicatedMember(Box::new(member)),
    };
    site.dispatcher.sender().send(message).await;
    run_until_idle().await;
}

/// Returns whether the first cache gets requests.
async fn is_used(site: &Site) -> bool {
    let before = site.connector.attempts().len();
    for number in 0..REQUESTS {
        let object = format!("{number:016x}").into();
        let pending = site.dispatcher.submit(ClientRequest { object, ..site.request_with_new_id(0) });
        run_until_idle().await;
        let (_, attempt) = site.connector.attempts().pop().expect("an attempt");
        end_attempt(site, attempt.attempt_id, served()).await;
        assert!(matches!(pending.await, ClientResponse::Served(_)));
    }
    site.connector.attempts()[before..].iter().any(|(server, _)| server == "cache-1")
}

/// Guards against a drain or an end that an older report of the other source undoes, whichever came first.
#[test]
fn a_drain_or_an_end_is_not_undone_by_another_source() {
    for own in STATES {
        for replicated in STATES {
            let reports = [Report::Own(cache(own, 0)), Report::Replicated(cache(replicated, 0))];
            for order in [[0, 1], [1, 0]] {
                run_with_paused_clock(async {
                    let site = site();
                    // Both sources know the server before one of them changes.
                    send(&site, Report::Replicated(cache(MemberState::Running, 0))).await;
                    for index in order {
                        send(&site, reports[index].clone()).await;
                    }
                    let is_running = own == MemberState::Running && replicated == MemberState::Running;
                    assert_eq!(is_used(&site).await, is_running, "{own:?}, {replicated:?}, {order:?}");
                });
            }
        }
    }
}

/// Checks that what should end a drain or bring a server back still does: another process, or reports that
/// agree.
#[test]
fn a_later_process_and_agreeing_reports_put_a_server_into_service() {
    let [running, draining] = [MemberState::Running, MemberState::Draining];
    for (reports, used) in [
        (vec![Report::Own(cache(draining, 0)), Report::Replicated(cache(running, 5))], true),
        (vec![Report::Replicated(cache(draining, 0)), Report::Own(cache(running, 5))], true),
        (vec![Report::Own(cache(MemberState::Gone, 3)), Report::Replicated(cache(running, 5))], true),
        (vec![Report::Own(cache(draining, 5)), Report::Replicated(cache(running, 3))], false),
        (vec![Report::Replicated(cache(draining, 5)), Report::Own(cache(running, 3))], false),
        (
            vec![
                Report::Replicated(cache(draining, 0)),
                Report::Own(cache(running, 0)),
                Report::Replicated(cache(running, 0)),
            ],
            true,
        ),
        (vec![Report::Own(cache(draining, 0)), Report::Own(cache(running, 0))], true),
    ] {
        run_with_paused_clock(async {
            let site = site();
            for report in &reports {
                send(&site, report.clone()).await;
            }
            assert_eq!(is_used(&site).await, used, "{reports:?}");
        });
    }
}

/// Guards against an end in the own list that is ignored, because it does not name the process and the server
/// is known from the replicated state only.
#[test]
fn an_end_in_the_own_list_applies_to_a_server_that_only_the_replicated_state_lists() {
    run_with_paused_clock(async {
        let site = site();
        send(&site, Report::OwnFullList(other_servers())).await;
        send(&site, Report::Replicated(cache(MemberState::Running, 5))).await;
        assert!(is_used(&site).await);
        send(&site, Report::Own(cache(MemberState::Gone, 0))).await;
        assert!(!is_used(&site).await);
    });
}

/// Guards against a server that a full list has removed and an older replicated entry brings back, and
/// against records of servers that no source lists.
#[test]
fn a_full_list_ends_the_servers_that_it_lacks() {
    run_with_paused_clock(async {
        let site = site();
        let listed = site.dispatcher.metrics().await.expect("a dispatcher").tables.servers;
        send(&site, Report::Replicated(cache(MemberState::Running, 0))).await;
        send(&site, Report::OwnFullList(other_servers())).await;
        assert!(!is_used(&site).await);
        send(&site, Report::Replicated(cache(MemberState::Running, 0))).await;
        assert!(!is_used(&site).await, "the entry describes the process that has ended");
        send(&site, Report::Replicated(cache(MemberState::Gone, 0))).await;
        let tables = site.dispatcher.metrics().await.expect("a dispatcher").tables;
        assert_eq!(tables.servers, listed - 1, "nothing is kept of a server that no source lists");
        let mut all = other_servers();
        all.push(cache(MemberState::Running, 0));
        send(&site, Report::OwnFullList(all)).await;
        assert!(is_used(&site).await, "a full list brings a server back");
    });
}

/// Guards against the end of a server that is ignored: it is replicated without zone, kind and process.
#[test]
fn a_replicated_end_takes_effect_without_the_properties_of_the_server() {
    for started_at in [0, 5] {
        run_with_paused_clock(async {
            let site = site();
            send(&site, Report::Own(cache(MemberState::Running, started_at))).await;
            send(&site, Report::Replicated(cache(MemberState::Running, started_at))).await;
            assert!(is_used(&site).await);
            let tombstone = Endpoint { state: MemberState::Gone, ..endpoint_listing("cache-1", "", "", "") };
            send(&site, Report::Replicated(tombstone)).await;
            assert!(!is_used(&site).await, "the process that started at {started_at} has ended");
            send(&site, Report::Own(cache(MemberState::Running, 9))).await;
            assert!(is_used(&site).await, "a later process is used");
        });
    }
}

/// Guards against an undrain that puts a server into service which its list drains.
#[test]
fn an_undrain_ends_the_override_and_not_the_drain_of_the_list() {
    run_with_paused_clock(async {
        let site = site();
        site.dispatcher.drain("cache-1", DrainCommand::Drain).await.expect("a dispatcher");
        assert!(!is_used(&site).await);
        site.dispatcher.drain("cache-1", DrainCommand::Undrain).await.expect("a dispatcher");
        assert!(is_used(&site).await, "the list has the server in service");
        site.dispatcher.drain("cache-1", DrainCommand::Drain).await.expect("a dispatcher");
        send(&site, Report::Own(cache(MemberState::Draining, 0))).await;
        site.dispatcher.drain("cache-1", DrainCommand::Undrain).await.expect("a dispatcher");
        assert!(!is_used(&site).await, "the list drains the server");
        send(&site, Report::Own(cache(MemberState::Running, 0))).await;
        assert!(is_used(&site).await);
    });
}
