//! Verification of signed URLs and tokens. The tests issue them according to the public specifications.

use base64::engine::general_purpose::{URL_SAFE, URL_SAFE_NO_PAD};
use base64::Engine;
use foxhold::signed::{verify_credential, CredentialError, Grant, KeyFile, KeySet};
use hmac::{Hmac, KeyInit, Mac};
use p256::ecdsa::{signature::Signer, Signature, SigningKey};
use sha2::{Digest, Sha256};

const SECRET: &[u8] = b"0123456789abcdef0123456789abcdef";
const HOST: &str = "videos.example";
const NOW: u64 = 1_764_576_000;

fn signing_key() -> SigningKey {
    SigningKey::from_slice(&[7; 32]).expect("a key")
}

fn keys_with(skew: f64) -> KeySet {
    let (secret, rotated) = (URL_SAFE.encode(SECRET), URL_SAFE.encode(b"another-16-bytes"));
    let point = URL_SAFE_NO_PAD.encode(signing_key().verifying_key().to_sec1_point(false).as_bytes());
    let file = format!(
        r#"{{"skew_s":{skew},"audience":["cdn-a"],"keys":[
            {{"name":"u1","alg":"HMAC-SHA1","key":"{secret}"}},
            {{"name":"u2","alg":"HMAC-SHA256","key":"{rotated}"}},
            {{"name":"t1","alg":"HS256","key":"{secret}"}},
            {{"name":"t2","alg":"ES256","key":"{point}","issuer":"books"}}]}}"#
    );
    KeySet::new(miniserde::json::from_str::<KeyFile>(&file).expect("JSON")).expect("valid keys")
}

fn verify_at(target: &str, seconds: f64) -> Result<Grant, CredentialError> {
    verify_credential(&keys_with(5.0), HOST, target, (seconds * 1e6) as u64)
}

fn verify_now(target: &str) -> Result<Grant, CredentialError> {
    verify_at(target, NOW as f64)
}

fn signed_url(path: &str, expires: u64, name: &str) -> String {
    let separator = if path.contains('?') { '&' } else { '?' };
    let target = format!("{path}{separator}Expires={expires}&KeyName={name}");
    let mut mac = Hmac::<sha1::Sha1>::new_from_slice(SECRET).expect("a key");
    mac.update(format!("https://{HOST}{target}").as_bytes());
    format!("{target}&Signature={}", URL_SAFE.encode(mac.finalize().into_bytes()))
}

fn hs256_token(header: &str, claims: &str) -> String {
    let body = format!("{}.{}", URL_SAFE_NO_PAD.encode(header), URL_SAFE_NO_PAD.encode(claims));
    let mut mac = Hmac::<Sha256>::new_from_slice(SECRET).expect("a key");
    mac.update(body.as_bytes());
    format!("{body}.{}", URL_SAFE_NO_PAD.encode(mac.finalize().into_bytes()))
}

/// Returns a target whose token holds these claims and a URI container that matches any video.
fn target_with_token(claims: &str) -> String {
    let container = r#""cdniuc":"regex:https://videos\\.example/videos/[a-z0-9.]+(\\?block=[0-9]+)?""#;
    let token = hs256_token(r#"{"alg":"HS256","kid":"t1"}"#, &format!("{{{container}{claims}}}"));
    format!("/videos/guide.mp4?URISigningPackage={token}")
}

#[test]
fn a_signed_url_is_granted_and_its_credential_is_stripped() {
    let grant = verify_now(&signed_url("/videos/guide.mp4?block=3", NOW + 60, "u1")).expect("a grant");
    assert_eq!(grant.target, "/videos/guide.mp4?block=3");
    assert_eq!(grant.expires_at, Some((NOW + 65) * 1_000_000));
    assert_eq!(
        verify_now(&signed_url("/videos/guide.mp4", NOW + 60, "u1")).expect("a grant").target,
        "/videos/guide.mp4"
    );
}

#[test]
fn a_signature_is_valid_with_and_without_padding() {
    let unsigned = "/videos/guide.mp4?Expires=1764576060&KeyName=u1&Signature=";
    let mut mac = Hmac::<sha1::Sha1>::new_from_slice(SECRET).expect("a key");
    mac.update(b"https://videos.example/videos/guide.mp4?Expires=1764576060&KeyName=u1");
    let padded = URL_SAFE.encode(mac.finalize().into_bytes());
    assert!(padded.ends_with('='));
    assert!(verify_now(&format!("{unsigned}{padded}")).is_ok());
    assert!(
        verify_now(&format!("{unsigned}{}", padded.trim_end_matches('='))).is_ok(),
        "without padding too"
    );
}

#[test]
fn any_octet_that_differs_invalidates_the_signature() {
    let valid = signed_url("/videos/guide.mp4?block=3", NOW + 60, "u1");
    let cases = [
        valid.replace("guide", "other"),
        valid.replace("guide", "%67uide"),
        valid.replace("block=3", "block=4"),
        valid.replace(&format!("{}", NOW + 60), &format!("{}", NOW + 6000)),
        valid.replace("KeyName=u1", "KeyName=u2"),
        valid.replace("KeyName=u1", "KeyName=gone"),
        valid.replace("KeyName=u1", "KeyName=t1"),
    ];
    for target in cases {
        assert_eq!(verify_now(&target), Err(CredentialError::InvalidSignature), "{target}");
    }
    assert_eq!(
        verify_credential(&keys_with(5.0), "other.example", &valid, NOW * 1_000_000),
        Err(CredentialError::InvalidSignature)
    );
}

#[test]
fn missing_repeated_and_unreadable_credentials_are_malformed() {
    let valid = signed_url("/videos/guide.mp4", NOW + 60, "u1");
    let cases = [
        "/videos/guide.mp4".to_owned(),
        valid.replace("?Expires", "?Expires=1&Expires"),
        format!("{valid}&KeyName=u1"),
        format!("{valid}&block=3"),
        format!("{valid}&Signature"),
        valid.replace(&format!("Expires={}", NOW + 60), "Expires=soon"),
        valid.replace("&KeyName=u1", ""),
        valid.replace("Signature=", "Signature=*"),
        format!("{valid}&URISigningPackage=a.b.c"),
        format!("https://{HOST}{valid}"),
    ];
    for target in cases {
        assert_eq!(verify_now(&target), Err(CredentialError::Malformed), "{target}");
    }
}

#[test]
fn clock_skew_extends_the_validity_at_both_ends_by_exactly_the_skew() {
    let url = signed_url("/videos/guide.mp4", NOW, "u1");
    assert!(verify_at(&url, NOW as f64 + 4.999_999).is_ok());
    assert_eq!(verify_at(&url, NOW as f64 + 5.0), Err(CredentialError::Expired));
    let token = target_with_token(&format!(r#","nbf":{NOW},"exp":{}"#, NOW + 10));
    assert_eq!(verify_at(&token, NOW as f64 - 5.000_001), Err(CredentialError::NotYetValid));
    assert!(verify_at(&token, NOW as f64 - 5.0).is_ok());
    assert!(verify_at(&token, NOW as f64 + 14.999_999).is_ok());
    assert_eq!(verify_at(&token, NOW as f64 + 15.0), Err(CredentialError::Expired));
    assert_eq!(
        verify_credential(&keys_with(0.0), HOST, &url, NOW * 1_000_000),
        Err(CredentialError::Expired),
        "expired at once without skew"
    );
}

#[test]
fn a_token_is_granted_in_the_query_and_in_the_path_and_is_stripped() {
    assert_eq!(
        verify_now(&target_with_token("")).expect("a grant"),
        Grant { target: "/videos/guide.mp4".into(), expires_at: None }
    );
    let token = target_with_token("");
    let package = token.split_once('?').expect("a query").1;
    for (target, stripped) in [
        (format!("/videos/guide.mp4?{package}&block=3"), "/videos/guide.mp4?block=3"),
        (format!("/videos/guide.mp4?block=3&{package}"), "/videos/guide.mp4?block=3"),
        (format!("/videos/guide.mp4;{package}?block=3"), "/videos/guide.mp4?block=3"),
    ] {
        assert_eq!(verify_now(&target).expect("a grant").target, stripped);
    }
    assert_eq!(
        verify_now(&format!("/videos/guide.mp4?{package}&{package}")),
        Err(CredentialError::Malformed)
    );
}

#[test]
fn a_token_for_another_uri_is_denied() {
    assert_eq!(
        verify_now(&target_with_token("").replace("guide", "GUIDE")),
        Err(CredentialError::InvalidSignature)
    );
    let hash = URL_SAFE_NO_PAD.encode(Sha256::digest("https://videos.example/videos/a?block=1"));
    let token =
        hs256_token(r#"{"alg":"HS256","kid":"t1"}"#, &format!(r#"{{"cdniuc":"hash:sha-256;{hash}"}}"#));
    assert!(verify_now(&format!("/videos/a?block=1&URISigningPackage={token}")).is_ok());
    assert_eq!(
        verify_now(&format!("/videos/a?block=2&URISigningPackage={token}")),
        Err(CredentialError::InvalidSignature)
    );
    // A pattern must match the complete URI, not a part of it.
    let partial = hs256_token(r#"{"alg":"HS256","kid":"t1"}"#, r#"{"cdniuc":"regex:videos/a"}"#);
    assert_eq!(
        verify_now(&format!("/videos/a?URISigningPackage={partial}")),
        Err(CredentialError::InvalidSignature)
    );
}

#[test]
fn the_algorithm_is_that_of_the_key_whatever_the_token_says() {
    let claims = r#"{"cdniuc":"regex:.*"}"#;
    let target = |token: String| format!("/videos/a?URISigningPackage={token}");
    let without_signature =
        format!("{}.{}.", URL_SAFE_NO_PAD.encode(r#"{"alg":"none"}"#), URL_SAFE_NO_PAD.encode(claims));
    let verify_with_header = |text: &str| verify_now(&target(hs256_token(text, claims)));
    assert_eq!(verify_now(&target(without_signature)), Err(CredentialError::InvalidSignature));
    assert_eq!(verify_with_header(r#"{"alg":"none","kid":"t1"}"#), Err(CredentialError::InvalidSignature));
    assert_eq!(verify_with_header(r#"{"alg":"HS512","kid":"t1"}"#), Err(CredentialError::InvalidSignature));
    assert_eq!(
        verify_with_header(r#"{"alg":"HS256","kid":"t2"}"#),
        Err(CredentialError::InvalidSignature),
        "a public key must not be used as a secret"
    );
    assert_eq!(
        verify_with_header(r#"{"alg":"HS256","kid":"u1"}"#),
        Err(CredentialError::InvalidSignature),
        "the key is for URLs only"
    );
    assert_eq!(
        verify_with_header(r#"{"alg":"HS256"}"#),
        Err(CredentialError::InvalidSignature),
        "no key name, and more than one key"
    );
    assert_eq!(
        verify_with_header(r#"{"alg":"HS256","kid":"t1","crit":["b64"]}"#),
        Err(CredentialError::Malformed)
    );
    assert!(verify_with_header(r#"{"alg":"HS256","kid":"t1"}"#).is_ok());
    let valid = hs256_token(r#"{"alg":"HS256","kid":"t1"}"#, claims);
    let (body, _) = valid.rsplit_once('.').expect("a signature");
    assert_eq!(verify_now(&target(format!("{body}.AAAA"))), Err(CredentialError::InvalidSignature));
}

#[test]
fn an_ecdsa_signature_and_its_issuer_are_verified() {
    let token = |claims: &str| {
        let header = URL_SAFE_NO_PAD.encode(r#"{"alg":"ES256","kid":"t2"}"#);
        let body = format!("{header}.{}", URL_SAFE_NO_PAD.encode(claims));
        let signature: Signature = signing_key().sign(body.as_bytes());
        format!("/videos/a?URISigningPackage={body}.{}", URL_SAFE_NO_PAD.encode(signature.to_bytes()))
    };
    assert!(verify_now(&token(r#"{"iss":"books","cdniuc":"regex:.*"}"#)).is_ok());
    assert_eq!(
        verify_now(&token(r#"{"iss":"others","cdniuc":"regex:.*"}"#)),
        Err(CredentialError::InvalidSignature)
    );
    assert_eq!(verify_now(&token(r#"{"cdniuc":"regex:.*"}"#)), Err(CredentialError::InvalidSignature));
}

#[test]
fn a_token_with_an_unsupported_restricting_claim_is_denied() {
    for valid in
        [r#","x":1"#, r#","cdniv":1"#, r#","exp":9999999999,"cdnicrit":"exp,cdniuc""#, r#","aud":"cdn-a""#]
    {
        assert!(verify_now(&target_with_token(valid)).is_ok(), "{valid}");
    }
    for invalid in [
        r#","x":1,"cdnicrit":"x""#,
        r#","cdnicrit":"exp""#,
        r#","cdnicrit":"""#,
        r#","cdniv":2"#,
        r#","cdniip":"a""#,
        r#","exp":"soon""#,
        r#","nbf":true"#,
    ] {
        assert_eq!(verify_now(&target_with_token(invalid)), Err(CredentialError::Malformed), "{invalid}");
    }
    assert_eq!(verify_now(&target_with_token(r#","aud":["cdn-b"]"#)), Err(CredentialError::InvalidSignature));
    let without_container = hs256_token(r#"{"alg":"HS256","kid":"t1"}"#, "{}");
    assert_eq!(
        verify_now(&format!("/videos/a?URISigningPackage={without_container}")),
        Err(CredentialError::Malformed),
        "no URI container"
    );
}

#[test]
fn errors_for_unusable_keys_name_them_without_their_content() {
    let error = |file: &str| {
        let file = miniserde::json::from_str(file).expect("JSON");
        KeySet::new(file).expect_err("invalid keys").to_string()
    };
    let key =
        |alg: &str, key: &str| error(&format!(r#"{{"keys":[{{"name":"k","alg":"{alg}","key":"{key}"}}]}}"#));
    assert_eq!(key("HS256", "c2hvcnQ"), "key 'k': secret too short, expected at least 16 bytes");
    assert_eq!(
        key("HS256", "MDEyMzQ1Njc4OWFiY2RlZg"),
        "key 'k': secret too short, expected at least 32 bytes"
    );
    assert_eq!(key("ES256", "c2hvcnQ"), "key 'k': invalid public key, expected a P-256 point in SEC1 form");
    assert!(key("none", "MDEyMzQ1Njc4OWFiY2RlZg").contains("alg"));
    assert_eq!(error(r#"{"skew_s":61,"keys":[]}"#), "skew_s: out of range, expected 0 to 60 seconds");
    assert_eq!(error(r#"{"keys":[]}"#), "keys: list is empty, expected at least one key");
    assert!(!format!("{:?}", keys_with(5.0)).contains(&URL_SAFE.encode(SECRET)));
}
