//! Sources of endpoint lists and of purges.
//!
//! | module | content |
//! | --- | --- |
//! | [`client`] | client of the platform's discovery service |
//! | [`codec`] | wire format of the service's watch stream |
//! | [`event`] | watch events |
//! | [`xds`] | endpoint lists in xDS format |
//! | [`watched_file`] | files that are polled for changes |

pub mod client;
pub mod codec;
pub mod event;
pub mod watched_file;
pub mod xds;

use crate::dispatch::{DispatcherMessage, DispatcherSender, Endpoint};
use client::DiscoveryClient;
pub use event::{Subscriber, WatchChange, WatchEvent, WatchScope};
use std::error::Error;
use std::future::Future;
use std::path::PathBuf;
use std::pin::Pin;
use tokio::sync::watch;
use watched_file::{WatchedFile, WatchedFileError};

/// A future that runs on the director's thread.
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// An error that prevents an endpoint source from being opened. Its message is a single line.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// The source's file can't be read or decoded.
    #[error(transparent)]
    File(#[from] WatchedFileError),
    /// An error from an endpoint source that the host application implements.
    #[error(transparent)]
    Other(Box<dyn Error + Send + Sync>),
}

/// A source of endpoints, of purges, or of both. The director opens it before it serves requests and follows
/// it until it shuts down. If the future of [`follow`](Self::follow) ends earlier, the endpoints stay as they
/// are.
pub trait EndpointSource: Send + 'static {
    /// Returns the messages that the dispatcher gets before the director starts. An error prevents the start.
    fn initial(&mut self) -> Result<Vec<DispatcherMessage>, SourceError>;

    /// Sends later changes to the dispatcher.
    fn follow(self: Box<Self>, dispatcher: DispatcherSender) -> LocalBoxFuture<()>;
}

/// A list of endpoints that the host application gives at the start. The application reports later changes
/// through the director's handle.
#[derive(Debug, Default)]
pub struct StaticEndpoints(pub Vec<Endpoint>);

impl EndpointSource for StaticEndpoints {
    fn initial(&mut self) -> Result<Vec<DispatcherMessage>, SourceError> {
        Ok(vec![complete_list(std::mem::take(&mut self.0))])
    }

    fn follow(self: Box<Self>, _: DispatcherSender) -> LocalBoxFuture<()> {
        Box::pin(std::future::ready(()))
    }
}

/// The platform's discovery service.
#[derive(Debug)]
pub struct DiscoveryService {
    /// Current address; a new one takes effect at once. Empty if there is no discovery service.
    pub address: watch::Receiver<String>,
    /// Revision of the latest event in `initial_events`.
    pub revision: u64,
    /// Events known before the first connection. The dispatcher gets them before the director starts.
    pub initial_events: Vec<WatchEvent>,
    /// Selects the events that the director uses.
    pub scope: WatchScope,
    /// Additional receiver of the events that `scope` selects.
    pub subscriber: Subscriber,
}

impl EndpointSource for DiscoveryService {
    fn initial(&mut self) -> Result<Vec<DispatcherMessage>, SourceError> {
        let events = std::mem::take(&mut self.initial_events);
        Ok(events.into_iter().filter_map(|event| event.into_message(self.scope)).collect())
    }

    fn follow(self: Box<Self>, dispatcher: DispatcherSender) -> LocalBoxFuture<()> {
        Box::pin(DiscoveryClient::new(*self, dispatcher).run())
    }
}

/// A file with an endpoint list in xDS format, polled for changes.
#[derive(Debug)]
pub struct XdsFile {
    path: PathBuf,
    file: Option<WatchedFile>,
}

impl XdsFile {
    /// Creates a source for the file at `path`. [`initial`](EndpointSource::initial) reads it first.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        XdsFile { path: path.into(), file: None }
    }
}

impl EndpointSource for XdsFile {
    fn initial(&mut self) -> Result<Vec<DispatcherMessage>, SourceError> {
        let (file, update) = WatchedFile::open(self.path.clone(), xds::parse)?;
        self.file = Some(file);
        Ok(vec![complete_list(update.members)])
    }

    fn follow(self: Box<Self>, dispatcher: DispatcherSender) -> LocalBoxFuture<()> {
        Box::pin(async move {
            if let Some(file) = self.file {
                follow_file(file, dispatcher).await;
            }
        })
    }
}

/// Sends each new valid version of an xDS file to the dispatcher as a complete list of endpoints.
pub async fn follow_file(mut file: WatchedFile, dispatcher: DispatcherSender) {
    loop {
        let update = file.next(xds::parse).await;
        dispatcher.send(complete_list(update.members)).await;
    }
}

fn complete_list(members: Vec<Endpoint>) -> DispatcherMessage {
    DispatcherMessage::Members { full: true, members }
}
