//! HMAC-signed URLs: `...?Expires=UNIX&KeyName=NAME&Signature=BASE64URL`, the signature over the whole URL
//! up to `&Signature=`.

use super::keys::{decode_base64url, KeySet};
use super::{check_validity, CredentialError, Grant};
use crate::policy::types::Micros;

const PARAMETERS: [&str; 3] = ["Expires", "KeyName", "Signature"];
/// Digits of a Unix time in seconds at most.
const MAX_EXPIRES_DIGITS: usize = 12;

/// How often a parameter stands in a query.
fn occurrences(query: &str, name: &str) -> usize {
    let names =
        query.split('&').map(|parameter| parameter.split_once('=').map_or(parameter, |(name, _)| name));
    names.filter(|given| *given == name).count()
}

/// Whether the target carries any of the parameters.
pub(super) fn is_signed(target: &str) -> bool {
    let query = target.split_once('?').map_or("", |(_, q)| q);
    PARAMETERS.iter().any(|name| occurrences(query, name) > 0)
}

/// Verifies a signed URL.
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

/// The parts of a signed URL's query.
struct SignedQuery<'a> {
    /// What the signature is over.
    signed_part: &'a str,
    /// What stands before the three parameters.
    other_parameters: &'a str,
    expires: &'a str,
    key_name: &'a str,
    signature: &'a str,
}

impl<'a> SignedQuery<'a> {
    fn parse(query: &'a str) -> Option<Self> {
        // A repeated parameter could be read one way here and another way elsewhere.
        if PARAMETERS.iter().any(|name| occurrences(query, name) != 1) {
            return None;
        }
        // The three stand last and in this order; all that is before them is signed as well.
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

/// A Unix time in seconds.
fn parse_expires(text: &str) -> Option<f64> {
    if text.len() > MAX_EXPIRES_DIGITS || !text.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}
