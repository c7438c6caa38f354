//! Authenticated datagrams over one UDP socket, without duplicates or replays.

use super::frame::{Body, FrameCodec, Message, Rejection};
use super::members::Member;
use crate::replication::replay_window::ReplayWindow;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Senders whose message numbers are remembered.
pub const REMEMBERED_SENDERS: usize = 4096;

/// Totals since the start.
#[derive(Debug, Default)]
pub(super) struct TransportCounters {
    /// Datagrams sent.
    pub(super) sent: u64,
    /// Bytes sent.
    pub(super) sent_bytes: u64,
    /// Bytes received.
    pub(super) received_bytes: u64,
    /// Messages that were too large, or that the socket's buffer had no room for.
    pub(super) unsent: u64,
    /// Datagrams rejected, by cause.
    pub(super) rejected: BTreeMap<Rejection, u64>,
}

/// The socket, and the state by which messages are authenticated, numbered and checked.
pub(super) struct Transport {
    socket: UdpSocket,
    codec: FrameCodec,
    /// Where other directors reach this one; what claims to be from there is rejected.
    own_address: SocketAddr,
    /// Drawn anew at each start of the process.
    incarnation: u64,
    /// The number of the message sent last.
    sequence: u64,
    received: ReplayWindow<SocketAddr>,
    /// Totals since the start.
    pub(super) counters: TransportCounters,
}

impl Transport {
    /// Over a bound socket.
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

    /// Sends a message, or drops and counts it: every message of both protocols may be lost.
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

    /// Waits for a datagram and returns its size.
    pub(super) async fn receive(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.socket.recv_from(buffer).await.map(|(size, _)| size)
    }

    /// Takes a datagram that has already arrived and returns its size.
    pub(super) fn try_receive(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.socket.try_recv_from(buffer).map(|(size, _)| size)
    }

    /// Verifies and decodes a datagram. What is rejected is counted by its cause.
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
