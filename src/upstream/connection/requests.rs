//! Moves requests from a connection's queue to its out buffer, and removes them on cancellation.

use super::attempts::InFlightAttempt;
use super::out_buffer::WriteProgress;
use super::Connection;
use crate::dispatch::{AttemptError, AttemptId, CancellationToken, EndpointCommand, UpstreamRequest};
use crate::upstream::line_codec;
use tokio::time::Instant;

/// A request in the out buffer that is not completely written.
pub(super) struct UnwrittenRequest {
    attempt: AttemptId,
    cancellation: CancellationToken,
    send_deadline: Instant,
}

impl Connection {
    /// Queues a command; a cancellation takes effect immediately instead.
    pub(super) async fn handle_command(&mut self, command: EndpointCommand) {
        match command {
            EndpointCommand::Cancel(attempt) => self.cancel(attempt).await,
            command => self.queue.push_back(command),
        }
    }

    /// Cancels an attempt. If no byte of its request was written, nothing is sent to the server.
    async fn cancel(&mut self, attempt: AttemptId) {
        let was_queued = self.remove_queued(attempt);
        if self.remove_unwritten(attempt) {
            self.report_unsent(attempt).await;
        } else if let Some(in_flight) = self.attempts.remove(attempt) {
            self.cancel_in_flight(attempt, in_flight).await;
        } else if was_queued {
            self.report_unsent(attempt).await;
        }
    }

    async fn report_unsent(&self, attempt: AttemptId) {
        self.reporter.attempt_cancelled(attempt, AttemptError::NotWritten).await;
        self.reporter.attempt_done(attempt).await;
    }

    /// Appends a cancellation for the server. A request that is partially written is written completely
    /// before the cancellation.
    async fn cancel_in_flight(&mut self, attempt: AttemptId, in_flight: InFlightAttempt) {
        self.reporter.attempt_cancelled(attempt, AttemptError::Unanswered).await;
        if self.liveness.is_unresponsive_since(in_flight.sent_at) {
            self.reporter.unresponsive().await;
        }
        self.out.append(|out| line_codec::write_cancel(&in_flight.request_id, out));
        self.attempts.remember_cancelled(in_flight.request_id);
        self.reporter.attempt_done(attempt).await;
    }

    /// Removes an attempt from the queue; returns whether it was queued.
    fn remove_queued(&mut self, attempt: AttemptId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|command| match command {
            EndpointCommand::Send(request) => request.attempt_id != attempt,
            _ => true,
        });
        self.queue.len() < before
    }

    /// Removes an attempt from the out buffer if no byte of it has been written; returns whether it was
    /// removed.
    fn remove_unwritten(&mut self, attempt: AttemptId) -> bool {
        if !self.is_unwritten(attempt) {
            return false;
        }
        self.unwritten = None;
        // The buffer holds at most one request. Only cancellations of earlier requests may follow it.
        if let Some(in_flight) = self.attempts.remove(attempt) {
            self.out.remove(&in_flight.bytes);
        }
        true
    }

    /// Returns whether an attempt is in the out buffer and no byte of it has been written.
    fn is_unwritten(&self, attempt: AttemptId) -> bool {
        let in_flight = self.attempts.get(attempt);
        in_flight.is_some_and(|it| self.out.progress(&it.bytes) == WriteProgress::NotStarted)
    }

    /// Removes the request from the out buffer, if no byte of it has been written, when it has been
    /// cancelled, its client has disconnected or its send deadline has passed.
    pub(super) async fn drop_expired(&mut self) {
        let waiting = self.unwritten.as_ref().filter(|request| self.is_unwritten(request.attempt));
        let Some(request) = waiting else { return };
        let is_late = Instant::now() > request.send_deadline;
        let error = if request.cancellation.check_client() {
            AttemptError::Cancelled
        } else if is_late {
            AttemptError::NotWritten
        } else {
            return;
        };
        let attempt = request.attempt;
        if self.remove_unwritten(attempt) {
            self.reporter.attempt_ended(attempt, Err(error)).await;
        }
    }

    /// Reports a request that is now completely written, even if it has already been answered or cancelled.
    pub(super) async fn report_written(&mut self) {
        if let Some(request) = self.unwritten.take_if(|_| self.out.is_empty()) {
            self.reporter.attempt_written(request.attempt).await;
        }
    }

    /// Moves commands from the queue to the out buffer, one request at a time: requests in the queue can
    /// still be cancelled without sending anything to the server.
    pub(super) async fn fill_out_buffer(&mut self) {
        while self.out.is_empty() {
            match self.queue.pop_front() {
                Some(EndpointCommand::Send(request)) => self.send(request).await,
                Some(EndpointCommand::HealthCheck(number)) => self.send_health_check(number),
                Some(EndpointCommand::Cancel(_)) => {} // handled on arrival, never queued
                None => return,
            }
        }
    }

    async fn send(&mut self, request: UpstreamRequest) {
        let now = Instant::now();
        let error = if request.cancellation.is_cancelled() {
            AttemptError::Cancelled
        } else if now > request.send_deadline || self.attempts.is_ambiguous(&request.id) {
            AttemptError::NotWritten
        } else {
            return self.encode(request, now);
        };
        self.reporter.attempt_ended(request.attempt_id, Err(error)).await;
    }

    fn encode(&mut self, request: UpstreamRequest, now: Instant) {
        let bytes = self.out.append(|out| line_codec::write_request(&request, now, out));
        let attempt = request.attempt_id;
        let (cancellation, send_deadline) = (request.cancellation, request.send_deadline);
        self.unwritten = Some(UnwrittenRequest { attempt, cancellation, send_deadline });
        self.attempts.insert(attempt, InFlightAttempt { request_id: request.id, bytes, sent_at: now });
    }

    fn send_health_check(&mut self, number: u64) {
        let tag = line_codec::health_check_tag(number);
        self.out.append(|out| line_codec::write_health_check(&tag, out));
        self.health_checks.insert(tag, number);
    }
}
