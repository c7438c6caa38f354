//! Configuration: the platform's settings and file, and the operator's own file.
//!
//! | module | holds |
//! | --- | --- |
//! | [`settings`] | the decoder of the settings that a router is given at its start |
//! | [`operator`] | the operator's own file |
//! | [`platform`] | the file that the platform writes for a director |

pub mod operator;
pub mod platform;
pub mod settings;
