//! Graceful shutdown: accepted requests are answered before the process exits.

use super::startup::OptionalCluster;
#[cfg(feature = "peers")]
use crate::cluster::ClusterCommand;
use crate::dispatch::Dispatcher;
use crate::frontend::serve::ShutdownPhase;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
#[cfg(feature = "peers")]
use tokio::time::timeout;
use tokio::time::{sleep, sleep_until, Instant};

/// Period after SIGTERM in which clients may still open connections and send requests, which are served.
const GRACE_PERIOD: Duration = Duration::from_millis(700);
/// Time limit for notifying the other directors and writing the last changes to disk.
#[cfg(feature = "peers")]
const CLUSTER_LEAVE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Lower bound of [`longest_deadline`].
const MIN_LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// Interval between checks for requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time for clients to read the last responses before their connections close.
const FINAL_RESPONSE_DELAY: Duration = Duration::from_millis(20);

/// Whether another process continues to serve the clients' socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Successor {
    /// The socket was inherited, and a successor serves it.
    OnInheritedSocket,
    /// The socket closes with this process.
    None,
}

/// A graceful shutdown, with the state that it needs.
pub(super) struct GracefulShutdown {
    /// The tasks that accept client connections.
    pub(super) listeners: Vec<JoinHandle<()>>,
    pub(super) successor: Successor,
    pub(super) phase: watch::Sender<ShutdownPhase>,
    /// Requests that are accepted but not yet answered.
    pub(super) requests_in_flight: Rc<Cell<usize>>,
    #[cfg_attr(not(feature = "peers"), allow(dead_code))]
    pub(super) cluster: OptionalCluster,
}

impl GracefulShutdown {
    /// Waits until every accepted request is answered, at most for the longest deadline plus
    /// [`GRACE_PERIOD`].
    pub(super) async fn run(self, dispatcher: &Dispatcher) {
        let started = Instant::now();
        let deadline = started + longest_deadline(dispatcher) + GRACE_PERIOD;
        if self.successor == Successor::OnInheritedSocket {
            self.leave_socket_to_successor();
        }
        #[cfg(feature = "peers")]
        if let Some(cluster) = &self.cluster {
            // Notifies the other directors and writes all changes to disk now; requests are still served.
            let _ = timeout(CLUSTER_LEAVE_TIMEOUT, cluster.send(ClusterCommand::Leave)).await;
        }
        sleep_until(started + GRACE_PERIOD).await;
        let _ = self.phase.send(ShutdownPhase::CloseIdle);
        self.wait_for_requests(deadline).await;
        sleep(FINAL_RESPONSE_DELAY).await;
    }

    /// Stops accepting connections, so that the successor accepts them. Each open connection closes after its
    /// next response, and its client reconnects to the successor.
    fn leave_socket_to_successor(&self) {
        self.listeners.iter().for_each(JoinHandle::abort);
        let _ = self.phase.send(ShutdownPhase::CloseAfterResponse);
    }

    async fn wait_for_requests(&self, deadline: Instant) {
        // Sleeps before the first check: a connection that has received part of a request counts it only once
        // the phase change reaches its task.
        loop {
            sleep(POLL_INTERVAL).await;
            if self.requests_in_flight.get() == 0 || Instant::now() >= deadline {
                return;
            }
        }
    }
}

/// Returns the longest deadline of all classes, at least [`MIN_LONGEST_DEADLINE`]. Pending requests may have
/// begun under earlier settings with a longer one.
fn longest_deadline(dispatcher: &Dispatcher) -> Duration {
    let settings = dispatcher.settings_in_use();
    let classes = settings.iter().flat_map(|settings| &settings.classes);
    let longest = classes.map(|class| class.deadline).max().unwrap_or(0);
    Duration::from_micros(longest).max(MIN_LONGEST_DEADLINE)
}
