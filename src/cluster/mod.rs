//! Replication among directors: an actor that holds the replicated state, exchanges it with other directors
//! by datagrams, and stores it on a disk where the operator names a folder. Off unless the operator's file
//! has a section `peers`.
//!
//! It runs beside the core, and requests wait for none of it: events reach it through a queue that drops what
//! it has no room for, and updates are delivered to the core when that has room. It has one socket, and one
//! thread, which writes to the disk. The protocols themselves, without I/O, are in [`crate::replication`] and
//! [`members`].
//!
//! | module | holds |
//! | --- | --- |
//! | `startup` | opening the keys, the socket and the stored state |
//! | `actor` | the actor and its event loop |
//! | `gossip` | the actor's handling of both protocols' messages |
//! | `handle` | commands to the actor |
//! | `membership`, [`members`], `duplicates` | the members: announcements, protocol, duplicate names |
//! | `transport`, [`frame`] | the socket, and the authenticated form of a message |
//! | `core_feed`, `drain_feed` | delivery of updates and drains to the core |
//! | `catch_up` | the stage of catching up, and caution until then |
//! | `persistence`, [`store`] | when entries are written, and the writer |
//! | `source` | events of the local discovery source |
//! | `status`, `report`, [`admin`] | operators' status, metrics and commands |

mod actor;
pub mod admin;
mod catch_up;
mod core_feed;
mod drain_feed;
mod duplicates;
pub mod frame;
mod gossip;
mod handle;
pub mod members;
mod membership;
mod persistence;
mod report;
mod source;
mod startup;
mod status;
pub mod store;
mod timers;
mod transport;

pub use actor::{Actor, TICK};
/// The path by which the admin endpoint still calls [`admin`].
pub use admin as door;
pub use handle::{ClusterCommand, ClusterHandle};
pub use membership::{DISCOVERY_FANOUT, DISCOVERY_INTERVAL, GREETING_INTERVAL, SEED_INTERVAL};
pub use startup::open;
pub use status::{PeerStatus, Status};
pub use transport::REMEMBERED_SENDERS;

use std::hash::{BuildHasher, Hasher, RandomState};

/// The target of log events, by which operators choose their level.
const LOG_TARGET: &str = "foxhold::cluster";

/// A random number.
fn draw() -> u64 {
    RandomState::new().build_hasher().finish()
}
