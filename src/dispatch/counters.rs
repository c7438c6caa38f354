//! Counters of requests per class, and of attempts.

use super::cancellation_log::{ExecutionProof, ProvenCancellation};
use crate::dispatch::{ClassCounts, ClientResponse};
use crate::policy::types::Settings;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Counts of ended requests per class, and of attempts.
#[derive(Debug, Default)]
pub(super) struct Counters {
    by_class: BTreeMap<Arc<str>, ClassCounts>,
    /// Number of attempts completely written to servers.
    pub(super) attempts_written: u64,
}

impl Counters {
    /// Removes the counts of all classes that none of these settings have, so that their number is bounded.
    pub(super) fn retain_classes(&mut self, settings: &[Arc<Settings>]) {
        self.by_class.retain(|name, _| settings.iter().any(|s| s.class_index(name).is_some()));
    }

    /// Counts a response to a request of the class with this name.
    pub(super) fn record_response(&mut self, class_name: &Arc<str>, response: &ClientResponse) {
        let counts = self.by_class.entry(class_name.clone()).or_default();
        match response {
            ClientResponse::Served(_) | ClientResponse::NotModified(_) => counts.served += 1,
            ClientResponse::Rejected { .. } => counts.rejected += 1,
            ClientResponse::Failed(_) => counts.failed += 1,
        }
    }

    /// Counts a request that was cancelled by its client, once it is settled whether it may have run.
    pub(super) fn record_cancellation(&mut self, cancellation: ProvenCancellation) {
        let counts = self.by_class.entry(cancellation.class).or_default();
        match cancellation.proof {
            ExecutionProof::NeverRan => counts.cancelled_not_run += 1,
            ExecutionProof::MayHaveRun => counts.cancelled_may_have_run += 1,
        }
    }

    /// Returns the counts by class. A class in the settings in force is included even if its counts are zero.
    pub(super) fn by_class(&self, settings: &Settings) -> BTreeMap<Arc<str>, ClassCounts> {
        let mut counts = self.by_class.clone();
        for class in &settings.classes {
            counts.entry(class.name.as_str().into()).or_default();
        }
        counts
    }
}
