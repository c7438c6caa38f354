//! Signed URLs and tokens, as content networks issue them: pure checks, with no clock and no I/O.
//!
//! There are two forms. A signed URL ends in `Expires`, `KeyName` and `Signature`, an HMAC over all that
//! stands before. A URI Signing token (RFC 9246) is a JWT in the attribute `URISigningPackage`. Either is
//! verified over the octets that came, and stripped before the object is named. Nothing here logs a
//! target, and keys never show in `Debug`.

mod keys;
mod outcome;
mod request;
mod token;
mod url;

pub use keys::{KeyError, KeyFile, KeySet, SecretError, MAX_CLOCK_SKEW_S};
pub use outcome::{to_http_outcome, HttpOutcome, OutcomeCounters};
pub use request::{parse_request, InvalidRequest};

use crate::policy::types::Micros;

/// Why a credential is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.reason())]
pub enum CredentialError {
    /// It is not signed by a key of ours, or not for this URI.
    InvalidSignature,
    /// Its validity is over.
    Expired,
    /// Its validity has not begun.
    NotYetValid,
    /// There is none, or none that can be read.
    Malformed,
}

impl CredentialError {
    /// The name under which it is counted.
    pub fn reason(self) -> &'static str {
        match self {
            CredentialError::InvalidSignature => "forged",
            CredentialError::Expired => "expired",
            CredentialError::NotYetValid => "not_yet_valid",
            CredentialError::Malformed => "malformed",
        }
    }
}

/// What a good credential grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The target without the credential.
    pub target: String,
    /// The Unix time in microseconds from which no response may begin, clock skew included; none: no end.
    pub expires_at: Option<Micros>,
}

/// Checks the credential in `target`, the request's target octet for octet, as sent to `authority`, the value
/// of its `Host`, at this Unix time in microseconds.
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
        // None, or two that might say different things.
        _ => Err(CredentialError::Malformed),
    }
}

/// Checks a span of validity in Unix seconds. The bounds are those of RFC 7519: valid before `exp` and not
/// before `nbf`, each widened by the skew. Returns when it ends.
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
