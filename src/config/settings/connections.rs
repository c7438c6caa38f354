//! Settings of connections to servers.

use std::time::Duration;

/// Default of [`ConnectionSettings::connect_timeout`].
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Default of [`ConnectionSettings::idle_timeout`].
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Default of [`ConnectionSettings::max_streams`].
const DEFAULT_MAX_STREAMS: usize = 100;

/// Settings of connections to servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionSettings {
    /// Limit on the time to connect.
    pub connect_timeout: Duration,
    /// Time after which servers close an idle connection.
    pub idle_timeout: Duration,
    /// Maximum number of concurrent attempts on one connection.
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
