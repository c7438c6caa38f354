//! What can go wrong, and how far things had come.

use std::time::Duration;

/// Why a director did not start. Nothing was sent anywhere.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum BuildError {
    /// The configuration, the settings or a source can't be used.
    #[error("{0}")]
    Config(String),
    /// The thread or its runtime did not come up.
    #[error("the director's thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The thread ended before it was ready.
    #[error("the director's thread ended while it started")]
    Ended,
}

/// Why a question has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SendError {
    /// No class of this name is configured at present. Nothing was sent.
    #[error("no class named '{0}'")]
    UnknownClass(String),
    /// The object's name can't be passed on to servers as it is. Nothing was sent.
    #[error("an object's name is 1 to 256 visible characters without ',' and '='")]
    BadName,
    /// The body is larger than servers take. Nothing was sent.
    #[error("a body of {len} bytes, {most} at most")]
    TooLarge {
        /// Its length in bytes.
        len: usize,
        /// The most that servers take.
        most: usize,
    },
    /// A body for a class that reads. Nothing was sent.
    #[error("a body for a class that reads")]
    UnwantedBody,
    /// The director has ended or is about to.
    #[error("the director has ended{}", if *.may_have_run { "; what was asked may have run" } else { "" })]
    Stopped {
        /// Whether the question had been taken, so that it may have run.
        may_have_run: bool,
    },
}

impl SendError {
    /// Whether what was asked may have run. Where not, it can be asked again, whatever its class.
    pub fn may_have_run(&self) -> bool {
        matches!(self, SendError::Stopped { may_have_run: true })
    }
}

/// The director has ended: what was told did not reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the director has ended")]
pub struct Stopped;

/// How a shutdown went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shutdown {
    /// Questions that were open when it began.
    pub open: usize,
    /// Those that were cut off at the deadline; each ends with [`SendError::Stopped`].
    pub cut_off: usize,
    /// How long it took.
    pub took: Duration,
}
