//! Keys by name, decoded from the operators' file.

use base64::alphabet::URL_SAFE;
use base64::engine::{DecodePaddingMode, GeneralPurpose, GeneralPurposeConfig};
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use miniserde::Deserialize;
use p256::ecdsa::signature::Verifier;
use std::collections::BTreeMap;

/// The widest skew that may be set, in seconds: more would be a longer validity, not a clock that is off.
pub const MAX_CLOCK_SKEW_S: f64 = 60.0;
/// Seconds of skew where none is set.
const USUAL_SKEW: f64 = 5.0;
/// The shortest secrets, in bytes: signed URLs are issued with 128-bit keys; RFC 7518 (3.2) asks that a
/// token's be as long as its hash.
const SHORTEST_URL_SECRET: usize = 16;
const SHORTEST_TOKEN_SECRET: usize = 32;

/// URL-safe base64, with padding or without; issuers differ in that.
const BASE64URL: GeneralPurpose = GeneralPurpose::new(
    &URL_SAFE,
    GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent),
);

/// Decodes URL-safe base64.
pub(super) fn decode_base64url(text: &str) -> Option<Vec<u8>> {
    BASE64URL.decode(text).ok()
}

/// The part of the operators' file that tells how credentials are checked.
#[derive(Deserialize)]
pub struct KeyFile {
    /// `https` unless told otherwise: the scheme of the signed URLs; a proxy before this may have ended TLS.
    scheme: Option<String>,
    /// Seconds that clocks may differ.
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

/// What a key verifies with.
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
            Secret::UrlSha1(key) => mac::<Hmac<sha1::Sha1>>(key, message, signature),
            Secret::UrlSha256(key) | Secret::TokenHs256(key) => {
                mac::<Hmac<sha2::Sha256>>(key, message, signature)
            }
            Secret::TokenEs256(key) => p256::ecdsa::Signature::from_slice(signature)
                .is_ok_and(|signature| key.verify(message, &signature).is_ok()),
        }
    }
}

fn mac<M: Mac + KeyInit>(key: &[u8], message: &[u8], signature: &[u8]) -> bool {
    let Ok(mut mac) = <M as KeyInit>::new_from_slice(key) else { return false };
    mac.update(message);
    mac.verify_slice(signature).is_ok()
}

/// How credentials are checked: the keys, by name, and the skew that clocks are allowed.
pub struct KeySet {
    pub(super) scheme: String,
    pub(super) audience: Vec<String>,
    pub(super) keys: BTreeMap<String, Key>,
    skew: u64,
}

impl std::fmt::Debug for KeySet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Keys").field("names", &self.keys.keys()).finish_non_exhaustive()
    }
}

impl KeySet {
    /// Turns the file's part into keys; the error names the key, never its content.
    pub fn new(file: KeyFile) -> Result<KeySet, String> {
        let skew = file.skew_s.unwrap_or(USUAL_SKEW);
        if !(0.0..=MAX_CLOCK_SKEW_S).contains(&skew) {
            return Err(format!("skew_s: not from 0 to {MAX_CLOCK_SKEW_S}"));
        }
        let mut keys = BTreeMap::new();
        for raw in file.keys {
            let secret = Self::secret(&raw.alg, &raw.key).map_err(|e| format!("key '{}': {e}", raw.name))?;
            let key = Key { secret, issuer: raw.issuer };
            if keys.insert(raw.name.clone(), key).is_some() {
                return Err(format!("key '{}': named twice", raw.name));
            }
        }
        if keys.is_empty() {
            return Err("keys: none".into());
        }
        Ok(KeySet {
            scheme: file.scheme.unwrap_or_else(|| "https".into()),
            audience: file.audience.unwrap_or_default(),
            keys,
            skew: (skew * 1e6) as u64,
        })
    }

    /// The skew in microseconds.
    pub fn clock_skew(&self) -> u64 {
        self.skew
    }

    fn secret(alg: &str, text: &str) -> Result<Secret, &'static str> {
        let bytes = decode_base64url(text).ok_or("not base64url")?;
        if alg == "ES256" {
            let key = p256::ecdsa::VerifyingKey::from_sec1_bytes(&bytes).map_err(|_| "not a P-256 point")?;
            return Ok(Secret::TokenEs256(Box::new(key)));
        }
        if bytes.len() < SHORTEST_URL_SECRET {
            return Err("shorter than 16 bytes");
        }
        match alg {
            "HS256" if bytes.len() < SHORTEST_TOKEN_SECRET => Err("shorter than 32 bytes"),
            "HMAC-SHA1" => Ok(Secret::UrlSha1(bytes)),
            "HMAC-SHA256" => Ok(Secret::UrlSha256(bytes)),
            "HS256" => Ok(Secret::TokenHs256(bytes)),
            _ => Err("alg is not HMAC-SHA1, HMAC-SHA256, HS256 or ES256"),
        }
    }
}
