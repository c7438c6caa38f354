//! Faults of the operator's file, each one line with the place at which it was found.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the file can't be used.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum OperatorConfigError {
    /// It can't be read.
    #[error("{}: {source}", .file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The reason.
        source: std::io::Error,
    },
    /// Its content is not valid.
    #[error("{}: {source}", .file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The reason.
        source: OperatorParseError,
    },
}

/// A place in the file, counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The line.
    pub line: u64,
    /// The column.
    pub column: u64,
}

impl std::fmt::Display for Location {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

/// Why the content of the file is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum OperatorParseError {
    /// It is not YAML of the expected form.
    #[error("{}{message}", .location.map(|at| format!("{at}: ")).unwrap_or_default())]
    Syntax {
        /// The place, if it is known and the message does not name it.
        location: Option<Location>,
        /// What is wrong there.
        message: String,
    },
    /// It has both sections and keys of the flat form.
    #[error("sections and the flat form of earlier versions in one file")]
    MixedForms,
    /// The frontend for signed URLs has no keys.
    #[error("signed.keys: names no file")]
    MissingKeysFile,
    /// A number is out of range.
    #[error("{key}: {value} is not within {min} and {max}")]
    OutOfRange {
        /// The key, with its section.
        key: String,
        /// Its value.
        value: u64,
        /// The lowest value that is allowed.
        min: u64,
        /// The highest value that is allowed.
        max: u64,
    },
    /// A text is no socket address.
    #[error("peers.{key}: '{text}' is no address and port")]
    InvalidAddress {
        /// The key.
        key: String,
        /// Its value.
        text: String,
    },
    /// The advertised address is one that nobody can connect to.
    #[error("peers.advertise: nobody can reach a director at {address}")]
    UnreachableAddress {
        /// The address.
        address: SocketAddr,
    },
    /// A name has characters or a length that names can't have.
    #[error("peers.{key}: '{name}' is not 1 to 64 characters without spaces")]
    InvalidName {
        /// The key.
        key: &'static str,
        /// Its value.
        name: String,
    },
    /// A limit on catching up is given in a mode without catching up.
    #[error("peers.careful_ms: goes with mode: careful")]
    CatchUpWithoutMode,
}
