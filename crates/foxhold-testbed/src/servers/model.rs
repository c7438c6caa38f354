//! What a emulated server server can do and hold, without clock or I/O: links that divide themselves, memory
//! by rank and recency, cold starts, and pushing over. Times are seconds, sizes KB, work is seconds of
//! sending at full pace.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// What a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Keeps what it fills as it is told, asks a source for what it lacks.
    Cache,
    /// Keeps everything that it fetched from the origin.
    Parent,
    /// Has everything.
    Origin,
}

impl Role {
    /// The kind's name in the list.
    pub fn kind(self) -> &'static str {
        match self {
            Role::Cache => "cache",
            Role::Parent => "parent",
            Role::Origin => "origin",
        }
    }
}

/// What one server can do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerSpec {
    /// What it is.
    pub role: Role,
    /// Its link, in transfers at full pace.
    pub link: f64,
    /// What one transfer at full pace carries, in KB a second; 0: bytes take no time.
    pub flow: f64,
    /// Requests in work; beyond them it turns away.
    pub slots: usize,
    /// Fills under way; beyond them it turns away with the note that says so.
    pub fills: usize,
    /// What it can hold, in KB.
    pub memory: f64,
    /// Seconds that each request takes before its first byte.
    pub before: f64,
    /// The share of its link that it starts with when cold, and the seconds until all of it is there.
    pub floor: f64,
    /// See `floor`.
    pub warm: f64,
    /// Sent more than this multiple of what it can do for `window` seconds, it falls over (the origin:
    /// stops).
    pub multiple: f64,
    /// See `multiple`.
    pub window: f64,
    /// How long a stopped origin stays so, in seconds; a cache or parent stays down.
    pub stop: f64,
}

impl ServerSpec {
    /// One that takes no time, holds everything and never fails by itself.
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

    /// Seconds of sending at full pace.
    pub fn work(&self, kb: f64) -> f64 {
        if self.flow > 0.0 {
            kb / self.flow
        } else {
            0.0
        }
    }

    /// The share of its link that is there so long after a cold start; none: it was always warm.
    pub fn warmth(&self, age: Option<f64>) -> f64 {
        age.map_or(1.0, |age| (self.floor + (1.0 - self.floor) * age / self.warm).clamp(self.floor, 1.0))
    }
}

/// A link that all transfers under way share alike, none above full pace (processor sharing). Kept in virtual
/// time: a transfer of work `w` that begins at virtual time `v` ends at `v + w`.
#[derive(Debug, Default)]
pub struct Link {
    virtual_now: f64,
    at: f64,
    ends: BTreeMap<(u64, u64), u64>,
    next: u64,
}

impl Link {
    /// How fast each transfer goes, by what the link carries at full pace.
    fn pace(&self, carries: f64) -> f64 {
        (carries / self.ends.len().max(1) as f64).min(1.0)
    }

    /// Lets time pass; `carries` is the link's size since the last call.
    pub fn advance(&mut self, now: f64, carries: f64) {
        self.virtual_now += (now - self.at).max(0.0) * self.pace(carries);
        self.at = self.at.max(now);
    }

    /// Begins a transfer and gives its number.
    pub fn begin(&mut self, work: f64) -> u64 {
        self.next += 1;
        // Positive numbers keep their order as bits.
        self.ends.insert(((self.virtual_now + work.max(0.0)).to_bits(), self.next), self.next);
        self.next
    }

    /// Gives a transfer up.
    pub fn cancel(&mut self, number: u64) {
        self.ends.retain(|_, n| *n != number);
    }

    /// Transfers that have ended by the virtual time reached.
    pub fn ended(&mut self) -> Vec<u64> {
        let still = self.ends.split_off(&((self.virtual_now + 1e-9).to_bits(), u64::MAX));
        std::mem::replace(&mut self.ends, still).into_values().collect()
    }

    /// Seconds until the next transfer ends, if the link's size stays so.
    pub fn next_end(&self, carries: f64) -> Option<f64> {
        let ((end, _), _) = self.ends.first_key_value()?;
        Some((f64::from_bits(*end) - self.virtual_now).max(0.0) / self.pace(carries).max(1e-9))
    }

    /// Transfers under way.
    pub fn under_way(&self) -> usize {
        self.ends.len()
    }
}

/// A copy that is held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedCopy {
    /// Unix milliseconds at which the origin gave it out.
    pub minted: u64,
    kb: f64,
    rank: u8,
    used: u64,
}

/// What a copy is of: object and part.
pub type Key = (String, String);

/// Memory: the lowest rank goes first, in a rank what was used longest ago.
#[derive(Debug, Default)]
pub struct CacheMemory {
    held: HashMap<Key, CachedCopy>,
    order: BTreeMap<(u8, u64), Key>,
    kb: f64,
    clock: u64,
}

impl CacheMemory {
    /// The copy, which counts as used; a rank above 0 is set anew.
    pub fn get(&mut self, key: &Key, rank: u8) -> Option<CachedCopy> {
        let held = self.held.get_mut(key)?;
        self.clock += 1;
        self.order.remove(&(held.rank, held.used));
        held.used = self.clock;
        held.rank = if rank > 0 { rank } else { held.rank };
        self.order.insert((held.rank, held.used), key.clone());
        Some(*held)
    }

    /// Keeps a copy, where room can be made for it from its own rank and those below; whether it is kept.
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
        self.held.insert(key, CachedCopy { minted, kb, rank, used: self.clock });
        true
    }

    fn drop_copy(&mut self, key: &Key) {
        if let Some(old) = self.held.remove(key) {
            self.order.remove(&(old.rank, old.used));
            self.kb -= old.kb;
        }
    }

    /// Drops what a purge names: copies of these objects older than that.
    pub fn purge(&mut self, named: impl Fn(&str) -> bool, before_ms: u64) {
        let old = |(key, held): (&Key, &CachedCopy)| named(&key.0) && held.minted < before_ms;
        let keys: Vec<Key> = self.held.iter().filter(|e| old(*e)).map(|e| e.0.clone()).collect();
        keys.iter().for_each(|key| self.drop_copy(key));
    }

    /// Copies held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

/// Work that reached a server within the last window: what pushes it over.
#[derive(Debug, Default)]
pub struct OverloadWindow {
    work: VecDeque<(f64, f64)>,
    sum: f64,
}

impl OverloadWindow {
    /// Counts work; whether the server falls over by it, at this share of its link.
    pub fn push(&mut self, now: f64, work: f64, warmth: f64, spec: &ServerSpec) -> bool {
        self.work.push_back((now, work));
        self.sum += work;
        while self.work.front().is_some_and(|(at, _)| *at < now - spec.window) {
            self.sum -= self.work.pop_front().map_or(0.0, |w| w.1);
        }
        self.sum > spec.multiple * spec.link * warmth * spec.window
    }
}

/// A well-mixed hash as a number from 0 to 1.
fn unit(mut x: u64) -> f64 {
    for k in [0xbf58_476d_1ce4_e5b9_u64, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30)).wrapping_mul(k);
    }
    (x >> 11) as f64 / (1u64 << 53) as f64
}

/// An object's size in KB: the same at every process, about the class's mean, uneven by a factor of three
/// either way.
pub fn size_kb(object: &str, mean: f64) -> f64 {
    let number = u64::from_str_radix(object, 16).unwrap_or(0);
    let [a, b, c] = [1, 2, 3].map(|n| unit(number.wrapping_add(n)));
    mean * ((a + b + c - 1.5) * 1.1).exp() / 1.16
}

/// An object's group.
pub fn group(object: &str) -> u32 {
    let number = u64::from_str_radix(object, 16).unwrap_or(0);
    (unit(number ^ 0x5bd1_e995) * 32.0) as u32
}
