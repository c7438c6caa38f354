//! The keys that verify credentials, by name, decoded from the key file.

use crate::policy::types::Micros;
use base64::alphabet::URL_SAFE;
use base64::engine::{DecodePaddingMode, GeneralPurpose, GeneralPurposeConfig};
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use miniserde::Deserialize;
use p256::ecdsa::signature::Verifier;
use std::collections::BTreeMap;

/// The largest clock skew that may be set, in seconds: more would be a longer validity, not a clock that is
/// off.
pub const MAX_CLOCK_SKEW_S: f64 = 60.0;
/// The clock skew where none is set, in seconds.
const DEFAULT_CLOCK_SKEW_S: f64 = 5.0;
/// The shortest secrets, in bytes: signed URLs are issued with 128-bit keys; RFC 7518 (3.2) asks that a
/// token's be as long as its hash.
const MIN_URL_SECRET_BYTES: usize = 16;
const MIN_TOKEN_SECRET_BYTES: usize = 32;

/// URL-safe base64, with padding or without; issuers differ in that.
const BASE64URL: GeneralPurpose = GeneralPurpose::new(
    &URL_SAFE,
    GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent),
);

/// Decodes URL-safe base64.
pub(super) fn decode_base64url(text: &str) -> Option<Vec<u8>> {
    BASE64URL.decode(text).ok()
}

/// The key file: how credentials are verified.
#[derive(Deserialize)]
pub struct KeyFile {
    /// The scheme of the signed URLs, `https` by default: a proxy in front may have terminated TLS.
    scheme: Option<String>,
    /// The clock skew that is allowed, in seconds.
    skew_s: Option<f64>,
    /// The names under which this network may stand in a token's `aud`.
    audience: Option<Vec<String>>,
    keys: Vec<RawKey>,
}

#[derive(Deserialize)]
struct RawKey {
    name: String,
    /// `HMAC-SHA1` or `HMAC-SHA256` for signed URLs, `HS256` or `ES256` for tokens.
    alg: String,
    /// base64url: a secret, or for ES256 the public point in SEC1 form.
    key: String,
    /// For tokens: the issuer that signs with it, where tokens must name one.
    issuer: Option<String>,
}

/// A key's secret or public key, with its algorithm.
pub(super) enum Secret {
    UrlSha1(Vec<u8>),
    UrlSha256(Vec<u8>),
    TokenHs256(Vec<u8>),
    TokenEs256(Box<p256::ecdsa::VerifyingKey>),
}

pub(super) struct Key {
    pub(super) secret: Secret,
    pub(super) issuer: Option<String>,
}

impl Key {
    /// The algorithm that a token signed with it names; none for keys of signed URLs.
    pub(super) fn token_alg(&self) -> Option<&'static str> {
        match self.secret {
            Secret::TokenHs256(_) => Some("HS256"),
            Secret::TokenEs256(_) => Some("ES256"),
            Secret::UrlSha1(_) | Secret::UrlSha256(_) => None,
        }
    }

    /// Whether the signature is this key's over the message. MACs are compared in constant time.
    pub(super) fn verifies(&self, message: &[u8], signature: &[u8]) -> bool {
        match &self.secret {
            Secret::UrlSha1(key) => verify_mac::<Hmac<sha1::Sha1>>(key, message, signature),
            Secret::UrlSha256(key) | Secret::TokenHs256(key) => {
                verify_mac::<Hmac<sha2::Sha256>>(key, message, signature)
            }
            Secret::TokenEs256(key) => p256::ecdsa::Signature::from_slice(signature)
                .is_ok_and(|signature| key.verify(message, &signature).is_ok()),
        }
    }
}

fn verify_mac<M: Mac + KeyInit>(key: &[u8], message: &[u8], signature: &[u8]) -> bool {
    let Ok(mut mac) = <M as KeyInit>::new_from_slice(key) else { return false };
    mac.update(message);
    mac.verify_slice(signature).is_ok()
}

/// The keys that verify credentials, by name, and the clock skew that is allowed.
pub struct KeySet {
    pub(super) scheme: String,
    pub(super) audience: Vec<String>,
    pub(super) keys: BTreeMap<String, Key>,
    /// In microseconds.
    clock_skew: Micros,
}

impl std::fmt::Debug for KeySet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeySet").field("names", &self.keys.keys()).finish_non_exhaustive()
    }
}

/// Why a key file can't be used. It names the key, never its content.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// It is not JSON of this form.
    #[error("not keys in JSON")]
    NotJson,
    /// The clock skew is out of range.
    #[error("skew_s: not from 0 to {MAX_CLOCK_SKEW_S}")]
    ClockSkew,
    /// There is no key.
    #[error("keys: none")]
    NoKeys,
    /// Two keys have the same name.
    #[error("key '{name}': named twice")]
    DuplicateName {
        /// Their name.
        name: String,
    },
    /// A key can't be used.
    #[error("key '{name}': {source}")]
    InvalidKey {
        /// Its name.
        name: String,
        /// Why.
        source: SecretError,
    },
}

/// Why a key's secret or public key can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SecretError {
    /// It is not URL-safe base64.
    #[error("not base64url")]
    NotBase64,
    /// It is not the public key of ES256.
    #[error("not a P-256 point")]
    NotP256Point,
    /// It is a secret that could be guessed.
    #[error("shorter than {min_bytes} bytes")]
    TooShort {
        /// The shortest secret of its algorithm.
        min_bytes: usize,
    },
    /// Its algorithm is not known.
    #[error("alg is not HMAC-SHA1, HMAC-SHA256, HS256 or ES256")]
    UnknownAlgorithm,
}

impl KeySet {
    /// Decodes the keys of a file.
    pub fn new(file: KeyFile) -> Result<KeySet, KeyError> {
        let clock_skew_s = file.skew_s.unwrap_or(DEFAULT_CLOCK_SKEW_S);
        if !(0.0..=MAX_CLOCK_SKEW_S).contains(&clock_skew_s) {
            return Err(KeyError::ClockSkew);
        }
        let keys = decode_keys(file.keys)?;
        if keys.is_empty() {
            return Err(KeyError::NoKeys);
        }
        Ok(KeySet {
            scheme: file.scheme.unwrap_or_else(|| "https".into()),
            audience: file.audience.unwrap_or_default(),
            keys,
            clock_skew: (clock_skew_s * 1e6) as Micros,
        })
    }

    /// The clock skew that is allowed, in microseconds.
    pub fn clock_skew(&self) -> Micros {
        self.clock_skew
    }
}

fn decode_keys(raw_keys: Vec<RawKey>) -> Result<BTreeMap<String, Key>, KeyError> {
    let mut keys = BTreeMap::new();
    for RawKey { name, alg, key, issuer } in raw_keys {
        let secret = Secret::decode(&alg, &key)
            .map_err(|source| KeyError::InvalidKey { name: name.clone(), source })?;
        if keys.insert(name.clone(), Key { secret, issuer }).is_some() {
            return Err(KeyError::DuplicateName { name });
        }
    }
    Ok(keys)
}

impl Secret {
    fn decode(algorithm: &str, text: &str) -> Result<Secret, SecretError> {
        let bytes = decode_base64url(text).ok_or(SecretError::NotBase64)?;
        if algorithm == "ES256" {
            let key = p256::ecdsa::VerifyingKey::from_sec1_bytes(&bytes);
            return Ok(Secret::TokenEs256(Box::new(key.map_err(|_| SecretError::NotP256Point)?)));
        }
        if bytes.len() < MIN_URL_SECRET_BYTES {
            return Err(SecretError::TooShort { min_bytes: MIN_URL_SECRET_BYTES });
        }
        match algorithm {
            "HS256" if bytes.len() < MIN_TOKEN_SECRET_BYTES => {
                Err(SecretError::TooShort { min_bytes: MIN_TOKEN_SECRET_BYTES })
            }
            "HMAC-SHA1" => Ok(Secret::UrlSha1(bytes)),
            "HMAC-SHA256" => Ok(Secret::UrlSha256(bytes)),
            "HS256" => Ok(Secret::TokenHs256(bytes)),
            _ => Err(SecretError::UnknownAlgorithm),
        }
    }
}
