//! Signed URLs and tokens, as content networks issue them: pure checks, with no clock and no I/O.
//!
//! Two forms are known. A signed URL ends in `Expires`, `KeyName` and `Signature`, an HMAC over all that
//! stands before. A URI Signing token (RFC 9246) is a JWT in the attribute `URISigningPackage`. Either is
//! checked against the octets that came, then stripped, before the object is named. Nothing here logs a
//! target, and keys never show in `Debug`.

mod keys;
mod request;
mod token;
mod url;

pub use keys::{KeyFile, KeySet, MAX_CLOCK_SKEW_S};
pub use request::{parse_request, to_http_outcome, HttpOutcome, InvalidRequest, OutcomeCounters};

use crate::policy::types::Micros;

/// Why a credential is turned down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CredentialError {
    /// Not signed by a key of ours, or not for this URI.
    InvalidSignature,
    /// Its time is over.
    Expired,
    /// Its time has not come.
    NotYetValid,
    /// None there, or none that can be read.
    Malformed,
}

impl CredentialError {
    /// The word by which it is counted.
    pub fn reason(self) -> &'static str {
        match self {
            CredentialError::InvalidSignature => "forged",
            CredentialError::Expired => "expired",
            CredentialError::NotYetValid => "not_yet_valid",
            CredentialError::Malformed => "malformed",
        }
    }
}

impl std::fmt::Display for CredentialError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.reason())
    }
}

impl std::error::Error for CredentialError {}

/// What a good credential allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The target without the credential.
    pub target: String,
    /// The Unix time in microseconds from which no answer may begin, skew included; none: no end.
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
    match (url::is_signed(target), token::has_package(target)) {
        (true, false) => url::check(keys, authority, target, unix),
        (false, true) => token::check(keys, authority, target, unix),
        // None, or two that might say different things.
        _ => Err(CredentialError::Malformed),
    }
}

/// Checks a span of validity in Unix seconds. The bounds are those of RFC 7519: valid before `exp` and not
/// before `nbf`, each widened by the skew. Returns when it ends.
fn check_times(
    keys: &KeySet,
    nbf: Option<f64>,
    exp: Option<f64>,
    unix: Micros,
) -> Result<Option<Micros>, CredentialError> {
    let micros = |seconds: f64| (seconds.clamp(0.0, 1e12) * 1e6) as Micros;
    if nbf.is_some_and(|nbf| unix.saturating_add(keys.clock_skew()) < micros(nbf)) {
        return Err(CredentialError::NotYetValid);
    }
    let end = exp.map(|exp| micros(exp).saturating_add(keys.clock_skew()));
    if end.is_some_and(|end| unix >= end) {
        return Err(CredentialError::Expired);
    }
    Ok(end)
}
