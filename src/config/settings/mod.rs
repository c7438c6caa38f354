//! Settings of a router and of its connections, and their decoder.
//!
//! | module | holds |
//! | --- | --- |
//! | [`codec`] | the platform's JSON form of the settings |
//! | [`connections`] | the settings of connections to servers |
//! | `json` | access to JSON values, shared with other decoders |

pub mod codec;
pub mod connections;
mod error;
pub(crate) mod json;

pub(crate) use codec::check_limits;
pub use codec::{decode_connection_settings, decode_settings, parse_settings};
pub use connections::ConnectionSettings;
pub use error::{KeyFault, SettingsDecodeError};
