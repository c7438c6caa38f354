//! Errors in the operator's file. Each message is a single line that gives the key, or the line and column.

use std::net::SocketAddr;
use std::path::PathBuf;

/// An error that prevents the file from being used.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum OperatorConfigError {
    /// The file can't be read.
    #[error("{}: {source}", .file.display())]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The content of the file is invalid.
    #[error("{}: {source}", .file.display())]
    Invalid {
        /// Path of the file.
        file: PathBuf,
        /// The error in the content.
        source: OperatorParseError,
    },
}

/// A position in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Number of the line, from 1.
    pub line: u64,
    /// Number of the column, from 1.
    pub column: u64,
}

impl std::fmt::Display for Location {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

/// The reason why the content of the file is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum OperatorParseError {
    /// The text is not valid YAML, or a key is unknown, missing or of the wrong type.
    #[error("{}{message}", .location.map(|at| format!("{at}: ")).unwrap_or_default())]
    Syntax {
        /// Position of the error, if it is known and the message does not contain it.
        location: Option<Location>,
        /// The parser's description of the error.
        message: String,
    },
    /// The file has both sections and keys of the flat form.
    #[error(
        "expected either sections or the flat form (listen, metrics, keys, xds at the top level), got both"
    )]
    MixedForms,
    /// The frontend for signed URLs has no file of keys.
    #[error("signed.keys: missing, expected a path because signed.listen is set")]
    MissingKeysFile,
    /// A number is outside its allowed range.
    #[error("{key}: {value} is not between {min} and {max}")]
    OutOfRange {
        /// The key with its section, such as `library.open`.
        key: String,
        /// Value of the key.
        value: u64,
        /// Minimum allowed value.
        min: u64,
        /// Maximum allowed value.
        max: u64,
    },
    /// A string is not a socket address.
    #[error("peers.{key}: '{text}' is not an IP address with a port")]
    InvalidAddress {
        /// The key within the section `peers`.
        key: String,
        /// Value of the key.
        text: String,
    },
    /// The advertised address has port 0 or is the unspecified address (`0.0.0.0` or `::`).
    #[error(
        "peers.advertise: other directors can't reach {address}, expected a specific IP address and port"
    )]
    UnreachableAddress {
        /// The advertised address.
        address: SocketAddr,
    },
    /// A name has a character or a length that is not allowed.
    #[error("peers.{key}: '{name}' is not 1 to 64 visible ASCII characters without spaces")]
    InvalidName {
        /// The key within the section `peers`.
        key: &'static str,
        /// Value of the key.
        name: String,
    },
    /// A time limit for fresh-only mode is set, but the mode is off.
    #[error("peers.careful_ms: only allowed with mode: careful")]
    CatchUpWithoutMode,
}
