//! Rendezvous hashing: the order in which an object prefers servers.

use crate::policy::estimators::hash::{mix, unit_interval};
use crate::policy::types::{ObjectId, ServerId};

/// Servers of a role looked at for a request: an object's own two or three and the next in the hash.
pub(super) const FEW: usize = 6;

/// The first few servers of a role in an object's hash order (rendezvous; a larger server wins in proportion
/// to its size). As -ln u >= 1 - u, one compared number tells of nearly all that they can't be among these.
pub(super) fn first_few(object: ObjectId, role: &[(ServerId, f64)], largest: f64) -> [ServerId; FEW] {
    let (mut best, mut least) = ([(0.0, ServerId(0)); FEW], 0);
    for (id, size) in role {
        let hash = mix(object.0, u64::from(id.0));
        if hash < least {
            continue;
        }
        let score = size / -unit_interval(hash).max(1e-18).ln();
        let place = best.partition_point(|b| b.0 >= score);
        if place < FEW {
            best[place..].rotate_right(1);
            best[place] = (score, *id);
            // A hundredth of a thousandth less, for the rounding of all this.
            least = ((1.0 - 1.000_01 * largest / best[FEW - 1].0).max(0.0) * u64::MAX as f64) as u64;
        }
    }
    best.map(|b| b.1)
}
