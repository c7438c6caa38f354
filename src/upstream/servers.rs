//! Servers: an actor for each cache, parent and origin, and its multiplexed connections.
//!
//! The actor takes orders from the core and places each on a connection; every connection is a task of its
//! own that reports ends straight to the core. An attempt that no connection began to write goes back to the
//! actor when its connection ends, and is placed anew for as long as it may still be sent.

use super::line_codec::{self, LineDecoder, MessageContent};
use super::{has_ended, is_short_of_descriptors};
use crate::config::settings::ConnectionSettings;
use crate::dispatch::{
    AttemptError, AttemptId, CancellationToken, DispatcherMessage, DispatcherSender, Endpoint,
    EndpointCommand, EndpointConnector, HealthReport, UpstreamRequest,
};
use crate::policy::types::ServerId;
use bytes::{Buf, BytesMut};
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind::WouldBlock;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc::error::SendError;
use tokio::sync::{mpsc, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep_until, timeout, Instant};

/// Orders that wait for an actor, or for a connection; the core ends attempts that find no place as not sent.
const MAILBOX: usize = 512;
/// Connections to one server at a time, so that all servers together fit the descriptor limit.
const MOST_CONNECTIONS: usize = 8;
/// Attempts that a connection carries before a further one is opened: an answer that can't be read costs all
/// of them. Where no further one can be had, they share as far as the settings allow.
const FEW: usize = 4;
/// An answer that has begun goes on within this: servers write it at once. Else it was cut short, and what
/// would follow it on the connection never comes.
const STALL: Duration = Duration::from_millis(300);
/// A connection without a byte for this long, while something is open on it, is asked for a sign of life.
/// Most answers come sooner, large ones as well: each question costs the server as much as a probe,
const QUIET: Duration = Duration::from_millis(900);
/// gets nothing new if none has come by then,
const DOUBTFUL: Duration = Duration::from_millis(150);
/// and is dead if none has come by then.
const DEAD: Duration = Duration::from_millis(900);
/// An answer this long awaited without a byte on its connection, when it is given up, shows that the
/// connection may be dead: a machine that vanished leaves it open and silent, also after its successor came.
const SILENCE: Duration = Duration::from_millis(1000);
/// Bytes that the system may hold unsent of a connection before it takes more: what it has taken can't be
/// taken back, and behind a server that does not read it waits for as long as that lasts.
const MOST_UNSENT: u32 = 1;
/// The tag of a probe that asks for a sign of life.
const SIGN: &str = "alive";
/// Ids that were given up, whose answers may still be on the way. A retry of one of these here comes soon, so
/// that few are enough.
const MOST_FORGOTTEN: usize = 64;

/// Opens an actor for each server.
#[derive(Clone, Debug)]
pub struct UpstreamConnector {
    transport: ConnectionSettings,
    places: Places,
}

/// The connections that may be open at a time, to all servers together.
#[derive(Clone, Debug)]
struct Places {
    free: Arc<Semaphore>,
    /// Where none is free, an idle connection is told to end.
    wanted: Arc<Notify>,
}

impl Places {
    fn new(most: usize) -> Self {
        Places { free: Arc::new(Semaphore::new(most)), wanted: Arc::default() }
    }

    /// A place; none where all are taken, and one that is idle makes room for the next who asks.
    fn take(&self) -> Option<OwnedSemaphorePermit> {
        let place = self.free.clone().try_acquire_owned().ok();
        if place.is_none() {
            self.wanted.notify_one();
        }
        place
    }
}

impl UpstreamConnector {
    /// Keeps to what the settings say of connections, and to this many descriptors.
    pub fn new(transport: ConnectionSettings, descriptors: usize) -> Self {
        UpstreamConnector { transport, places: Places::new(descriptors) }
    }
}

impl EndpointConnector for UpstreamConnector {
    fn connect(
        &mut self,
        _: ServerId,
        listing: &Endpoint,
        reports: DispatcherSender,
    ) -> mpsc::Sender<EndpointCommand> {
        let (mailbox, orders) = mpsc::channel(MAILBOX);
        let (to_actor, news) = mpsc::channel(MAILBOX);
        let actor = Actor {
            address: listing.address.clone(),
            transport: self.transport.clone(),
            places: self.places.clone(),
            reports,
            to_actor,
            connections: Vec::new(),
            next: 0,
        };
        tokio::task::spawn_local(actor.run(orders, news));
        mailbox
    }
}

/// What a connection tells its actor.
enum News {
    /// It has come up.
    Up(u64),
    /// The attempt needs its place no longer.
    Done(u64, AttemptId),
    /// Nothing new should be placed on this connection.
    Suspect(u64),
    /// It has ended; these orders were not written.
    Closed(u64, Vec<EndpointCommand>),
}

struct Connection {
    number: u64,
    orders: mpsc::Sender<EndpointCommand>,
    open: HashMap<AttemptId, Arc<str>>,
    up: bool,
    suspect: bool,
}

struct Actor {
    address: Arc<str>,
    transport: ConnectionSettings,
    places: Places,
    reports: DispatcherSender,
    to_actor: mpsc::Sender<News>,
    connections: Vec<Connection>,
    next: u64,
}

impl Actor {
    async fn run(mut self, mut orders: mpsc::Receiver<EndpointCommand>, mut news: mpsc::Receiver<News>) {
        loop {
            tokio::select! {
                order = orders.recv() => match order {
                    Some(order) => self.order(order, false).await,
                    // The server has left the list, or another process took its place: nothing new comes,
                    // and the connections end with their last answer or when they have been idle.
                    None => return,
                },
                Some(news) = news.recv() => match news {
                    News::Up(number) => {
                        let found = self.connections.iter_mut().find(|c| c.number == number);
                        found.into_iter().for_each(|c| c.up = true);
                    }
                    News::Done(number, ticket) => {
                        if let Some(c) = self.connections.iter_mut().find(|c| c.number == number) {
                            c.open.remove(&ticket);
                        }
                        self.connections.retain(|c| !(c.suspect && c.open.is_empty()));
                    }
                    News::Suspect(number) => {
                        let found = self.connections.iter_mut().find(|c| c.number == number);
                        found.into_iter().for_each(|c| c.suspect = true);
                        self.connections.retain(|c| !(c.suspect && c.open.is_empty()));
                    }
                    News::Closed(number, unsent) => {
                        self.connections.retain(|c| c.number != number);
                        for order in unsent {
                            self.order(order, true).await;
                        }
                    }
                },
            }
        }
    }

    async fn order(&mut self, order: EndpointCommand, again: bool) {
        match order {
            EndpointCommand::Send(want) if want.cancellation.is_cancelled() => {
                self.reports
                    .send(DispatcherMessage::AttemptEnded(want.attempt_id, Err(AttemptError::Cancelled)))
                    .await;
            }
            EndpointCommand::Send(want) => {
                let ticket = want.attempt_id;
                let placed = self.place(&want).and_then(|c| {
                    let id = want.id.clone();
                    c.orders.try_send(EndpointCommand::Send(want)).map_err(|_| AttemptError::NotWritten)?;
                    c.open.insert(ticket, id);
                    Ok(())
                });
                if let Err(how) = placed {
                    let how = if again && how == AttemptError::NotWritten {
                        AttemptError::NotConnected
                    } else {
                        how
                    };
                    self.reports.send(DispatcherMessage::AttemptEnded(ticket, Err(how))).await;
                }
            }
            EndpointCommand::Cancel(ticket) => {
                if let Some(c) = self.connections.iter_mut().find(|c| c.open.contains_key(&ticket)) {
                    // Full, or ended: what is not written yet is not, for its request is over.
                    let _ = c.orders.try_send(EndpointCommand::Cancel(ticket));
                }
            }
            EndpointCommand::HealthCheck(number) => {
                let usable = self.connections.iter().position(|c| !c.suspect);
                let place = usable.or_else(|| self.connect().ok());
                let taken = place.is_some_and(|n| {
                    self.connections
                        .get(n)
                        .is_some_and(|c| c.orders.try_send(EndpointCommand::HealthCheck(number)).is_ok())
                });
                if !taken {
                    self.reports
                        .send(DispatcherMessage::HealthChecked(number, Err(AttemptError::NotWritten)))
                        .await;
                }
            }
        }
    }

    /// The connection for an attempt: the fullest that carries few, so that others fall idle and close, of
    /// those that are up if there are such; then a new one; then the emptiest that has room. Two attempts of
    /// one id never share a connection, for their answers could not be told apart.
    fn place(&mut self, want: &UpstreamRequest) -> Result<&mut Connection, AttemptError> {
        // Those that have ended and whose word of it is on the way: put there, an attempt would end unsent.
        self.connections.retain(|c| !c.orders.is_closed());
        let streams = self.transport.max_streams;
        let fits =
            |c: &Connection| !c.suspect && c.open.len() < streams && c.open.values().all(|id| *id != want.id);
        let found = || self.connections.iter().enumerate().filter(|(_, c)| fits(c));
        let few = found().filter(|(_, c)| c.open.len() < FEW).max_by_key(|(_, c)| (c.up, c.open.len()));
        let emptiest = found().min_by_key(|(_, c)| c.open.len()).map(|(n, _)| n);
        let place = match few {
            Some((place, _)) => place,
            None => self.connect().or_else(|none| emptiest.ok_or(none))?,
        };
        self.connections.get_mut(place).ok_or(AttemptError::NotWritten)
    }

    /// Begins a new connection; none beyond the most, and none without a descriptor for it: then the attempt
    /// ends unsent and the module looks elsewhere.
    fn connect(&mut self) -> Result<usize, AttemptError> {
        if self.connections.len() >= MOST_CONNECTIONS {
            return Err(AttemptError::NotWritten);
        }
        let place = self.places.take().ok_or(AttemptError::NoDescriptor)?;
        let (mailbox, orders) = mpsc::channel(MAILBOX);
        let number = self.next;
        self.next += 1;
        let task = Task {
            _place: place,
            wanted: self.places.wanted.clone(),
            number,
            address: self.address.clone(),
            transport: self.transport.clone(),
            reports: self.reports.clone(),
            actor: self.to_actor.clone(),
            queue: VecDeque::new(),
            open: HashMap::new(),
            probes: HashMap::new(),
            ids: HashMap::new(),
            forgotten: VecDeque::new(),
            unwritten: None,
            out: BytesMut::new(),
            queued: 0,
            written: 0,
            last_read: Instant::now(),
        };
        tokio::task::spawn_local(task.run(orders));
        let (open, up, suspect) = (HashMap::new(), false, false);
        self.connections.push(Connection { number, orders: mailbox, open, up, suspect });
        Ok(self.connections.len() - 1)
    }
}

/// An attempt whose request was put into the out buffer.
struct Open {
    id: Arc<str>,
    /// Where its request begins and ends in all that this connection has to write.
    start: u64,
    end: u64,
    since: Instant,
}

/// How an attempt ends whose connection did not come up. Guards the server against being suspected for what
/// this process lacks.
fn not_connected(error: &std::io::Error) -> AttemptError {
    match is_short_of_descriptors(error) {
        true => AttemptError::NoDescriptor,
        false => AttemptError::NotConnected,
    }
}

/// One connection.
struct Task {
    _place: OwnedSemaphorePermit,
    /// Told where a connection to any server finds no place.
    wanted: Arc<Notify>,
    number: u64,
    address: Arc<str>,
    transport: ConnectionSettings,
    reports: DispatcherSender,
    actor: mpsc::Sender<News>,
    /// Not yet in the out buffer.
    queue: VecDeque<EndpointCommand>,
    open: HashMap<AttemptId, Open>,
    /// Probes that are out, by their tag.
    probes: HashMap<Arc<str>, u64>,
    ids: HashMap<Arc<str>, AttemptId>,
    /// Ids that were given up here; the oldest leave first.
    forgotten: VecDeque<Arc<str>>,
    /// The request that is not written whole yet.
    unwritten: Option<(AttemptId, CancellationToken, Instant)>,
    out: BytesMut,
    /// Bytes ever put into the out buffer, and ever written.
    queued: u64,
    written: u64,
    last_read: Instant,
}

impl Task {
    async fn run(mut self, mut orders: mpsc::Receiver<EndpointCommand>) {
        match self.connect(&mut orders).await {
            Ok(stream) => {
                let _ = self.actor.send(News::Up(self.number)).await;
                let answering = self.serve(stream, &mut orders).await;
                self.end(answering, orders).await;
            }
            Err(how) => self.refused(how, orders).await,
        }
    }

    /// Brings the connection up, and meanwhile takes orders, for they may be called off again.
    async fn connect(
        &mut self,
        orders: &mut mpsc::Receiver<EndpointCommand>,
    ) -> Result<TcpStream, AttemptError> {
        let address = self.address.clone();
        let connecting = timeout(self.transport.connect_timeout, TcpStream::connect(&*address));
        tokio::pin!(connecting);
        let mut closed = false;
        loop {
            tokio::select! {
                connected = &mut connecting => {
                    let connected = connected.map_err(|_| AttemptError::NotConnected)?;
                    let stream = connected.map_err(|e| not_connected(&e))?;
                    stream.set_nodelay(true).map_err(|_| AttemptError::NotConnected)?;
                    // Where the system can't be told, it takes more than it has sent, and that can't be
                    // undone.
                    let _ = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(MOST_UNSENT);
                    return Ok(stream);
                }
                order = orders.recv(), if !closed => match order {
                    Some(order) => self.take(order).await,
                    None => closed = true,
                },
            }
        }
    }

    /// Puts an order into the queue. What is given up unsent leaves no trace on the wire.
    async fn take(&mut self, order: EndpointCommand) {
        let EndpointCommand::Cancel(ticket) = order else {
            self.queue.push_back(order);
            return;
        };
        let before = self.queue.len();
        self.queue.retain(|o| !matches!(o, EndpointCommand::Send(w) if w.attempt_id == ticket));
        if self.withdraw(ticket) {
            self.reports.send(DispatcherMessage::AttemptCancelled(ticket, AttemptError::NotWritten)).await;
            let _ = self.actor.send(News::Done(self.number, ticket)).await;
        } else if let Some(open) = self.open.remove(&ticket) {
            // What has begun to go out goes out whole, before the word that gives it up.
            self.reports.send(DispatcherMessage::AttemptCancelled(ticket, AttemptError::Unanswered)).await;
            if open.since.elapsed() >= SILENCE && self.last_read <= open.since {
                let _ = self.actor.send(News::Suspect(self.number)).await;
            }
            self.ids.remove(&open.id);
            let from = self.out.len();
            line_codec::write_cancel(&open.id, &mut self.out);
            self.queued += (self.out.len() - from) as u64;
            if self.forgotten.len() >= MOST_FORGOTTEN {
                self.forgotten.pop_front();
            }
            self.forgotten.push_back(open.id);
            let _ = self.actor.send(News::Done(self.number, ticket)).await;
        } else if self.queue.len() < before {
            self.reports.send(DispatcherMessage::AttemptCancelled(ticket, AttemptError::NotWritten)).await;
            let _ = self.actor.send(News::Done(self.number, ticket)).await;
        }
    }

    /// Takes an attempt of which nothing is written back out of the out buffer; whether it was one.
    fn withdraw(&mut self, ticket: AttemptId) -> bool {
        let Some(open) = self.open.get(&ticket).filter(|o| o.start >= self.written) else { return false };
        let (from, to) = ((open.start - self.written) as usize, (open.end - self.written) as usize);
        // It is the one request in there; a word that gives up an earlier one may follow it.
        let after = self.out.split_off(to);
        self.out.truncate(from);
        self.out.unsplit(after);
        self.queued -= (to - from) as u64;
        self.unwritten = None;
        self.open.remove(&ticket).map(|open| self.ids.remove(&open.id));
        true
    }

    /// Whether no byte of an attempt in the out buffer is written.
    fn is_unwritten(&self, ticket: AttemptId) -> bool {
        self.open.get(&ticket).is_some_and(|open| open.start >= self.written)
    }

    /// Withdraws the attempt that waits to be written if its request is over, however that came to be known,
    /// or it is too late to send it.
    async fn drop_over(&mut self) {
        let waits = |(ticket, ..): &&(AttemptId, CancellationToken, Instant)| self.is_unwritten(*ticket);
        let how = |(ticket, over, send_by): &(AttemptId, CancellationToken, Instant)| match Instant::now()
            > *send_by
        {
            _ if over.check_client() => Some((*ticket, AttemptError::Cancelled)),
            late => late.then_some((*ticket, AttemptError::NotWritten)),
        };
        let dropped = self.unwritten.as_ref().filter(waits).and_then(how);
        if let Some((ticket, how)) = dropped.filter(|(ticket, _)| self.withdraw(*ticket)) {
            self.report(ticket, Err(how)).await;
        }
    }

    /// Moves orders from the queue to the out buffer, one request at a time: those that wait can still be
    /// called off.
    async fn fill(&mut self) {
        while self.out.is_empty() {
            let Some(order) = self.queue.pop_front() else { return };
            let (now, from) = (Instant::now(), self.out.len());
            match order {
                EndpointCommand::Send(want) if want.cancellation.is_cancelled() => {
                    self.report(want.attempt_id, Err(AttemptError::Cancelled)).await;
                }
                EndpointCommand::Send(want) if now > want.send_deadline => {
                    self.report(want.attempt_id, Err(AttemptError::NotWritten)).await;
                }
                // Its answer could not be told from the late one to an attempt that was given up here.
                EndpointCommand::Send(want)
                    if self.forgotten.contains(&want.id) || self.ids.contains_key(&want.id) =>
                {
                    self.report(want.attempt_id, Err(AttemptError::NotWritten)).await;
                }
                EndpointCommand::Send(want) => {
                    line_codec::write_request(&want, now, &mut self.out);
                    let start = self.queued;
                    self.queued += (self.out.len() - from) as u64;
                    let open = Open { id: want.id.clone(), start, end: self.queued, since: now };
                    self.unwritten = Some((want.attempt_id, want.cancellation, want.send_deadline));
                    self.ids.insert(want.id, want.attempt_id);
                    self.open.insert(want.attempt_id, open);
                }
                EndpointCommand::HealthCheck(number) => {
                    let tag: Arc<str> = format!("p{number}").into();
                    line_codec::write_health_check(&tag, &mut self.out);
                    self.queued += (self.out.len() - from) as u64;
                    self.probes.insert(tag, number);
                }
                EndpointCommand::Cancel(_) => {} // taken at once, never queued
            }
        }
    }

    /// Tells of a request that has now been written whole, answered or not, given up or not.
    async fn count_written(&mut self) {
        if let Some((ticket, ..)) = self.unwritten.take_if(|_| self.out.is_empty()) {
            self.reports.send(DispatcherMessage::AttemptWritten(ticket)).await;
        }
    }

    async fn report(&mut self, ticket: AttemptId, end: crate::dispatch::AttemptResult) {
        self.reports.send(DispatcherMessage::AttemptEnded(ticket, end)).await;
        let _ = self.actor.send(News::Done(self.number, ticket)).await;
    }

    /// Writes, reads and takes orders until the connection ends. Returns the id whose answer was cut off.
    async fn serve(
        &mut self,
        mut stream: TcpStream,
        orders: &mut mpsc::Receiver<EndpointCommand>,
    ) -> Option<Arc<str>> {
        let (mut read, write) = stream.split();
        let (mut reader, mut buffer) = (LineDecoder::default(), BytesMut::with_capacity(8 * 1024));
        // Ends before the server would end it, so that no request crosses the server's close.
        let idle = self.transport.idle_timeout.mul_f64(0.8);
        let wanted = self.wanted.clone();
        let (mut used, mut closed) = (Instant::now(), false);
        // How far a silence has come: nothing, asked for a sign of life, doubtful.
        let mut asked = 0;
        self.last_read = used;
        loop {
            // Guards against writing to a connection that its server has closed meanwhile: what was not
            // written can go elsewhere, whatever its class.
            if self.open.is_empty() && !self.queue.is_empty() && has_ended(read.as_ref()) {
                return None;
            }
            self.fill().await;
            let free = self.open.is_empty() && self.probes.is_empty() && self.out.is_empty();
            if free && closed {
                return None;
            }
            let (begun, since) = (reader.begun(&buffer), self.open.values().map(|o| o.since).min());
            let quiet = since.map(|since| since.max(self.last_read));
            let doubt = match quiet {
                _ if begun => Some(self.last_read + STALL),
                Some(quiet) => Some(quiet + [QUIET, QUIET + DOUBTFUL, QUIET + DEAD][asked]),
                None => None,
            };
            tokio::select! {
                // In this order: what has come counts before any clock that it would have stopped.
                biased;
                order = orders.recv(), if !closed => match order {
                    Some(order) => {
                        used = Instant::now();
                        self.take(order).await;
                    }
                    None => closed = true,
                },
                _ = write.writable(), if !self.out.is_empty() => {
                    self.drop_over().await;
                    match write.try_write(&self.out) {
                        Ok(n) => {
                            self.out.advance(n);
                            self.written += n as u64;
                            self.count_written().await;
                        }
                        Err(error) if error.kind() == WouldBlock => {}
                        Err(_) => return reader.answering().map(Into::into),
                    }
                }
                got = read.read_buf(&mut buffer) => {
                    if !matches!(got, Ok(n) if n > 0) || !self.answers(&mut reader, &mut buffer).await {
                        return reader.answering().map(Into::into);
                    }
                    (used, asked) = (self.last_read, 0);
                }
                () = sleep_until(doubt.unwrap_or(used)), if doubt.is_some() => match asked {
                    _ if begun => {
                        tracing::warn!("server {}: an answer was cut short", self.address);
                        return reader.answering().map(Into::into);
                    }
                    0 => {
                        // No probe of the module's: whatever comes shows that the connection lives.
                        let from = self.out.len();
                        line_codec::write_health_check(SIGN, &mut self.out);
                        self.queued += (self.out.len() - from) as u64;
                        asked = 1;
                    }
                    1 => {
                        let _ = self.actor.send(News::Suspect(self.number)).await;
                        asked = 2;
                    }
                    _ => {
                        tracing::warn!("server {}: silent", self.address);
                        return None;
                    }
                },
                () = sleep_until(used + idle), if free => return None,
                () = wanted.notified(), if free => return None,
            }
        }
    }

    /// Takes what has been read; whether it can be used.
    async fn answers(&mut self, reader: &mut LineDecoder, buffer: &mut BytesMut) -> bool {
        self.last_read = Instant::now();
        loop {
            match reader.next(buffer) {
                Ok(Some(message)) => self.answer(message).await,
                Ok(None) => return true,
                Err(error) => {
                    tracing::warn!("server {}: {error}", self.address);
                    return false;
                }
            }
        }
    }

    async fn answer(&mut self, message: line_codec::ServerMessage) {
        match message.content {
            MessageContent::Health(well, gauges) => {
                if let Some(number) = self.probes.remove(&message.id) {
                    self.reports
                        .send(DispatcherMessage::HealthChecked(
                            number,
                            Ok(HealthReport { healthy: well, load_report: gauges }),
                        ))
                        .await;
                }
            }
            // Where nothing is open under the id it is a second copy, the late answer to what was given up,
            // or one to what was never asked. It was read whole, so what follows it is as good as ever.
            MessageContent::Response(reply) => {
                if let Some(ticket) = self.ids.remove(&message.id) {
                    self.open.remove(&ticket);
                    self.report(ticket, Ok(reply)).await;
                }
            }
        }
    }

    /// No connection came up: nothing ran.
    async fn refused(mut self, how: AttemptError, mut orders: mpsc::Receiver<EndpointCommand>) {
        orders.close();
        while let Some(order) = orders.recv().await {
            self.take(order).await;
        }
        for order in std::mem::take(&mut self.queue) {
            match order {
                EndpointCommand::Send(want) => self.report(want.attempt_id, Err(how)).await,
                EndpointCommand::HealthCheck(number) => {
                    self.reports.send(DispatcherMessage::HealthChecked(number, Err(how))).await
                }
                EndpointCommand::Cancel(_) => {}
            }
        }
        let _ = self.actor.send(News::Closed(self.number, Vec::new())).await;
    }

    /// Ends all that is open by how far each had come, and hands back what was not written.
    async fn end(mut self, answering: Option<Arc<str>>, mut orders: mpsc::Receiver<EndpointCommand>) {
        orders.close();
        while let Some(order) = orders.recv().await {
            self.take(order).await;
        }
        for (ticket, open) in std::mem::take(&mut self.open) {
            let how = match () {
                () if answering.as_ref() == Some(&open.id) => AttemptError::ResponseInterrupted,
                () if self.written >= open.end => AttemptError::Unanswered,
                () if self.written > open.start => AttemptError::PartiallyWritten,
                () => AttemptError::NotWritten,
            };
            self.report(ticket, Err(how)).await;
        }
        for number in std::mem::take(&mut self.probes).into_values() {
            self.reports.send(DispatcherMessage::HealthChecked(number, Err(AttemptError::Unanswered))).await;
        }
        let mut unsent: Vec<EndpointCommand> = std::mem::take(&mut self.queue).into();
        if self.written == 0 {
            // Guards against a server that accepts and closes: placed anew, they would be so without an end.
            for order in std::mem::take(&mut unsent) {
                if let EndpointCommand::Send(want) = order {
                    self.report(want.attempt_id, Err(AttemptError::NotConnected)).await;
                }
            }
        }
        if let Err(SendError(News::Closed(_, unsent))) =
            self.actor.send(News::Closed(self.number, unsent)).await
        {
            // The actor has ended, so nobody will place these anew.
            for order in unsent {
                if let EndpointCommand::Send(want) = order {
                    self.report(want.attempt_id, Err(AttemptError::NotWritten)).await;
                }
            }
        }
    }
}
