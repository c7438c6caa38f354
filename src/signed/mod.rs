//! Verification of signed URLs and tokens, as issued by content delivery networks. The functions are pure:
//! they use no clock and no I/O.
//!
//! There are two forms of credential. A signed URL ends in the parameters `Expires`, `KeyName` and
//! `Signature`, where the signature is an HMAC over everything before it. A URI Signing token (RFC 9246) is a
//! JWT in the attribute `URISigningPackage`. Both are verified over the bytes as received, and removed before
//! the object name is parsed. This module logs no targets, and `Debug` output contains no key material.

mod keys;
mod outcome;
mod request;
mod token;
mod url;

pub use keys::{KeyError, KeyFile, KeySet, SecretError, MAX_CLOCK_SKEW_S};
pub use outcome::{to_http_outcome, HttpOutcome, OutcomeCounters};
pub use request::{parse_request, InvalidRequest};

use crate::policy::types::Micros;

/// Reason for which a credential is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.reason())]
pub enum CredentialError {
    /// The signature is invalid, its key is unknown, or the credential is for another URI, issuer or
    /// audience.
    InvalidSignature,
    /// The validity period has ended.
    Expired,
    /// The validity period has not begun.
    NotYetValid,
    /// The credential is missing, ambiguous, cannot be parsed or contains unsupported claims.
    Malformed,
}

impl CredentialError {
    /// Returns the label of this reason in [`OutcomeCounters`].
    pub fn reason(self) -> &'static str {
        match self {
            CredentialError::InvalidSignature => "forged",
            CredentialError::Expired => "expired",
            CredentialError::NotYetValid => "not_yet_valid",
            CredentialError::Malformed => "malformed",
        }
    }
}

/// The access that a valid credential grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The request target without the credential.
    pub target: String,
    /// Unix time in microseconds from which no response may begin, with the clock skew added. `None` if the
    /// credential does not expire.
    pub expires_at: Option<Micros>,
}

/// Verifies the credential in a request target.
///
/// `target` is the target byte for byte as received, `authority` the value of the `Host` header, and `unix`
/// the current Unix time in microseconds.
pub fn verify_credential(
    keys: &KeySet,
    authority: &str,
    target: &str,
    unix: Micros,
) -> Result<Grant, CredentialError> {
    if !target.starts_with('/') || target.contains('#') {
        return Err(CredentialError::Malformed);
    }
    match (url::is_signed(target), token::has_token(target)) {
        (true, false) => url::verify(keys, authority, target, unix),
        (false, true) => token::verify(keys, authority, target, unix),
        // There is no credential, or there are two that could contradict each other.
        _ => Err(CredentialError::Malformed),
    }
}

/// Checks a validity period given in Unix seconds and returns its end in Unix microseconds. As in RFC 7519, a
/// credential is valid from `nbf` on and before `exp`. Both bounds are extended by the clock skew.
fn check_validity(
    keys: &KeySet,
    not_before: Option<f64>,
    expires: Option<f64>,
    unix: Micros,
) -> Result<Option<Micros>, CredentialError> {
    let micros = |seconds: f64| (seconds.clamp(0.0, 1e12) * 1e6) as Micros;
    if not_before.is_some_and(|start| unix.saturating_add(keys.clock_skew()) < micros(start)) {
        return Err(CredentialError::NotYetValid);
    }
    let end = expires.map(|end| micros(end).saturating_add(keys.clock_skew()));
    if end.is_some_and(|end| unix >= end) {
        return Err(CredentialError::Expired);
    }
    Ok(end)
}
