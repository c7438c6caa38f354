//! A site to simulate: its servers, classes of requests, load and slow-start rule.

use crate::common;
use foxhold::*;

pub const SECOND: Micros = 1_000_000;
/// Ids of the caches; the last one joins later in runs that test caches.
pub const CACHES: std::ops::RangeInclusive<u32> = 1..=4;
/// Ids of the parents; the last one joins later in runs that test parents.
pub const PARENTS: std::ops::RangeInclusive<u32> = 11..=14;

/// The role of the servers under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Cache,
    Parent,
}

/// A class of requests: its share, and the mean transfer time of a request in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct ClassMix {
    pub share: f64,
    pub transfer_time: f64,
    pub write: bool,
}

/// The parameters of a simulated site: its routers, servers, classes and load.
#[derive(Clone, Debug)]
pub struct Site {
    pub role: Role,
    pub routers: u32,
    pub classes: Vec<ClassMix>,
    pub rule: SlowStartRule,
    /// The capacity of each server of the tested role, in transfers at full rate.
    pub size: f64,
    /// The load of such a server, relative to its capacity.
    pub load: f64,
    /// Share of requests that are hits.
    pub hit_ratio: f64,
    /// Whether routers know when servers started; if not, they apply no slow start.
    pub starts_known: bool,
    pub direct_requests: bool,
    pub seed: u64,
}

impl Site {
    /// Returns the mean transfer time, in microseconds, of the requests that a server of the tested role may
    /// receive.
    pub fn mean_transfer_time(&self) -> f64 {
        let is_tested = |c: &&ClassMix| !c.write || (self.role == Role::Cache && !self.direct_requests);
        let classes: Vec<&ClassMix> = self.classes.iter().filter(is_tested).collect();
        let share: f64 = classes.iter().map(|c| c.share).sum();
        classes.iter().map(|c| c.share * c.transfer_time).sum::<f64>() / share
    }

    /// Returns the site with servers of a size that allows `allowed_requests` mean requests in a window at
    /// their start.
    pub fn sized(self, allowed_requests: f64) -> Site {
        let budget_of_unit_size =
            self.rule.initial_capacity_share * self.rule.overload_multiple * self.rule.overload_window as f64;
        Site { size: allowed_requests * self.mean_transfer_time() / budget_of_unit_size, ..self }
    }

    /// Returns the requests per second to all routers that put the site's load on the servers of the tested
    /// role.
    pub fn requests_per_second(&self) -> f64 {
        let is_tested = |c: &&ClassMix| !c.write || (self.role == Role::Cache && !self.direct_requests);
        let received_share: f64 = self.classes.iter().filter(is_tested).map(|c| c.share).sum();
        let servers = 3.0;
        let miss_share = if self.role == Role::Parent { 1.0 - self.hit_ratio } else { 1.0 };
        servers * self.load * self.size * 1e6 / (self.mean_transfer_time() * received_share * miss_share)
    }

    /// Returns the settings that all routers use.
    pub fn settings(&self) -> Settings {
        let class = |mix: &ClassMix| Class {
            write: mix.write,
            objective_stretch: 2.0,
            deadline: 3 * SECOND,
            ..common::class(if mix.write {
                Idempotency::IdempotencyKey { scope: KeyScope::All, window: 5 * SECOND }
            } else {
                Idempotency::Idempotent
            })
        };
        Settings {
            classes: self.classes.iter().map(class).collect(),
            routers: self.routers,
            routers_by_zone: vec![0, 0, self.routers, 0],
            cache_slow_start: self.rule,
            parent_slow_start: self.rule,
            direct_requests: self.direct_requests,
            health_checks: true,
            ..common::settings()
        }
    }

    /// Returns the member entry of a server that started long ago.
    pub fn member(&self, id: u32) -> Member {
        let tested = match self.role {
            Role::Cache => CACHES.contains(&id),
            Role::Parent => PARENTS.contains(&id),
        };
        let size = if tested { self.size } else { self.size * 50.0 };
        Member { size, ..common::running_member(id) }
    }

    /// Returns the ids of the server that restarts and of the server that joins.
    pub fn warming_ids(&self) -> [u32; 2] {
        match self.role {
            Role::Cache => [1, 4],
            Role::Parent => [11, 14],
        }
    }
}
