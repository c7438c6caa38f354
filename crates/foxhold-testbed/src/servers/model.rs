//! The model of an emulated server, without clock or I/O: a link shared among transfers, a cache ordered by
//! rank and recency, slow start, and failure by overload.
//!
//! Times are in seconds and sizes in KB. Work is the seconds that one transfer takes at full speed.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The kind of an emulated server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Fills misses from the source that the request names, and keeps copies at the rank that it gives.
    Cache,
    /// Fills misses from the origin, and keeps everything that it fetches.
    Parent,
    /// Holds every object.
    Origin,
}

impl Role {
    /// Returns the name of the kind in the member list.
    pub fn kind(self) -> &'static str {
        match self {
            Role::Cache => "cache",
            Role::Parent => "parent",
            Role::Origin => "origin",
        }
    }
}

/// The capacity of one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerSpec {
    /// Decides how misses are handled and what an overload does.
    pub role: Role,
    /// Capacity of its link, in concurrent transfers at full speed.
    pub link: f64,
    /// Speed of one transfer at full speed, in KB per second; 0: transfers take no time.
    pub flow: f64,
    /// Maximum number of requests in flight; further requests are refused.
    pub slots: usize,
    /// Maximum number of fills in flight; further fills are refused with the note `fills_full`.
    pub fills: usize,
    /// Capacity of its cache, in KB.
    pub memory: f64,
    /// Seconds from a request to the first byte of its response.
    pub before: f64,
    /// Share of the link's capacity at a cold start, from 0 to 1.
    pub floor: f64,
    /// Seconds from a cold start until the link has its full capacity.
    pub warm: f64,
    /// A server that receives more than this multiple of its capacity within `window` seconds fails by
    /// overload: a cache or parent crashes, and the origin fails requests for `stop` seconds.
    pub multiple: f64,
    /// Length in seconds of the window over which work is summed.
    pub window: f64,
    /// Seconds for which an overloaded origin fails requests. Not used for caches and parents, which stay
    /// down.
    pub stop: f64,
}

impl ServerSpec {
    /// Returns a server that responds without delay, can hold every object and never fails by overload.
    pub fn instant(role: Role) -> ServerSpec {
        let most = 1e9;
        ServerSpec {
            role,
            link: most,
            flow: 0.0,
            slots: usize::MAX,
            fills: usize::MAX,
            memory: 1e18,
            before: 0.0,
            floor: 1.0,
            warm: 1.0,
            multiple: 1e18,
            window: 3.0,
            stop: 0.0,
        }
    }

    /// Returns the seconds that a transfer of `kb` takes at full speed.
    pub fn work(&self, kb: f64) -> f64 {
        if self.flow > 0.0 {
            kb / self.flow
        } else {
            0.0
        }
    }

    /// Returns the share of the link's capacity that is available `age` seconds after a cold start. `None`
    /// means that the server did not start cold.
    pub fn warmth(&self, age: Option<f64>) -> f64 {
        age.map_or(1.0, |age| (self.floor + (1.0 - self.floor) * age / self.warm).clamp(self.floor, 1.0))
    }
}

/// A link that all transfers share equally, none above full speed (processor sharing). It is kept in virtual
/// time: a transfer of work `w` that begins at virtual time `v` ends at `v + w`.
#[derive(Debug, Default)]
pub struct Link {
    virtual_now: f64,
    at: f64,
    ends: BTreeMap<(u64, u64), u64>,
    next: u64,
}

impl Link {
    /// Returns the speed of each transfer as a share of full speed, on a link that carries `carries`
    /// transfers at full speed.
    fn pace(&self, carries: f64) -> f64 {
        (carries / self.ends.len().max(1) as f64).min(1.0)
    }

    /// Advances to `now`; `carries` is the link's capacity since the last call.
    pub fn advance(&mut self, now: f64, carries: f64) {
        self.virtual_now += (now - self.at).max(0.0) * self.pace(carries);
        self.at = self.at.max(now);
    }

    /// Starts a transfer and returns its number.
    pub fn begin(&mut self, work: f64) -> u64 {
        self.next += 1;
        // The bits of non-negative floats sort like the floats.
        self.ends.insert(((self.virtual_now + work.max(0.0)).to_bits(), self.next), self.next);
        self.next
    }

    /// Cancels a transfer.
    pub fn cancel(&mut self, number: u64) {
        self.ends.retain(|_, n| *n != number);
    }

    /// Removes the transfers that have ended by now and returns their numbers.
    pub fn ended(&mut self) -> Vec<u64> {
        let still = self.ends.split_off(&((self.virtual_now + 1e-9).to_bits(), u64::MAX));
        std::mem::replace(&mut self.ends, still).into_values().collect()
    }

    /// Returns the seconds until the next transfer ends if the link's capacity does not change, or `None`
    /// without transfers.
    pub fn next_end(&self, carries: f64) -> Option<f64> {
        let ((end, _), _) = self.ends.first_key_value()?;
        Some((f64::from_bits(*end) - self.virtual_now).max(0.0) / self.pace(carries).max(1e-9))
    }

    /// Returns the number of transfers in flight.
    pub fn under_way(&self) -> usize {
        self.ends.len()
    }
}

/// A copy of an object's part in a server's cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedCopy {
    /// Unix milliseconds at which the origin sent it.
    pub minted: u64,
    kb: f64,
    rank: u8,
    used: u64,
}

/// Identifies a copy: its object and part.
pub type Key = (String, String);

/// A server's cache. Evicts the lowest rank first, and within a rank the least recently used copy.
#[derive(Debug, Default)]
pub struct CacheMemory {
    copies: HashMap<Key, CachedCopy>,
    order: BTreeMap<(u8, u64), Key>,
    kb: f64,
    clock: u64,
}

impl CacheMemory {
    /// Returns the copy and marks it as used. A `rank` above 0 replaces its rank.
    pub fn get(&mut self, key: &Key, rank: u8) -> Option<CachedCopy> {
        let held = self.copies.get_mut(key)?;
        self.clock += 1;
        self.order.remove(&(held.rank, held.used));
        held.used = self.clock;
        held.rank = if rank > 0 { rank } else { held.rank };
        self.order.insert((held.rank, held.used), key.clone());
        Some(*held)
    }

    /// Stores a copy, evicting copies of its rank and below if needed. Returns `false` if that does not free
    /// enough memory; the copy is not stored then.
    pub fn keep(&mut self, key: Key, kb: f64, rank: u8, minted: u64, memory: f64) -> bool {
        self.drop_copy(&key);
        while self.kb + kb > memory {
            match self.order.first_key_value() {
                Some(((lowest, _), first)) if *lowest <= rank => {
                    let first = first.clone();
                    self.drop_copy(&first);
                }
                _ => return false,
            }
        }
        self.clock += 1;
        self.kb += kb;
        self.order.insert((rank, self.clock), key.clone());
        self.copies.insert(key, CachedCopy { minted, kb, rank, used: self.clock });
        true
    }

    fn drop_copy(&mut self, key: &Key) {
        if let Some(old) = self.copies.remove(key) {
            self.order.remove(&(old.rank, old.used));
            self.kb -= old.kb;
        }
    }

    /// Drops the copies of the purged objects that were sent by the origin before `before_ms`.
    pub fn purge(&mut self, named: impl Fn(&str) -> bool, before_ms: u64) {
        let old = |(key, held): (&Key, &CachedCopy)| named(&key.0) && held.minted < before_ms;
        let keys: Vec<Key> = self.copies.iter().filter(|e| old(*e)).map(|e| e.0.clone()).collect();
        keys.iter().for_each(|key| self.drop_copy(key));
    }

    /// Returns the number of copies.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Returns whether there are no copies.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }
}

/// The work that reached a server within the last window, by which it fails by overload.
#[derive(Debug, Default)]
pub struct OverloadWindow {
    work: VecDeque<(f64, f64)>,
    sum: f64,
}

impl OverloadWindow {
    /// Counts work. Returns whether it overloads the server, whose link has the share `warmth` of its
    /// capacity.
    pub fn push(&mut self, now: f64, work: f64, warmth: f64, spec: &ServerSpec) -> bool {
        self.work.push_back((now, work));
        self.sum += work;
        while self.work.front().is_some_and(|(at, _)| *at < now - spec.window) {
            self.sum -= self.work.pop_front().map_or(0.0, |w| w.1);
        }
        self.sum > spec.multiple * spec.link * warmth * spec.window
    }
}

/// Hashes a number to a value in 0..1.
fn unit(mut x: u64) -> f64 {
    for k in [0xbf58_476d_1ce4_e5b9_u64, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30)).wrapping_mul(k);
    }
    (x >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns the size of an object in KB: the same in every process, and spread around the class's mean by
/// about a factor of three either way.
pub fn size_kb(object: &str, mean: f64) -> f64 {
    let number = u64::from_str_radix(object, 16).unwrap_or(0);
    let [a, b, c] = [1, 2, 3].map(|n| unit(number.wrapping_add(n)));
    mean * ((a + b + c - 1.5) * 1.1).exp() / 1.16
}

/// Returns the group of an object, from 0 to 31.
pub fn group(object: &str) -> u32 {
    let number = u64::from_str_radix(object, 16).unwrap_or(0);
    (unit(number ^ 0x5bd1_e995) * 32.0) as u32
}
