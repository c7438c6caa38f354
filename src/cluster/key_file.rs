//! Parser for the file of keys with which directors authenticate their messages.

use super::frame::MIN_KEY_BYTES;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;

/// An error in a key file. Lines are numbered from 1.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyFileError {
    /// A line is not valid base64url.
    #[error("line {line}: not base64url")]
    NotBase64 {
        /// Line number, from 1.
        line: usize,
        /// The decoder's error.
        #[source]
        source: base64::DecodeError,
    },
    /// A key is shorter than [`MIN_KEY_BYTES`].
    #[error("line {line}: key of {bytes} bytes, expected at least {MIN_KEY_BYTES}")]
    TooShort {
        /// Line number, from 1.
        line: usize,
        /// Size of the key, in bytes.
        bytes: usize,
    },
    /// The file contains no key.
    #[error("no key in the file")]
    Empty,
}

/// Parses a key file: one base64url key per line. The first key is used for sending. Empty lines and lines
/// that begin with `#` are ignored.
pub fn parse_keys(text: &str) -> Result<Vec<Vec<u8>>, KeyFileError> {
    let lines = text.lines().map(str::trim).zip(1..);
    let keys = lines.filter(|(text, _)| !text.is_empty() && !text.starts_with('#'));
    let keys: Vec<Vec<u8>> = keys.map(|(text, line)| parse_key(text, line)).collect::<Result<_, _>>()?;
    if keys.is_empty() {
        return Err(KeyFileError::Empty);
    }
    Ok(keys)
}

fn parse_key(text: &str, line: usize) -> Result<Vec<u8>, KeyFileError> {
    let key = URL_SAFE_NO_PAD
        .decode(text.trim_end_matches('='))
        .map_err(|source| KeyFileError::NotBase64 { line, source })?;
    if key.len() < MIN_KEY_BYTES {
        return Err(KeyFileError::TooShort { line, bytes: key.len() });
    }
    Ok(key)
}
