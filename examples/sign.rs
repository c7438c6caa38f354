//! Signs a path with the key of `examples/keys.json`. The link is valid for an hour:
//! `cargo run --example sign -- /guide-videos/one.mp4`.

use base64::engine::general_purpose::URL_SAFE;
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use std::time::{SystemTime, UNIX_EPOCH};

/// The secret of `examples/keys.json`, which is public.
const SECRET: &[u8] = b"not a real secret";
const VALIDITY_S: u64 = 3600;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("{}", link(&std::env::args().nth(1).ok_or("usage: sign PATH")?)?);
    Ok(())
}

/// Returns the signed URL of a path in the example deployment.
pub fn link(path: &str) -> Result<String, Box<dyn std::error::Error>> {
    let expires = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs() + VALIDITY_S;
    let separator = if path.contains('?') { '&' } else { '?' };
    let url = format!("http://127.0.0.1:7101{path}{separator}Expires={expires}&KeyName=example");
    let mut mac = Hmac::<sha1::Sha1>::new_from_slice(SECRET)?;
    mac.update(url.as_bytes());
    Ok(format!("{url}&Signature={}", URL_SAFE.encode(mac.finalize().into_bytes())))
}
