//! Settings of a router and of its connections to servers, and their decoder.
//!
//! | module | content |
//! | --- | --- |
//! | [`codec`] | JSON format of the settings, as written by the platform |
//! | [`connections`] | settings of connections to servers |
//! | `json` | access to JSON values, also used by other decoders |

pub mod codec;
pub mod connections;
mod error;
pub(crate) mod json;

pub(crate) use codec::check_limits;
pub use codec::{decode_connection_settings, decode_settings, parse_settings};
pub use connections::ConnectionSettings;
pub use error::{KeyFault, SettingsDecodeError};
