//! Changes of the endpoint list, and restarts of connection actors that ended.

use crate::emulated::{endpoint_listing, run_with_paused_clock};
use crate::fixture::*;
use foxhold::dispatch::*;
use foxhold::policy::types::*;
use std::time::Duration;
use tokio::time::sleep;

#[test]
fn a_draining_server_gets_no_new_requests_and_is_not_named_as_fill_source() {
    run_with_paused_clock(async {
        let site = site();
        for (name, kind, zone) in [("cache-1", "cache", "edge"), ("parent-1", "parent", "hub")] {
            let address = if kind == "cache" { "a" } else { "c" };
            let member =
                Endpoint { state: MemberState::Draining, ..endpoint_listing(name, address, zone, kind) };
            site.dispatcher
                .sender()
                .send(DispatcherMessage::Members { full: false, members: vec![member] })
                .await;
        }
        let pending: Vec<PendingResponse> = (0..50)
            .map(|n| {
                site.dispatcher.submit(ClientRequest {
                    object: format!("{n:016x}").into(),
                    ..site.request_with_new_id(0)
                })
            })
            .collect();
        run_until_idle().await;
        let attempts = site.connector.attempts();
        assert!(attempts.len() >= 10, "{}", attempts.len());
        for (name, attempt) in &attempts {
            assert!(name == "cache-2" || name == "origin-1", "{name}");
            assert!(
                attempt.fill_source.as_deref().is_none_or(|via| via == "origin-1"),
                "{:?}",
                attempt.fill_source
            );
        }
        drop(pending);
    });
}

#[test]
fn a_restart_of_a_server_ends_the_attempts_at_its_previous_process() {
    run_with_paused_clock(async {
        let site = site();
        let pending = site.dispatcher.submit(site.request(1));
        run_until_idle().await;
        sleep(Duration::from_millis(100)).await;
        let member =
            Endpoint { started_at: site.clock.unix(), ..endpoint_listing("origin-1", "d", "hub", "origin") };
        site.dispatcher
            .sender()
            .send(DispatcherMessage::Members { full: false, members: vec![member] })
            .await;
        assert_eq!(pending.await, ClientResponse::Failed(FailureReason::UpstreamFailed));
    });
}

#[test]
fn a_connection_actor_that_ended_is_restarted() {
    run_with_paused_clock(async {
        let site = site_with_connector(RecordingConnector::ending_after_one_command());
        for n in 1..=3 {
            let pending = site.dispatcher.submit(site.request(1));
            run_until_idle().await;
            assert_eq!(site.connector.attempts().len(), n);
            drop(pending);
            run_until_idle().await;
        }
    });
}

#[test]
fn numbers_of_objects_and_servers_depend_only_on_their_names() {
    assert_eq!(object_number("7f3a9c21e0b4d655"), 0x7f3a_9c21_e0b4_d655);
    assert_eq!(object_number("guide/one.mp4"), object_number("guide/one.mp4"));
    assert_ne!(object_number("guide/one.mp4"), object_number("guide/two.mp4"));
    assert_eq!(server_number("s-07c63ad4"), 0x07c6_3ad4);
    assert_ne!(server_number("toy-cache"), server_number("toy-parent"));
}
