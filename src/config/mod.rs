//! Configuration: the platform's configuration file, which contains the settings, and the operator's file.
//!
//! | module | content |
//! | --- | --- |
//! | [`settings`] | settings of a router and of its connections to servers |
//! | [`operator`] | the operator's file |
//! | `key_tree` | the keys of a file, compared with those of the file that replaces it |
//! | [`platform`] | the configuration file that the platform writes for a director |

mod key_tree;
pub mod operator;
pub mod platform;
mod platform_codec;
pub mod settings;
