//! Transfers over the server's link.

use super::Server;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Interval in seconds at which a link without transfers is checked.
const IDLE_WAIT_S: f64 = 60.0;
/// Shortest wait in seconds until the next check while there are transfers.
const MIN_WAIT_S: f64 = 0.0005;
/// Longest wait in seconds while there are transfers. Bounded because the link's capacity grows in slow
/// start.
const MAX_WAIT_S: f64 = 0.1;

/// A transfer in flight. Dropping it before its end frees its share of the link.
struct Transfer<'a> {
    server: &'a Server,
    number: u64,
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        let mut link = self.server.link.borrow_mut();
        link.advance(self.server.now(), self.server.link_size());
        if self.server.transfers.borrow_mut().remove(&self.number).is_some() {
            link.cancel(self.number);
        }
    }
}

impl Server {
    /// Runs the link: completes each transfer when it ends.
    pub(super) async fn drive_link(self: Rc<Self>) {
        loop {
            let wait = {
                let mut link = self.link.borrow_mut();
                link.advance(self.now(), self.link_size());
                for ended in link.ended() {
                    if let Some(done) = self.transfers.borrow_mut().remove(&ended) {
                        let _ = done.send(()); // the request may have been cancelled
                    }
                }
                link.next_end(self.link_size()).map_or(IDLE_WAIT_S, |wait| wait.clamp(MIN_WAIT_S, MAX_WAIT_S))
            };
            let _ = tokio::time::timeout(Duration::from_secs_f64(wait), self.link_changed.notified()).await;
        }
    }

    /// Sends `work` seconds of work over the link, and returns when it is sent.
    pub(super) async fn transfer(&self, work: f64) {
        if work <= 0.0 {
            return;
        }
        let (done, waits) = oneshot::channel();
        let number = {
            let mut link = self.link.borrow_mut();
            link.advance(self.now(), self.link_size());
            link.begin(work)
        };
        self.transfers.borrow_mut().insert(number, done);
        self.link_changed.notify_one();
        let _transfer = Transfer { server: self, number };
        let _ = waits.await;
    }
}
