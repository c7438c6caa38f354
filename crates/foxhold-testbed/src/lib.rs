//! foxhold's laboratory: what only tests, measurements and experiments need.
//!
//! | module | holds |
//! | --- | --- |
//! | [`model`] | what a stand-in server can do and hold; no clock, no I/O |
//! | [`standin`] | one stand-in server on a socket, as a process or a task |
//! | [`relay`] | a link between two processes, and the faults injected into it |
//! | [`plan`] | a play of many processes as data: who takes part, what is asked, what goes wrong |
//! | [`hollow`] | many directors in one process, over a simulated network in simulated time |
//! | [`leave`] | clients that leave before their answers, and the rule that nothing begins for them any more |
//! | [`load`] | an open-loop load, and what comes back held against the rules |
//! | [`harness`] | the play: the director's processes, the stand-ins', the links and the faults |
//! | [`report`] | its figures as JSON, and one page with plots |
//! | [`storm`] | a play of drawn faults among directors that talk |
//! | [`cold`] | the budget of a server that started cold, over all who send to it |
//! | [`peer_network`] | the relays between directors that share state, and the paths between them |
//! | [`talk`] | a fleet of such directors, as processes |
//! | [`peer_scenario`] | what that costs them, and how fast an update is with all |
//! | [`test_client`] | a client that delivers updates to directors, acknowledged |
//! | [`fleet`] | stand-in caches, parents, origin and notice board within this process |
//! | [`overhead`] | what the director costs a request, as daemon and as library |
//! | [`trace`] | traces of requests and troubles: the file, and how one is drawn |
//! | [`replay`] | a trace through the daemon's process or the library in an axum host, and the comparison |
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod cold;
pub mod fleet;
pub mod harness;
pub mod hollow;
pub mod leave;
pub mod load;
pub mod model;
pub mod overhead;
pub mod peer_network;
pub mod peer_scenario;
pub mod plan;
pub mod relay;
pub mod replay;
pub mod report;
pub mod standin;
pub mod storm;
pub mod talk;
pub mod test_client;
pub mod trace;
