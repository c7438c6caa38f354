//! The bytes that a connection has to write, and how far a part of them has been written.

use bytes::{Buf, BytesMut};
use std::ops::Range;

/// Bytes on their way to the socket. Positions count from the first byte of the connection.
#[derive(Debug, Default)]
pub(super) struct OutBuffer {
    bytes: BytesMut,
    /// Position behind the last byte in the buffer.
    queued: u64,
    /// Position of the first byte in the buffer: all before it has been written.
    written: u64,
}

/// How far a part of the bytes has been written.
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

    /// The bytes to write next.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether anything was ever written.
    pub(super) fn has_written(&self) -> bool {
        self.written > 0
    }

    /// Appends what `encode` writes and returns its positions.
    pub(super) fn append(&mut self, encode: impl FnOnce(&mut BytesMut)) -> Range<u64> {
        let (start, length) = (self.queued, self.bytes.len());
        encode(&mut self.bytes);
        self.queued += (self.bytes.len() - length) as u64;
        start..self.queued
    }

    /// Notes that this many bytes have been written.
    pub(super) fn advance(&mut self, bytes: usize) {
        self.bytes.advance(bytes);
        self.written += bytes as u64;
    }

    /// How far this part has been written.
    pub(super) fn progress(&self, part: &Range<u64>) -> WriteProgress {
        if self.written >= part.end {
            WriteProgress::Complete
        } else if self.written > part.start {
            WriteProgress::Partial
        } else {
            WriteProgress::NotStarted
        }
    }

    /// Removes a part of which nothing has been written. Only cancellations may follow it, whose positions
    /// nobody keeps.
    pub(super) fn remove(&mut self, part: &Range<u64>) {
        let (start, end) = ((part.start - self.written) as usize, (part.end - self.written) as usize);
        let after = self.bytes.split_off(end);
        self.bytes.truncate(start);
        self.bytes.unsplit(after);
        self.queued -= part.end - part.start;
    }
}
