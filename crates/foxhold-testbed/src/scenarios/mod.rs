//! What is run: scenarios as data, and their runners.
//!
//! | module | holds |
//! | --- | --- |
//! | [`cluster`] | a fleet of directors that share state, as processes |
//! | [`gossip`] | what sharing state costs, and how fast an update is with all |
//! | [`overhead`] | what the director costs a request, as daemon and as library |
//! | [`scenario`] | a scenario of many processes as data: who takes part, what is asked, what goes wrong |
//! | [`replay`] | a trace through the daemon or the library, and the comparison |
//! | [`runner`] | the run of a scenario: processes of directors and servers, links and faults |
//! | [`simulated_fleet`] | many directors in one process, over a simulated network in simulated time |

pub mod cluster;
pub mod gossip;
pub mod overhead;
pub mod replay;
pub mod runner;
pub mod scenario;
pub mod simulated_fleet;
