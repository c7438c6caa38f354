//! The buffer of bytes that were read from a client and not handled yet.

use crate::frontend::http::MAX_HEAD_BYTES;
use crate::memory::{MemoryBudget, MemoryReservation, MemoryUse};
use bytes::{Buf, BytesMut};

/// Capacity for usual request heads, in bytes. It needs no reservation.
pub(super) const INITIAL_BYTES: usize = 2048;
/// Capacity for the longest head with the empty line that ends it, in bytes.
const HEAD_BYTES: usize = MAX_HEAD_BYTES + 4;
/// Capacity for bytes that arrive while a response is pending.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// A read buffer. Beyond its initial capacity it grows only with a reservation from the memory budget.
pub(super) struct ReadBuffer {
    bytes: BytesMut,
    memory: MemoryBudget,
    /// The reservation for a capacity above the initial one.
    reservation: Option<MemoryReservation>,
}

/// The memory budget has no room for a larger buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OutOfMemory;

impl ReadBuffer {
    pub(super) fn new(memory: MemoryBudget) -> ReadBuffer {
        ReadBuffer { bytes: BytesMut::with_capacity(INITIAL_BYTES), memory, reservation: None }
    }

    /// Returns the bytes, for removing some of them from the front. [`ReadBuffer::release_unused`] must be
    /// called afterwards.
    pub(super) fn bytes_mut(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the buffer with room for at least one more byte of a head.
    pub(super) fn with_room_for_head(&mut self) -> Result<&mut BytesMut, OutOfMemory> {
        self.grow(HEAD_BYTES, MemoryUse::Request)
    }

    /// Returns the buffer with room for at least one more byte that is read ahead, or an error if the buffer
    /// has reached its maximum size.
    pub(super) fn with_room_to_read_ahead(&mut self) -> Result<&mut BytesMut, OutOfMemory> {
        if self.bytes.len() >= READ_AHEAD_BYTES {
            return Err(OutOfMemory);
        }
        self.grow(READ_AHEAD_BYTES, MemoryUse::ReadAhead)
    }

    /// Increases the capacity to `capacity` if the buffer is full.
    fn grow(&mut self, capacity: usize, memory_use: MemoryUse) -> Result<&mut BytesMut, OutOfMemory> {
        if self.bytes.len() < self.bytes.capacity() {
            return Ok(&mut self.bytes);
        }
        let reservation = self.memory.try_reserve(capacity, memory_use).ok_or(OutOfMemory)?;
        self.reallocate(capacity.max(self.bytes.len() + 1));
        self.reservation = Some(reservation);
        Ok(&mut self.bytes)
    }

    /// Moves the bytes to a buffer of the initial capacity if they fit. Called after bytes were removed.
    pub(super) fn release_unused(&mut self) {
        let is_reduced = self.reservation.is_some() || self.bytes.capacity() < INITIAL_BYTES;
        if is_reduced && self.bytes.len() <= INITIAL_BYTES {
            self.reallocate(INITIAL_BYTES);
            self.reservation = None;
        }
    }

    /// Moves up to `count` bytes from the front to the end of `target`.
    pub(super) fn move_to(&mut self, target: &mut BytesMut, count: usize) {
        let count = count.min(self.bytes.len());
        target.extend_from_slice(&self.bytes[..count]);
        self.bytes.advance(count);
        self.release_unused();
    }

    /// Removes all bytes.
    pub(super) fn clear(&mut self) {
        self.bytes.clear();
        self.release_unused();
    }

    fn reallocate(&mut self, capacity: usize) {
        let mut bytes = BytesMut::with_capacity(capacity);
        bytes.extend_from_slice(&self.bytes);
        self.bytes = bytes;
    }
}
