//! Closes a connection: the result of every attempt on it depends on how much of its request was written.

use super::out_buffer::WriteProgress;
use super::Connection;
use crate::dispatch::{AttemptError, EndpointCommand};
use std::sync::Arc;
use tokio::sync::mpsc;

impl Connection {
    /// Ends all queued commands with `error` because the connection was not established; nothing was sent.
    pub(super) async fn fail_to_connect(
        mut self,
        error: AttemptError,
        commands: mpsc::Receiver<EndpointCommand>,
    ) {
        self.take_remaining(commands).await;
        for command in std::mem::take(&mut self.queue) {
            match command {
                EndpointCommand::Send(request) => {
                    self.reporter.attempt_ended(request.attempt_id, Err(error)).await;
                }
                EndpointCommand::HealthCheck(number) => {
                    self.reporter.health_checked(number, Err(error)).await;
                }
                EndpointCommand::Cancel(_) => {}
            }
        }
        self.reporter.closed(Vec::new()).await;
    }

    /// Ends all attempts in flight, and passes commands that were not written back to the actor.
    /// `interrupted` is the id of the request whose response had begun.
    pub(super) async fn end(
        mut self,
        interrupted: Option<Arc<str>>,
        commands: mpsc::Receiver<EndpointCommand>,
    ) {
        self.take_remaining(commands).await;
        for (attempt, in_flight) in self.attempts.take_all() {
            let error = match self.out.progress(&in_flight.bytes) {
                _ if interrupted.as_ref() == Some(&in_flight.request_id) => AttemptError::ResponseInterrupted,
                WriteProgress::Complete => AttemptError::Unanswered,
                WriteProgress::Partial => AttemptError::PartiallyWritten,
                WriteProgress::NotStarted => AttemptError::NotWritten,
            };
            self.reporter.attempt_ended(attempt, Err(error)).await;
        }
        for number in std::mem::take(&mut self.health_checks).into_values() {
            self.reporter.health_checked(number, Err(AttemptError::Unanswered)).await;
        }
        let mut unsent: Vec<EndpointCommand> = std::mem::take(&mut self.queue).into();
        if !self.out.has_written() {
            // A server that accepts connections and closes them immediately would cause endless retries if
            // these commands went back to the actor.
            self.end_unsent(std::mem::take(&mut unsent), AttemptError::NotConnected).await;
        }
        let returned = self.reporter.closed(unsent).await;
        // The actor has ended, so these commands are not assigned to another connection.
        self.end_unsent(returned, AttemptError::NotWritten).await;
    }

    /// Closes the channel and handles the commands that are still in it.
    async fn take_remaining(&mut self, mut commands: mpsc::Receiver<EndpointCommand>) {
        commands.close();
        while let Some(command) = commands.recv().await {
            self.handle_command(command).await;
        }
    }

    async fn end_unsent(&self, commands: Vec<EndpointCommand>, error: AttemptError) {
        for command in commands {
            if let EndpointCommand::Send(request) = command {
                self.reporter.attempt_ended(request.attempt_id, Err(error)).await;
            }
        }
    }
}
