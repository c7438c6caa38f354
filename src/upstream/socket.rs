//! What the system tells of a socket, whether or not the runtime has been notified of it.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::ErrorKind::WouldBlock;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// The errors of a process (`EMFILE`) and of a system (`ENFILE`) that may open no further descriptor; the
/// same on all Unix systems.
const OUT_OF_DESCRIPTORS: [i32; 2] = [24, 23];

/// Number of bytes that can be read without waiting, 1 at most; 0 is the end of the stream.
pub fn peek_available(stream: &TcpStream) -> std::io::Result<usize> {
    socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])
}

/// Whether the other side has closed or reset a connection of which everything has been read.
pub fn has_ended(stream: &TcpStream) -> bool {
    match peek_available(stream) {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != WouldBlock,
    }
}

/// Whether the other side has closed or reset a connection, even if bytes before its end are not read yet.
pub fn has_closed(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let without_waiting = Timespec { tv_sec: 0, tv_nsec: 0 };
    let end = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    poll(&mut polled, Some(&without_waiting)).is_ok() && polled[0].revents().intersects(end)
}

/// Whether a connection could not be opened for want of a descriptor here, which says nothing of the other
/// side.
pub fn is_short_of_descriptors(error: &std::io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| OUT_OF_DESCRIPTORS.contains(&code))
}
