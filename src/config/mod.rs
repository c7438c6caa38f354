//! Configuration: the platform's file with its settings, and the operator's own file.
//!
//! | module | holds |
//! | --- | --- |
//! | [`settings`] | the settings of a router and of its connections |
//! | [`operator`] | the operator's own file |
//! | [`platform`] | the file that the platform writes for a director |

pub mod operator;
pub mod platform;
mod platform_codec;
pub mod settings;
