//! The director as a library: it runs on a separate thread, and a handle to it can be used from any thread.
//!
//! ```
//! use foxhold::director::{Director, CacheRequest};
//! use foxhold::discovery::StaticEndpoints;
//! # use foxhold::dispatch::{AttemptError, AttemptResult, Endpoint, Representation, ResponseStatus};
//! # use foxhold::dispatch::{UpstreamRequest, UpstreamResponse};
//! # use foxhold::upstream::host::{BoxFuture, Exchange, HostTransport};
//! # use foxhold::{Class, MemberState, CacheStatus, Settings};
//! # struct ExampleTransport;
//! # impl Exchange for ExampleTransport {
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
//! let director = Director::builder(settings)
//!     .endpoint_source(StaticEndpoints(vec![cache]))
//!     .connector(HostTransport::new(ExampleTransport))
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
    /// Shuts the director down.
    Shutdown {
        /// Requests still pending after this time are aborted.
        deadline: Duration,
        /// Receives the result.
        reply: oneshot::Sender<Shutdown>,
    },
}

struct Inner {
    dispatcher: Dispatcher,
    is_shutting_down: AtomicBool,
    /// The director's thread ends when the last handle drops this sender.
    control: mpsc::UnboundedSender<Control>,
}

/// A handle to a running director. Clones may be used from any thread and any runtime. Dropping the last one
/// ends the director's thread and closes all its connections.
#[derive(Clone)]
pub struct Director(Arc<Inner>);

impl std::fmt::Debug for Director {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Director").field("ended", &self.0.dispatcher.has_ended()).finish_non_exhaustive()
    }
}

impl Director {
    /// Creates a builder with these settings.
    pub fn builder(settings: Settings) -> Builder {
        Builder::new(settings)
    }

    /// Creates a builder from the platform's configuration file, with its settings, discovery service, seed
    /// and connections.
    pub fn from_file(path: impl AsRef<std::path::Path>) -> Result<Builder, BuildError> {
        Ok(Builder::from_config(PlatformConfig::read(path.as_ref())?))
    }

    pub(crate) fn new(dispatcher: Dispatcher, control: mpsc::UnboundedSender<Control>) -> Self {
        Director(Arc::new(Inner { dispatcher, is_shutting_down: AtomicBool::new(false), control }))
    }

    /// Sends a request. Dropping the future cancels it: no further attempts are sent for it. The future holds
    /// its own handle to the director.
    pub fn send(
        &self,
        request: CacheRequest,
    ) -> impl Future<Output = Result<ClientResponse, SendError>> + Send + 'static {
        let director = self.clone();
        // Submitted here rather than at the first poll, so that requests keep the order of the calls.
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

    /// Replaces the endpoint list if `full`, else updates the given entries. A drain takes effect at most 1 s
    /// after this call returns.
    pub async fn members(&self, full: bool, members: Vec<Endpoint>) -> Result<(), Stopped> {
        self.send_message(DispatcherMessage::Members { full, members }).await
    }

    /// Purges one object, or all objects of `group` if `object` is `None`, as of the Unix time `at` in
    /// microseconds. From 1 s after this call returns, no older copy is served.
    pub async fn purge(&self, object: Option<Arc<str>>, group: u32, at: Micros) -> Result<(), Stopped> {
        self.send_message(DispatcherMessage::Purged { object, group, at, retention: 0 }).await
    }

    /// Sets a drain override for a server: it drains regardless of the state that its source reports, until
    /// another process runs under its name. At most 1 s after the call, no new request is sent to it and no
    /// fill uses it as fill source. Returns whether the server is listed.
    pub async fn drain(&self, name: &str) -> Result<bool, Stopped> {
        self.0.dispatcher.drain(name, DrainCommand::Drain).await.ok_or(Stopped)
    }

    /// Removes a server's drain override. Returns whether the server is listed.
    pub async fn undrain(&self, name: &str) -> Result<bool, Stopped> {
        self.0.dispatcher.drain(name, DrainCommand::Undrain).await.ok_or(Stopped)
    }

    /// Replaces the settings for new requests; pending ones keep theirs. Changes to zones and kinds are
    /// ignored. Requests that are sent after this call has returned have the new settings.
    pub async fn reload(&self, settings: Settings) -> Result<(), Stopped> {
        if self.is_stopped() {
            return Err(Stopped);
        }
        self.0.dispatcher.reload(settings).await.ok_or(Stopped)
    }

    /// Returns the current metrics.
    pub async fn metrics(&self) -> Result<DispatcherMetrics, Stopped> {
        self.0.dispatcher.metrics().await.ok_or(Stopped)
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        self.0.dispatcher.settings()
    }

    /// Returns the handle by which frontends and middleware submit requests.
    pub fn dispatcher(&self) -> Dispatcher {
        self.0.dispatcher.clone()
    }

    /// Stops accepting requests, waits for pending ones until `deadline` has passed, and ends the director's
    /// thread. From the call on, every handle returns [`SendError::Stopped`].
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
