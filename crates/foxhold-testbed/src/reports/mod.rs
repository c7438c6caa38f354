//! Reports on runs: figures as JSON, and HTML pages with plots.
//!
//! | module | holds |
//! | --- | --- |
//! | [`scenario`] | the report on a scenario |

pub mod scenario;
