//! Counters of requests by class, and of attempts.

use super::cancellation_log::{ExecutionProof, ProvenCancellation};
use crate::dispatch::{ClassCounts, ClientResponse};
use crate::policy::types::Settings;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The counters, and the names of the classes that they are kept by.
#[derive(Debug)]
pub(super) struct Counters {
    /// By the classes' indices in the settings, retired ones among them.
    class_names: Vec<Arc<str>>,
    by_class: BTreeMap<Arc<str>, ClassCounts>,
    /// Attempts written completely.
    pub(super) attempts_written: u64,
}

impl Counters {
    /// Counters at zero, for the classes of these settings.
    pub(super) fn new(settings: &Settings) -> Self {
        Counters { class_names: class_names(settings), by_class: BTreeMap::new(), attempts_written: 0 }
    }

    /// Goes on with the classes of other settings. The counts of a class end with the last index that it has,
    /// so that these stay few too.
    pub(super) fn update_classes(&mut self, settings: &Settings) {
        self.class_names = class_names(settings);
        let names = &self.class_names;
        self.by_class.retain(|name, _| names.contains(name));
    }

    /// The name of the class at this index.
    pub(super) fn class_name(&self, class: usize) -> &Arc<str> {
        &self.class_names[class]
    }

    /// Indices of classes, retired ones among them.
    pub(super) fn class_count(&self) -> usize {
        self.class_names.len()
    }

    /// A request of the class at this index was answered.
    pub(super) fn record_response(&mut self, class: usize, response: &ClientResponse) {
        let counts = self.by_class.entry(self.class_names[class].clone()).or_default();
        match response {
            ClientResponse::Served(_) | ClientResponse::NotModified(_) => counts.served += 1,
            ClientResponse::Rejected { .. } => counts.rejected += 1,
            ClientResponse::Failed(_) => counts.failed += 1,
        }
    }

    /// A request was cancelled by its client, and what it proves is known.
    pub(super) fn record_cancellation(&mut self, cancellation: ProvenCancellation) {
        let counts = self.by_class.entry(cancellation.class).or_default();
        match cancellation.proof {
            ExecutionProof::NeverRan => counts.cancelled_not_run += 1,
            ExecutionProof::MayHaveRun => counts.cancelled_may_have_run += 1,
        }
    }

    /// The counts by class; a class that is not retired is there even at zero.
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
