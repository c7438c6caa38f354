//! Settings of connections to servers.

use std::time::Duration;

/// Default of [`ConnectionSettings::connect_timeout`].
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Default of [`ConnectionSettings::idle_timeout`].
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Default of [`ConnectionSettings::max_streams`].
const DEFAULT_MAX_STREAMS: usize = 100;

/// How connections to servers are opened and used.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionSettings {
    /// Limit on the time to connect.
    pub connect_timeout: Duration,
    /// Servers close connections that were idle for this long.
    pub idle_timeout: Duration,
    /// Attempts that one connection carries at a time, at most.
    pub max_streams: usize,
}

impl Default for ConnectionSettings {
    fn default() -> Self {
        ConnectionSettings {
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            max_streams: DEFAULT_MAX_STREAMS,
        }
    }
}
