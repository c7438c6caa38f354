//! Emulated caches, parents, origins and discovery services.
//!
//! | module | holds |
//! | --- | --- |
//! | [`emulated`] | one emulated server on a socket, as a process or a task |
//! | [`in_process`] | emulated servers and a discovery service within this process |
//! | [`model`] | what an emulated server can do and hold; no clock, no I/O |

pub mod emulated;
pub mod in_process;
pub mod model;
