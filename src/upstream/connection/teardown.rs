//! The end of a connection: every attempt on it ends by how far it had come.

use super::out_buffer::WriteProgress;
use super::Connection;
use crate::dispatch::{AttemptError, EndpointCommand};
use std::sync::Arc;
use tokio::sync::mpsc;

impl Connection {
    /// Ends all that waits, since the connection did not come up: nothing was sent.
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

    /// Ends all attempts in flight, and returns the commands that were not written to the actor.
    /// `interrupted`: id of the request whose response had begun.
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
            // Guards against a server that accepts and closes: placed again, they would be so without end.
            self.end_unsent(std::mem::take(&mut unsent), AttemptError::NotConnected).await;
        }
        let returned = self.reporter.closed(unsent).await;
        // The actor has ended, so nobody will place these again.
        self.end_unsent(returned, AttemptError::NotWritten).await;
    }

    /// Takes what is still in the channel.
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
