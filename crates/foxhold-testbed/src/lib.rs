//! The testbed: what only tests, measurements and experiments need.
//!
//! | module | holds |
//! | --- | --- |
//! | [`servers`] | emulated caches, parents, origins and discovery services |
//! | [`faults`] | faults that are injected between processes, and schedules of them |
//! | [`load`] | clients, what they ask for, and when they leave |
//! | [`scenarios`] | scenarios as data, and their runners |
//! | [`checks`] | rules that a run is held against |
//! | [`reports`] | figures of a run as JSON, and pages with plots |
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod checks;
pub mod faults;
pub mod load;
pub mod reports;
pub mod scenarios;
pub mod servers;
