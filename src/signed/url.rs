//! HMAC-signed URLs: `...?Expires=UNIX&KeyName=NAME&Signature=BASE64URL`, the signature over the whole URL
//! up to `&Signature=`.

use super::keys::{decode_base64url, KeySet};
use super::{check_times, CredentialError, Grant};
use crate::policy::types::Micros;

const PARAMETERS: [&str; 3] = ["Expires", "KeyName", "Signature"];

fn count(query: &str, name: &str) -> usize {
    query.split('&').filter(|p| p.split_once('=').map_or(*p, |(n, _)| n) == name).count()
}

/// Whether the target carries any of the parameters.
pub(super) fn is_signed(target: &str) -> bool {
    let query = target.split_once('?').map_or("", |(_, q)| q);
    PARAMETERS.iter().any(|name| count(query, name) > 0)
}

pub(super) fn check(
    keys: &KeySet,
    authority: &str,
    target: &str,
    unix: Micros,
) -> Result<Grant, CredentialError> {
    let (path, query) = target.split_once('?').ok_or(CredentialError::Malformed)?;
    // A repeated parameter could be read one way here and another way elsewhere.
    if PARAMETERS.iter().any(|name| count(query, name) != 1) {
        return Err(CredentialError::Malformed);
    }
    // The three stand last and in this order; all that is before them is signed as well.
    let (signed_query, signature) = query.rsplit_once("&Signature=").ok_or(CredentialError::Malformed)?;
    let (rest, name) = signed_query.rsplit_once("&KeyName=").ok_or(CredentialError::Malformed)?;
    let (rest, expires) = match rest.strip_prefix("Expires=") {
        Some(expires) => ("", expires),
        None => rest.rsplit_once("&Expires=").ok_or(CredentialError::Malformed)?,
    };
    if [signature, name, expires].iter().any(|value| value.is_empty() || value.contains('&')) {
        return Err(CredentialError::Malformed);
    }
    let digits = expires.bytes().all(|b| b.is_ascii_digit()) && expires.len() <= 12;
    let expires: f64 = expires.parse().ok().filter(|_| digits).ok_or(CredentialError::Malformed)?;
    let signature = decode_base64url(signature).ok_or(CredentialError::Malformed)?;
    let key =
        keys.keys.get(name).filter(|k| k.token_alg().is_none()).ok_or(CredentialError::InvalidSignature)?;
    let url = format!("{}://{authority}{path}?{signed_query}", keys.scheme);
    if !key.verifies(url.as_bytes(), &signature) {
        return Err(CredentialError::InvalidSignature);
    }
    let valid_until = check_times(keys, None, Some(expires), unix)?;
    let target = if rest.is_empty() { path.to_owned() } else { format!("{path}?{rest}") };
    Ok(Grant { target, expires_at: valid_until })
}
