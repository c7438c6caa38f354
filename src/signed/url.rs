//! Verifies HMAC-signed URLs: `...?Expires=UNIX&KeyName=NAME&Signature=BASE64URL`. The signature covers the
//! whole URL up to, but not including, `&Signature=`.

use super::keys::{decode_base64url, KeySet};
use super::{check_validity, CredentialError, Grant};
use crate::policy::types::Micros;

const PARAMETERS: [&str; 3] = ["Expires", "KeyName", "Signature"];
/// Maximum number of digits of `Expires`.
const MAX_EXPIRES_DIGITS: usize = 12;

/// Returns how often a parameter occurs in a query.
fn occurrences(query: &str, name: &str) -> usize {
    let names =
        query.split('&').map(|parameter| parameter.split_once('=').map_or(parameter, |(name, _)| name));
    names.filter(|given| *given == name).count()
}

/// Returns whether the query contains any of the parameters of a signed URL.
pub(super) fn is_signed(target: &str) -> bool {
    let query = target.split_once('?').map_or("", |(_, q)| q);
    PARAMETERS.iter().any(|name| occurrences(query, name) > 0)
}

/// Verifies the signature of a signed URL, then its expiry.
pub(super) fn verify(
    keys: &KeySet,
    authority: &str,
    target: &str,
    unix: Micros,
) -> Result<Grant, CredentialError> {
    let (path, query) = target.split_once('?').ok_or(CredentialError::Malformed)?;
    let signed = SignedQuery::parse(query).ok_or(CredentialError::Malformed)?;
    let expires = parse_expires(signed.expires).ok_or(CredentialError::Malformed)?;
    let signature = decode_base64url(signed.signature).ok_or(CredentialError::Malformed)?;
    let key = keys.keys.get(signed.key_name).filter(|key| key.token_alg().is_none());
    let key = key.ok_or(CredentialError::InvalidSignature)?;
    let url = format!("{}://{authority}{path}?{}", keys.scheme, signed.signed_part);
    if !key.verifies(url.as_bytes(), &signature) {
        return Err(CredentialError::InvalidSignature);
    }
    let expires_at = check_validity(keys, None, Some(expires), unix)?;
    let target = match signed.other_parameters {
        "" => path.to_owned(),
        parameters => format!("{path}?{parameters}"),
    };
    Ok(Grant { target, expires_at })
}

/// The query of a signed URL, split into its components.
struct SignedQuery<'a> {
    /// The part of the query that the signature covers.
    signed_part: &'a str,
    /// The query before the three parameters, without the separator. Empty if there are no others.
    other_parameters: &'a str,
    expires: &'a str,
    key_name: &'a str,
    signature: &'a str,
}

impl<'a> SignedQuery<'a> {
    fn parse(query: &'a str) -> Option<Self> {
        // Other software could use a different occurrence of a repeated parameter than this code.
        if PARAMETERS.iter().any(|name| occurrences(query, name) != 1) {
            return None;
        }
        // The three parameters come last, in this order. Everything before them is signed as well.
        let (signed_part, signature) = query.rsplit_once("&Signature=")?;
        let (rest, key_name) = signed_part.rsplit_once("&KeyName=")?;
        let (other_parameters, expires) = match rest.strip_prefix("Expires=") {
            Some(expires) => ("", expires),
            None => rest.rsplit_once("&Expires=")?,
        };
        let is_value = |value: &&str| !value.is_empty() && !value.contains('&');
        if ![signature, key_name, expires].iter().all(is_value) {
            return None;
        }
        Some(SignedQuery { signed_part, other_parameters, expires, key_name, signature })
    }
}

/// Parses a Unix time in seconds. Returns `None` unless it consists of at most [`MAX_EXPIRES_DIGITS`] digits.
fn parse_expires(text: &str) -> Option<f64> {
    if text.len() > MAX_EXPIRES_DIGITS || !text.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}
