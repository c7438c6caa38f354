//! How servers are reached: each way opens an actor for a server and speaks its wire.

pub mod host;
pub mod line_codec;
pub mod servers;

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::ErrorKind::WouldBlock;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Looks at what has come on a connection and is not read, be it that the runtime has not been told of it:
/// at most one byte; 0 is the end.
pub fn peek_available(stream: &TcpStream) -> std::io::Result<usize> {
    socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])
}

/// Whether the other side has closed or reset a connection of which all that came is read.
pub fn has_ended(stream: &TcpStream) -> bool {
    match peek_available(stream) {
        Ok(n) => n == 0,
        Err(error) => error.kind() != WouldBlock,
    }
}

/// Whether the other side has closed or reset a connection, be it that the runtime has not been told of it,
/// or that the end lies behind bytes that are not read.
pub fn has_closed(stream: &TcpStream) -> bool {
    let mut asked = [PollFd::new(stream, PollFlags::RDHUP)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    poll(&mut asked, Some(&at_once)).is_ok() && asked[0].revents().intersects(ends)
}

/// The errors of a process, and of a system, that may open no further descriptor; alike on all Unix systems.
const NO_DESCRIPTOR: [i32; 2] = [24, 23];

/// Whether an attempt to open a connection failed for want of a descriptor here, which says nothing of the
/// other side.
pub fn is_short_of_descriptors(error: &std::io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| NO_DESCRIPTOR.contains(&code))
}
