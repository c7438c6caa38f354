//! Verifies URI Signing tokens (RFC 9246): signed JWTs in the attribute `URISigningPackage`.

use super::keys::{decode_base64url, Key, KeySet};
use super::{check_validity, CredentialError, Grant};
use crate::config::settings::json::{real, text};
use crate::policy::types::Micros;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use miniserde::json::{self, Object, Value};
use sha2::{Digest, Sha256};

const ATTRIBUTE: &str = "URISigningPackage=";
/// Maximum length of a token in bytes.
const MAX_TOKEN_BYTES: usize = 8 * 1024;
/// Maximum size of the compiled pattern of a URI container, in bytes. Limited because the pattern is written
/// by the issuer of the token.
const MAX_PATTERN_BYTES: usize = 256 * 1024;
/// Claims that are verified here or that require no action of a cache.
const SUPPORTED_CLAIMS: [&str; 9] = ["iss", "sub", "aud", "exp", "nbf", "iat", "cdniv", "cdniuc", "cdnicrit"];
/// Claims that restrict a token in a way that is not implemented. Tokens with such a claim are denied.
const UNSUPPORTED_LIMITS: [&str; 1] = ["cdniip"];

/// Returns all positions of the attribute: after a delimiter, in the query or as a path parameter.
fn attribute_positions(target: &str) -> Vec<usize> {
    let follows_delimiter =
        |(n, _): &(usize, &str)| *n > 0 && matches!(target.as_bytes()[*n - 1], b'?' | b'&' | b';');
    target.match_indices(ATTRIBUTE).filter(follows_delimiter).map(|(n, _)| n).collect()
}

/// Returns whether the target contains a token.
pub(super) fn has_token(target: &str) -> bool {
    !attribute_positions(target).is_empty()
}

/// Returns the token, and the target without the attribute and its delimiter.
fn split_token(target: &str) -> Result<(&str, String), CredentialError> {
    let [start] = attribute_positions(target)[..] else { return Err(CredentialError::Malformed) };
    let (before, rest) = target.split_at(start);
    let value = &rest[ATTRIBUTE.len()..];
    let end = value.find(['&', ';', '?', '/']).unwrap_or(value.len());
    let (token, after) = value.split_at(end);
    let (kept, delimiter) = before.split_at(before.len() - 1);
    let stripped = match after.strip_prefix('&') {
        // The attribute was the first parameter of the query, and another one follows.
        Some(more) if delimiter == "?" => format!("{kept}?{more}"),
        _ => format!("{kept}{after}"),
    };
    if token.is_empty() || token.len() > MAX_TOKEN_BYTES {
        return Err(CredentialError::Malformed);
    }
    Ok((token, stripped))
}

fn decode_object(part: &str) -> Result<Object, CredentialError> {
    let bytes = decode_base64url(part).ok_or(CredentialError::Malformed)?;
    let text = std::str::from_utf8(&bytes).map_err(|_| CredentialError::Malformed)?;
    match json::from_str(text) {
        Ok(Value::Object(object)) => Ok(object),
        _ => Err(CredentialError::Malformed),
    }
}

/// Returns a string claim. Returns `None` if it is absent, and an error if it has another type.
fn text_claim<'a>(claims: &'a Object, name: &str) -> Result<Option<&'a str>, CredentialError> {
    claims.get(name).map(|v| text(v).ok_or(CredentialError::Malformed)).transpose()
}

/// Returns a date claim in Unix seconds. Returns `None` if it is absent, and an error if it is not finite.
fn date_claim(claims: &Object, name: &str) -> Result<Option<f64>, CredentialError> {
    let parse_date = |v: &Value| real(v).filter(|d| d.is_finite()).ok_or(CredentialError::Malformed);
    claims.get(name).map(parse_date).transpose()
}

/// Verifies the token in a target: its signature, claims, URI container and validity period, in this order.
pub(super) fn verify(
    keys: &KeySet,
    authority: &str,
    target: &str,
    unix: Micros,
) -> Result<Grant, CredentialError> {
    let (token, stripped) = split_token(target)?;
    let token = Token::parse(token)?;
    let key = select_key(keys, &token.header)?;
    if !key.verifies(token.signed_part.as_bytes(), &token.signature) {
        return Err(CredentialError::InvalidSignature);
    }
    let claims = decode_object(token.payload)?;
    check_claims(keys, key.issuer.as_deref(), &claims)?;
    let uri = format!("{}://{authority}{stripped}", keys.scheme);
    let container = text_claim(&claims, "cdniuc")?.ok_or(CredentialError::Malformed)?;
    if !container_matches(container, &uri)? {
        return Err(CredentialError::InvalidSignature);
    }
    let (not_before, expires) = (date_claim(&claims, "nbf")?, date_claim(&claims, "exp")?);
    let expires_at = check_validity(keys, not_before, expires, unix)?;
    Ok(Grant { target: stripped, expires_at })
}

/// A signed JWT. Its claims are decoded only after its signature is verified.
struct Token<'a> {
    header: Object,
    payload: &'a str,
    signature: Vec<u8>,
    /// The part of the token that the signature covers.
    signed_part: &'a str,
}

impl<'a> Token<'a> {
    fn parse(token: &'a str) -> Result<Self, CredentialError> {
        let parts: Vec<&str> = token.split('.').collect();
        let [header, payload, signature] = parts[..] else { return Err(CredentialError::Malformed) };
        let signed_part = &token[..header.len() + 1 + payload.len()];
        let header = decode_object(header)?;
        let signature = decode_base64url(signature).ok_or(CredentialError::Malformed)?;
        if header.contains_key("crit") {
            return Err(CredentialError::Malformed); // JWS extensions are not supported
        }
        Ok(Token { header, payload, signature, signed_part })
    }
}

/// Returns the key that the token names in `kid`. Without `kid`, returns the only key for tokens.
fn select_key<'a>(keys: &'a KeySet, header: &Object) -> Result<&'a Key, CredentialError> {
    let algorithm = text_claim(header, "alg")?.ok_or(CredentialError::Malformed)?;
    let mut token_keys = keys.keys.iter().filter(|(_, key)| key.token_alg().is_some());
    let key = match text_claim(header, "kid")? {
        Some(key_id) => token_keys.find(|(name, _)| *name == key_id),
        // Without `kid` the key is known only if there is exactly one.
        None => token_keys.next().filter(|_| token_keys.next().is_none()),
    };
    let (_, key) = key.ok_or(CredentialError::InvalidSignature)?;
    // The configured key determines the algorithm, never the token. This also denies the algorithm 'none'.
    if key.token_alg() != Some(algorithm) {
        return Err(CredentialError::InvalidSignature);
    }
    Ok(key)
}

fn check_claims(keys: &KeySet, issuer: Option<&str>, claims: &Object) -> Result<(), CredentialError> {
    if claims.get("cdniv").is_some_and(|v| real(v) != Some(1.0)) {
        return Err(CredentialError::Malformed);
    }
    if let Some(critical) = text_claim(claims, "cdnicrit")? {
        let is_supported = |name: &str| SUPPORTED_CLAIMS.contains(&name) && claims.contains_key(name);
        if !critical.split(',').all(|name| is_supported(name.trim())) {
            return Err(CredentialError::Malformed);
        }
    }
    if UNSUPPORTED_LIMITS.iter().any(|name| claims.contains_key(*name)) {
        return Err(CredentialError::Malformed);
    }
    if issuer.is_some() && text_claim(claims, "iss")? != issuer {
        return Err(CredentialError::InvalidSignature);
    }
    let names_this_network = |v: &Value| text(v).is_some_and(|name| keys.audience.iter().any(|a| a == name));
    match claims.get("aud") {
        None => Ok(()),
        Some(Value::Array(list)) if list.iter().any(names_this_network) => Ok(()),
        Some(single) if names_this_network(single) => Ok(()),
        Some(_) => Err(CredentialError::InvalidSignature),
    }
}

/// Returns whether a URI container (RFC 9246, 2.1.15) matches this URI.
fn container_matches(container: &str, uri: &str) -> Result<bool, CredentialError> {
    if let Some(pattern) = container.strip_prefix("regex:") {
        let anchored = format!("^(?:{pattern})$");
        let pattern = regex::RegexBuilder::new(&anchored).size_limit(MAX_PATTERN_BYTES).build();
        return pattern.map(|p| p.is_match(uri)).map_err(|_| CredentialError::Malformed);
    }
    if let Some(hash) = container.strip_prefix("hash:sha-256;") {
        return Ok(hash == URL_SAFE_NO_PAD.encode(Sha256::digest(uri)));
    }
    Err(CredentialError::Malformed)
}
