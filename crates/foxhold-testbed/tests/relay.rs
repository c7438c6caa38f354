//! Faults on a link between two processes, as the connections through it meet them.

use foxhold_testbed::faults::relay::{Link, LinkFault};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// An echo, and a link to it.
async fn echo() -> Link {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    Link::open(address).await.expect("a relay")
}

async fn heard(stream: &mut TcpStream, within: u64) -> Option<std::io::Result<usize>> {
    let mut bytes = [0; 16];
    tokio::time::timeout(Duration::from_millis(within), stream.read(&mut bytes)).await.ok()
}

fn local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("one");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn a_stall_keeps_bytes_and_a_drop_loses_them_and_resets_what_lived_through_it() {
    local(async {
        let link = echo().await;
        let mut stream = TcpStream::connect(&link.address).await.expect("a relay");
        for (fault, kept) in [(LinkFault::Stall, true), (LinkFault::Drop, false)] {
            link.set(fault);
            tokio::time::sleep(Duration::from_millis(20)).await;
            stream.write_all(b"one").await.expect("a writer");
            assert!(heard(&mut stream, 80).await.is_none(), "{fault:?}");
            link.set(LinkFault::None);
            let heard = heard(&mut stream, 2_000).await.expect("something");
            assert_eq!(matches!(heard, Ok(3)), kept, "{fault:?}: {heard:?}");
        }
    });
}

#[test]
fn a_one_way_link_carries_what_is_asked_and_no_answer() {
    local(async {
        let link = echo().await;
        link.set(LinkFault::OneWay);
        let mut stream = TcpStream::connect(&link.address).await.expect("a relay");
        stream.write_all(b"one").await.expect("a writer");
        assert!(heard(&mut stream, 80).await.is_none());
        link.set(LinkFault::Reset);
        assert!(!matches!(heard(&mut stream, 2_000).await, Some(Ok(n)) if n > 0));
        let mut other = TcpStream::connect(&link.address).await.expect("a relay");
        assert!(!matches!(heard(&mut other, 2_000).await, Some(Ok(n)) if n > 0));
    });
}

#[test]
fn a_late_link_is_late() {
    local(async {
        let link = echo().await;
        link.set(LinkFault::Delay(50));
        let mut stream = TcpStream::connect(&link.address).await.expect("a relay");
        let begun = std::time::Instant::now();
        stream.write_all(b"one").await.expect("a writer");
        assert!(matches!(heard(&mut stream, 2_000).await, Some(Ok(3))));
        assert!(begun.elapsed() >= Duration::from_millis(100));
    });
}
