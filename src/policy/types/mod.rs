//! The interface of the routing policy: settings, events, actions and the ids they carry.
//!
//! Times and durations are whole microseconds on the router's own clock; sizes are KB.
//!
//! | module | holds |
//! | --- | --- |
//! | `ids` | ids of servers, requests and objects; units of time |
//! | `settings` | what a router is configured with |
//! | `members` | entries of the member list |
//! | `requests` | client requests, and how attempts end |
//! | `events` | what a router is notified of |
//! | `actions` | what a router asks its host to do |

mod actions;
mod events;
mod ids;
mod members;
mod requests;
mod settings;

pub use actions::{Action, Fill};
pub use events::Event;
pub use ids::{Micros, ObjectId, RequestId, ServerId, TimerToken};
pub use members::{Member, MemberState, MemberUpdate};
pub use requests::{AttemptEnd, CacheStatus, Outcome, Request};
pub use settings::{
    CacheStatusLevel, Class, Idempotency, KeyScope, Settings, SettingsError, Siblings, SlowStartRule,
};
