//! Warns of two directors under one name.

use super::LOG_TARGET;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A duplicate name is reported once it has lasted this long: a director that moves to another address is
/// seen at both for a while.
const REPORT_AFTER: Duration = Duration::from_secs(10);

struct Duplicate {
    addresses: Vec<SocketAddr>,
    since: Instant,
    reported: bool,
}

/// Names that two or more directors have at present.
#[derive(Default)]
pub(super) struct DuplicateNames(BTreeMap<String, Duplicate>);

impl DuplicateNames {
    /// Takes the duplicates found now, and logs each that has lasted.
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
                    "several directors have the same name"
                );
            }
        }
    }

    /// A line for each duplicate name.
    pub(super) fn lines(&self) -> Vec<String> {
        self.0.iter().map(|(name, duplicate)| format!("{name} at {:?}", duplicate.addresses)).collect()
    }
}
