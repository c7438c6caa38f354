//! Faults of settings, each with the key at which it was found.

/// Why settings can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsDecodeError {
    /// The text is not JSON.
    #[error("not JSON")]
    NotJson,
    /// The JSON is not an object.
    #[error("not an object")]
    NotAnObject,
    /// A key has a value that it can't have.
    #[error("key '{key}': {fault}")]
    Key {
        /// The key with the way to it: `bounds.maxAttempts`.
        key: String,
        /// What is wrong with its value.
        fault: KeyFault,
    },
}

/// What is wrong with the value of a key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs, reason = "the fields are the parts of the messages")]
pub enum KeyFault {
    #[error("missing")]
    Missing,
    #[error("not an object")]
    NotAnObject,
    #[error("not a list")]
    NotAList,
    #[error("not a number")]
    NotANumber,
    #[error("neither true nor false")]
    NotABool,
    #[error("not a text")]
    NotAText,
    #[error("holds something that is not a number")]
    NumberExpected,
    #[error("holds something that is not a bool")]
    BoolExpected,
    #[error("holds something but text")]
    TextExpected,
    #[error("not a number above 0")]
    NotPositive,
    #[error("{0} is not known")]
    UnknownValue(String),
    #[error("not among 'zones'")]
    UnknownZone,
    #[error("holds no class")]
    NoClass,
}
