//! The authenticated form of messages among directors, and the file of their keys.
#![cfg(feature = "peers")]

use foxhold::cluster::frame::{parse_keys, Body, FrameCodec, Message, Rejection, VERSION};
use foxhold::cluster::members::Member;
use foxhold::replication::gossip::GossipMessage;
use proptest::prelude::*;

fn seal(fleet: &str, byte: u8) -> FrameCodec {
    FrameCodec::new(fleet, &[vec![byte; 32]]).expect("a key")
}

fn message() -> Message {
    let from = Member::new("a", "127.0.0.1:1".parse().expect("an address"), 1);
    Message { from, incarnation: 7, number: 1, body: Body::Gossip(GossipMessage::RootDigest(5)) }
}

#[test]
fn what_is_foreign_is_turned_down_with_its_cause() {
    let good = seal("one", 1).encode(&message()).expect("small");
    assert_eq!(seal("one", 1).decode(&good), Ok(message()));
    assert_eq!(seal("two", 1).decode(&good), Err(Rejection::Fleet));
    assert_eq!(seal("one", 2).decode(&good), Err(Rejection::Unauthenticated));
    assert_eq!(seal("one", 1).decode(&good[..10]), Err(Rejection::Size));
    let later = [&[VERSION + 1], &good[1..]].concat();
    assert_eq!(seal("one", 1).decode(&later), Err(Rejection::Version));
    let two = FrameCodec::new("one", &[vec![2; 32], vec![1; 32]]).expect("keys");
    assert_eq!(two.decode(&good), Ok(message()), "an older key opens still");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed:
        proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn whatever_is_changed_in_a_datagram_it_is_turned_down(place in 0usize..60, by in 1u8..=255) {
        let mut datagram = seal("one", 1).encode(&message()).expect("small");
        let place = place % datagram.len();
        datagram[place] ^= by;
        prop_assert!(seal("one", 1).decode(&datagram).is_err());
    }

    #[test]
    fn no_bytes_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(seal("one", 1).decode(&bytes).is_err());
    }
}

#[test]
fn a_key_file_is_read_and_its_faults_are_named_with_their_line() {
    let good = "# ours\n\nAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\n";
    assert_eq!(parse_keys(good).expect("a key"), vec![vec![0; 32]]);
    assert!(parse_keys("# none\n").expect_err("none").contains("no key"));
    assert!(parse_keys("\nAAAA\n").expect_err("short").starts_with("line 2: a key of 3 bytes"));
    assert!(parse_keys("!!\n").expect_err("not base64").starts_with("line 1"));
}
