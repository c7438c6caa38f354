//! Emulated caches, parents, origins and discovery services.
//!
//! | module | holds |
//! | --- | --- |
//! | [`emulated`] | an emulated server on a socket, run as a process or as a task |
//! | [`in_process`] | emulated servers and a discovery service within this process |
//! | [`model`] | capacity and cache of an emulated server, without clock or I/O |

pub mod emulated;
pub mod in_process;
pub mod model;
