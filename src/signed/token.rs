//! URI Signing tokens (RFC 9246): a signed JWT in the attribute `URISigningPackage`.

use super::keys::{decode_base64url, KeySet};
use super::{check_times, CredentialError, Grant};
use crate::config::settings::json::{real, text};
use crate::policy::types::Micros;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use miniserde::json::{self, Object, Value};
use sha2::{Digest, Sha256};

const ATTRIBUTE: &str = "URISigningPackage=";
/// Longer tokens are not read.
const LONGEST_TOKEN: usize = 8 * 1024;
/// The compiled size of a container's pattern, which its issuer writes.
const PATTERN_SIZE: usize = 256 * 1024;
/// Claims that are checked here, or whose meaning asks nothing of a cache.
const UNDERSTOOD: [&str; 9] = ["iss", "sub", "aud", "exp", "nbf", "iat", "cdniv", "cdniuc", "cdnicrit"];
/// Claims that limit a token in ways that are not checked here, so that it can't be let pass.
const LIMITING: [&str; 1] = ["cdniip"];

/// Where the attribute's name stands: after a delimiter, in the query or as a parameter of the path.
fn places(target: &str) -> Vec<usize> {
    let at = |(n, _): &(usize, &str)| *n > 0 && matches!(target.as_bytes()[*n - 1], b'?' | b'&' | b';');
    target.match_indices(ATTRIBUTE).filter(at).map(|(n, _)| n).collect()
}

/// Whether the target carries the attribute.
pub(super) fn has_package(target: &str) -> bool {
    !places(target).is_empty()
}

/// The token, and the target without the attribute and the delimiter that it makes needless.
fn take_package(target: &str) -> Result<(&str, String), CredentialError> {
    let [start] = places(target)[..] else { return Err(CredentialError::Malformed) };
    let (before, rest) = target.split_at(start);
    let value = &rest[ATTRIBUTE.len()..];
    let end = value.find(['&', ';', '?', '/']).unwrap_or(value.len());
    let (token, after) = value.split_at(end);
    let (kept, delimiter) = before.split_at(before.len() - 1);
    let stripped = match after.strip_prefix('&') {
        // It stood first in the query, and another parameter follows.
        Some(more) if delimiter == "?" => format!("{kept}?{more}"),
        _ => format!("{kept}{after}"),
    };
    if token.is_empty() || token.len() > LONGEST_TOKEN {
        return Err(CredentialError::Malformed);
    }
    Ok((token, stripped))
}

fn object(part: &str) -> Result<Object, CredentialError> {
    let bytes = decode_base64url(part).ok_or(CredentialError::Malformed)?;
    let text = std::str::from_utf8(&bytes).map_err(|_| CredentialError::Malformed)?;
    match json::from_str(text) {
        Ok(Value::Object(object)) => Ok(object),
        _ => Err(CredentialError::Malformed),
    }
}

/// A claim that is a text, where it is there at all.
fn word<'a>(claims: &'a Object, name: &str) -> Result<Option<&'a str>, CredentialError> {
    claims.get(name).map(|v| text(v).ok_or(CredentialError::Malformed)).transpose()
}

/// A claim that is a date, where it is there at all.
fn date(claims: &Object, name: &str) -> Result<Option<f64>, CredentialError> {
    let one = |v: &Value| real(v).filter(|d| d.is_finite()).ok_or(CredentialError::Malformed);
    claims.get(name).map(one).transpose()
}

pub(super) fn check(
    keys: &KeySet,
    authority: &str,
    target: &str,
    unix: Micros,
) -> Result<Grant, CredentialError> {
    let (token, stripped) = take_package(target)?;
    let parts: Vec<&str> = token.split('.').collect();
    let [header, payload, signature] = parts[..] else { return Err(CredentialError::Malformed) };
    let head = object(header)?;
    let signature = decode_base64url(signature).ok_or(CredentialError::Malformed)?;
    let alg = word(&head, "alg")?.ok_or(CredentialError::Malformed)?;
    if head.contains_key("crit") {
        return Err(CredentialError::Malformed); // no extension of JWS is understood here
    }
    let mut token_keys = keys.keys.iter().filter(|(_, k)| k.token_alg().is_some());
    let key = match word(&head, "kid")? {
        Some(kid) => token_keys.find(|(name, _)| *name == kid),
        // Without a name there must be no choice.
        None => token_keys.next().filter(|_| token_keys.next().is_none()),
    };
    let (_, key) = key.ok_or(CredentialError::InvalidSignature)?;
    // The key says which algorithm it is used with, never the token: this turns down 'none' as well.
    if key.token_alg() != Some(alg) {
        return Err(CredentialError::InvalidSignature);
    }
    if !key.verifies(&token.as_bytes()[..header.len() + 1 + payload.len()], &signature) {
        return Err(CredentialError::InvalidSignature);
    }
    let claims = object(payload)?;
    check_claims(keys, key.issuer.as_deref(), &claims)?;
    let uri = format!("{}://{authority}{stripped}", keys.scheme);
    let container = word(&claims, "cdniuc")?.ok_or(CredentialError::Malformed)?;
    if !covers(container, &uri)? {
        return Err(CredentialError::InvalidSignature);
    }
    let valid_until = check_times(keys, date(&claims, "nbf")?, date(&claims, "exp")?, unix)?;
    Ok(Grant { target: stripped, expires_at: valid_until })
}

fn check_claims(keys: &KeySet, issuer: Option<&str>, claims: &Object) -> Result<(), CredentialError> {
    if claims.get("cdniv").is_some_and(|v| real(v) != Some(1.0)) {
        return Err(CredentialError::Malformed);
    }
    if let Some(critical) = word(claims, "cdnicrit")? {
        let known = |name: &str| UNDERSTOOD.contains(&name) && claims.contains_key(name);
        if !critical.split(',').all(|name| known(name.trim())) {
            return Err(CredentialError::Malformed);
        }
    }
    if LIMITING.iter().any(|name| claims.contains_key(*name)) {
        return Err(CredentialError::Malformed);
    }
    if issuer.is_some() && word(claims, "iss")? != issuer {
        return Err(CredentialError::InvalidSignature);
    }
    let ours = |v: &Value| text(v).is_some_and(|name| keys.audience.iter().any(|a| a == name));
    match claims.get("aud") {
        None => Ok(()),
        Some(Value::Array(list)) if list.iter().any(ours) => Ok(()),
        Some(one) if ours(one) => Ok(()),
        Some(_) => Err(CredentialError::InvalidSignature),
    }
}

/// Whether the URI container is for this URI.
fn covers(container: &str, uri: &str) -> Result<bool, CredentialError> {
    if let Some(pattern) = container.strip_prefix("regex:") {
        let whole = format!("^(?:{pattern})$");
        let pattern = regex::RegexBuilder::new(&whole).size_limit(PATTERN_SIZE).build();
        return pattern.map(|p| p.is_match(uri)).map_err(|_| CredentialError::Malformed);
    }
    if let Some(hash) = container.strip_prefix("hash:sha-256;") {
        return Ok(hash == URL_SAFE_NO_PAD.encode(Sha256::digest(uri)));
    }
    Err(CredentialError::Malformed)
}
