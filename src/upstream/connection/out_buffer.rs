//! The buffer of bytes that a connection has to write, with the write progress of each request in it.

use bytes::{Buf, BytesMut};
use std::ops::Range;

/// A buffer of bytes not yet written to the socket. Positions are offsets from the first byte that the
/// connection writes.
#[derive(Debug, Default)]
pub(super) struct OutBuffer {
    bytes: BytesMut,
    /// Position after the last byte in the buffer.
    queued: u64,
    /// Position of the first byte in the buffer; all earlier bytes have been written.
    written: u64,
}

/// The write progress of a range of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteProgress {
    NotStarted,
    Partial,
    Complete,
}

impl OutBuffer {
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes that are not written yet.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns whether any byte was written on this connection.
    pub(super) fn has_written(&self) -> bool {
        self.written > 0
    }

    /// Appends what `encode` writes and returns its range of positions.
    pub(super) fn append(&mut self, encode: impl FnOnce(&mut BytesMut)) -> Range<u64> {
        let (start, length) = (self.queued, self.bytes.len());
        encode(&mut self.bytes);
        self.queued += (self.bytes.len() - length) as u64;
        start..self.queued
    }

    /// Removes the first `bytes` bytes, which have been written to the socket.
    pub(super) fn advance(&mut self, bytes: usize) {
        self.bytes.advance(bytes);
        self.written += bytes as u64;
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new(); // a large body's memory is not kept
        }
    }

    /// Returns how far the bytes in this range have been written.
    pub(super) fn progress(&self, part: &Range<u64>) -> WriteProgress {
        if self.written >= part.end {
            WriteProgress::Complete
        } else if self.written > part.start {
            WriteProgress::Partial
        } else {
            WriteProgress::NotStarted
        }
    }

    /// Removes a range of which no byte has been written. Only cancellations may follow it in the buffer: the
    /// positions of later bytes change, and those of cancellations are not stored.
    pub(super) fn remove(&mut self, part: &Range<u64>) {
        let (start, end) = ((part.start - self.written) as usize, (part.end - self.written) as usize);
        let after = self.bytes.split_off(end);
        self.bytes.truncate(start);
        self.bytes.unsplit(after);
        self.queued -= part.end - part.start;
    }
}
