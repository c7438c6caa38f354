//! Errors of building a director, of requests and of calls, and the result of a shutdown.

use crate::config::platform::PlatformConfigError;
use crate::discovery::SourceError;
use crate::policy::types::SettingsError;
use std::time::Duration;

/// An error that prevents the dispatcher from starting.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// A source of endpoints failed to provide its initial list.
    #[error(transparent)]
    Source(#[from] SourceError),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// An error that prevents a director from starting. No request was sent.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum BuildError {
    /// The configuration file can't be read or is invalid.
    #[error(transparent)]
    Config(#[from] PlatformConfigError),
    /// The settings are invalid, or a source of endpoints failed.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The thread or its runtime did not start.
    #[error("could not start the director's thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The thread ended before it was ready to serve.
    #[error("the director's thread ended during startup")]
    Ended,
}

/// An error returned instead of a response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SendError {
    /// The settings in force have no class of this name. Nothing was sent.
    #[error("no class named '{0}' in the settings")]
    UnknownClass(String),
    /// The object's name, the entity tag or the idempotency key can't be forwarded to servers unchanged.
    /// Nothing was sent.
    #[error(
        "invalid object name, entity tag or idempotency key: expected 1 to 256 visible ASCII characters \
        without ',' and '='"
    )]
    BadName,
    /// The body is larger than servers accept. Nothing was sent.
    #[error("body is {len} bytes, expected at most {max}")]
    TooLarge {
        /// The body's length in bytes.
        len: usize,
        /// The longest body that servers accept, in bytes.
        max: usize,
    },
    /// The request has a body, but its class only reads. Nothing was sent.
    #[error("request has a body, but its class does not write")]
    UnwantedBody,
    /// The director has ended or is shutting down.
    #[error("the director has ended{}", if *.may_have_run { "; the request may have run" } else { "" })]
    Stopped {
        /// Whether the request was accepted before the director ended, and so may have run.
        may_have_run: bool,
    },
}

impl SendError {
    /// Returns whether the request may have run. If not, it is safe to send again for any class.
    pub fn may_have_run(&self) -> bool {
        matches!(self, SendError::Stopped { may_have_run: true })
    }
}

/// The error of a call that did not reach the director because it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the director has ended")]
pub struct Stopped;

/// The result of a shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shutdown {
    /// Requests that were pending when the shutdown began.
    pub pending: usize,
    /// Requests aborted at the deadline. Each returns [`SendError::Stopped`].
    pub aborted: usize,
    /// Time that the shutdown took.
    pub elapsed: Duration,
}
