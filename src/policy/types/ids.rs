//! Ids of servers, requests and objects, and the units of time.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Identifies a timer; opaque to the host, which hands it back when the timer fires.
pub type TimerToken = u128;

/// A cache, a parent or the origin. The number tells nothing of its place, kind or age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// A client request; never used twice by one router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An object, the same for each of its parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectId(pub u64);
