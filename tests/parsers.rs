//! The parsers with valid messages split at random places and with random bytes, from fixed seeds.

use bytes::BytesMut;
use foxhold::config::platform::PlatformConfig;
use foxhold::discovery::{codec, xds};
use foxhold::frontend::http;
use foxhold::signed;
use foxhold::upstream::line_codec;
use quickcheck::{Arbitrary, Gen};

fn check_property<A: Arbitrary + std::fmt::Debug>(seed: u64, property: impl Fn(&A) -> bool) {
    let mut random = Gen::from_size_and_seed(300, seed);
    for _ in 0..1000 {
        let input = A::arbitrary(&mut random);
        assert!(property(&input), "seed {seed}: {input:?}");
    }
}

/// Appends the bytes to a buffer in pieces, split at `cuts`. Returns the messages that the parser takes from
/// the buffer.
fn parse_in_pieces<T, E>(
    bytes: &[u8],
    cuts: &[u16],
    mut next: impl FnMut(&mut BytesMut) -> Result<Option<T>, E>,
) -> Result<Vec<T>, E> {
    let mut ends: Vec<usize> = cuts.iter().map(|c| usize::from(*c) % (bytes.len() + 1)).collect();
    ends.push(bytes.len());
    ends.sort_unstable();
    let (mut buffer, mut found, mut from) = (BytesMut::new(), Vec::new(), 0);
    for end in ends {
        buffer.extend_from_slice(&bytes[from..end]);
        from = end;
        while let Some(message) = next(&mut buffer)? {
            found.push(message);
        }
    }
    Ok(found)
}

const RESPONSES: &[u8] = b"a1 ACK tag=4be0,minted=17,res=fetched_root,lag=9.5 9\r\nb\r\nody\r\n!\r\n\
    a2 NOENT res=up_lost 0\r\n\r\np1 READY gauges=util:0.61;x1:1.5\r\np2 AILING\r\na3 AGAIN - 0\r\n\r\n";

#[test]
fn server_responses_decode_the_same_for_any_split() {
    let mut decoder = line_codec::LineDecoder::default();
    let complete = parse_in_pieces(RESPONSES, &[], |b| decoder.next(b)).expect("valid responses");
    assert_eq!(complete.len(), 5);
    check_property(1, move |cuts: &Vec<u16>| {
        let mut decoder = line_codec::LineDecoder::default();
        parse_in_pieces(RESPONSES, cuts, |b| decoder.next(b)).as_ref() == Ok(&complete)
    });
}

const REQUESTS: &[u8] = b"GET /ops/videos/7f?block=3 HTTP/1.1\r\nHost: a\r\nX-Job-Id: 1\r\n\r\n\
    \r\nPUT /ops/filing/7f HTTP/1.0\r\nContent-Length: 0\r\nIf-None-Match: \"a\"\r\n\r\n";

#[test]
fn requests_parse_the_same_for_any_split() {
    let complete = parse_in_pieces(REQUESTS, &[], |b| http::parse_head(b, 100)).expect("valid requests");
    assert_eq!(complete.len(), 2);
    check_property(2, move |cuts: &Vec<u16>| {
        parse_in_pieces(REQUESTS, cuts, |b| http::parse_head(b, 100)).as_ref() == Ok(&complete)
    });
}

const WATCH_LINES: &[u8] =
    b"{\"rev\":41,\"pool\":{\"revision\":7,\"complete\":false,\"members\":[{\"id\":\"s\",\
    \"host_port\":\"h:1\",\"locality\":\"east\",\"flavor\":\"std\",\"cell\":2,\"phase\":\"in_service\",\
    \"size\":4,\"up_since_ms\":0}]}}\n{\"rev\":42,\"flush\":{\"asset\":\"7f\",\"ms\":1764576000123}}\n42\n\
    {\"rev\":43,\"flush\":{\"collection\":17,\"ms\":1764576000480}}\n";

#[test]
fn discovery_lines_decode_the_same_for_any_split() {
    let decode = |cuts: &[u16]| {
        let lines = parse_in_pieces(WATCH_LINES, cuts, codec::take_line).expect("short lines");
        lines.iter().map(|l| codec::decode_line(l)).collect::<Result<Vec<_>, _>>()
    };
    let complete = decode(&[]).expect("valid lines");
    assert_eq!((complete.len(), &complete[2]), (4, &codec::WatchLine::Heartbeat(42)));
    check_property(3, move |cuts: &Vec<u16>| decode(cuts).as_ref() == Ok(&complete));
}

/// Parses random bytes, and valid messages with one byte changed. No parser may panic or take the same bytes
/// twice, and no credential is accepted.
#[test]
fn random_bytes_are_rejected_without_a_panic() {
    fn parse_and_deny(bytes: &[u8]) -> bool {
        let mut decoder = line_codec::LineDecoder::default();
        let _ = parse_in_pieces(bytes, &[], |b| decoder.next(b));
        let _ = parse_in_pieces(bytes, &[], |b| http::parse_head(b, 100));
        let _ = parse_in_pieces(bytes, &[], codec::take_line)
            .map(|l| l.iter().map(|l| codec::decode_line(l)).filter(Result::is_ok).count());
        let text = String::from_utf8_lossy(bytes);
        let _ = (xds::parse(&text).is_ok(), PlatformConfig::parse(&text).is_ok());
        let file = r#"{"keys":[{"name":"k","alg":"HMAC-SHA1","key":"MDEyMzQ1Njc4OWFiY2RlZg"}]}"#;
        let keys = signed::KeySet::new(miniserde::json::from_str(file).expect("JSON")).expect("a valid key");
        signed::verify_credential(&keys, "a", &text, 0).is_err()
    }
    check_property(4, |bytes: &Vec<u8>| parse_and_deny(bytes));
    let messages = [
        RESPONSES,
        REQUESTS,
        WATCH_LINES,
        b"/a?URISigningPackage=e30.e30.e30",
        b"/a?Expires=1&KeyName=k&Signature=aa",
    ];
    check_property(5, move |(which, offset, byte): &(u8, u16, u8)| {
        let mut bytes = messages[usize::from(*which) % messages.len()].to_vec();
        let offset = usize::from(*offset) % bytes.len();
        bytes[offset] = *byte;
        parse_and_deny(&bytes)
    });
}
