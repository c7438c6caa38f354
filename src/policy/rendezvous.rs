//! Rendezvous hashing: ranks the servers of a pool for an object.

use crate::policy::estimators::hash::{mix, unit_interval};
use crate::policy::types::{ObjectId, ServerId};

/// Number of servers of a pool considered for a request: the object's two parents or three caches, and the
/// next ones in hash order.
pub(super) const MAX_CANDIDATES: usize = 6;
/// Factor that raises the bound on scores by 0.001 % to cover its rounding errors.
const ROUNDING_MARGIN: f64 = 1.000_01;

/// A server and its weight in the hash: its capacity in concurrent transfers.
pub(super) struct WeightedServer {
    pub(super) id: ServerId,
    pub(super) weight: f64,
}

/// The running servers of one role (caches of the zone, or parents), sorted by id.
#[derive(Default)]
pub(super) struct ServerPool {
    servers: Vec<WeightedServer>,
    total_weight: f64,
    max_weight: f64,
}

impl ServerPool {
    /// Creates a pool. `servers` must be sorted by id.
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

    /// Returns the first servers of the pool in the object's hash order. Entries beyond the pool's size are
    /// undefined. The probability that a server comes first is proportional to its weight.
    ///
    /// Because `-ln u >= 1 - u`, a lower bound on the hash excludes nearly all servers without computing a
    /// logarithm.
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

/// An object's hash order over one pool, stored until the member list changes.
#[derive(Default)]
pub(super) struct HashOrder {
    candidates: [ServerId; MAX_CANDIDATES],
    list_version: u32,
}

impl HashOrder {
    /// Returns the object's first servers of the pool. `list_version` is the version of the member list from
    /// which the pool was built; the order is computed again when it changes.
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
