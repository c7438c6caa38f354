//! A hash function that gives the same values in every director.

/// Hashes two numbers with the finalizer of splitmix64, which distributes the values evenly.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for k in [0xbf58_476d_1ce4_e5b9_u64, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 29)).wrapping_mul(k);
    }
    x ^ (x >> 32)
}

/// Maps a hash to a number in [0, 1), preserving the order of hashes.
pub fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
