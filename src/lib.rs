//! A director for cache networks: the routing policy, the dispatcher that runs it, and the network
//! interfaces.
//!
//! | module | contents |
//! | --- | --- |
//! | [`policy`] | the routing policy: its interface, decisions and estimators; no clock, no I/O |
//! | [`memory`] | the limit on the memory for requests and responses |
//! | [`dispatch`] | the dispatcher: the actor that runs the policy, independent of any wire format |
//! | [`signed`] | verification of signed URLs and tokens, without I/O |
//! | [`upstream`] | connections to servers |
//! | [`discovery`] | sources of members and purges: the discovery service and files in xDS form |
//! | `replication` | merging of the state that directors share, without I/O; feature `peers` |
//! | `cluster` | gossip among directors: membership, datagrams, storage on disk; feature `peers` |
//! | [`frontend`] | HTTP frontends for clients, and the admin endpoint for operators |
//! | [`director`] | the director as a library, on its own thread |
//! | [`daemon`] | the director as a daemon |
//! | `middleware` | a tower layer and service; feature `middleware` |
//! | `log` | the daemon's log; feature `cli` |
//! | [`config`] | decoders of the configuration files |
//! | [`simulator`] | the simulator's text protocol |
//!
//! # The routing policy
//!
//! A [`Router`] decides for one director. It reads no clock, does no I/O and shares no state. Its host passes
//! it each [`Event`] with the time, and carries out the [`Action`]s that it returns.
//!
//! ```
//! use foxhold::{Action, Class, Event, Member, MemberState, ObjectId, MemberUpdate, Request, RequestId};
//! use foxhold::{Router, ServerId, Settings};
//!
//! let settings = Settings {
//!     classes: vec![Class { name: "pages".into(), latency_objective: 400_000, ..Class::default() }],
//!     kinds: vec!["cache".into(), "parent".into(), "origin".into()],
//!     parent_kind: Some(1),
//!     origin_kind: 2,
//!     zones: vec!["hub".into(), "edge".into()],
//!     zone: 1,
//!     ..Settings::default()
//! };
//! let mut router = Router::new(settings, 7)?;
//! let member = |id, zone, kind| Member {
//!     server: ServerId(id), zone, kind, cell: 0, state: MemberState::Running, size: 8.0, started_at: 0,
//! };
//! let list = vec![member(1, 1, 0), member(2, 0, 1), member(3, 0, 2)];
//! let mut actions = Vec::new();
//! router.handle(0, Event::Members { kind: MemberUpdate::Full, members: list }, &mut actions);
//! let request = Request { id: RequestId(9), class: 0, object: ObjectId(0xfeed), deadline: 2_000_000,
//!     ..Request::default() };
//! router.handle(10, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Attempt { server: ServerId(1), .. })));
//! # Ok::<(), foxhold::SettingsError>(())
//! ```
#![warn(missing_docs)]
#![forbid(unsafe_code)]

#[doc = include_str!("../README.md")]
#[cfg(doctest)]
struct Readme;

#[cfg(feature = "peers")]
pub mod cluster;
pub mod config;
pub mod daemon;
pub mod director;
pub mod discovery;
pub mod dispatch;
pub mod frontend;
#[cfg(feature = "cli")]
pub mod log;
pub mod memory;
#[cfg(feature = "middleware")]
pub mod middleware;
pub mod policy;
#[cfg(feature = "peers")]
pub mod replication;
pub mod signed;
pub mod simulator;
pub mod upstream;

pub use policy::types::*;
pub use policy::Router;
