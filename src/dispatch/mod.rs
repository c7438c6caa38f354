//! The dispatcher: an actor that owns the routing policy, and the typed messages exchanged with it.
//!
//! The dispatcher is independent of wire formats. A frontend converts a client's request into a
//! [`ClientRequest`] and receives exactly one [`ClientResponse`]. An [`EndpointConnector`] starts one
//! connection actor per server; the connection actor receives [`EndpointCommand`]s and reports how they
//! ended. The dispatcher's actor never waits for any of them.
//!
//! | module | holds |
//! | --- | --- |
//! | `actor` | the actor: handles messages and timers, passes events to the policy, performs its actions |
//! | `attempt`, `cancellation`, `endpoint`, `message`, `request` | the types of the messages |
//! | `handle` | the handle that frontends and middleware use |
//! | `pending_requests`, `attempts_in_flight`, `endpoint_registry` | the actor's main tables |
//! | `endpoint_sources` | what the sources of endpoint lists report, and which report is in force |
//! | `timers`, `health_checks`, `purge_records`, `counters`, `published_settings` | other tables |
//! | [`cancellation_log`] | whether requests cancelled by their clients may have run |
//! | [`membership`] | endpoints, and drain overrides that take precedence over their sources |

mod actor;
mod attempt;
mod attempts_in_flight;
mod cancellation;
pub mod cancellation_log;
mod clock;
mod counters;
mod endpoint;
mod endpoint_registry;
mod endpoint_sources;
mod handle;
mod health_checks;
pub mod membership;
mod message;
mod metrics;
mod naming;
mod pending_requests;
mod published_settings;
mod purge_records;
pub mod request;
mod timers;

pub use actor::{start, RunningDispatcher};
pub use attempt::{AttemptError, AttemptId, AttemptResult};
pub use cancellation::{CancellationToken, Client, ClientHandle};
pub use clock::Clock;
pub use endpoint::{
    EndpointCommand, EndpointConnector, HealthReport, ResponseStatus, UpstreamRequest, UpstreamResponse,
};
pub use handle::{Dispatcher, PendingResponse};
pub use membership::{DrainCommand, Endpoint};
pub use message::{DispatcherMessage, DispatcherSender, SubmittedRequest};
pub use metrics::{ClassCounts, DispatcherMetrics, TableSizes};
pub use naming::{object_number, server_number};
pub use request::{
    bare_tag, forwarded_object_name, is_name, ClientRequest, ClientResponse, FailureReason, Representation,
    MAX_WRITE_BYTES,
};
