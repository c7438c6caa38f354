//! Rules that a run is checked against.
//!
//! | module | holds |
//! | --- | --- |
//! | [`slow_start_budget`] | the limit on the work that all senders may send to a server in slow start |

pub mod slow_start_budget;
