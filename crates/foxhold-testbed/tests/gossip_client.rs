//! Tests of the gossip test client's delivery: lost updates are sent again, and a delivery that is never
//! acknowledged ends within its bounds.

use foxhold::replication::entry::{Key, Value};
use foxhold_testbed::faults::peer_network::LinkConditions;
use foxhold_testbed::load::gossip_client::{DeliveryError, TestClient};
use foxhold_testbed::scenarios::cluster::{Fleet, FleetConfig};
use std::future::Future;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

mod common;

const ENTRIES: u32 = 5_000;
/// 8 outstanding batches, 20 attempts for each, 2 datagrams per attempt.
const MAX_UNACKNOWLEDGED_DATAGRAMS: u64 = 8 * 20 * 2;

fn block_on(paused: bool, test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(paused).build().expect("runtime starts");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

fn config() -> FleetConfig {
    FleetConfig { directors: 1, seed: 7, ..FleetConfig::default() }
}

fn purges() -> Vec<(Key, Value)> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock is after 1970").as_micros() as u64;
    (0..ENTRIES).map(|group| (Key::Group(group), Value::Purged(now))).collect()
}

#[test]
fn every_update_is_delivered_despite_loss_duplication_and_delay() {
    block_on(false, async {
        let fleet = Fleet::start(&common::daemon(), config()).await.expect("fleet starts");
        fleet.net.set_all(LinkConditions { loss: 0.3, duplication: 0.1, delay_ms: 20 });
        let mut client = TestClient::open(&fleet).await.expect("client opens");
        let delivered = client.fill(&fleet, 0, ENTRIES).await.expect("all updates are acknowledged");
        assert!(delivered.retries > 0, "expected retries: {delivered:?}");
        assert_eq!(fleet.purge_count(0).await.expect("admin endpoint responds"), u64::from(ENTRIES));
    });
}

#[test]
fn unacknowledged_updates_end_after_bounded_attempts_and_datagrams() {
    block_on(true, async {
        let fleet = Fleet::prepare(&common::daemon(), config()).await.expect("relays open");
        let mut client = TestClient::open(&fleet).await.expect("client opens");
        let started = tokio::time::Instant::now();
        let error = client
            .deliver(fleet.relay_address(0), purges())
            .await
            .expect_err("no director runs to acknowledge updates");
        assert!(matches!(error, DeliveryError::AttemptsExhausted { missing: 1.. }), "{error}");
        assert!(started.elapsed() < Duration::from_secs(40), "{:?}", started.elapsed());
        let (datagrams, _) = fleet.net.arrived(0);
        assert!((1..=MAX_UNACKNOWLEDGED_DATAGRAMS).contains(&datagrams), "{datagrams}");
    });
}
