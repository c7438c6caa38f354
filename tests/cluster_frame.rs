//! Authenticated framing of messages between directors, and the key file.
#![cfg(feature = "peers")]

use foxhold::cluster::frame::{Body, FrameCodec, Message, Rejection, VERSION};
use foxhold::cluster::members::Member;
use foxhold::cluster::parse_keys;
use foxhold::replication::gossip::GossipMessage;
use proptest::prelude::*;

fn codec_with_key(fleet: &str, byte: u8) -> FrameCodec {
    FrameCodec::new(fleet, &[vec![byte; 32]]).expect("a key")
}

fn root_digest_message() -> Message {
    let from = Member::new("a", "127.0.0.1:1".parse().expect("an address"), 1);
    Message { from, incarnation: 7, number: 1, body: Body::Gossip(GossipMessage::RootDigest(5)) }
}

#[test]
fn datagrams_of_other_fleets_keys_sizes_and_versions_are_rejected_with_a_cause() {
    let good = codec_with_key("one", 1).encode(&root_digest_message()).expect("small");
    assert_eq!(codec_with_key("one", 1).decode(&good), Ok(root_digest_message()));
    assert_eq!(codec_with_key("two", 1).decode(&good), Err(Rejection::Fleet));
    assert_eq!(codec_with_key("one", 2).decode(&good), Err(Rejection::Unauthenticated));
    assert_eq!(codec_with_key("one", 1).decode(&good[..10]), Err(Rejection::Size));
    let later_version = [&[VERSION + 1], &good[1..]].concat();
    assert_eq!(codec_with_key("one", 1).decode(&later_version), Err(Rejection::Version));
    let two_keys = FrameCodec::new("one", &[vec![2; 32], vec![1; 32]]).expect("keys");
    assert_eq!(two_keys.decode(&good), Ok(root_digest_message()), "expected the older key to be accepted");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed:
        proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn damaged_datagrams_are_rejected(position in 0usize..60, change in 1u8..=255) {
        let mut datagram = codec_with_key("one", 1).encode(&root_digest_message()).expect("small");
        let position = position % datagram.len();
        datagram[position] ^= change;
        prop_assert!(codec_with_key("one", 1).decode(&datagram).is_err());
    }

    #[test]
    fn arbitrary_bytes_are_rejected_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(codec_with_key("one", 1).decode(&bytes).is_err());
    }
}

#[test]
fn key_file_errors_name_the_line() {
    let good = "# a comment\n\nAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\n";
    assert_eq!(parse_keys(good).expect("a key"), vec![vec![0; 32]]);
    assert!(parse_keys("# none\n").expect_err("none").to_string().contains("no key"));
    assert!(parse_keys("\nAAAA\n").expect_err("short").to_string().starts_with("line 2: key of 3 bytes"));
    assert!(parse_keys("!!\n").expect_err("not base64").to_string().starts_with("line 1"));
}
