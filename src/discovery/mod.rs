//! Where the list of members and purges come from.

pub mod client;
pub mod watched_file;
pub mod xds;

use crate::dispatch::{DispatcherMessage, DispatcherSender, Endpoint};
use std::future::Future;
use std::path::PathBuf;
use std::pin::Pin;
use tokio::sync::watch;
use watched_file::WatchedFile;

/// A task on the director's thread.
pub type LocalBoxFuture = Pin<Box<dyn Future<Output = ()>>>;

/// A source of members, or of purges. It is opened before the director serves and then followed for as long
/// as it runs; an end of its task leaves the list as it is.
pub trait EndpointSource: Send + 'static {
    /// What is known before anything else. An error ends the start and is one plain line.
    fn initial(&mut self) -> Result<Vec<DispatcherMessage>, String>;

    /// Reports what changes.
    fn follow(self: Box<Self>, reports: DispatcherSender) -> LocalBoxFuture;
}

/// The host application itself: what it lists at the start; all else it says through the director's handle.
#[derive(Debug, Default)]
pub struct StaticEndpoints(pub Vec<Endpoint>);

impl EndpointSource for StaticEndpoints {
    fn initial(&mut self) -> Result<Vec<DispatcherMessage>, String> {
        Ok(vec![DispatcherMessage::Members { full: true, members: std::mem::take(&mut self.0) }])
    }

    fn follow(self: Box<Self>, _: DispatcherSender) -> LocalBoxFuture {
        Box::pin(std::future::ready(()))
    }
}

/// The platform's notice board.
#[derive(Debug)]
pub struct DiscoveryService {
    /// Where it listens; a later address is turned to at once. Empty: nowhere.
    pub address: watch::Receiver<String>,
    /// The number of the last event in `known`.
    pub revision: u64,
    /// The events of the start.
    pub initial_events: Vec<client::WatchEvent>,
    /// Tell of purges only, for the members come from elsewhere.
    pub purges_only: bool,
    /// Who else hears each event.
    pub subscriber: client::Subscriber,
}

impl EndpointSource for DiscoveryService {
    fn initial(&mut self) -> Result<Vec<DispatcherMessage>, String> {
        let purges_only = self.purges_only;
        Ok(std::mem::take(&mut self.initial_events)
            .into_iter()
            .filter_map(|n| n.message(purges_only))
            .collect())
    }

    fn follow(self: Box<Self>, reports: DispatcherSender) -> LocalBoxFuture {
        Box::pin(client::follow(self.address, self.revision, self.purges_only, reports, self.subscriber))
    }
}

/// A file in xDS form, read again four times a second.
#[derive(Debug)]
pub struct XdsFile {
    path: PathBuf,
    file: Option<WatchedFile>,
}

impl XdsFile {
    /// Takes the members from this file.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        XdsFile { path: path.into(), file: None }
    }
}

impl EndpointSource for XdsFile {
    fn initial(&mut self) -> Result<Vec<DispatcherMessage>, String> {
        let (file, update) = WatchedFile::open(self.path.clone(), xds::parse)?;
        self.file = Some(file);
        Ok(vec![listed(update)])
    }

    fn follow(self: Box<Self>, reports: DispatcherSender) -> LocalBoxFuture {
        Box::pin(async move {
            if let Some(file) = self.file {
                follow_file(file, reports).await;
            }
        })
    }
}

fn listed(update: xds::Update) -> DispatcherMessage {
    DispatcherMessage::Members { full: true, members: update.members }
}

/// Watches a list in xDS form; each good version of it takes the place of the one before.
pub async fn follow_file(mut file: WatchedFile, reports: DispatcherSender) {
    loop {
        let update = file.next(xds::parse).await;
        reports.send(listed(update)).await;
    }
}
