//! Bytes that were read from an endpoint and not handled yet.

use crate::dispatch::{Representation, ResponseStatus};
use crate::memory::{MemoryBudget, MemoryReservation, MemoryUse};
use crate::upstream::line_codec::{LineDecoder, LineError, MessageContent, ServerMessage};
use bytes::BytesMut;
use std::sync::Arc;

/// Initial capacity of the read buffer, in bytes. Bodies that fit it need no reservation.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// The read buffer and decoder of a connection. A body that does not fit the initial buffer is read only once
/// its memory is reserved.
pub(super) struct Input {
    decoder: LineDecoder,
    buffer: BytesMut,
    memory: MemoryBudget,
    /// The reservation for the body that is being read.
    reservation: Option<MemoryReservation>,
}

impl Input {
    pub(super) fn new(memory: MemoryBudget) -> Self {
        let buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
        Input { decoder: LineDecoder::default(), buffer, memory, reservation: None }
    }

    pub(super) fn buffer_mut(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    pub(super) fn memory(&self) -> &MemoryBudget {
        &self.memory
    }

    pub(super) fn has_partial_response(&self) -> bool {
        self.decoder.has_partial_message(&self.buffer)
    }

    /// Returns the id of the request whose response has begun and is not complete.
    pub(super) fn interrupted_request(&self) -> Option<Arc<str>> {
        self.decoder.partial_id().map(Into::into)
    }

    /// Removes the next complete message and returns it; returns `None` if there is none yet.
    pub(super) fn next_message(&mut self) -> Result<Option<ServerMessage>, LineError> {
        match self.decoder.next(&mut self.buffer)? {
            Some(message) => Ok(Some(self.release_body(message))),
            None => {
                self.prepare_body();
                Ok(None)
            }
        }
    }

    /// Makes room for the body that has begun, if there is one and its memory is available.
    fn prepare_body(&mut self) {
        match self.bytes_to_reserve() {
            None => self.grow(),
            Some(bytes) => {
                if let Some(reservation) = self.memory.try_reserve(bytes, MemoryUse::Response) {
                    self.start_body(reservation);
                }
            }
        }
    }

    /// Returns the length of the body that has begun and whose memory is not reserved. Nothing more may be
    /// read until it is.
    pub(super) fn bytes_to_reserve(&self) -> Option<usize> {
        let bytes = self.decoder.partial_body_bytes()?;
        (bytes > READ_BUFFER_BYTES && self.reservation.is_none()).then_some(bytes)
    }

    /// Allocates the memory of the body that has begun.
    pub(super) fn start_body(&mut self, reservation: MemoryReservation) {
        self.reservation = Some(reservation);
        self.grow();
    }

    /// Increases the buffer to the length of the body that has begun.
    fn grow(&mut self) {
        let bytes = self.decoder.partial_body_bytes().unwrap_or(0);
        self.buffer.reserve(bytes.saturating_sub(self.buffer.len()));
    }

    /// Attaches the reservation to the body that it was made for, and replaces the buffer that held it.
    fn release_body(&mut self, mut message: ServerMessage) -> ServerMessage {
        let Some(reservation) = self.reservation.take() else { return message };
        let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
        buffer.extend_from_slice(&self.buffer);
        self.buffer = buffer;
        if let MessageContent::Response(response) = &mut message.content {
            if let ResponseStatus::Ok(Representation { body, .. }) = &mut response.status {
                *body = reservation.attach(std::mem::take(body));
            }
        }
        message
    }
}
