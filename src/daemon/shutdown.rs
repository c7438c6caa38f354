//! The graceful shutdown: requests that were accepted are answered before the process ends.

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

/// After SIGTERM connections and requests keep coming for this long, and are served.
const GRACE_PERIOD: Duration = Duration::from_millis(700);
/// The other directors are notified of the end, and the disk has the last changes, within this.
#[cfg(feature = "peers")]
const CLUSTER_LEAVE_TIMEOUT: Duration = Duration::from_millis(1200);
/// The longest deadline of all classes counts as this at least.
const MIN_LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// How often it is looked whether requests are in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time for clients to read the last responses.
const LAST_RESPONSES: Duration = Duration::from_millis(20);

/// Whether another process goes on with the clients' socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Successor {
    /// The socket was inherited, and a successor serves it.
    OnInheritedSocket,
    /// The socket closes with this process.
    None,
}

/// What a graceful shutdown ends.
pub(super) struct GracefulShutdown {
    /// The tasks that accept connections.
    pub(super) listeners: Vec<JoinHandle<()>>,
    pub(super) successor: Successor,
    pub(super) phase: watch::Sender<ShutdownPhase>,
    /// Requests that are accepted and not answered yet.
    pub(super) requests_in_flight: Rc<Cell<usize>>,
    #[cfg_attr(not(feature = "peers"), allow(dead_code))]
    pub(super) cluster: OptionalCluster,
}

impl GracefulShutdown {
    /// Returns once every accepted request is answered, or the longest deadline is over.
    pub(super) async fn run(self, dispatcher: &Dispatcher) {
        let started = Instant::now();
        let deadline = started + longest_deadline(dispatcher) + GRACE_PERIOD;
        if self.successor == Successor::OnInheritedSocket {
            self.leave_socket_to_successor();
        }
        #[cfg(feature = "peers")]
        if let Some(cluster) = &self.cluster {
            // The others hear at once that this one goes, and the disk has all changes; what comes is served.
            let _ = timeout(CLUSTER_LEAVE_TIMEOUT, cluster.send(ClusterCommand::Leave)).await;
        }
        sleep_until(started + GRACE_PERIOD).await;
        let _ = self.phase.send(ShutdownPhase::CloseIdle);
        self.wait_for_requests(deadline).await;
        sleep(LAST_RESPONSES).await;
    }

    /// Guards against accepting connections that the successor should: clients that are served here once more
    /// are told to connect anew, and reach the successor.
    fn leave_socket_to_successor(&self) {
        self.listeners.iter().for_each(JoinHandle::abort);
        let _ = self.phase.send(ShutdownPhase::CloseAfterResponse);
    }

    async fn wait_for_requests(&self, deadline: Instant) {
        // Slept first: connections with a request that has begun to come are counted once they are notified.
        loop {
            sleep(POLL_INTERVAL).await;
            if self.requests_in_flight.get() == 0 || Instant::now() >= deadline {
                return;
            }
        }
    }
}

/// The longest deadline of all classes.
fn longest_deadline(dispatcher: &Dispatcher) -> Duration {
    let settings = dispatcher.settings();
    let longest = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    Duration::from_micros(longest).max(MIN_LONGEST_DEADLINE)
}
