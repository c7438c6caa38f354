//! The testbed: code used only by tests, measurements and experiments.
//!
//! | module | holds |
//! | --- | --- |
//! | [`servers`] | emulated caches, parents, origins and discovery services |
//! | [`faults`] | faults to inject between processes, and fault schedules |
//! | [`load`] | clients, their requests, and their disconnects |
//! | [`scenarios`] | scenarios as data, and the code that runs them |
//! | [`checks`] | rules that a run is checked against |
//! | [`reports`] | figures of a run as JSON, and HTML pages with plots |
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod checks;
pub mod faults;
pub mod load;
pub mod reports;
pub mod scenarios;
pub mod servers;
