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
//! let answer = director.send(CacheRequest::new("pages", "index.html")).await?;
//! # assert!(matches!(answer, foxhold::dispatch::ClientResponse::Served(_)));
//! # Ok::<(), foxhold::director::SendError>(()) })?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod builder;
mod error;

pub use builder::{start_core, Builder};
pub use error::{BuildError, SendError, Shutdown, Stopped};

use crate::config::platform::PlatformConfig;
use crate::dispatch::{
    is_name, ClientRequest, ClientResponse, Dispatcher, DispatcherMessage, DispatcherMetrics, DrainCommand,
    Endpoint, FailureReason, MAX_WRITE_BYTES,
};
use crate::policy::types::{Micros, Settings};
use bytes::Bytes;
use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// What is asked for.
#[derive(Clone, Debug, Default)]
pub struct CacheRequest {
    class: String,
    ask: ClientRequest,
    allow: Option<Duration>,
}

impl CacheRequest {
    /// Asks for an object of a class, by its name among the settings' classes.
    pub fn new(class: impl Into<String>, object: impl Into<Arc<str>>) -> Self {
        let ask = ClientRequest { object: object.into(), ..ClientRequest::default() };
        CacheRequest { class: class.into(), ask, allow: None }
    }

    /// A part of the object, counted from 0.
    pub fn part(mut self, part: u32) -> Self {
        self.ask.part = Some(part);
        self
    }

    /// The object's group, which purges may name. Without one it is taken to belong to all.
    pub fn group(mut self, group: u32) -> Self {
        self.ask.group = Some(group);
        self
    }

    /// The part's size in KB, where it is known.
    pub fn size_kb(mut self, size: f64) -> Self {
        self.ask.size_kb = size;
        self
    }

    /// How long an answer is waited for; the class's deadline unless told.
    pub fn timeout(mut self, wait: Duration) -> Self {
        self.allow = Some(wait);
        self
    }

    /// The tag of a copy that is there already: an answer may be [`ClientResponse::NotModified`] then.
    pub fn if_none_match(mut self, tag: impl Into<Arc<str>>) -> Self {
        self.ask.if_none_match = Some(tag.into());
        self
    }

    /// What servers know a repeat by, for classes whose repeats they throw away: the same with each repeat.
    pub fn idempotency_key(mut self, token: impl Into<Arc<str>>) -> Self {
        self.ask.idempotency_key = Some(token.into());
        self
    }

    /// What is to be written, for classes that write.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.ask.body = body.into();
        self
    }

    /// The id that servers are given; one of the director's own unless told. No two open questions may share
    /// one.
    pub fn id(mut self, id: impl Into<Arc<str>>) -> Self {
        self.ask.id = id.into();
        self
    }

    /// Marks a client's repeat.
    pub fn retry(mut self) -> Self {
        self.ask.is_retry = true;
        self
    }

    fn read(self, core: &Dispatcher) -> Result<ClientRequest, SendError> {
        let (settings, mut ask) = (core.settings(), self.ask);
        let class = settings.class_index(&self.class).ok_or(SendError::UnknownClass(self.class))?;
        let facts = &settings.classes[class];
        if [Some(&ask.object), ask.if_none_match.as_ref(), ask.idempotency_key.as_ref()]
            .iter()
            .flatten()
            .any(|n| !is_name(n))
        {
            return Err(SendError::BadName);
        }
        if ask.body.len() > MAX_WRITE_BYTES {
            return Err(SendError::TooLarge { len: ask.body.len(), most: MAX_WRITE_BYTES });
        }
        if !facts.write && !ask.body.is_empty() {
            return Err(SendError::UnwantedBody);
        }
        if ask.id.is_empty() {
            ask.id = core.generate_request_id();
        }
        ask.timeout = self.allow.unwrap_or(Duration::from_micros(facts.deadline));
        ask.class = class;
        Ok(ask)
    }
}

/// What the director's thread is told.
pub(crate) enum Control {
    /// End within this time.
    Shutdown(Duration, oneshot::Sender<Shutdown>),
}

struct Inner {
    core: Dispatcher,
    closing: AtomicBool,
    /// Dropped with the last handle, which ends the thread.
    control: mpsc::UnboundedSender<Control>,
}

/// A handle to a running director. Any clone may be used from any thread and any runtime; the last one
/// dropped ends the director's thread and closes all its connections.
#[derive(Clone)]
pub struct Director(Arc<Inner>);

impl std::fmt::Debug for Director {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Director").field("ended", &self.0.core.has_ended()).finish_non_exhaustive()
    }
}

impl Director {
    /// A director with these settings; the builder says the rest.
    pub fn builder(settings: Settings) -> Builder {
        Builder::new(settings)
    }

    /// A director as the platform's configuration file describes it: settings, board, seed and connections.
    pub fn from_file(path: impl AsRef<std::path::Path>) -> Result<Builder, BuildError> {
        Ok(Builder::from_config(
            PlatformConfig::read(path.as_ref()).map_err(|e| BuildError::Config(e.to_string()))?,
        ))
    }

    pub(crate) fn new(core: Dispatcher, control: mpsc::UnboundedSender<Control>) -> Self {
        Director(Arc::new(Inner { core, closing: AtomicBool::new(false), control }))
    }

    /// Asks for an object. Dropping the future lets go of the question: nothing new is sent for it. The
    /// future holds a handle of its own.
    pub fn send(
        &self,
        question: CacheRequest,
    ) -> impl Future<Output = Result<ClientResponse, SendError>> + Send + 'static {
        let director = self.clone();
        // Put into the mailbox now, not at the first poll: questions keep the order in which they were asked.
        let pending = match self.stopped() {
            true => Err(SendError::Stopped { may_have_run: false }),
            false => question.read(&self.0.core).map(|ask| director.0.core.submit(ask)),
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
                answer => Ok(answer),
            }
        }
    }

    /// Tells of members: all of them, or those that changed. A drain holds within 1 s of this call's return.
    pub async fn members(&self, full: bool, members: Vec<Endpoint>) -> Result<(), Stopped> {
        self.tell(DispatcherMessage::Members { full, members }).await
    }

    /// Tells of a purge of one object, or else of all of a group, made at this Unix time in microseconds.
    /// From 1 s after this call's return nothing is answered from an older copy.
    pub async fn purge(&self, object: Option<Arc<str>>, group: u32, at: Micros) -> Result<(), Stopped> {
        self.tell(DispatcherMessage::Purged { object, group, at, retention: 0 }).await
    }

    /// Has a server drain, whatever its source says, until another process runs under its name; returns
    /// whether it is listed. Nothing new goes there, as request or as source, from 1 s after the call at the
    /// latest.
    pub async fn drain(&self, name: &str) -> Result<bool, Stopped> {
        self.0.core.drain(name, DrainCommand::Drain).await.ok_or(Stopped)
    }

    /// Takes a drain back; returns whether the server is listed.
    pub async fn undrain(&self, name: &str) -> Result<bool, Stopped> {
        self.0.core.drain(name, DrainCommand::Undrain).await.ok_or(Stopped)
    }

    /// Takes other settings over, for questions to come; open ones keep theirs. Zones and kinds stay as they
    /// were.
    pub async fn reload(&self, settings: Settings) -> Result<(), Stopped> {
        self.tell(DispatcherMessage::Settings(Box::new(settings))).await
    }

    /// The figures at this moment.
    pub async fn metrics(&self) -> Result<DispatcherMetrics, Stopped> {
        self.0.core.metrics().await.ok_or(Stopped)
    }

    /// The settings at this moment.
    pub fn settings(&self) -> Arc<Settings> {
        self.0.core.settings()
    }

    /// The handle by which fronts and middleware ask.
    pub fn dispatcher(&self) -> Dispatcher {
        self.0.core.clone()
    }

    /// Takes no more questions, waits for those that are open, and ends the thread at the deadline at the
    /// latest. Every handle gives [`SendError::Stopped`] from the call on.
    pub async fn shutdown(&self, deadline: Duration) -> Result<Shutdown, Stopped> {
        self.0.closing.store(true, Ordering::Release);
        let (reply, done) = oneshot::channel();
        self.0.control.send(Control::Shutdown(deadline, reply)).map_err(|_| Stopped)?;
        done.await.map_err(|_| Stopped)
    }

    fn stopped(&self) -> bool {
        self.0.closing.load(Ordering::Acquire) || self.0.core.has_ended()
    }

    async fn tell(&self, message: DispatcherMessage) -> Result<(), Stopped> {
        if self.stopped() {
            return Err(Stopped);
        }
        self.0.core.sender().send(message).await;
        Ok(())
    }
}
