//! The admin endpoint: one command a connection, answered with a line that begins with `YES` or `NO`, or with
//! lines of which the last is `END`.
//!
//! | command | answer |
//! | --- | --- |
//! | `check` | `YES`, with the stage of catching up where directors gossip, or `NO` and a reason |
//! | `vars` | the metrics on one line of JSON, then `END` |
//! | others | those of the cluster, where directors gossip |
//!
//! | name in `vars` | here |
//! | --- | --- |
//! | `requests.CLASS.served`, `refused`, `failed` | `served`, `rejected` and `failed` of [`ClassCounts`] |
//! | `attempts` | [`DispatcherMetrics::attempts`] |
//! | `in_flight` | [`AdminEndpoint::requests_in_flight`] |
//! | `caches_known`, `caches_excluded` | `endpoints_known`, `endpoints_excluded` of [`DispatcherMetrics`] |
//! | `reloads_ok`, `reloads_failed` | [`ReloadCounters::succeeded`], [`ReloadCounters::failed`] |

use super::serve::ShutdownPhase;
#[cfg(feature = "peers")]
use crate::cluster;
use crate::dispatch::{ClassCounts, Dispatcher, DispatcherMetrics};
use miniserde::{json, Serialize};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Connections at a time; a further one takes the place of the oldest.
const MAX_CONNECTIONS: usize = 8;
/// The descriptors that connections hold at most: one is accepted before another makes room.
pub const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + 1;
/// The longest command, in bytes.
const MAX_COMMAND_BYTES: usize = 256;
/// The longest command where commands may name an object, in bytes.
#[cfg(feature = "peers")]
const MAX_CLUSTER_COMMAND_BYTES: usize = 600;
const READ_BYTES: usize = 64;
/// A command must be complete, and its answer read, by then.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// The dispatcher answers within this, or can't serve.
const DISPATCHER_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause after an accept that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

const CHECK: &[u8] = b"check";
const VARS: &[u8] = b"vars";

/// Why the admin endpoint can't listen.
#[derive(Debug, thiserror::Error)]
#[error("operators at {address}: {source}")]
pub struct AdminListenError {
    /// Its address.
    pub address: String,
    /// What the system said.
    pub source: io::Error,
}

/// Configurations that were read again since the start.
#[derive(Debug, Default)]
pub struct ReloadCounters {
    /// Those that came into force.
    pub succeeded: Cell<u64>,
    /// Those that were rejected.
    pub failed: Cell<u64>,
}

/// What the admin endpoint shows.
#[derive(Clone)]
pub struct AdminEndpoint {
    /// The dispatcher whose metrics are shown.
    pub dispatcher: Dispatcher,
    /// Requests that are accepted and not answered yet.
    pub requests_in_flight: Rc<Cell<usize>>,
    /// How far the graceful shutdown has come.
    pub shutdown: watch::Receiver<ShutdownPhase>,
    /// Configurations that were read again.
    pub reloads: Rc<ReloadCounters>,
    /// The cluster of directors, where they gossip.
    #[cfg(feature = "peers")]
    pub cluster: Option<cluster::ClusterHandle>,
}

#[derive(Serialize)]
struct MetricsJson {
    requests: BTreeMap<String, ClassMetricsJson>,
    attempts: u64,
    in_flight: usize,
    caches_known: usize,
    caches_excluded: usize,
    reloads_ok: u64,
    reloads_failed: u64,
}

#[derive(Serialize)]
struct ClassMetricsJson {
    served: u64,
    refused: u64,
    failed: u64,
}

impl From<ClassCounts> for ClassMetricsJson {
    fn from(counts: ClassCounts) -> Self {
        ClassMetricsJson { served: counts.served, refused: counts.rejected, failed: counts.failed }
    }
}

/// Listens on an address for as long as the process runs.
pub async fn listen(address: &str, endpoint: AdminEndpoint) -> Result<(), AdminListenError> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|source| AdminListenError { address: address.to_owned(), source })?;
    tokio::task::spawn_local(accept(listener, endpoint));
    Ok(())
}

/// Serves each connection in a task of its own, so that one that sends nothing holds up no other.
pub async fn accept(listener: TcpListener, endpoint: AdminEndpoint) {
    let mut connections: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(listener = "admin endpoint", reason = %error, "accept failed");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        make_room(&mut connections).await;
        let endpoint = endpoint.clone();
        connections.push_back(tokio::task::spawn_local(async move {
            let _ = timeout(COMMAND_TIMEOUT, endpoint.serve(stream)).await; // too slow: closed
        }));
    }
}

/// Closes the oldest connection where there are as many as may be.
async fn make_room(connections: &mut VecDeque<JoinHandle<()>>) {
    connections.retain(|connection| !connection.is_finished());
    if connections.len() < MAX_CONNECTIONS {
        return;
    }
    if let Some(oldest) = connections.pop_front() {
        oldest.abort();
        // Its descriptor is free again before a further connection is accepted.
        let _ = oldest.await;
    }
}

impl AdminEndpoint {
    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let (mut command, mut bytes) = (Vec::new(), [0; READ_BYTES]);
        let end = loop {
            if let Some(end) = command.iter().position(|b| *b == b'\n') {
                break end;
            }
            let n = stream.read(&mut bytes).await?;
            if n == 0 {
                return Ok(());
            }
            command.extend_from_slice(&bytes[..n]);
            if command.len() > self.max_command_bytes() {
                return stream.write_all(b"NO the call is too long\n").await;
            }
        };
        let answer = self.answer(command[..end].trim_ascii()).await;
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await
    }

    fn max_command_bytes(&self) -> usize {
        #[cfg(feature = "peers")]
        if self.cluster.is_some() {
            return MAX_CLUSTER_COMMAND_BYTES;
        }
        MAX_COMMAND_BYTES
    }

    async fn answer(&self, command: &[u8]) -> String {
        #[cfg(feature = "peers")]
        if let (Some(cluster), Ok(command)) = (&self.cluster, std::str::from_utf8(command)) {
            if let Some(answer) = cluster::admin::answer(cluster, command).await {
                return answer;
            }
        }
        if !matches!(command, CHECK | VARS) {
            return "NO such call; there are 'check' and 'vars'\n".into();
        }
        let Ok(Some(metrics)) = timeout(DISPATCHER_TIMEOUT, self.dispatcher.metrics()).await else {
            return "NO the core does not answer\n".into();
        };
        match command {
            CHECK => self.check().await,
            _ => format!("{}\nEND\n", self.metrics_json(metrics)),
        }
    }

    /// The answer to `check` where the dispatcher answers.
    async fn check(&self) -> String {
        if *self.shutdown.borrow() != ShutdownPhase::Running {
            return "NO it is about to end\n".into();
        }
        #[cfg(feature = "peers")]
        if let Some(cluster) = &self.cluster {
            return format!("YES {}\n", cluster::admin::stage(cluster).await);
        }
        "YES\n".into()
    }

    fn metrics_json(&self, metrics: DispatcherMetrics) -> String {
        json::to_string(&MetricsJson {
            requests: metrics
                .requests
                .iter()
                .map(|(name, counts)| (name.to_string(), (*counts).into()))
                .collect(),
            attempts: metrics.attempts,
            in_flight: self.requests_in_flight.get(),
            caches_known: metrics.endpoints_known,
            caches_excluded: metrics.endpoints_excluded,
            reloads_ok: self.reloads.succeeded.get(),
            reloads_failed: self.reloads.failed.get(),
        })
    }
}
