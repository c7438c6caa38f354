//! A host application with the director as a library, whose transport records the class of each attempt.

use crate::emulated::settings;
use crate::library::{served, start_director, RecordingTransport};
use bytes::Bytes;
use foxhold::director::{CacheRequest, Director};
use foxhold::dispatch::DispatcherMessage;
use foxhold::middleware::DirectorService;
use foxhold::policy::types::*;
use foxhold::signed::OutcomeCounters;
use http::{Request, StatusCode};
use http_body::Frame;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::{mpsc as std_mpsc, Arc, Mutex};
use std::task::{Context, Poll};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::JoinHandle;
use tower::ServiceExt;

/// Object whose attempt blocks the director's thread until the sender of [`Host::block_director`] is dropped.
const BLOCKING_OBJECT: &str = "blocking";

/// Returns the settings of a reload. Each changes one class, `filing` and `videos` in turn, so that no two
/// are the same.
fn changed_settings(number: usize) -> Settings {
    let mut settings = settings();
    let change = number as Micros + 1;
    settings.classes[1].deadline -= change;
    settings.classes[0].latency_objective += change / 2;
    settings
}

/// The host application.
pub struct Host {
    pub director: Director,
    service: DirectorService,
    transport: RecordingTransport,
    /// Received by the attempt that blocks the director.
    block: Arc<Mutex<Option<std_mpsc::Receiver<()>>>>,
    /// Notified when the director is blocked.
    blocked: Arc<Notify>,
}

impl Host {
    pub fn start() -> Host {
        let (block, blocked) = (Arc::default(), Arc::new(Notify::new()));
        let (to_receive, to_notify) = (Arc::clone(&block), blocked.clone());
        let transport = RecordingTransport::new(move |_, request| {
            if &*request.object == BLOCKING_OBJECT {
                wait_until_unblocked(&to_receive, &to_notify);
            }
            served()
        });
        let director = start_director(&transport);
        let service = DirectorService::new(director.clone(), Arc::new(OutcomeCounters::default()));
        Host { director, service, transport, block, blocked }
    }

    /// Returns the class and the server of each attempt so far.
    pub fn forwarded(&self) -> Vec<(String, String)> {
        self.transport.exchanges().into_iter().map(|attempt| (attempt.class, attempt.server)).collect()
    }

    /// Applies changed settings and returns once they are in force.
    pub async fn reload(&self, number: usize) {
        self.director.reload(changed_settings(number)).await.expect("a director");
    }

    /// Puts changed settings into the director's mailbox.
    pub fn queue_reload(&self, number: usize) {
        let (in_force, _) = oneshot::channel();
        let settings = Box::new(changed_settings(number));
        let message = DispatcherMessage::Settings { settings, in_force };
        assert!(self.director.dispatcher().sender().try_send(message), "the mailbox is full");
    }

    /// Blocks the director's thread until the returned sender is dropped.
    pub async fn block_director(&self) -> std_mpsc::Sender<()> {
        let (unblock, block) = std_mpsc::channel();
        *self.block.lock().expect("a lock") = Some(block);
        tokio::spawn(self.director.send(CacheRequest::new("videos", BLOCKING_OBJECT)));
        self.blocked.notified().await;
        unblock
    }

    /// Begins a write through the middleware, and returns once the middleware waits for the body.
    pub async fn begin_upload(&self, path: &str) -> Upload {
        let (parts, received) = mpsc::unbounded_channel();
        let polled = Arc::new(Notify::new());
        let body = ChannelBody { received, polled: polled.clone() };
        let request = Request::put(path).body(body).expect("a valid request");
        let service = self.service.clone();
        let response =
            tokio::spawn(
                async move { service.oneshot(request).await.expect("an infallible service").status() },
            );
        polled.notified().await;
        Upload { parts: Some(parts), response }
    }
}

fn wait_until_unblocked(block: &Mutex<Option<std_mpsc::Receiver<()>>>, blocked: &Notify) {
    blocked.notify_one();
    let block = block.lock().expect("a lock").take().expect("a receiver");
    let _ = block.recv(); // ends when the sender is dropped
}

/// A write whose body is sent in parts.
pub struct Upload {
    parts: Option<mpsc::UnboundedSender<Bytes>>,
    response: JoinHandle<StatusCode>,
}

impl Upload {
    /// Sends a part of the body.
    pub fn send(&mut self, part: &'static str) {
        let parts = self.parts.as_ref().expect("an incomplete body");
        parts.send(Bytes::from_static(part.as_bytes())).expect("the middleware reads the body");
    }

    /// Ends the body and returns the status of the response.
    pub async fn response(mut self) -> StatusCode {
        self.parts = None;
        self.response.await.expect("a response")
    }
}

/// A body whose parts come from a channel.
struct ChannelBody {
    received: mpsc::UnboundedReceiver<Bytes>,
    /// Notified when the body is read.
    polled: Arc<Notify>,
}

impl http_body::Body for ChannelBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.polled.notify_one();
        self.received.poll_recv(cx).map(|part| part.map(|bytes| Ok(Frame::data(bytes))))
    }
}
