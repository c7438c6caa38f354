//! A transport that the host application writes: one asynchronous function from what is wanted to how it
//! ended.
//!
//! Each attempt is a task of its own on the director's thread. A task that panics, is dropped or never ends
//! is an attempt that may have run; it takes nothing else with it.

use crate::dispatch::{
    AttemptError, AttemptId, AttemptResult, DispatcherMessage, DispatcherSender, Endpoint, EndpointCommand,
    EndpointConnector, HealthReport, UpstreamRequest,
};
use crate::policy::types::ServerId;
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Orders that wait for a server's actor; the core ends attempts that find no place as not sent.
const MAILBOX: usize = 512;

/// What a host's function gives back.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// How servers are reached, in the host's own way.
pub trait Exchange: Send + Sync + 'static {
    /// Carries one attempt to a server and says how it ended. The future is dropped where the attempt is
    /// called off; it runs on the director's thread and must not block it. What it can't prove not to have
    /// run it must end with [`AttemptError::Unanswered`]: a write is sent again only after an end that proves
    /// it.
    ///
    /// A site may allow no calling off. A future that waits before its first byte, as for a connection, asks
    /// [`CancellationToken::check_client`](crate::dispatch::CancellationToken::check_client) of the attempt
    /// last thing before that byte, and ends with [`AttemptError::Cancelled`] where it is over.
    fn exchange(&self, server: &Endpoint, want: UpstreamRequest) -> BoxFuture<AttemptResult>;

    /// Asks a server whether it is well. Unless it is written anew, every server is.
    fn check_health(&self, _server: &Endpoint) -> BoxFuture<Result<HealthReport, AttemptError>> {
        Box::pin(std::future::ready(Ok(HealthReport { healthy: true, load_report: Vec::new() })))
    }
}

/// An [`Exchange`] as the core's peers.
#[derive(Debug)]
pub struct HostTransport<E>(Arc<E>);

impl<E: Exchange> HostTransport<E> {
    /// Reaches servers by this.
    pub fn new(exchange: E) -> Self {
        HostTransport(Arc::new(exchange))
    }
}

impl<E: Exchange> EndpointConnector for HostTransport<E> {
    fn connect(
        &mut self,
        _: ServerId,
        listing: &Endpoint,
        reports: DispatcherSender,
    ) -> mpsc::Sender<EndpointCommand> {
        let (mailbox, orders) = mpsc::channel(MAILBOX);
        tokio::task::spawn_local(follow(self.0.clone(), listing.clone(), reports, orders));
        mailbox
    }
}

async fn follow<E: Exchange>(
    exchange: Arc<E>,
    server: Endpoint,
    reports: DispatcherSender,
    mut orders: mpsc::Receiver<EndpointCommand>,
) {
    let mut under_way: HashMap<AttemptId, AbortHandle> = HashMap::new();
    while let Some(order) = orders.recv().await {
        under_way.retain(|_, task| !task.is_finished());
        match order {
            EndpointCommand::Send(want) => {
                let (ticket, exchange, server) = (want.attempt_id, exchange.clone(), server.clone());
                let mut last =
                    LastWord { said: false, ticket, reports: reports.clone(), how: AttemptError::NotWritten };
                let task = tokio::task::spawn_local(async move {
                    // Waited for first: nothing is to come between the last look and the exchange.
                    let reports = last.reports.clone();
                    let Some(room) = reports.reserve().await else { return };
                    if want.cancellation.check_client() {
                        last.keep_silent();
                        return room
                            .send(DispatcherMessage::AttemptEnded(ticket, Err(AttemptError::Cancelled)));
                    }
                    last.how = AttemptError::Unanswered;
                    // From here on the time is the server's.
                    room.send(DispatcherMessage::AttemptWritten(ticket));
                    let end = exchange.exchange(&server, want).await;
                    last.said = true;
                    last.reports.send(DispatcherMessage::AttemptEnded(ticket, end)).await;
                });
                under_way.insert(ticket, task.abort_handle());
            }
            EndpointCommand::Cancel(ticket) => {
                // Its last word tells the core whether it had begun.
                if let Some(task) = under_way.remove(&ticket) {
                    task.abort();
                }
            }
            EndpointCommand::HealthCheck(number) => {
                let (exchange, server, reports) = (exchange.clone(), server.clone(), reports.clone());
                tokio::task::spawn_local(async move {
                    let health = exchange.check_health(&server).await;
                    reports.send(DispatcherMessage::HealthChecked(number, health)).await;
                });
            }
        }
    }
}

/// Says how far an attempt had come, where its task ends without a word.
struct LastWord {
    said: bool,
    ticket: AttemptId,
    reports: DispatcherSender,
    how: AttemptError,
}

impl LastWord {
    /// The end is told otherwise.
    fn keep_silent(mut self) {
        self.said = true;
    }
}

impl Drop for LastWord {
    fn drop(&mut self) {
        if !self.said {
            // Full: the core's own time-out ends the attempt.
            self.reports.try_send(DispatcherMessage::AttemptEnded(self.ticket, Err(self.how)));
        }
    }
}
