//! A dispatcher with a paused clock and a connector that records the commands to each server.

use crate::emulated::{endpoint_listing, settings};
use foxhold::dispatch::{self, *};
use foxhold::policy::types::*;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

/// The Unix time in microseconds at which each test starts.
const START: Micros = 1_764_576_000_000_000;

/// Records the commands to each server, with its name.
#[derive(Clone, Default)]
pub struct RecordingConnector {
    commands: Rc<RefCell<Vec<(String, EndpointCommand)>>>,
    /// Whether each connection actor ends after its first command, as one that panics does.
    ends_after_one_command: bool,
}

impl EndpointConnector for RecordingConnector {
    fn connect(
        &mut self,
        _: ServerId,
        listing: &Endpoint,
        _: DispatcherSender,
    ) -> mpsc::Sender<EndpointCommand> {
        let (mailbox, mut commands) = mpsc::channel(16);
        let (connector, name) = (self.clone(), listing.name.to_string());
        tokio::task::spawn_local(async move {
            while let Some(command) = commands.recv().await {
                connector.commands.borrow_mut().push((name.clone(), command));
                if connector.ends_after_one_command {
                    return;
                }
            }
        });
        mailbox
    }
}

impl RecordingConnector {
    /// Returns a connector whose connection actors each end after their first command.
    pub fn ending_after_one_command() -> Self {
        RecordingConnector { ends_after_one_command: true, ..RecordingConnector::default() }
    }

    /// Returns the attempts sent so far, with the names of their servers.
    pub fn attempts(&self) -> Vec<(String, UpstreamRequest)> {
        let attempt = |(name, command): &(String, EndpointCommand)| match command {
            EndpointCommand::Send(request) => Some((name.clone(), request.clone())),
            _ => None,
        };
        self.commands.borrow().iter().filter_map(attempt).collect()
    }

    /// Returns the number of attempts cancelled so far.
    pub fn cancellations(&self) -> usize {
        self.commands.borrow().iter().filter(|(_, c)| matches!(c, EndpointCommand::Cancel(_))).count()
    }
}

/// A dispatcher with two caches, a parent and an origin.
pub struct Site {
    pub dispatcher: Dispatcher,
    pub connector: RecordingConnector,
    pub clock: Clock,
}

pub fn site() -> Site {
    start_site(RecordingConnector::default(), settings())
}

pub fn site_with_connector(connector: RecordingConnector) -> Site {
    start_site(connector, settings())
}

pub fn site_with_settings(settings: Settings) -> Site {
    start_site(RecordingConnector::default(), settings)
}

fn start_site(connector: RecordingConnector, settings: Settings) -> Site {
    let members = vec![
        endpoint_listing("cache-1", "a", "edge", "cache"),
        endpoint_listing("cache-2", "b", "edge", "cache"),
        endpoint_listing("parent-1", "c", "hub", "parent"),
        endpoint_listing("origin-1", "d", "hub", "origin"),
    ];
    let clock = Clock::starting_at(START);
    let initial = vec![DispatcherMessage::Members { full: true, members }];
    let running = dispatch::start(settings, 7, clock, connector.clone(), initial).expect("valid settings");
    Site { dispatcher: running.dispatcher, connector, clock }
}

impl Site {
    /// Returns a request of the class at this index in the settings in force; class 1 holds writes.
    pub fn request(&self, class: usize) -> ClientRequest {
        let rules = RequestRules::new(self.dispatcher.settings(), class).expect("a class");
        ClientRequest {
            id: "00000000000000aa".into(),
            object: "7f3a9c21e0b4d655".into(),
            size_kb: 50.0,
            timeout: Duration::from_secs(2),
            ..ClientRequest::new(rules)
        }
    }

    /// Returns the same request with a newly generated id.
    pub fn request_with_new_id(&self, class: usize) -> ClientRequest {
        ClientRequest { id: self.dispatcher.generate_request_id(), ..self.request(class) }
    }

    /// Puts new settings into the dispatcher's mailbox without running any task.
    pub fn queue_settings(&self, settings: Settings) {
        let (in_force, _) = oneshot::channel();
        let message = DispatcherMessage::Settings { settings: Box::new(settings), in_force };
        assert!(self.dispatcher.sender().try_send(message), "the mailbox is full");
    }
}

/// Returns a server's response from its cache.
pub fn served() -> AttemptResult {
    served_as(CacheStatus::Hit)
}

/// Returns a server's response with this cache status.
pub fn served_as(cache_status: CacheStatus) -> AttemptResult {
    let status = ResponseStatus::Ok(Representation { etag: None, body: "bytes".into() });
    Ok(UpstreamResponse { status, cache_status, source_wait: 0, load_report: Vec::new() })
}

/// Lets all other tasks run until they are idle.
pub async fn run_until_idle() {
    sleep(Duration::from_millis(1)).await;
}

/// Reports the end of an attempt.
pub async fn end_attempt(site: &Site, attempt: AttemptId, result: AttemptResult) {
    site.dispatcher.sender().send(DispatcherMessage::AttemptEnded(attempt, result)).await;
    run_until_idle().await;
}
