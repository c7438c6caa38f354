//! Detects and logs directors that share a name.

use super::LOG_TARGET;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How long a duplicate name must persist before it is logged. A director that moves to another address is
/// temporarily a member at both.
const REPORT_AFTER: Duration = Duration::from_secs(10);

struct Duplicate {
    addresses: Vec<SocketAddr>,
    since: Instant,
    reported: bool,
}

/// Names currently shared by two or more directors.
#[derive(Default)]
pub(super) struct DuplicateNames(BTreeMap<String, Duplicate>);

impl DuplicateNames {
    /// Replaces the duplicates by those found now, and logs each once that has persisted for
    /// [`REPORT_AFTER`].
    pub(super) fn update(&mut self, found: BTreeMap<String, Vec<SocketAddr>>, now: Instant) {
        self.0.retain(|name, duplicate| found.get(name) == Some(&duplicate.addresses));
        for (name, addresses) in found {
            let duplicate = self.0.entry(name.clone()).or_insert_with(|| Duplicate {
                addresses: addresses.clone(),
                since: now,
                reported: false,
            });
            if !duplicate.reported && now - duplicate.since >= REPORT_AFTER {
                duplicate.reported = true;
                tracing::warn!(
                    target: LOG_TARGET,
                    director = %name,
                    ?addresses,
                    "duplicate director name"
                );
            }
        }
    }

    /// Returns one line of text for each duplicate name.
    pub(super) fn lines(&self) -> Vec<String> {
        self.0.iter().map(|(name, duplicate)| format!("{name} at {:?}", duplicate.addresses)).collect()
    }
}
