//! Operators' drains and undrains of one server, as an observed-remove set.

use crate::dispatch::membership::DrainCommand;
use crate::policy::types::Micros;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// A random number that identifies one process of a director. Each start draws a new one, so that drains
/// published after a restart without stored state are never confused with those published before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Operators' drains of one server. Each drain is a dot: the incarnation of the director that published it,
/// and a number. An undrain removes only the dots that its director has observed, so a drain that is
/// published concurrently at another director stays in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// Start time of the server process that the drains apply to (Unix microseconds; 0 if unknown). A record
    /// of a later process replaces a record of an earlier one.
    pub started_at: Micros,
    /// The number of the last drain of each incarnation.
    pub drains_by_incarnation: BTreeMap<Incarnation, u32>,
    /// The number of the last drain of each incarnation that an undrain has removed.
    pub undrains_by_incarnation: BTreeMap<Incarnation, u32>,
}

impl DrainRecord {
    /// Returns whether a drain is in force: one that no undrain has removed.
    pub fn is_draining(&self) -> bool {
        self.drains_by_incarnation
            .iter()
            .any(|(incarnation, number)| self.undrains_by_incarnation.get(incarnation) < Some(number))
    }

    /// Returns the command in force.
    pub fn command(&self) -> DrainCommand {
        if self.is_draining() {
            DrainCommand::Drain
        } else {
            DrainCommand::Undrain
        }
    }

    /// Returns the record after a command at the director of this incarnation, for the server process that
    /// started at `started_at`.
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

    /// Returns the record after a drain at the director of this incarnation, for the server process that
    /// started at `started_at`.
    pub fn with_drain(&self, incarnation: Incarnation, started_at: Micros) -> DrainRecord {
        let mut record = self.for_process(started_at);
        let last_drain = record.drains_by_incarnation.get(&incarnation);
        let last = last_drain.max(record.undrains_by_incarnation.get(&incarnation)).copied().unwrap_or(0);
        record.drains_by_incarnation.insert(incarnation, last.saturating_add(1));
        record
    }

    /// Returns the record after an undrain, which removes all drains that this record contains.
    pub fn with_undrain(&self, started_at: Micros) -> DrainRecord {
        let mut record = self.for_process(started_at);
        let observed =
            record.drains_by_incarnation.iter().map(|(incarnation, number)| (*incarnation, *number));
        record.undrains_by_incarnation.extend(observed);
        record
    }

    /// Returns a copy of this record if it applies to the given process or a later one, else an empty record.
    fn for_process(&self, started_at: Micros) -> DrainRecord {
        if started_at > self.started_at {
            return DrainRecord { started_at, ..DrainRecord::default() };
        }
        self.clone()
    }

    /// Returns the number of incarnations that have a dot.
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

/// Merges `theirs` into `ours`, keeping the greater number of each incarnation.
fn merge_numbers(ours: &mut BTreeMap<Incarnation, u32>, theirs: &BTreeMap<Incarnation, u32>) {
    for (incarnation, number) in theirs {
        let known = ours.entry(*incarnation).or_default();
        *known = (*known).max(*number);
    }
}
