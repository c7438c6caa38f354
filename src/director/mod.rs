//! The director as a library: a thread of its own and a handle that may go anywhere.
//!
//! ```
//! use foxhold::director::{Director, CacheRequest};
//! use foxhold::discovery::StaticEndpoints;
//! # use foxhold::dispatch::{AttemptError, AttemptResult, Endpoint, Representation, ResponseStatus};
//! # use foxhold::dispatch::{UpstreamRequest, UpstreamResponse};
//! # use foxhold::upstream::host::{BoxFuture, Exchange, HostTransport};
//! # use foxhold::{Class, MemberState, CacheStatus, Settings};
//! # struct Mine;
//! # impl Exchange for Mine {
//! #     fn exchange(&self, _: &Endpoint, _: UpstreamRequest) -> BoxFuture<AttemptResult> {
//! #         let status = ResponseStatus::Ok(Representation { etag: None, body: "bytes".into() });
//! #         let cache_status = CacheStatus::Hit;
//! #         let load_report = Vec::new();
//! #         let response = UpstreamResponse { status, cache_status, source_wait: 0, load_report };
//! #         Box::pin(async { Ok(response) })
//! #     }
//! # }
//! # let settings = Settings {
//! #     classes: vec![Class {
//! #         name: "pages".into(), latency_objective: 400_000, deadline: 2_000_000, ..Class::default()
//! #     }],
//! #     kinds: vec!["cache".into(), "parent".into(), "origin".into()],
//! #     parent_kind: Some(1), origin_kind: 2, zones: vec!["hub".into(), "edge".into()], zone: 1,
//! #     ..Settings::default()
//! # };
//! # let cache = Endpoint {
//! #     name: "c-1".into(), address: "".into(), zone: "edge".into(), kind: "cache".into(),
//! #     cell: 0, state: MemberState::Running, size: 8.0, started_at: 0 };
//! let director =
//! Director::builder(settings)
//!     .endpoint_source(StaticEndpoints(vec![cache]))
//!     .connector(HostTransport::new(Mine))
//!     .start()?;
//! # tokio::runtime::Builder::new_multi_thread().build()?.block_on(async {
//! let response = director.send(CacheRequest::new("pages", "index.html")).await?;
//! # assert!(matches!(response, foxhold::dispatch::ClientResponse::Served(_)));
//! # Ok::<(), foxhold::director::SendError>(()) })?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod builder;
mod error;
mod request;

pub use builder::{start_dispatcher, Builder};
pub use error::{BuildError, SendError, Shutdown, StartError, Stopped};
pub use request::CacheRequest;

use crate::config::platform::PlatformConfig;
use crate::dispatch::{
    ClientResponse, Dispatcher, DispatcherMessage, DispatcherMetrics, DrainCommand, Endpoint, FailureReason,
};
use crate::policy::types::{Micros, Settings};
use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// A command to the director's thread.
pub(crate) enum Control {
    /// Shut down.
    Shutdown {
        /// Requests that are pending after this time are aborted.
        deadline: Duration,
        /// Takes how it went.
        reply: oneshot::Sender<Shutdown>,
    },
}

struct Inner {
    dispatcher: Dispatcher,
    is_shutting_down: AtomicBool,
    /// Dropped with the last handle, which ends the thread.
    control: mpsc::UnboundedSender<Control>,
}

/// A handle to a running director. Any clone may be used from any thread and any runtime; the last one
/// dropped ends the director's thread and closes all its connections.
#[derive(Clone)]
pub struct Director(Arc<Inner>);

impl std::fmt::Debug for Director {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Director").field("ended", &self.0.dispatcher.has_ended()).finish_non_exhaustive()
    }
}

impl Director {
    /// A builder of a director with these settings.
    pub fn builder(settings: Settings) -> Builder {
        Builder::new(settings)
    }

    /// A director as the platform's configuration file describes it: settings, discovery service, seed and
    /// connections.
    pub fn from_file(path: impl AsRef<std::path::Path>) -> Result<Builder, BuildError> {
        Ok(Builder::from_config(PlatformConfig::read(path.as_ref())?))
    }

    pub(crate) fn new(dispatcher: Dispatcher, control: mpsc::UnboundedSender<Control>) -> Self {
        Director(Arc::new(Inner { dispatcher, is_shutting_down: AtomicBool::new(false), control }))
    }

    /// Sends a request. Dropping the future cancels it: nothing new is sent for it. The future holds a handle
    /// of its own.
    pub fn send(
        &self,
        request: CacheRequest,
    ) -> impl Future<Output = Result<ClientResponse, SendError>> + Send + 'static {
        let director = self.clone();
        // Submitted now, not at the first poll: requests keep the order in which they were sent.
        let pending = match self.is_stopped() {
            true => Err(SendError::Stopped { may_have_run: false }),
            false => request
                .into_client_request(&self.0.dispatcher)
                .map(|request| director.0.dispatcher.submit(request)),
        };
        async move {
            let _director = director;
            match pending?.await {
                ClientResponse::Rejected { reason: FailureReason::ShuttingDown, .. } => {
                    Err(SendError::Stopped { may_have_run: false })
                }
                ClientResponse::Failed(FailureReason::ShuttingDown) => {
                    Err(SendError::Stopped { may_have_run: true })
                }
                response => Ok(response),
            }
        }
    }

    /// Updates the endpoint list: all of it, or the entries that changed. A drain is in force within 1 s of
    /// this call's return.
    pub async fn members(&self, full: bool, members: Vec<Endpoint>) -> Result<(), Stopped> {
        self.send_message(DispatcherMessage::Members { full, members }).await
    }

    /// Purges one object, or else all of a group, as of this Unix time in microseconds. From 1 s after this
    /// call's return nothing is served from an older copy.
    pub async fn purge(&self, object: Option<Arc<str>>, group: u32, at: Micros) -> Result<(), Stopped> {
        self.send_message(DispatcherMessage::Purged { object, group, at, retention: 0 }).await
    }

    /// Drains a server, whatever its source says, until another process runs under its name; returns whether
    /// it is listed. No new request is sent there and no fill names it as its source, from 1 s after the call
    /// at the latest.
    pub async fn drain(&self, name: &str) -> Result<bool, Stopped> {
        self.0.dispatcher.drain(name, DrainCommand::Drain).await.ok_or(Stopped)
    }

    /// Ends a drain; returns whether the server is listed.
    pub async fn undrain(&self, name: &str) -> Result<bool, Stopped> {
        self.0.dispatcher.drain(name, DrainCommand::Undrain).await.ok_or(Stopped)
    }

    /// Puts other settings in force, for requests to come; pending ones keep theirs. Zones and kinds stay as
    /// they were.
    pub async fn reload(&self, settings: Settings) -> Result<(), Stopped> {
        self.send_message(DispatcherMessage::Settings(Box::new(settings))).await
    }

    /// The metrics at this moment.
    pub async fn metrics(&self) -> Result<DispatcherMetrics, Stopped> {
        self.0.dispatcher.metrics().await.ok_or(Stopped)
    }

    /// The settings at this moment.
    pub fn settings(&self) -> Arc<Settings> {
        self.0.dispatcher.settings()
    }

    /// The handle by which frontends and middleware submit requests.
    pub fn dispatcher(&self) -> Dispatcher {
        self.0.dispatcher.clone()
    }

    /// Accepts no more requests, waits for those that are pending, and ends the thread at the deadline at the
    /// latest. Every handle gives [`SendError::Stopped`] from the call on.
    pub async fn shutdown(&self, deadline: Duration) -> Result<Shutdown, Stopped> {
        self.0.is_shutting_down.store(true, Ordering::Release);
        let (reply, done) = oneshot::channel();
        self.0.control.send(Control::Shutdown { deadline, reply }).map_err(|_| Stopped)?;
        done.await.map_err(|_| Stopped)
    }

    fn is_stopped(&self) -> bool {
        self.0.is_shutting_down.load(Ordering::Acquire) || self.0.dispatcher.has_ended()
    }

    async fn send_message(&self, message: DispatcherMessage) -> Result<(), Stopped> {
        if self.is_stopped() {
            return Err(Stopped);
        }
        self.0.dispatcher.sender().send(message).await;
        Ok(())
    }
}
