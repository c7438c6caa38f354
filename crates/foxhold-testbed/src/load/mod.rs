//! Load: clients, their requests, and their disconnects.
//!
//! | module | holds |
//! | --- | --- |
//! | [`clients`] | an open-loop load over HTTP, whose responses are checked against the rules |
//! | [`disconnects`] | clients that disconnect before the response |
//! | [`gossip_client`] | a client that delivers updates to directors with acknowledgement |
//! | [`trace`] | traces of requests and faults: the file format, and random traces |

pub mod clients;
pub mod disconnects;
pub mod gossip_client;
pub mod trace;
