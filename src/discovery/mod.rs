//! Where the director learns of its endpoints and of purges.
//!
//! | module | holds |
//! | --- | --- |
//! | [`client`] | the client of the platform's discovery service |
//! | [`codec`] | the wire form of its watch stream |
//! | [`event`] | its events |
//! | [`xds`] | endpoint lists in xDS form |
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

/// Why an endpoint source can't be opened; one line.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// Its file can't be used.
    #[error(transparent)]
    File(#[from] WatchedFileError),
    /// A reason of a source of the host application's own.
    #[error(transparent)]
    Other(Box<dyn Error + Send + Sync>),
}

/// A source of endpoints, of purges, or of both. It is opened before the director serves and followed for as
/// long as the director runs; when its future ends the endpoints stay as they are.
pub trait EndpointSource: Send + 'static {
    /// What the source knows before the director starts. An error prevents the start.
    fn initial(&mut self) -> Result<Vec<DispatcherMessage>, SourceError>;

    /// Reports changes to the dispatcher.
    fn follow(self: Box<Self>, dispatcher: DispatcherSender) -> LocalBoxFuture<()>;
}

/// Endpoints that the host application lists once at the start. It reports changes by the director's handle.
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
    /// Its present address; a later one takes effect at once. Empty: there is none.
    pub address: watch::Receiver<String>,
    /// Revision of the latest event in `initial_events`.
    pub revision: u64,
    /// Events that are known at the start.
    pub initial_events: Vec<WatchEvent>,
    /// Which events reach the dispatcher.
    pub scope: WatchScope,
    /// A further receiver of all events.
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

/// A file with an endpoint list in xDS form, polled for changes.
#[derive(Debug)]
pub struct XdsFile {
    path: PathBuf,
    file: Option<WatchedFile>,
}

impl XdsFile {
    /// Takes the endpoints from this file.
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

/// Follows an endpoint list in xDS form; each valid version replaces the one before.
pub async fn follow_file(mut file: WatchedFile, dispatcher: DispatcherSender) {
    loop {
        let update = file.next(xds::parse).await;
        dispatcher.send(complete_list(update.members)).await;
    }
}

fn complete_list(members: Vec<Endpoint>) -> DispatcherMessage {
    DispatcherMessage::Members { full: true, members }
}
