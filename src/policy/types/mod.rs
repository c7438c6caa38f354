//! The interface of the routing policy: settings, events, actions and the ids they carry.
//!
//! Times and durations are whole microseconds on the router's own clock; sizes are KB.
//!
//! | module | holds |
//! | --- | --- |
//! | `ids` | ids of servers, requests and objects; the unit of time |
//! | `settings` | the configuration of a router |
//! | `rules` | the class and settings that apply to one request |
//! | `members` | entries of the member list |
//! | `requests` | client requests and results of attempts |
//! | `events` | notifications from the host to the router |
//! | `actions` | instructions from the router to its host |

mod actions;
mod events;
mod ids;
mod members;
mod requests;
mod rules;
mod settings;

pub use actions::{Action, Fill};
pub use events::Event;
pub use ids::{Micros, ObjectId, RequestId, ServerId, TimerToken};
pub use members::{Member, MemberState, MemberUpdate};
pub use requests::{AttemptEnd, CacheStatus, Outcome, Request};
pub use rules::RequestRules;
pub use settings::{
    CacheStatusLevel, Class, Idempotency, KeyScope, Settings, SettingsError, Siblings, SlowStartRule,
};
