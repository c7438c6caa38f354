//! Directors that share state: five to eight real processes, faults between them, and what all of them hold afterwards.
//! The large form of these is `foxhold-testbed talk`.

use foxhold::cluster::frame::{Body, FrameCodec, Message};
use foxhold::cluster::members::Member;
use foxhold::replication::entry::{Key, Value};
use foxhold::replication::gossip::GossipMessage;
use foxhold_testbed::faults::peer_network::LinkConditions;
use foxhold_testbed::load::gossip_client::TestClient;
use foxhold_testbed::scenarios::cluster::{Fleet, FleetConfig};
use rustix::process::Signal;
use std::future::Future;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

mod common;

fn local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

async fn fleet(directors: usize, keys: &str, persistent: bool) -> Fleet {
    let config = FleetConfig { directors, keys: keys.into(), persistent, seed: 7, ..FleetConfig::default() };
    let fleet = Fleet::start(&common::daemon(), config).await.expect("a fleet");
    fleet.joined(&all(&fleet), directors - 1, s(20)).await.expect("they meet");
    fleet
}

fn all(fleet: &Fleet) -> Vec<usize> {
    (0..fleet.len()).collect()
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

async fn told(fleet: &Fleet, n: usize, line: &str) {
    assert_eq!(fleet.admin_call(n, line).await.expect("a door"), "YES\n", "{line}");
}

/// Delivers so many purges to a director.
async fn fill(fleet: &Fleet, n: usize, entries: u32) {
    let mut client = TestClient::open(fleet).await.expect("a client");
    client.fill(fleet, n, entries).await.expect("it takes them");
}

fn has(state: &[String], words: &str) -> bool {
    state.iter().any(|line| line.contains(words))
}

/// Waits until each holds the same of all kinds, and gives that of the drains.
async fn same(fleet: &Fleet, some: &[usize], within: Duration) -> Vec<String> {
    let mut drains = Vec::new();
    for kind in ["purges", "drains", "members"] {
        let deadline = std::time::Instant::now() + within;
        loop {
            let mut states = Vec::new();
            for n in some {
                states.push(fleet.state(*n, kind).await);
            }
            if states.iter().all(|one| one.is_some() && *one == states[0]) {
                if kind == "drains" {
                    drains = states[0].clone().unwrap_or_default();
                }
                break;
            }
            assert!(
                std::time::Instant::now() < deadline,
                "{kind} differ: {states:?}\n{}",
                fleet.log(some[0])
            );
            sleep(Duration::from_millis(20)).await;
        }
    }
    drains
}

fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_micros() as u64
}

/// What someone says who has another key, or speaks for another fleet.
fn sealed(fleet: &str, key: &[u8], say: GossipMessage) -> Vec<u8> {
    let from = Member::new("outsider", "127.0.0.1:9".parse().expect("an address"), 1);
    let message = Message { from, incarnation: 1, number: 1, body: Body::Gossip(say) };
    FrameCodec::new(fleet, &[key.to_vec()]).expect("a key").encode(&message).expect("small")
}

/// Waits, for 300 ms at most, until each director's own module leaves so many servers out.
async fn excluded(fleet: &Fleet, servers: usize) {
    let deadline = std::time::Instant::now() + Duration::from_millis(300);
    for n in all(fleet) {
        loop {
            let vars = fleet.admin_call(n, "vars").await.expect("a door");
            if vars.contains(&format!("\"caches_excluded\":{servers},")) {
                break;
            }
            assert!(std::time::Instant::now() < deadline, "director {n}: {vars}");
            sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn count(fleet: &Fleet, n: usize, path: &[&str]) -> u64 {
    let shown = fleet.shown(n).await.expect("a door");
    path.iter().fold(&shown, |value, key| &value[*key]).as_u64().unwrap_or(0)
}

#[test]
fn a_drain_told_to_one_director_holds_in_all_within_a_second_and_is_taken_back_in_all() {
    local(async {
        let fleet = fleet(6, "", false).await;
        told(&fleet, 2, "drain cache-1").await;
        let took = fleet.until(&all(&fleet), "drains", s(1), |s| has(s, "cache-1 drains")).await;
        println!("the last of six heard after {:?}", took.expect("within a second"));
        // Not only held: each director's own module leaves the server out.
        excluded(&fleet, 1).await;
        told(&fleet, 4, "undrain cache-1").await;
        fleet
            .until(&all(&fleet), "drains", s(1), |s| has(s, "cache-1 does not drain"))
            .await
            .expect("all hear");
        excluded(&fleet, 0).await;
        assert_eq!(
            fleet.admin_call(1, "drain cache-1 now").await.expect("a door"),
            "NO such call; there are 'check' and 'vars'\n"
        );
        // All started at once: nobody had anything to catch up with.
        let begun = std::time::Instant::now();
        while fleet.admin_call(1, "check").await.expect("a door") == "YES catching up\n" {
            assert!(begun.elapsed() < s(5));
            sleep(Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn a_purge_told_while_the_ways_to_half_of_the_others_are_cut_is_with_all_soon_after_they_are_back() {
    local(async {
        let fleet = fleet(6, "", false).await;
        fleet.net.cut(&[0, 1, 2], &[3, 4, 5]);
        told(&fleet, 0, "purge object 7f3a9c21e0b4d655").await;
        fleet.until(&[0, 1, 2], "purges", s(2), |s| has(s, "7f3a9c21e0b4d655")).await.expect("its own half");
        sleep(s(1)).await;
        for n in 3..6 {
            assert_eq!(fleet.state(n, "purges").await, Some(Vec::new()), "the ways are cut");
        }
        fleet.net.set_all(LinkConditions::default());
        let took = fleet.until(&[3, 4, 5], "purges", s(5), |s| has(s, "7f3a9c21e0b4d655")).await;
        println!("all had the purge {:?} after the ways were back", took.expect("they hear"));
    });
}

#[test]
fn a_fleet_cut_in_two_long_enough_to_take_each_other_for_dead_comes_to_one_state() {
    local(async {
        let fleet = fleet(6, "", false).await;
        told(&fleet, 0, "drain cache-2").await;
        same(&fleet, &all(&fleet), s(5)).await;
        let (left, right) = ([0, 1, 2], [3, 4, 5]);
        fleet.net.cut(&left, &right);
        // Each half takes the other for dead: the protocol's 4 s of suspicion and some probes.
        for n in all(&fleet) {
            let begun = std::time::Instant::now();
            while fleet.shown(n).await.expect("a door")["peers"].as_array().map(Vec::len) != Some(2) {
                assert!(begun.elapsed() < s(25), "director {n}: {}", fleet.log(n));
                sleep(Duration::from_millis(100)).await;
            }
        }
        // On the left a drain is taken back that all know of; on the right it is told anew.
        told(&fleet, 1, "undrain cache-2").await;
        told(&fleet, 3, "drain cache-2").await;
        // On the right a drain that the left never hears of is told and taken back; on the left one stays.
        told(&fleet, 4, "drain parent-1").await;
        told(&fleet, 5, "undrain parent-1").await;
        told(&fleet, 2, "drain cache-1").await;
        told(&fleet, 2, "purge group 9").await;
        fleet.net.set_all(LinkConditions::default());
        let healed = std::time::Instant::now();
        fleet.joined(&all(&fleet), 5, s(20)).await.expect("they meet again");
        let drains = same(&fleet, &all(&fleet), s(10)).await;
        println!("one state {:?} after the ways were back: {drains:?}", healed.elapsed());
        assert!(has(&drains, "cache-2 drains"), "told at once on both sides: in doubt it drains");
        assert!(has(&drains, "cache-1 drains") && has(&drains, "parent-1 does not drain"), "{drains:?}");
    });
}

#[test]
fn over_ways_that_lose_a_fifth_double_some_and_are_late_all_come_to_one_state() {
    local(async {
        let fleet = fleet(5, "", false).await;
        fleet.net.set_all(LinkConditions { loss: 0.2, duplication: 0.2, delay_ms: 2_000 });
        // One way between two is gone altogether.
        fleet.net.set(0, 1, LinkConditions::CUT);
        for n in 0..20 {
            let server = ["cache-1", "cache-2", "parent-1"][n % 3];
            let word = if n % 4 == 3 { "undrain" } else { "drain" };
            fleet.admin_call(n % 5, &format!("{word} {server}")).await.expect("a door");
            fleet.admin_call((n + 2) % 5, &format!("purge group {}", n % 7)).await.expect("a door");
        }
        let drains = same(&fleet, &all(&fleet), s(30)).await;
        assert_eq!(drains.len(), 3, "{drains:?}");
        assert!(count(&fleet, 3, &["turned_down", "replayed"]).await > 0, "what came twice was seen to");
    });
}

#[test]
fn one_that_stands_still_past_its_death_learns_of_it_and_brings_nothing_old_back() {
    local(async {
        let mut fleet = fleet(5, "", false).await;
        told(&fleet, 4, "drain cache-1").await;
        same(&fleet, &all(&fleet), s(5)).await;
        fleet.signal(4, Signal::STOP);
        told(&fleet, 0, "undrain cache-1").await;
        told(&fleet, 0, "purge group 3").await;
        let begun = std::time::Instant::now();
        while fleet.shown(0).await.expect("a door")["gone"].as_array().map(Vec::len) != Some(1) {
            assert!(begun.elapsed() < s(25), "it is taken for dead");
            sleep(Duration::from_millis(100)).await;
        }
        fleet.signal(4, Signal::CONT);
        fleet.joined(&all(&fleet), 4, s(20)).await.expect("it is back");
        let drains = same(&fleet, &all(&fleet), s(10)).await;
        assert!(has(&drains, "cache-1 does not drain"), "{drains:?}");
        assert!(fleet.log(4).contains("rejoined the cluster after being declared dead"), "{}", fleet.log(4));
    });
}

#[test]
fn one_that_is_killed_comes_back_from_nothing_from_its_disk_and_from_a_broken_or_old_one() {
    local(async {
        let mut fleet = fleet(5, "horizon_s: 10", true).await;
        told(&fleet, 0, "drain cache-1").await;
        told(&fleet, 1, "purge group 3").await;
        same(&fleet, &all(&fleet), s(5)).await;
        sleep(Duration::from_millis(600)).await; // the disk's turn
        for how in ["from its disk", "from nothing", "from a broken disk", "from an old disk"] {
            fleet.kill(3).await;
            let file = fleet.state_folder(3).join("foxhold-state.redb");
            match how {
                "from nothing" => std::fs::remove_file(&file).expect("a file"),
                "from a broken disk" => std::fs::write(&file, vec![7; 50_000]).expect("a file"),
                "from an old disk" => sleep(s(11)).await,
                _ => {}
            }
            let before = fleet.log(3);
            fleet.start_some(&[3]).await.expect("it starts");
            let drains = same(&fleet, &all(&fleet), s(10)).await;
            assert!(has(&drains, "cache-1 drains"), "{how}: {drains:?}");
            let begun = std::time::Instant::now();
            while fleet.admin_call(3, "check").await.expect("a door") != "YES caught up\n" {
                assert!(begun.elapsed() < s(10), "{how}");
                sleep(Duration::from_millis(20)).await;
            }
            sleep(Duration::from_millis(600)).await;
            let log = fleet.log(3);
            assert_ne!(log, before);
            let says = match how {
                "from its disk" => "entries loaded from disk",
                "from a broken disk" => "stored state is unreadable; file renamed",
                "from an old disk" => "older than the horizon",
                _ => "entries loaded from disk merged=0 stored=0",
            };
            assert!(log.contains(says), "{how}: {log}");
        }
    });
}

#[test]
fn all_that_are_killed_at_once_return_one_by_one_with_what_their_disks_held() {
    local(async {
        let mut fleet = fleet(5, "", true).await;
        told(&fleet, 0, "drain cache-1").await;
        told(&fleet, 4, "purge object x").await;
        same(&fleet, &all(&fleet), s(5)).await;
        sleep(Duration::from_millis(600)).await;
        for n in all(&fleet) {
            fleet.kill(n).await;
        }
        for n in all(&fleet) {
            fleet.start_some(&[n]).await.expect("it starts");
        }
        fleet.joined(&all(&fleet), 4, s(20)).await.expect("they meet again");
        let drains = same(&fleet, &all(&fleet), s(10)).await;
        assert!(has(&drains, "cache-1 drains"));
        excluded(&fleet, 1).await;
    });
}

#[test]
fn one_that_is_killed_in_the_midst_of_catching_up_and_one_whose_source_is_killed_end_with_all() {
    local(async {
        let mut fleet = fleet(5, "", false).await;
        fill(&fleet, 0, 20_000).await;
        let begun = std::time::Instant::now();
        loop {
            let mut held = Vec::new();
            for n in all(&fleet) {
                held.push(count(&fleet, n, &["entries", "purges"]).await);
            }
            if held[0] == 20_000 && held.iter().all(|n| *n == held[0]) {
                break;
            }
            assert!(begun.elapsed() < s(60), "digests bring them: {held:?}");
            sleep(Duration::from_millis(100)).await;
        }
        let held = count(&fleet, 0, &["entries", "purges"]).await;
        fleet.kill(4).await;
        fleet.start_some(&[4]).await.expect("it starts");
        sleep(Duration::from_millis(30)).await;
        fleet.kill(4).await; // as likely as not in the midst of it
        fleet.start_some(&[4]).await.expect("it starts");
        let begun = std::time::Instant::now();
        fleet.kill(0).await;
        fleet.kill(1).await;
        while fleet.admin_call(4, "check").await.expect("a door") != "YES caught up\n" {
            assert!(begun.elapsed() < s(20), "{}\n{}", fleet.shown(4).await.expect("a door"), fleet.log(4));
            sleep(Duration::from_millis(10)).await;
        }
        println!("{held} entries after {:?}, two sources killed", begun.elapsed());
        assert!(count(&fleet, 4, &["entries", "purges"]).await >= held);
    });
}

#[test]
fn a_full_disk_stops_writing_is_counted_and_never_stops_serving_and_leaves_sound_data() {
    local(async {
        let config = FleetConfig {
            directors: 3,
            persistent: true,
            file_limit_kb: Some(1_600),
            ..FleetConfig::default()
        };
        let mut fleet = Fleet::start(&common::daemon(), config).await.expect("a fleet");
        fleet.joined(&all(&fleet), 2, s(20)).await.expect("they meet");
        told(&fleet, 1, "drain cache-1").await;
        sleep(Duration::from_millis(600)).await;
        assert!(count(&fleet, 0, &["counts", "disk_written"]).await > 0, "it was written at first");
        fill(&fleet, 0, 40_000).await;
        let begun = std::time::Instant::now();
        while count(&fleet, 0, &["counts", "disk_failed"]).await == 0 {
            assert!(begun.elapsed() < s(20), "{}", fleet.shown(0).await.expect("a door"));
            sleep(Duration::from_millis(50)).await;
        }
        // It goes on: a word told there is with all.
        told(&fleet, 0, "drain cache-2").await;
        fleet.until(&all(&fleet), "drains", s(2), |s| has(s, "cache-2 drains")).await.expect("it talks");
        assert!(fleet.log(0).contains("writing the state to disk failed"), "{}", fleet.log(0));
        // What is on the disk is sound: the state of some earlier moment.
        fleet.lift_file_limit();
        fleet.kill(0).await;
        fleet.start_some(&[0]).await.expect("it starts");
        let log = fleet.log(0);
        assert!(
            !log.contains("file renamed")
                && !log.contains("renaming the file failed")
                && log.contains("entries loaded from disk"),
            "{log}"
        );
        fleet
            .until(&[0], "drains", s(5), |s| has(s, "cache-1 drains") && has(s, "cache-2 drains"))
            .await
            .expect("all");
        assert_eq!(count(&fleet, 0, &["counts", "disk_failed"]).await, 0);
    });
}

#[test]
fn a_disk_that_has_room_again_is_written_whole_by_the_director_that_runs() {
    local(async {
        let config = FleetConfig {
            directors: 1,
            persistent: true,
            file_limit_kb: Some(1_600),
            ..FleetConfig::default()
        };
        let mut fleet = Fleet::start(&common::daemon(), config).await.expect("a fleet");
        fill(&fleet, 0, 40_000).await;
        let begun = std::time::Instant::now();
        while count(&fleet, 0, &["counts", "disk_failed"]).await == 0 {
            assert!(begun.elapsed() < s(20), "{}", fleet.shown(0).await.expect("an answer"));
            sleep(Duration::from_millis(50)).await;
        }
        told(&fleet, 0, "drain cache-1").await;
        fleet.lift_file_limit_of(0).expect("it runs");
        // Five batches at most are from before: four that wait and one that is being written. The next is of all
        // entries, and one more may hold the drain.
        let written = count(&fleet, 0, &["counts", "disk_written"]).await;
        let begun = std::time::Instant::now();
        for group in 50_000.. {
            if count(&fleet, 0, &["counts", "disk_written"]).await > written + 7 {
                break;
            }
            assert!(begun.elapsed() < s(20), "{}", fleet.shown(0).await.expect("an answer"));
            told(&fleet, 0, &format!("purge group {group}")).await;
            sleep(Duration::from_millis(100)).await;
        }
        println!("eight batches written {:?} after there was room", begun.elapsed());
        fleet.lift_file_limit();
        fleet.kill(0).await;
        fleet.start_some(&[0]).await.expect("it starts");
        assert!(count(&fleet, 0, &["entries", "purges"]).await >= 40_000, "{}", fleet.log(0));
        let drains = fleet.state(0, "drains").await.expect("an answer");
        assert!(has(&drains, "cache-1 drains"), "{drains:?}");
    });
}

#[test]
fn what_is_foreign_changes_nothing_is_counted_and_costs_bounded_memory() {
    local(async {
        let fleet = fleet(5, "entries: 1000", false).await;
        told(&fleet, 1, "drain cache-1").await;
        let before = same(&fleet, &all(&fleet), s(5)).await;
        let to = fleet.reached_at(0);
        let words = || GossipMessage::Updates(vec![(Key::Group(1), Value::Purged(unix()))]);
        let mut client = TestClient::open(&fleet).await.expect("a client");
        for _ in 0..50 {
            client.send(to, &sealed("lab", &[9; 32], words())).await.expect("loopback");
            client
                .send(to, &sealed("elsewhere", &fleet.keys().expect("keys")[0], words()))
                .await
                .expect("loopback");
            client.send(to, &[3; 200]).await.expect("loopback");
            client.send(to, &[1; 4]).await.expect("loopback");
        }
        // A good message that is sent once more.
        let good = client
            .sealed(GossipMessage::Updates(vec![(Key::Group(2), Value::Purged(unix()))]))
            .expect("small");
        client.send(to, &good).await.expect("loopback");
        client.send(to, &good).await.expect("loopback");
        fleet
            .until(&all(&fleet), "purges", s(5), |s| s.len() == 1 && has(s, "group 2"))
            .await
            .expect("only that");
        for cause in ["seal", "fleet", "version", "size", "replayed"] {
            assert!(count(&fleet, 0, &["turned_down", cause]).await > 0, "{cause}");
        }
        assert_eq!(fleet.state(0, "drains").await, Some(before.clone()));
        // Entries without end, from one with the key: bounded, counted, and drains stay.
        while count(&fleet, 0, &["turned_down", "entry_full"]).await < 10_000 {
            client.flood(to, 10..20_000).await.expect("loopback");
        }
        sleep(s(1)).await;
        for n in all(&fleet) {
            let shown = fleet.shown(n).await.expect("a door");
            let entries: u64 =
                ["purges", "drains", "members"].iter().filter_map(|k| shown["entries"][*k].as_u64()).sum();
            assert!(entries <= 1_000, "director {n}: {shown}");
            assert_eq!(fleet.state(n, "drains").await, Some(before.clone()));
        }
        assert!(fleet.memory(0).expect("running") < 64.0);
    });
}
