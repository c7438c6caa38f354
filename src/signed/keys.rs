//! The keys that verify credentials, decoded from the key file and indexed by name.

use crate::policy::types::Micros;
use base64::alphabet::URL_SAFE;
use base64::engine::{DecodePaddingMode, GeneralPurpose, GeneralPurposeConfig};
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use miniserde::Deserialize;
use p256::ecdsa::signature::Verifier;
use std::collections::BTreeMap;

/// Maximum clock skew that can be configured, in seconds. A larger value would extend the validity of
/// credentials instead of compensating for inaccurate clocks.
pub const MAX_CLOCK_SKEW_S: f64 = 60.0;
/// Clock skew if none is configured, in seconds.
const DEFAULT_CLOCK_SKEW_S: f64 = 5.0;
/// Minimum length of a secret for signed URLs, in bytes. Signed URLs are issued with 128-bit keys.
const MIN_URL_SECRET_BYTES: usize = 16;
/// Minimum length of a secret for tokens, in bytes. RFC 7518 (3.2) requires at least the length of the hash.
const MIN_TOKEN_SECRET_BYTES: usize = 32;

/// URL-safe base64. Padding is optional because only some issuers send it.
const BASE64URL: GeneralPurpose = GeneralPurpose::new(
    &URL_SAFE,
    GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent),
);

/// Decodes URL-safe base64 with or without padding. Returns `None` if the text is invalid.
pub(super) fn decode_base64url(text: &str) -> Option<Vec<u8>> {
    BASE64URL.decode(text).ok()
}

/// The JSON content of the key file, which configures how credentials are verified.
#[derive(Deserialize)]
pub struct KeyFile {
    /// URL scheme that issuers sign, default `https`. Configured because a proxy in front may terminate TLS.
    scheme: Option<String>,
    /// Allowed clock skew in seconds.
    skew_s: Option<f64>,
    /// Names of this network. A token with an `aud` claim must contain one of them.
    audience: Option<Vec<String>>,
    keys: Vec<RawKey>,
}

#[derive(Deserialize)]
struct RawKey {
    name: String,
    /// `HMAC-SHA1` or `HMAC-SHA256` for signed URLs, `HS256` or `ES256` for tokens.
    alg: String,
    /// The secret in base64url, or for ES256 the public key as a point in SEC1 form, also in base64url.
    key: String,
    /// Required value of the `iss` claim in tokens signed with this key. Without it any issuer is accepted.
    issuer: Option<String>,
}

/// A secret or public key together with its algorithm.
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
    /// Returns the required `alg` of tokens signed with this key. Returns `None` for keys of signed URLs.
    pub(super) fn token_alg(&self) -> Option<&'static str> {
        match self.secret {
            Secret::TokenHs256(_) => Some("HS256"),
            Secret::TokenEs256(_) => Some("ES256"),
            Secret::UrlSha1(_) | Secret::UrlSha256(_) => None,
        }
    }

    /// Returns whether the signature over the message is valid. MACs are compared in constant time.
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

/// The keys that verify credentials, indexed by name, and the settings from the key file.
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

/// Error of a key file. The text contains the name of the key, never its content.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The file is not valid JSON, or a field is missing or has the wrong type.
    #[error(
        "not a JSON key file, expected an object with 'keys', a list of objects with 'name', 'alg' and 'key'"
    )]
    NotJson,
    /// The clock skew is out of range.
    #[error("skew_s: out of range, expected 0 to {MAX_CLOCK_SKEW_S} seconds")]
    ClockSkew,
    /// The list of keys is empty.
    #[error("keys: list is empty, expected at least one key")]
    NoKeys,
    /// Two keys have the same name.
    #[error("key '{name}': defined more than once, expected unique names")]
    DuplicateName {
        /// The name that occurs more than once.
        name: String,
    },
    /// A key cannot be used.
    #[error("key '{name}': {source}")]
    InvalidKey {
        /// Name of the unusable key.
        name: String,
        /// The reason.
        source: SecretError,
    },
}

/// Reason for which a secret or public key cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SecretError {
    /// The text is not URL-safe base64.
    #[error("invalid encoding, expected base64url")]
    NotBase64,
    /// The bytes are not a public key for ES256.
    #[error("invalid public key, expected a P-256 point in SEC1 form")]
    NotP256Point,
    /// The secret is so short that it could be guessed.
    #[error("secret too short, expected at least {min_bytes} bytes")]
    TooShort {
        /// Minimum length of a secret for the algorithm, in bytes.
        min_bytes: usize,
    },
    /// The algorithm is not supported.
    #[error("unknown alg, expected HMAC-SHA1, HMAC-SHA256, HS256 or ES256")]
    UnknownAlgorithm,
}

impl KeySet {
    /// Validates the settings of a key file and decodes its keys.
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

    /// Returns the allowed clock skew in microseconds.
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
