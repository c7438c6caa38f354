//! Scenarios that the testbed runs, and their runners.
//!
//! | module | holds |
//! | --- | --- |
//! | [`cluster`] | director processes that replicate state among themselves |
//! | [`gossip`] | costs of replication, and the time until all directors hold an update |
//! | [`overhead`] | the director's overhead per request, as daemon and as library |
//! | [`scenario`] | a scenario as data: participants, load and faults |
//! | [`replay`] | replay of a trace through the daemon or the library, and the comparison of two runs |
//! | [`runner`] | the run of a scenario: director and server processes, links and faults |
//! | [`simulated_fleet`] | many directors in one process, with a simulated network and simulated time |

pub mod cluster;
pub mod gossip;
pub mod overhead;
pub mod replay;
pub mod runner;
pub mod scenario;
pub mod simulated_fleet;
