//! Errors for invalid input from the simulator, with the line, the message and the field.

use crate::config::settings::SettingsDecodeError;
use crate::policy::types::SettingsError;
use std::io;

/// An error that ends the exchange with the simulator.
#[derive(Debug, thiserror::Error)]
pub enum SimulatorError {
    /// A line of the input is invalid.
    #[error("line {line}: {source}")]
    Input {
        /// Line number, from 1.
        line: usize,
        /// The error in this line.
        source: MessageError,
    },
    /// Reading the input or writing the output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The reason why a message is rejected.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The line is not valid UTF-8.
    #[error("invalid UTF-8")]
    NotUtf8,
    /// A message other than `sync` outside a batch.
    #[error("expected 'sync' at the start of a batch, found '{message}'")]
    OutsideBatch {
        /// Name of the message that was found.
        message: String,
    },
    /// The input ends within a batch.
    #[error("input ended inside a batch, expected 'eof_batch'")]
    UnfinishedBatch,
    /// No message has this name, or it is not allowed inside a batch.
    #[error("unknown message '{message}'")]
    Unknown {
        /// Name of the message, as received.
        message: String,
    },
    /// A field is missing or has an invalid value.
    #[error("message '{message}', field '{field}': {fault}")]
    Field {
        /// Name of the message that contains the field.
        message: String,
        /// Name of the field on the wire.
        field: &'static str,
        /// The reason why the value is rejected.
        fault: FieldFault,
    },
}

/// The reason why the value of a field is rejected.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs, reason = "the error texts describe the variants and their fields")]
pub enum FieldFault {
    #[error("missing")]
    Missing,
    #[error("'{0}' is not an integer in the valid range")]
    NotAnInteger(String),
    #[error("'{0}' is not a number in the valid range")]
    NotInRange(String),
    #[error("{0} is not a finite number")]
    NotFinite(f64),
    #[error("'{0}' is not a time in milliseconds")]
    NotATime(String),
    #[error("{0} is not a finite time")]
    NotAFiniteTime(f64),
    #[error("expected 0 or 1, found '{0}'")]
    NotAFlag(String),
    #[error("'{0}' is not a hexadecimal integer")]
    NotHex(String),
    #[error("unknown name '{0}'")]
    UnknownName(String),
    #[error("'{0}' is not a number")]
    NotANumber(String),
    #[error("unknown outcome '{0}'")]
    NotAnOutcome(String),
    #[error("invalid base64")]
    NotBase64(#[source] base64::DecodeError),
    #[error("router {0} is not running")]
    UnknownInstance(u32),
    #[error("expected 'item', found '{0}'")]
    NotAnItem(String),
    #[error("input ended before the last entry of the list")]
    UnfinishedList,
    #[error(transparent)]
    Undecodable(SettingsDecodeError),
    #[error(transparent)]
    Settings(SettingsError),
}
