//! Ids of servers, requests and objects, and the unit of time.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Identifies a timer; opaque to the host, which hands it back when the timer fires.
pub type TimerToken = u128;

/// Identifies a cache, a parent or the origin. The number does not encode the server's zone, kind or age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// Identifies a client request; unique within one router, never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies an object; all parts of an object share one id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectId(pub u64);
