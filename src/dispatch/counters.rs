//! Counters of requests per class, and of attempts.

use super::cancellation_log::{ExecutionProof, ProvenCancellation};
use crate::dispatch::{ClassCounts, ClientResponse};
use crate::policy::types::Settings;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The counters, and the names of the classes by which requests are counted.
#[derive(Debug)]
pub(super) struct Counters {
    /// Names of the classes by their index in the settings, including retired classes.
    class_names: Vec<Arc<str>>,
    by_class: BTreeMap<Arc<str>, ClassCounts>,
    /// Number of attempts completely written to servers.
    pub(super) attempts_written: u64,
}

impl Counters {
    /// Creates counters at zero for the classes of these settings.
    pub(super) fn new(settings: &Settings) -> Self {
        Counters { class_names: class_names(settings), by_class: BTreeMap::new(), attempts_written: 0 }
    }

    /// Updates the classes to those of new settings. The counts of a class are removed once no index refers
    /// to it, so that their number stays small too.
    pub(super) fn update_classes(&mut self, settings: &Settings) {
        self.class_names = class_names(settings);
        let names = &self.class_names;
        self.by_class.retain(|name, _| names.contains(name));
    }

    /// Returns the name of the class at index `class`.
    pub(super) fn class_name(&self, class: usize) -> &Arc<str> {
        &self.class_names[class]
    }

    /// Returns the number of class indices, including those of retired classes.
    pub(super) fn class_count(&self) -> usize {
        self.class_names.len()
    }

    /// Counts a response to a request of the class at index `class`.
    pub(super) fn record_response(&mut self, class: usize, response: &ClientResponse) {
        let counts = self.by_class.entry(self.class_names[class].clone()).or_default();
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

    /// Returns the counts by class. A class that is not retired is included even if its counts are zero.
    pub(super) fn by_class(&self, settings: &Settings) -> BTreeMap<Arc<str>, ClassCounts> {
        let mut counts = self.by_class.clone();
        for (class, name) in settings.classes.iter().zip(&self.class_names) {
            if !class.retired {
                counts.entry(name.clone()).or_default();
            }
        }
        counts
    }
}

fn class_names(settings: &Settings) -> Vec<Arc<str>> {
    settings.classes.iter().map(|class| class.name.as_str().into()).collect()
}
