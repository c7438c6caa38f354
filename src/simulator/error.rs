//! Why input from the simulator is rejected, with the line, the message and the field at fault.

use crate::config::settings::SettingsDecodeError;
use crate::policy::types::SettingsError;
use std::io;

/// Why the exchange with the simulator ended early.
#[derive(Debug, thiserror::Error)]
pub enum SimulatorError {
    /// A line of the input has a fault.
    #[error("line {line}: {source}")]
    Input {
        /// The line, counted from 1.
        line: usize,
        /// Its fault.
        source: MessageError,
    },
    /// The input can't be read or the output can't be written.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The fault of a message.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// It is not UTF-8.
    #[error("not UTF-8 text")]
    NotUtf8,
    /// It stands where a batch should begin.
    #[error("'{message}' where 'sync' should begin a batch")]
    OutsideBatch {
        /// Its name.
        message: String,
    },
    /// The input ends within a batch.
    #[error("the input ends inside a batch, no 'eof_batch'")]
    UnfinishedBatch,
    /// Its name is not known.
    #[error("unknown message '{message}'")]
    Unknown {
        /// Its name.
        message: String,
    },
    /// One of its fields has a value that it can't have.
    #[error("message '{message}', field '{field}': {fault}")]
    Field {
        /// Its name.
        message: String,
        /// Name of the field.
        field: &'static str,
        /// What is wrong with the value.
        fault: FieldFault,
    },
}

/// What is wrong with the value of a field.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs, reason = "the fields are the parts of the messages")]
pub enum FieldFault {
    #[error("missing")]
    Missing,
    #[error("'{0}' is not a whole number in range")]
    NotAnInteger(String),
    #[error("'{0}' is not a number in range")]
    NotInRange(String),
    #[error("not a finite number")]
    NotFinite,
    #[error("'{0}' is not a time")]
    NotATime(String),
    #[error("not a finite time")]
    NotAFiniteTime,
    #[error("'{0}' is neither 0 nor 1")]
    NotAFlag(String),
    #[error("'{0}' is not hex")]
    NotHex(String),
    #[error("'{0}' is not known")]
    UnknownName(String),
    #[error("'{0}' is not a number")]
    NotANumber(String),
    #[error("'{0}' is not an outcome")]
    NotAnOutcome(String),
    #[error("not base64")]
    NotBase64(#[source] base64::DecodeError),
    #[error("no instance {0} was started")]
    UnknownInstance(u32),
    #[error("'{0}' where an 'item' should be")]
    NotAnItem(String),
    #[error("the input ends before its entries do")]
    UnfinishedList,
    #[error(transparent)]
    Undecodable(SettingsDecodeError),
    #[error(transparent)]
    Settings(SettingsError),
}
