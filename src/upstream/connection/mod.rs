//! One multiplexed connection to an endpoint: connects, writes requests, reads responses and ends.

mod attempts;
mod liveness;
mod out_buffer;
mod reporter;
mod requests;
mod teardown;

use super::descriptor_permits::DescriptorPermit;
use super::line_codec::{self, LineDecoder, MessageContent, ServerMessage};
use super::socket::{has_ended, is_short_of_descriptors};
use crate::config::settings::ConnectionSettings;
use crate::dispatch::{AttemptError, EndpointCommand};
use attempts::InFlightAttempts;
use bytes::BytesMut;
use liveness::{Liveness, SilenceAction};
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

/// Bytes that the system may hold unsent of a connection before it takes more: what it has taken can't be
/// taken back, and behind a server that does not read it waits for as long as that lasts.
const MAX_UNSENT_BYTES: u32 = 1;
/// Share of the server's idle timeout after which an idle connection is closed: before the server closes it,
/// so that no request crosses the server's close.
const IDLE_SHARE: f64 = 0.8;
/// Bytes that the read buffer holds at first.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// A connection, with all that waits on it.
pub(super) struct Connection {
    address: Arc<str>,
    settings: ConnectionSettings,
    permit: DescriptorPermit,
    reporter: Reporter,
    /// Commands that are not in the out buffer yet.
    queue: VecDeque<EndpointCommand>,
    attempts: InFlightAttempts,
    /// Numbers of the health checks under way, by their tag.
    health_checks: HashMap<Arc<str>, u64>,
    /// The request that is not written completely yet.
    unwritten: Option<UnwrittenRequest>,
    out: OutBuffer,
    liveness: Liveness,
}

/// What has been read and not been handled.
struct Input {
    decoder: LineDecoder,
    buffer: BytesMut,
}

impl Input {
    fn new() -> Self {
        Input { decoder: LineDecoder::default(), buffer: BytesMut::with_capacity(READ_BUFFER_BYTES) }
    }

    fn has_partial_response(&self) -> bool {
        self.decoder.has_partial_message(&self.buffer)
    }

    /// Id of the request whose response has begun and is not complete.
    fn interrupted_request(&self) -> Option<Arc<str>> {
        self.decoder.partial_id().map(Into::into)
    }
}

/// A connection that is up.
struct Session<'a> {
    read: ReadHalf<'a>,
    write: WriteHalf<'a>,
    input: Input,
    commands: &'a mut mpsc::Receiver<EndpointCommand>,
    commands_closed: bool,
    /// When a command or bytes came last.
    last_used: Instant,
}

impl<'a> Session<'a> {
    fn new(stream: &'a mut TcpStream, commands: &'a mut mpsc::Receiver<EndpointCommand>) -> Self {
        let (read, write) = stream.split();
        let (input, last_used) = (Input::new(), Instant::now());
        Session { read, write, input, commands, commands_closed: false, last_used }
    }
}

/// What a connection waits for.
#[allow(clippy::large_enum_variant, reason = "one lives at a time, from the wait to its handling")]
enum Wake {
    /// A command, or the end of the actor.
    Command(Option<EndpointCommand>),
    /// The socket takes bytes.
    Writable,
    /// Bytes have come, or else the connection has ended.
    Read { has_data: bool },
    /// Nothing has come for too long.
    Silence,
    /// It has been idle for long enough, or another connection needs its descriptor.
    CloseIdle,
}

impl Connection {
    /// A connection that is not up yet.
    pub(super) fn new(
        address: Arc<str>,
        settings: ConnectionSettings,
        permit: DescriptorPermit,
        reporter: Reporter,
    ) -> Self {
        Connection {
            address,
            settings,
            permit,
            reporter,
            queue: VecDeque::new(),
            attempts: InFlightAttempts::default(),
            health_checks: HashMap::new(),
            unwritten: None,
            out: OutBuffer::default(),
            liveness: Liveness::new(Instant::now()),
        }
    }

    /// Runs until the connection ends.
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

    /// Brings the connection up, and takes commands meanwhile, for attempts may be cancelled again.
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

    /// Writes, reads and takes commands until the connection ends. Returns the id of the request whose
    /// response was interrupted.
    async fn serve(
        &mut self,
        mut stream: TcpStream,
        commands: &mut mpsc::Receiver<EndpointCommand>,
    ) -> Option<Arc<str>> {
        let mut session = Session::new(&mut stream, commands);
        self.liveness.record_read(session.last_used);
        loop {
            // Guards against writing to a connection that its server has closed meanwhile: what was not
            // written can go elsewhere, whatever its class.
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
        let silence_ends = self.liveness.deadline(input.has_partial_response(), self.attempts.oldest());
        tokio::select! {
            // In this order: what has come counts before any timer that it would have stopped.
            biased;
            command = commands.recv(), if !*commands_closed => Wake::Command(command),
            _ = write.writable(), if !self.out.is_empty() => Wake::Writable,
            read = read.read_buf(&mut input.buffer) => Wake::Read { has_data: matches!(read, Ok(1..)) },
            () = sleep_until(silence_ends.unwrap_or(*last_used)), if silence_ends.is_some() => Wake::Silence,
            () = sleep_until(*last_used + idle_timeout), if is_idle => Wake::CloseIdle,
            () = self.permit.requested(), if is_idle => Wake::CloseIdle,
        }
    }

    /// Acts on what was waited for; breaks if the connection has to end.
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
            Wake::Read { has_data: false } | Wake::CloseIdle => ControlFlow::Break(()),
            Wake::Silence => self.handle_silence(session.input.has_partial_response()).await,
        }
    }

    /// Whether nothing is under way on the connection.
    fn is_idle(&self) -> bool {
        self.attempts.is_empty() && self.health_checks.is_empty() && self.out.is_empty()
    }

    /// Writes what the socket takes; breaks if the connection has to end.
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

    /// Handles all messages that are complete; breaks if the connection has to end.
    async fn handle_input(&mut self, input: &mut Input, now: Instant) -> ControlFlow<()> {
        self.liveness.record_read(now);
        loop {
            match input.decoder.next(&mut input.buffer) {
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
            // Without an attempt under the id it is a duplicate, the late response to a cancelled request, or
            // one to what was never sent. It was read completely, so what follows it is as good as ever.
            MessageContent::Response(response) => {
                if let Some(attempt) = self.attempts.remove_request(&message.id) {
                    self.reporter.attempt_ended(attempt, Ok(response)).await;
                }
            }
        }
    }

    /// Acts on a silence that has lasted too long; breaks if the connection has to end.
    async fn handle_silence(&mut self, has_partial_response: bool) -> ControlFlow<()> {
        if has_partial_response {
            tracing::warn!(server = %self.address, "server response was cut short");
            return ControlFlow::Break(());
        }
        match self.liveness.next_action() {
            SilenceAction::Check => {
                // Not a health check of the router: whatever comes shows that the connection lives.
                self.out.append(|out| line_codec::write_health_check(line_codec::LIVENESS_TAG, out));
                ControlFlow::Continue(())
            }
            SilenceAction::ReportUnresponsive => {
                self.reporter.unresponsive().await;
                ControlFlow::Continue(())
            }
            SilenceAction::Close => {
                tracing::warn!(server = %self.address, "server connection is silent");
                ControlFlow::Break(())
            }
        }
    }
}

/// Connects within the time limit.
async fn connect(address: Arc<str>, limit: Duration) -> Result<TcpStream, AttemptError> {
    let connected = timeout(limit, TcpStream::connect(&*address)).await;
    let stream = connected.map_err(|_| AttemptError::NotConnected)?.map_err(|error| connect_error(&error))?;
    stream.set_nodelay(true).map_err(|_| AttemptError::NotConnected)?;
    // Where the system does not know this option, it takes more than it has sent, and that can't be undone.
    let _ = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    Ok(stream)
}

/// How an attempt ends whose connection did not come up. Guards the server against being ejected for what
/// this process lacks.
fn connect_error(error: &std::io::Error) -> AttemptError {
    if is_short_of_descriptors(error) {
        AttemptError::NoDescriptor
    } else {
        AttemptError::NotConnected
    }
}
