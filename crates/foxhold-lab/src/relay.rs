//! A relay between two processes, by which the link between them is hurt and healed.
//!
//! A dropped link is one on which bytes vanish: connections stay open and silent, new ones come up (the relay is on the
//! same machine) and stay silent too. What was held back by a dropped link is gone for good, so that the connections
//! that lived through it are reset when it is healed, as retransmissions that ran out would have them.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// What is done to a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Hurt {
    /// Nothing.
    #[default]
    None,
    /// Bytes vanish both ways.
    Drop,
    /// Bytes from the one who connects arrive; those that come back vanish.
    OneWay,
    /// Connections are reset, new ones at once.
    Reset,
    /// Each piece is late by so many milliseconds.
    Delay(u64),
    /// So many KB a second each way.
    Throttle(u64),
    /// Bytes wait until the link is healed; none is lost.
    Stall,
}

/// A link through a relay of its own.
pub struct Link {
    /// Where the one end connects.
    pub address: String,
    hurt: watch::Sender<Hurt>,
    _task: JoinSet<()>,
}

impl Link {
    /// A relay to that address. Needs a `LocalSet`.
    pub async fn open(to: String) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let (hurt, state) = watch::channel(Hurt::None);
        let mut task = JoinSet::new();
        task.spawn_local(async move {
            let mut connections = JoinSet::new();
            while let Ok((near, _)) = listener.accept().await {
                connections.spawn_local(connection(near, to.clone(), state.clone()));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Link { address, hurt, _task: task })
    }

    /// Hurts the link, or heals it.
    pub fn set(&self, hurt: Hurt) {
        self.hurt.send_replace(hurt);
    }
}

async fn connection(near: TcpStream, to: String, mut state: watch::Receiver<Hurt>) {
    let born = *state.borrow();
    if born == Hurt::Reset {
        let _ = near.set_zero_linger();
        return;
    }
    let Ok(far) = TcpStream::connect(&to).await else {
        let _ = near.set_zero_linger();
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    // A connection that a reset link loses, or that lost bytes on a dropped one, ends by a reset.
    let _ = (near.set_zero_linger(), far.set_zero_linger());
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let out = carry(near_in, far_out, state.clone(), true);
    let back = carry(far_in, near_out, state.clone(), false);
    tokio::select! {
        // In this order: what comes in the moment of a reset, or of a dropped link's return, does not pass.
        biased;
        // Bytes of a dropped link are lost for good: who lived through it is reset at its end.
        () = async {
            let mut lossy = lost(born);
            loop {
                if state.changed().await.is_err() {
                    return std::future::pending().await;
                }
                let now = *state.borrow();
                if now == Hurt::Reset || (lossy && !lost(now)) {
                    return;
                }
                lossy |= lost(now);
            }
        } => {}
        () = out => {}
        () = back => {}
    }
}

fn lost(hurt: Hurt) -> bool {
    matches!(hurt, Hurt::Drop | Hurt::OneWay)
}

async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<Hurt>,
    outward: bool,
) {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let Ok(count) = from.read(&mut bytes).await else { return };
        if count == 0 {
            // An end in order reaches the other side, unless the link loses it.
            if !lost(*state.borrow()) {
                let _ = to.shutdown().await;
            }
            return;
        }
        loop {
            let hurt = *state.borrow_and_update();
            match hurt {
                Hurt::Stall => {
                    if state.changed().await.is_err() {
                        return;
                    }
                    continue;
                }
                Hurt::Delay(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                Hurt::Throttle(kb) => {
                    let seconds = count as f64 / 1024.0 / kb.max(1) as f64;
                    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
                }
                _ => {}
            }
            if hurt == Hurt::Drop || (hurt == Hurt::OneWay && !outward) {
                break;
            }
            if to.write_all(&bytes[..count]).await.is_err() {
                return;
            }
            break;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
            for (hurt, kept) in [(Hurt::Stall, true), (Hurt::Drop, false)] {
                link.set(hurt);
                tokio::time::sleep(Duration::from_millis(20)).await;
                stream.write_all(b"one").await.expect("a writer");
                assert!(heard(&mut stream, 80).await.is_none(), "{hurt:?}");
                link.set(Hurt::None);
                let heard = heard(&mut stream, 2_000).await.expect("something");
                assert_eq!(matches!(heard, Ok(3)), kept, "{hurt:?}: {heard:?}");
            }
        });
    }

    #[test]
    fn a_one_way_link_carries_what_is_asked_and_no_answer() {
        local(async {
            let link = echo().await;
            link.set(Hurt::OneWay);
            let mut stream = TcpStream::connect(&link.address).await.expect("a relay");
            stream.write_all(b"one").await.expect("a writer");
            assert!(heard(&mut stream, 80).await.is_none());
            link.set(Hurt::Reset);
            assert!(!matches!(heard(&mut stream, 2_000).await, Some(Ok(n)) if n > 0));
            let mut other = TcpStream::connect(&link.address).await.expect("a relay");
            assert!(!matches!(heard(&mut other, 2_000).await, Some(Ok(n)) if n > 0));
        });
    }

    #[test]
    fn a_late_link_is_late() {
        local(async {
            let link = echo().await;
            link.set(Hurt::Delay(50));
            let mut stream = TcpStream::connect(&link.address).await.expect("a relay");
            let begun = std::time::Instant::now();
            stream.write_all(b"one").await.expect("a writer");
            assert!(matches!(heard(&mut stream, 2_000).await, Some(Ok(3))));
            assert!(begun.elapsed() >= Duration::from_millis(100));
        });
    }
}
