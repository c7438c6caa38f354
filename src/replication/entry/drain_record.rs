//! Operators' drains and undrains of one server, as an observed-remove set.

use crate::dispatch::membership::DrainCommand;
use crate::policy::types::Micros;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// One run of one director. It is drawn anew at each start, so that what a director published before it lost
/// its memory is never taken for what it publishes afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Operators' drains of one server. Each drain is a dot: an incarnation and a number. An undrain removes the
/// dots that it has observed and no others: a drain published elsewhere at the same time stays in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// The process that is to drain, by its start (Unix microseconds; 0: not known). A record of a later
    /// process replaces one of an earlier.
    pub started_at: Micros,
    /// The last drain of each incarnation.
    pub drains_by_incarnation: BTreeMap<Incarnation, u32>,
    /// The last of these that was removed.
    pub undrains_by_incarnation: BTreeMap<Incarnation, u32>,
}

impl DrainRecord {
    /// Whether the server is to drain.
    pub fn is_draining(&self) -> bool {
        self.drains_by_incarnation
            .iter()
            .any(|(incarnation, number)| self.undrains_by_incarnation.get(incarnation) < Some(number))
    }

    /// The command that is in force.
    pub fn command(&self) -> DrainCommand {
        if self.is_draining() {
            DrainCommand::Drain
        } else {
            DrainCommand::Undrain
        }
    }

    /// The record after a command at a director, for the process that was started then.
    pub fn with_command(
        &self,
        command: DrainCommand,
        incarnation: Incarnation,
        started_at: Micros,
    ) -> DrainRecord {
        match command {
            DrainCommand::Drain => self.with_drain(incarnation, started_at),
            DrainCommand::Undrain => self.with_undrain(started_at),
        }
    }

    /// The record after a drain at a director of this incarnation, for the process that was started then.
    pub fn with_drain(&self, incarnation: Incarnation, started_at: Micros) -> DrainRecord {
        let mut record = self.for_process(started_at);
        let last_drain = record.drains_by_incarnation.get(&incarnation);
        let last = last_drain.max(record.undrains_by_incarnation.get(&incarnation)).copied().unwrap_or(0);
        record.drains_by_incarnation.insert(incarnation, last.saturating_add(1));
        record
    }

    /// The record after all drains that are known here were removed.
    pub fn with_undrain(&self, started_at: Micros) -> DrainRecord {
        let mut record = self.for_process(started_at);
        let observed =
            record.drains_by_incarnation.iter().map(|(incarnation, number)| (*incarnation, *number));
        record.undrains_by_incarnation.extend(observed);
        record
    }

    /// This record if it is about that process or a later one, else an empty one.
    fn for_process(&self, started_at: Micros) -> DrainRecord {
        if started_at > self.started_at {
            return DrainRecord { started_at, ..DrainRecord::default() };
        }
        self.clone()
    }

    /// Incarnations that have a dot.
    pub(in crate::replication) fn incarnation_count(&self) -> usize {
        self.drains_by_incarnation.len().max(self.undrains_by_incarnation.len())
    }

    pub(super) fn merge(&mut self, other: &DrainRecord) {
        match self.started_at.cmp(&other.started_at) {
            Ordering::Less => *self = other.clone(),
            Ordering::Greater => {}
            Ordering::Equal => {
                merge_numbers(&mut self.drains_by_incarnation, &other.drains_by_incarnation);
                merge_numbers(&mut self.undrains_by_incarnation, &other.undrains_by_incarnation);
            }
        }
    }
}

/// Keeps the greater number of each incarnation.
fn merge_numbers(ours: &mut BTreeMap<Incarnation, u32>, theirs: &BTreeMap<Incarnation, u32>) {
    for (incarnation, number) in theirs {
        let known = ours.entry(*incarnation).or_default();
        *known = (*known).max(*number);
    }
}
