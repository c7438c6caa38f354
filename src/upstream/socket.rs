//! Queries of a socket's state in the operating system, without waiting for a notification of the runtime.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::ErrorKind::WouldBlock;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// The error codes `EMFILE` and `ENFILE`: the process or the whole system has reached its limit of open
/// descriptors. They are the same on all Unix systems.
const OUT_OF_DESCRIPTORS: [i32; 2] = [24, 23];

/// Returns 1 if bytes can be read without waiting, 0 at the end of the stream, and an error otherwise
/// (`WouldBlock` if nothing has arrived).
pub fn peek_available(stream: &TcpStream) -> std::io::Result<usize> {
    socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])
}

/// Returns whether the other side has closed or reset the connection and every received byte has been read.
pub fn has_ended(stream: &TcpStream) -> bool {
    match peek_available(stream) {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != WouldBlock,
    }
}

/// Returns whether the other side has closed or reset the connection, even if received bytes are still
/// unread.
pub fn has_closed(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let without_waiting = Timespec { tv_sec: 0, tv_nsec: 0 };
    let end = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    poll(&mut polled, Some(&without_waiting)).is_ok() && polled[0].revents().intersects(end)
}

/// Returns whether an error was caused by a lack of descriptors in this process or on this system, rather
/// than by the other side.
pub fn is_short_of_descriptors(error: &std::io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| OUT_OF_DESCRIPTORS.contains(&code))
}
