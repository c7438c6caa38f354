//! Errors of the settings decoder, each with the key that has the invalid value.

/// The reason why settings can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsDecodeError {
    /// The text can't be parsed as JSON.
    #[error("expected a JSON object with the settings, but the text is not valid JSON")]
    NotJson,
    /// The JSON value is not an object.
    #[error("expected a JSON object with the settings, got a JSON value of another type")]
    NotAnObject,
    /// A key has an invalid value.
    #[error("key '{key}': {fault}")]
    Key {
        /// Path of the key, such as `bounds.maxAttempts`.
        key: String,
        /// What is wrong with its value.
        fault: KeyFault,
    },
}

/// What is wrong with the value of a key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs, reason = "the fields are the parts of the messages")]
pub enum KeyFault {
    #[error("required, but missing")]
    Missing,
    #[error("expected an object")]
    NotAnObject,
    #[error("expected a list")]
    NotAList,
    #[error("expected a number")]
    NotANumber,
    #[error("expected true or false")]
    NotABool,
    #[error("expected a string")]
    NotAText,
    #[error("expected a list of numbers, but an element is not a number")]
    NumberExpected,
    #[error("expected a list of booleans, but an element is neither true nor false")]
    BoolExpected,
    #[error("expected a list of strings, but an element is not a string")]
    TextExpected,
    #[error("expected a number above 0")]
    NotPositive,
    #[error("unknown value {0}")]
    UnknownValue(String),
    #[error("expected one of the names in 'zones'")]
    UnknownZone,
    #[error("expected at least one class, got none")]
    NoClass,
}
