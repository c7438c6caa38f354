//! Replication among directors: an actor that holds the replicated state, exchanges it with other directors
//! in UDP datagrams, and stores it on disk if the operator configures a folder. Disabled unless the
//! operator's file has a section `peers`.
//!
//! The actor runs concurrently with the dispatcher, and no request waits for it: watch events reach it
//! through a bounded queue that drops events when full, and updates are sent to the dispatcher only while
//! its mailbox has capacity. The actor owns one socket and one thread, which writes to the disk. The
//! protocols themselves are free of I/O; they are in [`crate::replication`] and [`members`].
//!
//! | module | holds |
//! | --- | --- |
//! | `startup` | reading the keys, opening the socket and the stored state |
//! | `actor` | the actor and its event loop |
//! | `messages` | the actor's handling of messages of both protocols |
//! | `handle` | commands to the actor |
//! | `membership`, [`members`] | announcements of this director, and the membership protocol |
//! | `membership_change`, `duplicates` | membership changes and their log events, duplicate names |
//! | `transport`, [`frame`], `key_file` | the socket, authenticated framing, and the key file |
//! | `dispatcher_feed`, `drain_feed` | delivery of updates and drain overrides to the dispatcher |
//! | `catch_up` | the catch-up stage, and the fresh-only mode after a start |
//! | `persistence`, [`store`] | the schedule of writes to disk, and the writer thread |
//! | `source` | events of the local discovery source |
//! | `status`, `report`, [`admin`] | status, metrics and commands for operators |

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

/// The target of this module's log events, by which operators set their log level.
const LOG_TARGET: &str = "foxhold::cluster";

/// Returns a random number, seeded by the operating system.
fn random() -> u64 {
    RandomState::new().build_hasher().finish()
}
