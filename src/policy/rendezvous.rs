//! Rendezvous hashing: the order in which an object prefers the servers of a pool.

use crate::policy::estimators::hash::{mix, unit_interval};
use crate::policy::types::{ObjectId, ServerId};

/// Servers of a pool considered for a request: the object's own two or three, and the next in hash order.
pub(super) const MAX_CANDIDATES: usize = 6;
/// Raises the bound on scores by a hundredth of a thousandth, for the rounding errors in it.
const ROUNDING_MARGIN: f64 = 1.000_01;

/// A server with its weight in the hash, which is its capacity in transfers.
pub(super) struct WeightedServer {
    pub(super) id: ServerId,
    pub(super) weight: f64,
}

/// The running servers of one role, in the order of their ids.
#[derive(Default)]
pub(super) struct ServerPool {
    servers: Vec<WeightedServer>,
    total_weight: f64,
    max_weight: f64,
}

impl ServerPool {
    /// A pool of servers that are sorted by id.
    pub(super) fn new(servers: Vec<WeightedServer>) -> Self {
        let total_weight = servers.iter().map(|s| s.weight).sum();
        let max_weight = servers.iter().map(|s| s.weight).fold(0.0, f64::max);
        ServerPool { servers, total_weight, max_weight }
    }

    pub(super) fn contains(&self, id: ServerId) -> bool {
        self.servers.binary_search_by_key(&id, |s| s.id).is_ok()
    }

    pub(super) fn total_weight(&self) -> f64 {
        self.total_weight
    }

    /// The first servers of the pool in the object's hash order; places past the pool's size are undefined.
    /// A server's chance to come first is proportional to its weight. As -ln u >= 1 - u, comparing one hash
    /// with a bound shows for nearly all servers that they are not among the first.
    fn first_candidates(&self, object: ObjectId) -> [ServerId; MAX_CANDIDATES] {
        let mut best = [(0.0, ServerId(0)); MAX_CANDIDATES];
        let mut min_hash = 0;
        for server in &self.servers {
            let hash = mix(object.0, u64::from(server.id.0));
            if hash < min_hash {
                continue;
            }
            let score = server.weight / -unit_interval(hash).max(1e-18).ln();
            let place = best.partition_point(|b| b.0 >= score);
            if place < MAX_CANDIDATES {
                best[place..].rotate_right(1);
                best[place] = (score, server.id);
                let lowest_score = best[MAX_CANDIDATES - 1].0;
                let bound = 1.0 - ROUNDING_MARGIN * self.max_weight / lowest_score;
                min_hash = (bound.max(0.0) * u64::MAX as f64) as u64;
            }
        }
        best.map(|b| b.1)
    }
}

/// An object's hash order over one pool, remembered until the member list changes.
#[derive(Default)]
pub(super) struct HashOrder {
    candidates: [ServerId; MAX_CANDIDATES],
    list_version: u32,
}

impl HashOrder {
    /// The object's first servers of the pool, which belongs to this version of the member list.
    pub(super) fn candidates(
        &mut self,
        object: ObjectId,
        pool: &ServerPool,
        list_version: u32,
    ) -> Vec<ServerId> {
        if std::mem::replace(&mut self.list_version, list_version) != list_version {
            self.candidates = pool.first_candidates(object);
        }
        self.candidates[..pool.servers.len().min(MAX_CANDIDATES)].to_vec()
    }
}
