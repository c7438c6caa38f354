//! Sends and receives authenticated datagrams over one UDP socket, rejecting duplicates and replays.

use super::frame::{Body, FrameCodec, Message, Rejection};
use super::members::Member;
use crate::replication::replay_window::ReplayWindow;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Number of senders whose sequence numbers are kept to detect replays.
pub const REMEMBERED_SENDERS: usize = 4096;

/// Traffic totals since the start.
#[derive(Debug, Default)]
pub(super) struct TransportCounters {
    /// Number of datagrams handed to the socket.
    pub(super) sent: u64,
    /// Size of these datagrams, without UDP and IP headers.
    pub(super) sent_bytes: u64,
    /// Size of all received datagrams, including rejected ones.
    pub(super) received_bytes: u64,
    /// Messages dropped because they were too large or the socket did not accept them, such as with a full
    /// send buffer.
    pub(super) unsent: u64,
    /// Number of rejected datagrams by cause.
    pub(super) rejected: BTreeMap<Rejection, u64>,
}

/// The socket, and the state for authenticating, numbering and checking messages.
pub(super) struct Transport {
    socket: UdpSocket,
    codec: FrameCodec,
    /// The address at which other directors reach this one. Messages that claim to come from it are rejected.
    own_address: SocketAddr,
    /// A random number drawn at each start of the process.
    incarnation: u64,
    /// The sequence number of the last message sent.
    sequence: u64,
    received: ReplayWindow<SocketAddr>,
    /// Traffic totals since the start.
    pub(super) counters: TransportCounters,
}

impl Transport {
    /// Creates a transport on a bound socket.
    pub(super) fn new(
        socket: UdpSocket,
        codec: FrameCodec,
        own_address: SocketAddr,
        incarnation: u64,
    ) -> Transport {
        Transport {
            socket,
            codec,
            own_address,
            incarnation,
            sequence: 0,
            received: ReplayWindow::new(REMEMBERED_SENDERS),
            counters: TransportCounters::default(),
        }
    }

    /// Sends a message without waiting. One that cannot be sent is dropped and counted, as both protocols
    /// tolerate lost messages.
    pub(super) fn send(&mut self, from: &Member, to: SocketAddr, body: Body) {
        self.sequence += 1;
        let message =
            Message { from: from.clone(), incarnation: self.incarnation, number: self.sequence, body };
        let Some(datagram) = self.codec.encode(&message) else {
            self.counters.unsent += 1;
            return;
        };
        match self.socket.try_send_to(&datagram, to) {
            Ok(_) => {
                self.counters.sent += 1;
                self.counters.sent_bytes += datagram.len() as u64;
            }
            Err(_) => self.counters.unsent += 1,
        }
    }

    /// Waits for a datagram, writes it to the buffer and returns its size in bytes.
    pub(super) async fn receive(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.socket.recv_from(buffer).await.map(|(size, _)| size)
    }

    /// Receives a datagram if one has already arrived, and returns its size in bytes.
    pub(super) fn try_receive(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.socket.try_recv_from(buffer).map(|(size, _)| size)
    }

    /// Verifies and decodes a datagram. Counts it by cause and returns `None` if it is rejected.
    pub(super) fn decode(&mut self, datagram: &[u8]) -> Option<Message> {
        self.counters.received_bytes += datagram.len() as u64;
        match self.codec.decode(datagram).and_then(|message| self.check_replay(message)) {
            Ok(message) => Some(message),
            Err(cause) => {
                *self.counters.rejected.entry(cause).or_default() += 1;
                None
            }
        }
    }

    fn check_replay(&mut self, message: Message) -> Result<Message, Rejection> {
        let from = message.from.address;
        if from == self.own_address || !self.received.accept(&from, message.incarnation, message.number) {
            return Err(Rejection::Replayed);
        }
        Ok(message)
    }
}
