//! Tests of `faults::relay`: the effect of link faults on the connections through a link.

use foxhold_testbed::faults::relay::{Link, LinkFault};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Starts an echo server and opens a link to it.
async fn link_to_echo_server() -> Link {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port binds");
    let address = listener.local_addr().expect("listener has an address").to_string();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    Link::open(address).await.expect("relay opens")
}

/// Reads from the stream. Returns `None` if it stays open and nothing arrives within that time.
async fn read_within(stream: &mut TcpStream, within_ms: u64) -> Option<std::io::Result<usize>> {
    let mut bytes = [0; 16];
    tokio::time::timeout(Duration::from_millis(within_ms), stream.read(&mut bytes)).await.ok()
}

fn block_on_local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime starts");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn a_stall_keeps_bytes_and_a_drop_loses_them_and_resets_open_connections() {
    block_on_local(async {
        let link = link_to_echo_server().await;
        let mut stream = TcpStream::connect(&link.address).await.expect("relay accepts the connection");
        for (fault, keeps_bytes) in [(LinkFault::Stall, true), (LinkFault::Drop, false)] {
            link.set(fault);
            tokio::time::sleep(Duration::from_millis(20)).await;
            stream.write_all(b"one").await.expect("bytes are written");
            assert!(read_within(&mut stream, 80).await.is_none(), "{fault:?}: expected no bytes");
            link.set(LinkFault::None);
            let result =
                read_within(&mut stream, 2_000).await.expect("stream delivers bytes or closes within 2 s");
            assert_eq!(matches!(result, Ok(3)), keeps_bytes, "{fault:?}: {result:?}");
        }
    });
}

#[test]
fn a_one_way_link_returns_no_bytes_and_a_reset_link_closes_connections() {
    block_on_local(async {
        let link = link_to_echo_server().await;
        link.set(LinkFault::OneWay);
        let mut stream = TcpStream::connect(&link.address).await.expect("relay accepts the connection");
        stream.write_all(b"one").await.expect("bytes are written");
        assert!(read_within(&mut stream, 80).await.is_none());
        link.set(LinkFault::Reset);
        assert!(!matches!(read_within(&mut stream, 2_000).await, Some(Ok(n)) if n > 0));
        let mut second_stream =
            TcpStream::connect(&link.address).await.expect("relay accepts the connection");
        assert!(!matches!(read_within(&mut second_stream, 2_000).await, Some(Ok(n)) if n > 0));
    });
}

#[test]
fn a_delayed_link_delays_both_directions() {
    block_on_local(async {
        let link = link_to_echo_server().await;
        link.set(LinkFault::Delay(50));
        let mut stream = TcpStream::connect(&link.address).await.expect("relay accepts the connection");
        let started = std::time::Instant::now();
        stream.write_all(b"one").await.expect("bytes are written");
        assert!(matches!(read_within(&mut stream, 2_000).await, Some(Ok(3))));
        assert!(started.elapsed() >= Duration::from_millis(100));
    });
}
