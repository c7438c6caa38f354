//! Numbers derived from the names of objects and servers. They are the same on every machine and in every
//! build.

/// Returns the number by which the policy knows an object: the name itself if it consists of 16 hex digits,
/// otherwise a hash of the name.
pub fn object_number(name: &str) -> u64 {
    let is_hex = name.len() == 16 && name.bytes().all(|b| b.is_ascii_hexdigit());
    is_hex.then(|| u64::from_str_radix(name, 16).ok()).flatten().unwrap_or_else(|| hash(name))
}

/// Returns the number of a server: the one at the end of its name if that is 8 hex digits after a hyphen,
/// otherwise a hash of the name. With a number in the name, the policy's hashes place objects on the server
/// just as they do on a server of that number elsewhere.
pub fn server_number(name: &str) -> u32 {
    let suffix = name.rsplit_once('-').map(|(_, suffix)| suffix);
    let digits = suffix.filter(|s| s.len() == 8 && s.bytes().all(|b| b.is_ascii_hexdigit()));
    digits.and_then(|d| u32::from_str_radix(d, 16).ok()).unwrap_or_else(|| hash(name) as u32)
}

/// Returns the 64-bit FNV-1a hash of a text, finished by [`mix`].
fn hash(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    mix(text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME)))
}

/// Mixes all bits of a number (the finalizer of MurmurHash3). Different numbers give different results.
pub(super) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
