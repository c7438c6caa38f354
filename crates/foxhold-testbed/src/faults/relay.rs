//! A TCP relay between two processes that injects faults into the link between them.
//!
//! A dropped link discards all bytes. Open connections stay open without traffic. New connections are
//! accepted, since the relay is on the same machine, and carry no traffic either. The discarded bytes are
//! never sent again, so when the fault is cleared, the connections that were open during it are reset, as
//! exhausted TCP retransmissions would do.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// A fault to inject into a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Bytes are discarded in both directions.
    Drop,
    /// Bytes from the connecting side are delivered; those in the other direction are discarded.
    OneWay,
    /// Open connections are reset, and new ones as soon as they are accepted.
    Reset,
    /// Each chunk that is read is forwarded after this many milliseconds.
    Delay(u64),
    /// Limits each direction of each connection to this many KB per second.
    Throttle(u64),
    /// Bytes are held back until the fault is cleared; none is lost.
    Stall,
}

/// A link with a separate relay.
pub struct Link {
    /// The address of the relay, for the connecting side.
    pub address: String,
    fault: watch::Sender<LinkFault>,
    _task: JoinSet<()>,
}

impl Link {
    /// Starts a relay to the address `to`. Needs a `LocalSet`.
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

    /// Injects a fault, or clears it with [`LinkFault::None`].
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn connection(downstream: TcpStream, to: String, mut state: watch::Receiver<LinkFault>) {
    let initial_fault = *state.borrow();
    if initial_fault == LinkFault::Reset {
        let _ = downstream.set_zero_linger();
        return;
    }
    let Ok(upstream) = TcpStream::connect(&to).await else {
        let _ = downstream.set_zero_linger();
        return;
    };
    let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
    // With zero linger, closing sends a reset: on a reset link, and where a dropped link discarded bytes.
    let _ = (downstream.set_zero_linger(), upstream.set_zero_linger());
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let out = forward(downstream_read, upstream_write, state.clone(), true);
    let back = forward(upstream_read, downstream_write, state.clone(), false);
    tokio::select! {
        // The fault is checked first: bytes that arrive at the moment of a reset, or when a dropped link is
        // restored, are not forwarded.
        biased;
        // A connection that was open while the link discarded bytes is reset when the fault is cleared.
        () = async {
            let mut lossy = loses_bytes(initial_fault);
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

/// Returns whether the fault discards bytes.
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
            // Passes the end of the stream on to the other side, unless the link discards it.
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
