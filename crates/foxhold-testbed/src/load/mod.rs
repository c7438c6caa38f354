//! Load: clients, what they ask for, and when they leave.
//!
//! | module | holds |
//! | --- | --- |
//! | [`clients`] | an open-loop load over HTTP, and what comes back held against the rules |
//! | [`disconnects`] | clients that leave before their answers |
//! | [`gossip_client`] | a client that delivers updates to directors, acknowledged |
//! | [`trace`] | traces of requests and faults: the file, and how one is drawn |

pub mod clients;
pub mod disconnects;
pub mod gossip_client;
pub mod trace;
