//! One multiplexed connection to an endpoint: connects, writes requests, reads responses and closes.

mod attempts;
mod input;
mod liveness;
mod out_buffer;
mod reporter;
mod requests;
mod teardown;

use super::descriptor_permits::DescriptorPermit;
use super::line_codec::{self, MessageContent, ServerMessage};
use super::socket::{has_ended, is_short_of_descriptors};
use crate::config::settings::ConnectionSettings;
use crate::dispatch::{AttemptError, EndpointCommand};
use crate::memory::{MemoryBudget, MemoryReservation};
use attempts::InFlightAttempts;
use input::Input;
use liveness::{InactivityAction, Liveness};
use out_buffer::OutBuffer;
pub(super) use reporter::{ConnectionEvent, ConnectionId, Reporter};
use requests::UnwrittenRequest;
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind::WouldBlock;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout, Instant};

/// Limit on unsent bytes in the socket's send buffer at which the operating system stops accepting more.
/// Bytes that it has accepted can't be withdrawn, and they wait there for as long as the server does not
/// read.
const MAX_UNSENT_BYTES: u32 = 1;
/// Fraction of the server's idle timeout after which an idle connection is closed. It is closed before the
/// server closes it, so that no request is sent while the server is closing.
const IDLE_SHARE: f64 = 0.8;

/// A connection with its queued commands and attempts in flight.
pub(super) struct Connection {
    address: Arc<str>,
    settings: ConnectionSettings,
    permit: DescriptorPermit,
    memory: MemoryBudget,
    reporter: Reporter,
    /// Commands that are not yet in the out buffer.
    queue: VecDeque<EndpointCommand>,
    attempts: InFlightAttempts,
    /// Numbers of the health checks in flight, by tag.
    health_checks: HashMap<Arc<str>, u64>,
    /// The request in the out buffer that is not yet completely written.
    unwritten: Option<UnwrittenRequest>,
    out: OutBuffer,
    liveness: Liveness,
}

/// The state of an established connection.
struct Session<'a> {
    read: ReadHalf<'a>,
    write: WriteHalf<'a>,
    input: Input,
    commands: &'a mut mpsc::Receiver<EndpointCommand>,
    commands_closed: bool,
    /// Time at which a command or bytes were last received.
    last_used: Instant,
}

impl<'a> Session<'a> {
    fn new(
        stream: &'a mut TcpStream,
        commands: &'a mut mpsc::Receiver<EndpointCommand>,
        memory: MemoryBudget,
    ) -> Self {
        let (read, write) = stream.split();
        let (input, last_used) = (Input::new(memory), Instant::now());
        Session { read, write, input, commands, commands_closed: false, last_used }
    }
}

/// An event that a connection waits for.
#[allow(clippy::large_enum_variant, reason = "only one value exists at a time")]
enum Wake {
    /// A command, or `None` if the actor has ended.
    Command(Option<EndpointCommand>),
    /// The socket accepts bytes.
    Writable,
    /// Bytes have arrived or, without data, the connection has ended.
    Read { has_data: bool },
    /// The memory for the response that has begun is reserved, or `None` if it never can be.
    Reserved(Option<MemoryReservation>),
    /// No bytes have arrived for too long.
    Inactive,
    /// The connection has reached its idle timeout, or another connection needs its descriptor.
    CloseIdle,
}

impl Connection {
    /// Creates a connection that is not yet established.
    pub(super) fn new(
        address: Arc<str>,
        settings: ConnectionSettings,
        permit: DescriptorPermit,
        memory: MemoryBudget,
        reporter: Reporter,
    ) -> Self {
        Connection {
            address,
            settings,
            permit,
            memory,
            reporter,
            queue: VecDeque::new(),
            attempts: InFlightAttempts::default(),
            health_checks: HashMap::new(),
            unwritten: None,
            out: OutBuffer::default(),
            liveness: Liveness::new(Instant::now()),
        }
    }

    /// Connects, then runs until the connection closes.
    pub(super) async fn run(mut self, mut commands: mpsc::Receiver<EndpointCommand>) {
        match self.connect(&mut commands).await {
            Ok(stream) => {
                self.reporter.up().await;
                let interrupted = self.serve(stream, &mut commands).await;
                self.end(interrupted, commands).await;
            }
            Err(error) => self.fail_to_connect(error, commands).await,
        }
    }

    /// Establishes the connection. Commands are handled meanwhile, because queued attempts may be cancelled.
    async fn connect(
        &mut self,
        commands: &mut mpsc::Receiver<EndpointCommand>,
    ) -> Result<TcpStream, AttemptError> {
        let connecting = connect(self.address.clone(), self.settings.connect_timeout);
        tokio::pin!(connecting);
        let mut commands_closed = false;
        loop {
            tokio::select! {
                connected = &mut connecting => return connected,
                command = commands.recv(), if !commands_closed => match command {
                    Some(command) => self.handle_command(command).await,
                    None => commands_closed = true,
                },
            }
        }
    }

    /// Writes, reads and handles commands until the connection ends. Returns the id of the request whose
    /// response was interrupted, if any.
    async fn serve(
        &mut self,
        mut stream: TcpStream,
        commands: &mut mpsc::Receiver<EndpointCommand>,
    ) -> Option<Arc<str>> {
        let mut session = Session::new(&mut stream, commands, self.memory.clone());
        self.liveness.record_read(session.last_used);
        loop {
            // Checks that the server has not closed the connection meanwhile: a request of any class can go
            // to another endpoint as long as none of it was written.
            let is_about_to_write = self.attempts.is_empty() && !self.queue.is_empty();
            if is_about_to_write && has_ended(session.read.as_ref()) {
                return None;
            }
            self.fill_out_buffer().await;
            if session.commands_closed && self.is_idle() {
                return None;
            }
            let wake = self.wait(&mut session).await;
            if self.handle_wake(wake, &mut session).await.is_break() {
                return session.input.interrupted_request();
            }
        }
    }

    async fn wait(&self, session: &mut Session<'_>) -> Wake {
        let Session { read, write, input, commands, commands_closed, last_used } = session;
        let is_idle = self.is_idle();
        let idle_timeout = self.settings.idle_timeout.mul_f64(IDLE_SHARE);
        let bytes_to_reserve = input.bytes_to_reserve();
        let memory = input.memory().clone();
        let inactive_at = match bytes_to_reserve {
            // The server is not late: its response is not read.
            Some(_) => None,
            None => self.liveness.deadline(input.has_partial_response(), self.attempts.oldest()),
        };
        tokio::select! {
            // Commands and bytes that have arrived are handled before any timer that they would reset.
            biased;
            command = commands.recv(), if !*commands_closed => Wake::Command(command),
            _ = write.writable(), if !self.out.is_empty() => Wake::Writable,
            reservation = memory.reserve_for_response(bytes_to_reserve.unwrap_or(0)),
                if bytes_to_reserve.is_some() => Wake::Reserved(reservation),
            read = read.read_buf(input.buffer_mut()), if bytes_to_reserve.is_none() => {
                Wake::Read { has_data: matches!(read, Ok(1..)) }
            }
            () = sleep_until(inactive_at.unwrap_or(*last_used)), if inactive_at.is_some() => Wake::Inactive,
            () = sleep_until(*last_used + idle_timeout), if is_idle => Wake::CloseIdle,
            () = self.permit.requested(), if is_idle => Wake::CloseIdle,
        }
    }

    /// Handles an event; returns `Break` if the connection has to close.
    async fn handle_wake(&mut self, wake: Wake, session: &mut Session<'_>) -> ControlFlow<()> {
        match wake {
            Wake::Command(Some(command)) => {
                session.last_used = Instant::now();
                self.handle_command(command).await;
                ControlFlow::Continue(())
            }
            Wake::Command(None) => {
                session.commands_closed = true;
                ControlFlow::Continue(())
            }
            Wake::Writable => self.write(&session.write).await,
            Wake::Read { has_data: true } => {
                session.last_used = Instant::now();
                self.handle_input(&mut session.input, session.last_used).await
            }
            Wake::Reserved(Some(reservation)) => {
                self.liveness.record_read(Instant::now());
                session.input.start_body(reservation);
                ControlFlow::Continue(())
            }
            Wake::Reserved(None) | Wake::Read { has_data: false } | Wake::CloseIdle => ControlFlow::Break(()),
            Wake::Inactive => self.handle_inactivity(session.input.has_partial_response()).await,
        }
    }

    /// Returns whether there are no attempts or health checks in flight and no bytes to write.
    fn is_idle(&self) -> bool {
        self.attempts.is_empty() && self.health_checks.is_empty() && self.out.is_empty()
    }

    /// Writes as much as the socket accepts; returns `Break` if the connection has to close.
    async fn write(&mut self, write: &WriteHalf<'_>) -> ControlFlow<()> {
        self.drop_expired().await;
        match write.try_write(self.out.bytes()) {
            Ok(bytes) => {
                self.out.advance(bytes);
                self.report_written().await;
                ControlFlow::Continue(())
            }
            Err(error) if error.kind() == WouldBlock => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(()),
        }
    }

    /// Handles all complete messages; returns `Break` if the connection has to close.
    async fn handle_input(&mut self, input: &mut Input, now: Instant) -> ControlFlow<()> {
        self.liveness.record_read(now);
        loop {
            match input.next_message() {
                Ok(Some(message)) => self.handle_message(message).await,
                Ok(None) => return ControlFlow::Continue(()),
                Err(error) => {
                    tracing::warn!(server = %self.address, reason = %error, "invalid server response");
                    return ControlFlow::Break(());
                }
            }
        }
    }

    async fn handle_message(&mut self, message: ServerMessage) {
        match message.content {
            MessageContent::Health(report) => {
                if let Some(number) = self.health_checks.remove(&message.id) {
                    self.reporter.health_checked(number, Ok(report)).await;
                }
            }
            // A response without an attempt in flight is a duplicate, belongs to a cancelled request, or
            // has an id that was never sent. It was read completely, so later messages can still be
            // decoded.
            MessageContent::Response(response) => {
                if let Some(attempt) = self.attempts.remove_request(&message.id) {
                    self.reporter.attempt_ended(attempt, Ok(response)).await;
                }
            }
        }
    }

    /// Acts on a connection that has received nothing for too long; returns `Break` if the connection has
    /// to close.
    async fn handle_inactivity(&mut self, has_partial_response: bool) -> ControlFlow<()> {
        if has_partial_response {
            tracing::warn!(server = %self.address, "server response stalled, closing connection");
            return ControlFlow::Break(());
        }
        match self.liveness.next_action() {
            InactivityAction::Check => {
                // This is not one of the router's health checks: any received byte shows that the
                // connection works.
                self.out.append(|out| line_codec::write_health_check(line_codec::LIVENESS_TAG, out));
                ControlFlow::Continue(())
            }
            InactivityAction::ReportUnresponsive => {
                self.reporter.unresponsive().await;
                ControlFlow::Continue(())
            }
            InactivityAction::Close => {
                tracing::warn!(server = %self.address, "no data after liveness check, closing connection");
                ControlFlow::Break(())
            }
        }
    }
}

/// Connects to the address and sets the socket options; `limit` applies to connecting.
async fn connect(address: Arc<str>, limit: Duration) -> Result<TcpStream, AttemptError> {
    let connected = timeout(limit, TcpStream::connect(&*address)).await;
    let stream = connected.map_err(|_| AttemptError::NotConnected)?.map_err(|error| connect_error(&error))?;
    stream.set_nodelay(true).map_err(|_| AttemptError::NotConnected)?;
    // On systems without this option, the send buffer accepts more bytes, which can't be withdrawn.
    let _ = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    Ok(stream)
}

/// Converts a connect error to the result of the attempts. A lack of descriptors in this process
/// has a separate error, so that the server is not ejected for it.
fn connect_error(error: &std::io::Error) -> AttemptError {
    if is_short_of_descriptors(error) {
        AttemptError::NoDescriptor
    } else {
        AttemptError::NotConnected
    }
}
