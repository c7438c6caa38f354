//! The admin endpoint. Each connection carries one command. The answer is one line that begins with `YES` or
//! `NO`, or several lines that end with the line `END`.
//!
//! | command | answer |
//! | --- | --- |
//! | `check` | `YES`, followed by the catch-up stage if gossip is enabled, or `NO` and a reason |
//! | `vars` | the metrics as one line of JSON, then `END` |
//! | others | the commands of `cluster::admin`, if gossip is enabled |
//!
//! | name in `vars` | source |
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

/// Maximum number of open connections. At this number a new connection closes the oldest one.
const MAX_CONNECTIONS: usize = 8;
/// Maximum number of file descriptors held by connections. A new connection is accepted before the oldest one
/// is closed, which takes one more descriptor.
pub const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + 1;
/// Maximum length of a command in bytes if gossip is disabled.
const MAX_COMMAND_BYTES: usize = 256;
/// Maximum length of a command in bytes if gossip is enabled: cluster commands can contain object names.
#[cfg(feature = "peers")]
const MAX_CLUSTER_COMMAND_BYTES: usize = 600;
const READ_BYTES: usize = 64;
/// Time limit for a connection, from its accept until the answer is written.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for the dispatcher's answer. A dispatcher that takes longer is reported as unavailable.
const DISPATCHER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

const CHECK: &[u8] = b"check";
const VARS: &[u8] = b"vars";

/// Error of opening the admin endpoint's listener.
#[derive(Debug, thiserror::Error)]
#[error("admin endpoint: listen on {address}: {source}")]
pub struct AdminListenError {
    /// The configured address, which could not be bound.
    pub address: String,
    /// The error from the operating system.
    pub source: io::Error,
}

/// Counters of the configuration reloads since the process started.
#[derive(Debug, Default)]
pub struct ReloadCounters {
    /// Reloads whose configuration was applied.
    pub succeeded: Cell<u64>,
    /// Reloads whose configuration was rejected.
    pub failed: Cell<u64>,
}

/// State that the admin endpoint reports.
#[derive(Clone)]
pub struct AdminEndpoint {
    /// The dispatcher whose metrics are reported.
    pub dispatcher: Dispatcher,
    /// Number of requests that are accepted and not yet answered.
    pub requests_in_flight: Rc<Cell<usize>>,
    /// Phase of the graceful shutdown.
    pub shutdown: watch::Receiver<ShutdownPhase>,
    /// Configuration reloads since the process started.
    pub reloads: Rc<ReloadCounters>,
    /// The cluster of directors. `None` if gossip is disabled.
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

/// Binds `address` and starts a task that serves the endpoint until the process ends.
pub async fn listen(address: &str, endpoint: AdminEndpoint) -> Result<(), AdminListenError> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|source| AdminListenError { address: address.to_owned(), source })?;
    tokio::task::spawn_local(accept(listener, endpoint));
    Ok(())
}

/// Accepts connections and serves each in a separate task, so that one that sends nothing does not block
/// others.
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
        close_oldest_if_full(&mut connections).await;
        let endpoint = endpoint.clone();
        connections.push_back(tokio::task::spawn_local(async move {
            let _ = timeout(COMMAND_TIMEOUT, endpoint.serve(stream)).await; // time-out: closed
        }));
    }
}

/// Closes the oldest connection if [`MAX_CONNECTIONS`] are open.
async fn close_oldest_if_full(connections: &mut VecDeque<JoinHandle<()>>) {
    connections.retain(|connection| !connection.is_finished());
    if connections.len() < MAX_CONNECTIONS {
        return;
    }
    if let Some(oldest) = connections.pop_front() {
        oldest.abort();
        // Waits until the descriptor is closed, so that the next accept does not exceed MAX_DESCRIPTORS.
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

    /// Returns the answer to `check` once the dispatcher has answered.
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
