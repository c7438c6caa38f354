//! The operators' door: one line a connection, answered with a line that begins with `YES` or `NO`, or with
//! lines of which the last is `END`.

use super::serve::ShutdownPhase;
use crate::dispatch::{ClassCounts, Dispatcher, DispatcherMetrics};
use miniserde::{json, Serialize};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Callers at a time; a further one takes the place of the one that came first.
const MAX_CONNECTIONS: usize = 8;
/// The descriptors that callers hold at most: one is accepted before another makes room.
pub const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + 1;
/// The longest call, and the longest where calls may name an object.
const LONGEST_CALL: usize = 256;
#[cfg(feature = "peers")]
const LONGEST_NAMED: usize = 600;
/// A call must have come whole, and its answer have been taken, by then.
const WHOLE_CALL: Duration = Duration::from_secs(2);
/// The core answers within this, or can't serve.
const CORE: Duration = Duration::from_millis(500);

/// Files read at SIGHUP since the start.
#[derive(Debug, Default)]
pub struct ReloadCounters {
    /// Taken over.
    pub succeeded: Cell<u64>,
    /// Turned down.
    pub failed: Cell<u64>,
}

/// What the door shows.
#[derive(Clone)]
pub struct AdminEndpoint {
    /// The core, whose figures are shown.
    pub dispatcher: Dispatcher,
    /// Requests that are taken and not ended.
    pub requests_in_flight: Rc<Cell<usize>>,
    /// Whether the program is to end.
    pub shutdown: watch::Receiver<ShutdownPhase>,
    /// Configurations read anew.
    pub reloads: Rc<ReloadCounters>,
    /// Talk among directors, where that is on.
    #[cfg(feature = "peers")]
    pub peers: Option<crate::cluster::ClusterHandle>,
}

#[derive(Serialize)]
struct Shown {
    requests: BTreeMap<String, ShownClass>,
    attempts: u64,
    in_flight: usize,
    caches_known: usize,
    caches_excluded: usize,
    reloads_ok: u64,
    reloads_failed: u64,
}

#[derive(Serialize)]
struct ShownClass {
    served: u64,
    refused: u64,
    failed: u64,
}

/// Listens at an address for as long as the program runs.
pub async fn listen(address: &str, door: AdminEndpoint) -> Result<(), String> {
    let listener = TcpListener::bind(address).await.map_err(|e| format!("operators at {address}: {e}"))?;
    tokio::task::spawn_local(accept(listener, door));
    Ok(())
}

/// Gives each caller a task of its own, so that one that says nothing holds up no other.
pub async fn accept(listener: TcpListener, door: AdminEndpoint) {
    let mut callers: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                callers.retain(|c| !c.is_finished());
                if callers.len() >= MAX_CONNECTIONS {
                    if let Some(first) = callers.pop_front() {
                        first.abort();
                        // Its descriptor is given back before a further caller is accepted.
                        let _ = first.await;
                    }
                }
                let door = door.clone();
                let task = tokio::task::spawn_local(async move {
                    let _ = timeout(WHOLE_CALL, door.serve(stream)).await; // too slow: closed
                });
                callers.push_back(task);
            }
            Err(error) => {
                tracing::warn!("operators: accept: {error}");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

impl AdminEndpoint {
    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let (mut call, mut byte) = (Vec::new(), [0; 64]);
        let end = loop {
            if let Some(end) = call.iter().position(|b| *b == b'\n') {
                break end;
            }
            let n = stream.read(&mut byte).await?;
            if n == 0 {
                return Ok(());
            }
            call.extend_from_slice(&byte[..n]);
            if call.len() > self.longest_call() {
                return stream.write_all(b"NO the call is too long\n").await;
            }
        };
        let answer = self.answer(call[..end].trim_ascii()).await;
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await
    }

    fn longest_call(&self) -> usize {
        #[cfg(feature = "peers")]
        if self.peers.is_some() {
            return LONGEST_NAMED;
        }
        LONGEST_CALL
    }

    async fn answer(&self, call: &[u8]) -> String {
        #[cfg(feature = "peers")]
        if let (Some(peers), Ok(call)) = (&self.peers, std::str::from_utf8(call)) {
            if let Some(answer) = crate::cluster::door::answer(peers, call).await {
                return answer;
            }
        }
        if !matches!(call, b"check" | b"vars") {
            return "NO such call; there are 'check' and 'vars'\n".into();
        }
        let Ok(Some(figures)) = timeout(CORE, self.dispatcher.metrics()).await else {
            return "NO the core does not answer\n".into();
        };
        match call {
            b"check" if *self.shutdown.borrow() != ShutdownPhase::Running => "NO it is about to end\n".into(),
            #[cfg(feature = "peers")]
            b"check" if self.peers.is_some() => match &self.peers {
                Some(peers) => format!("YES {}\n", crate::cluster::door::stage(peers).await),
                None => "YES\n".into(),
            },
            b"check" => "YES\n".into(),
            _ => format!("{}\nEND\n", self.show(figures)),
        }
    }

    fn show(&self, figures: DispatcherMetrics) -> String {
        let class = |c: ClassCounts| {
            let ClassCounts { served, rejected: refused, failed, .. } = c;
            ShownClass { served, refused, failed }
        };
        json::to_string(&Shown {
            requests: figures.requests.iter().map(|(name, c)| (name.to_string(), class(*c))).collect(),
            attempts: figures.attempts,
            in_flight: self.requests_in_flight.get(),
            caches_known: figures.endpoints_known,
            caches_excluded: figures.endpoints_excluded,
            reloads_ok: self.reloads.succeeded.get(),
            reloads_failed: self.reloads.failed.get(),
        })
    }
}
