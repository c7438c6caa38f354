//! The file of the keys by which directors authenticate their messages.

use super::frame::MIN_KEY_BYTES;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;

/// Why a key file cannot be used. Lines are numbered from 1.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyFileError {
    /// A line is not base64url.
    #[error("line {line}: not base64url")]
    NotBase64 {
        /// The line.
        line: usize,
        /// What the decoder says.
        #[source]
        source: base64::DecodeError,
    },
    /// A key is too short.
    #[error("line {line}: a key of {bytes} bytes, {MIN_KEY_BYTES} at least")]
    TooShort {
        /// The line.
        line: usize,
        /// The size of the key.
        bytes: usize,
    },
    /// There is no key.
    #[error("holds no key")]
    Empty,
}

/// The keys of a key file: one a line in base64url, the first for sending; empty lines and those that begin
/// with `#` are ignored.
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
