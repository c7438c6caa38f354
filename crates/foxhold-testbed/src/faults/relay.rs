//! A relay between two processes, by which faults are injected into the link between them.
//!
//! On a dropped link bytes vanish: connections stay open and silent, new ones come up (the relay is on the
//! same machine) and stay silent too. What was held back by a dropped link is gone for good, so that the
//! connections that lived through it are reset when it is healed, as retransmissions that ran out would have
//! them.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// A fault that is injected into a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkFault {
    /// The link works.
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
    fault: watch::Sender<LinkFault>,
    _task: JoinSet<()>,
}

impl Link {
    /// A relay to that address. Needs a `LocalSet`.
    pub async fn open(to: String) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let (fault, state) = watch::channel(LinkFault::None);
        let mut task = JoinSet::new();
        task.spawn_local(async move {
            let mut connections = JoinSet::new();
            while let Ok((downstream, _)) = listener.accept().await {
                connections.spawn_local(connection(downstream, to.clone(), state.clone()));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Link { address, fault, _task: task })
    }

    /// Injects a fault, or clears it.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn connection(downstream: TcpStream, to: String, mut state: watch::Receiver<LinkFault>) {
    let born = *state.borrow();
    if born == LinkFault::Reset {
        let _ = downstream.set_zero_linger();
        return;
    }
    let Ok(upstream) = TcpStream::connect(&to).await else {
        let _ = downstream.set_zero_linger();
        return;
    };
    let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
    // A connection that a reset link loses, or that lost bytes on a dropped one, ends by a reset.
    let _ = (downstream.set_zero_linger(), upstream.set_zero_linger());
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let out = forward(downstream_read, upstream_write, state.clone(), true);
    let back = forward(upstream_read, downstream_write, state.clone(), false);
    tokio::select! {
        // In this order: what comes in the moment of a reset, or of a dropped link's return, does not pass.
        biased;
        // Bytes of a dropped link are lost for good: who lived through it is reset at its end.
        () = async {
            let mut lossy = loses_bytes(born);
            loop {
                if state.changed().await.is_err() {
                    return std::future::pending().await;
                }
                let now = *state.borrow();
                if now == LinkFault::Reset || (lossy && !loses_bytes(now)) {
                    return;
                }
                lossy |= loses_bytes(now);
            }
        } => {}
        () = out => {}
        () = back => {}
    }
}

/// Whether bytes that should pass are lost for good.
fn loses_bytes(fault: LinkFault) -> bool {
    matches!(fault, LinkFault::Drop | LinkFault::OneWay)
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkFault>,
    outward: bool,
) {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let Ok(count) = from.read(&mut bytes).await else { return };
        if count == 0 {
            // An end in order reaches the other side, unless the link loses it.
            if !loses_bytes(*state.borrow()) {
                let _ = to.shutdown().await;
            }
            return;
        }
        loop {
            let fault = *state.borrow_and_update();
            match fault {
                LinkFault::Stall => {
                    if state.changed().await.is_err() {
                        return;
                    }
                    continue;
                }
                LinkFault::Delay(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                LinkFault::Throttle(kb) => {
                    let seconds = count as f64 / 1024.0 / kb.max(1) as f64;
                    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
                }
                _ => {}
            }
            if fault == LinkFault::Drop || (fault == LinkFault::OneWay && !outward) {
                break;
            }
            if to.write_all(&bytes[..count]).await.is_err() {
                return;
            }
            break;
        }
    }
}
