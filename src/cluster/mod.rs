//! Replication among directors: an actor that holds the replicated state, exchanges it with other directors
//! by datagrams, and stores it on a disk where the operator names a folder. Off unless the operator's file
//! has a section `peers`.
//!
//! It runs beside the dispatcher, and requests wait for none of it: events reach it through a queue that
//! drops what does not fit, and updates are delivered to the dispatcher as its mailbox permits. It has one
//! socket, and one thread, which writes to the disk. The protocols themselves, without I/O, are in
//! [`crate::replication`] and [`members`].
//!
//! | module | holds |
//! | --- | --- |
//! | `startup` | opening the keys, the socket and the stored state |
//! | `actor` | the actor and its event loop |
//! | `messages` | the actor's handling of both protocols' messages |
//! | `handle` | commands to the actor |
//! | `membership`, [`members`], `membership_change`, `duplicates` | announcements, protocol, log, names |
//! | `transport`, [`frame`], `key_file` | the socket, authenticated framing, and the file of its keys |
//! | `dispatcher_feed`, `drain_feed` | delivery of updates and drains to the dispatcher |
//! | `catch_up` | the stage of catching up, and the careful mode until then |
//! | `persistence`, [`store`] | when entries are written, and the writer |
//! | `source` | events of the local discovery source |
//! | `status`, `report`, [`admin`] | operators' status, metrics and commands |

mod actor;
pub mod admin;
mod catch_up;
mod dispatcher_feed;
mod drain_feed;
mod duplicates;
pub mod frame;
mod handle;
mod key_file;
pub mod members;
mod membership;
mod membership_change;
mod messages;
mod persistence;
mod report;
mod source;
mod startup;
mod status;
pub mod store;
mod timers;
mod transport;

pub use actor::{Actor, TICK};
pub use handle::{ChangeEffect, ChangeReply, ClusterCommand, ClusterHandle};
pub use key_file::{parse_keys, KeyFileError};
pub use membership::{DISCOVERY_FANOUT, DISCOVERY_INTERVAL, GREETING_INTERVAL, SEED_INTERVAL};
pub use startup::{open, StartError};
pub use status::{PeerStatus, Status};
pub use transport::REMEMBERED_SENDERS;

use std::hash::{BuildHasher, Hasher, RandomState};

/// The target of log events, by which operators choose their level.
const LOG_TARGET: &str = "foxhold::cluster";

/// A random number, from the operating system's seed.
fn random() -> u64 {
    RandomState::new().build_hasher().finish()
}
