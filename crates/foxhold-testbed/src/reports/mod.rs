//! Figures of a run as JSON, and pages with plots.
//!
//! | module | holds |
//! | --- | --- |
//! | [`scenario`] | what a scenario showed |

pub mod scenario;
