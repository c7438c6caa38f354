//! Errors of a director's start, of requests and of calls, and the result of a shutdown.

use crate::config::platform::PlatformConfigError;
use crate::discovery::SourceError;
use crate::policy::types::SettingsError;
use std::time::Duration;

/// Why the dispatcher did not start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// A source of the endpoint list can't be used.
    #[error(transparent)]
    Source(#[from] SourceError),
    /// The settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Why a director did not start. Nothing was sent anywhere.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum BuildError {
    /// The configuration file can't be used.
    #[error(transparent)]
    Config(#[from] PlatformConfigError),
    /// The settings or a source can't be used.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The thread or its runtime did not start.
    #[error("the director's thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The thread ended before it was ready.
    #[error("the director's thread ended while it started")]
    Ended,
}

/// Why a request has no response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SendError {
    /// No class of this name is configured at present. Nothing was sent.
    #[error("no class named '{0}'")]
    UnknownClass(String),
    /// The object's name can't be forwarded to servers unchanged. Nothing was sent.
    #[error("an object's name is 1 to 256 visible characters without ',' and '='")]
    BadName,
    /// The body is larger than servers accept. Nothing was sent.
    #[error("a body of {len} bytes, {max} at most")]
    TooLarge {
        /// Its length in bytes.
        len: usize,
        /// The largest that servers accept, in bytes.
        max: usize,
    },
    /// A body for a class that reads. Nothing was sent.
    #[error("a body for a class that reads")]
    UnwantedBody,
    /// The director has ended or is about to.
    #[error("the director has ended{}", if *.may_have_run { "; what was asked may have run" } else { "" })]
    Stopped {
        /// Whether the request had been accepted, so that it may have run.
        may_have_run: bool,
    },
}

impl SendError {
    /// Whether the request may have run. Where not, it can be sent again, whatever its class.
    pub fn may_have_run(&self) -> bool {
        matches!(self, SendError::Stopped { may_have_run: true })
    }
}

/// The director has ended: the call did not reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the director has ended")]
pub struct Stopped;

/// How a shutdown went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shutdown {
    /// Requests that were pending when it began.
    pub pending: usize,
    /// Those that were aborted at the deadline; each ends with [`SendError::Stopped`].
    pub aborted: usize,
    /// How long it took.
    pub elapsed: Duration,
}
