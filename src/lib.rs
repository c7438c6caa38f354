//! A director for cache networks: the decisions, the actor round them, and what speaks with the world.
//!
//! | module | holds |
//! | --- | --- |
//! | [`policy`] | the decisions, with their interface and their estimators; pure |
//! | [`dispatch`] | the actor that owns them, which knows no wire |
//! | [`signed`] | checks of signed URLs and tokens, without I/O |
//! | [`upstream`] | how servers are reached |
//! | [`discovery`] | where members and purges come from: the discovery service, files in xDS form |
//! | `replication` | state that directors share, merged without I/O; feature `peers` |
//! | `cluster` | gossip among directors: members, datagrams, what lasts on a disk; feature `peers` |
//! | [`frontend`] | what clients and operators speak with |
//! | [`daemon`] | all of it put together |
//! | `middleware` | a tower layer and service, behind the feature of that name |
//! | [`config`], [`simulator`] | the configuration's decoders; the simulator's wire |
//!
//! # The decisions
//!
//! A [`Router`] decides for one director. It holds no clock, does no I/O and shares nothing: its host tells
//! it what happened ([`Event`]) and when, and carries out what it answers ([`Action`]).
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
