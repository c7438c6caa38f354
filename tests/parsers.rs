//! Random cuts of valid messages and random garbage against the parsers, from fixed seeds.

use bytes::BytesMut;
use foxhold::config::platform::PlatformConfig;
use foxhold::discovery::{codec, xds};
use foxhold::frontend::http;
use foxhold::signed;
use foxhold::upstream::line_codec;
use quickcheck::{Arbitrary, Gen};

fn check<A: Arbitrary + std::fmt::Debug>(seed: u64, property: impl Fn(&A) -> bool) {
    let mut random = Gen::from_size_and_seed(300, seed);
    for _ in 0..1000 {
        let input = A::arbitrary(&mut random);
        assert!(property(&input), "seed {seed}: {input:?}");
    }
}

/// Feeds the bytes in pieces cut at these places and collects what a parser takes off the buffer.
fn in_pieces<T, E>(
    bytes: &[u8],
    cuts: &[u16],
    mut next: impl FnMut(&mut BytesMut) -> Result<Option<T>, E>,
) -> Result<Vec<T>, E> {
    let mut places: Vec<usize> = cuts.iter().map(|c| usize::from(*c) % (bytes.len() + 1)).collect();
    places.push(bytes.len());
    places.sort_unstable();
    let (mut buffer, mut found, mut from) = (BytesMut::new(), Vec::new(), 0);
    for place in places {
        buffer.extend_from_slice(&bytes[from..place]);
        from = place;
        while let Some(one) = next(&mut buffer)? {
            found.push(one);
        }
    }
    Ok(found)
}

const ANSWERS: &[u8] = b"a1 ACK tag=4be0,minted=17,res=fetched_root,lag=9.5 9\r\nb\r\nody\r\n!\r\n\
    a2 NOENT res=up_lost 0\r\n\r\np1 READY gauges=util:0.61;x1:1.5\r\np2 AILING\r\na3 AGAIN - 0\r\n\r\n";

#[test]
fn server_answers_read_the_same_however_they_are_cut() {
    let mut reader = line_codec::LineDecoder::default();
    let complete = in_pieces(ANSWERS, &[], |b| reader.next(b)).expect("valid answers");
    assert_eq!(complete.len(), 5);
    check(1, move |cuts: &Vec<u16>| {
        let mut reader = line_codec::LineDecoder::default();
        in_pieces(ANSWERS, cuts, |b| reader.next(b)).as_ref() == Ok(&complete)
    });
}

const REQUESTS: &[u8] = b"GET /ops/videos/7f?block=3 HTTP/1.1\r\nHost: a\r\nX-Job-Id: 1\r\n\r\n\
    \r\nPUT /ops/filing/7f HTTP/1.0\r\nContent-Length: 0\r\nIf-None-Match: \"a\"\r\n\r\n";

#[test]
fn requests_read_the_same_however_they_are_cut() {
    let complete = in_pieces(REQUESTS, &[], |b| http::parse_head(b, 100)).expect("valid requests");
    assert_eq!(complete.len(), 2);
    check(2, move |cuts: &Vec<u16>| {
        in_pieces(REQUESTS, cuts, |b| http::parse_head(b, 100)).as_ref() == Ok(&complete)
    });
}

const WATCH_LINES: &[u8] =
    b"{\"rev\":41,\"pool\":{\"revision\":7,\"complete\":false,\"members\":[{\"id\":\"s\",\
    \"host_port\":\"h:1\",\"locality\":\"east\",\"flavor\":\"std\",\"cell\":2,\"phase\":\"in_service\",\
    \"size\":4,\"up_since_ms\":0}]}}\n{\"rev\":42,\"flush\":{\"asset\":\"7f\",\"ms\":1764576000123}}\n42\n\
    {\"rev\":43,\"flush\":{\"collection\":17,\"ms\":1764576000480}}\n";

#[test]
fn discovery_lines_read_the_same_however_they_are_cut() {
    let read = |cuts: &[u16]| {
        let lines = in_pieces(WATCH_LINES, cuts, codec::take_line).expect("short lines");
        lines.iter().map(|l| codec::decode_line(l)).collect::<Result<Vec<_>, _>>()
    };
    let complete = read(&[]).expect("valid lines");
    assert_eq!((complete.len(), &complete[2]), (4, &codec::WatchLine::Heartbeat(42)));
    check(3, move |cuts: &Vec<u16>| read(cuts).as_ref() == Ok(&complete));
}

/// A valid message with one byte changed, or garbage: nothing may panic, and nothing is taken twice.
#[test]
fn garbage_is_rejected_without_a_panic() {
    fn feed(bytes: &[u8]) -> bool {
        let mut reader = line_codec::LineDecoder::default();
        let _ = in_pieces(bytes, &[], |b| reader.next(b));
        let _ = in_pieces(bytes, &[], |b| http::parse_head(b, 100));
        let _ = in_pieces(bytes, &[], codec::take_line)
            .map(|l| l.iter().map(|l| codec::decode_line(l)).filter(Result::is_ok).count());
        let text = String::from_utf8_lossy(bytes);
        let _ = (xds::parse(&text).is_ok(), PlatformConfig::parse(&text).is_ok());
        let file = r#"{"keys":[{"name":"k","alg":"HMAC-SHA1","key":"MDEyMzQ1Njc4OWFiY2RlZg"}]}"#;
        let keys = signed::KeySet::new(miniserde::json::from_str(file).expect("JSON")).expect("a good key");
        signed::verify_credential(&keys, "a", &text, 0).is_err()
    }
    check(4, |bytes: &Vec<u8>| feed(bytes));
    let messages = [
        ANSWERS,
        REQUESTS,
        WATCH_LINES,
        b"/a?URISigningPackage=e30.e30.e30",
        b"/a?Expires=1&KeyName=k&Signature=aa",
    ];
    check(5, move |(which, place, byte): &(u8, u16, u8)| {
        let mut bytes = messages[usize::from(*which) % messages.len()].to_vec();
        let place = usize::from(*place) % bytes.len();
        bytes[place] = *byte;
        feed(&bytes)
    });
}
