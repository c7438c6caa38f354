//! Checks of a scenario before it is run.

use super::{Fault, FaultKind, Scenario, ScenarioError, MAX_PROCESSES, MAX_REQUESTS, MAX_SECONDS};

/// Reason why a fault can't be injected.
#[derive(Debug, thiserror::Error)]
enum FaultError {
    #[error("at: {at} is not between 0 and {seconds}, the length of the run")]
    OutsideOfRun { at: f64, seconds: f64 },
    #[error("who: '{0}' names no participant of this scenario")]
    UnknownParticipant(String),
    #[error("breach: missing; a fault of kind plant needs the rule to break")]
    MissingBreach,
    #[error("the fault needs gossip between directors: set peers: true")]
    WithoutGossip,
    #[error("by: '{0}' is not the name of one director")]
    NotOneDirector(String),
    #[error("by: missing; undrain needs the director that receives the command")]
    MissingDirector,
    #[error("to: '{0}' names no participant of this scenario")]
    UnknownOtherEnd(String),
}

impl Scenario {
    /// Checks that the scenario can be run: sizes, ranges, and each fault.
    pub fn check(&self) -> Result<(), ScenarioError> {
        self.check_size()?;
        self.check_ranges()?;
        for (n, fault) in self.faults.iter().enumerate() {
            let place = || format!("faults, number {}", n + 1);
            let error = |error: FaultError| ScenarioError { place: place(), what: error.to_string() };
            self.check_fault(fault).map_err(error)?;
        }
        Ok(())
    }

    fn check_size(&self) -> Result<(), ScenarioError> {
        let error = |place: &str, what: String| Err(ScenarioError { place: place.into(), what });
        let processes = self.directors + self.caches + self.parents + 1;
        if processes > MAX_PROCESSES {
            return error(
                "directors",
                format!("{processes} processes in all, at most {MAX_PROCESSES} are allowed"),
            );
        }
        if !(0.1..=MAX_SECONDS).contains(&self.seconds) {
            return error("seconds", format!("{} is not between 0.1 and {MAX_SECONDS}", self.seconds));
        }
        if !(self.rate > 0.0 && self.rate * self.seconds <= MAX_REQUESTS) {
            return error(
                "rate",
                format!("rate times seconds must be positive and at most {MAX_REQUESTS} requests"),
            );
        }
        Ok(())
    }

    fn check_ranges(&self) -> Result<(), ScenarioError> {
        let in_range = [
            ("directors", self.directors > 0),
            ("caches", self.caches > 0),
            ("settle", (0.0..=60.0).contains(&self.warm_up_seconds)),
            ("parents", self.parents > 1),
            ("objects", self.objects > 0),
            ("zipf", self.zipf > 0.0 && self.zipf.is_finite()),
            ("cache_link", self.cache_link > 0.0),
            ("uneven", (0.0..1.0).contains(&self.uneven)),
            ("parent_link", self.parent_link > 0.0),
            ("origin_rate", self.origin_rate > 0.0),
            ("list_late", (0.0..=10.0).contains(&self.list_late)),
            ("often_part", (0.0..=1.0).contains(&self.often_part)),
            ("leave", (0.0..=1.0).contains(&self.leave)),
            ("leave_within_ms", self.leave_within_ms > 0.0 && self.leave_within_ms.is_finite()),
            ("classes", !self.classes.is_empty() && self.classes.iter().all(|c| c.share >= 0.0)),
        ];
        match in_range.iter().find(|(_, good)| !good) {
            Some((key, _)) => Err(ScenarioError { place: (*key).into(), what: "out of range".into() }),
            None => Ok(()),
        }
    }

    /// Checks that a fault can be injected.
    fn check_fault(&self, fault: &Fault) -> Result<(), FaultError> {
        if !(0.0..=self.seconds).contains(&fault.at) {
            return Err(FaultError::OutsideOfRun { at: fault.at, seconds: self.seconds });
        }
        if fault.kind.names_participants() && self.resolve(&fault.who).is_none_or(|w| w.is_empty()) {
            return Err(FaultError::UnknownParticipant(fault.who.clone()));
        }
        if fault.kind == FaultKind::Plant && fault.breach.is_none() {
            return Err(FaultError::MissingBreach);
        }
        let gossips = fault.by.is_some() || matches!(fault.kind, FaultKind::GossipLink | FaultKind::Undrain);
        if gossips && !self.peers {
            return Err(FaultError::WithoutGossip);
        }
        let one = |name: &String| self.resolve(name).filter(|w| w.len() == 1 && name.starts_with("director"));
        if fault.by.as_ref().is_some_and(|by| one(by).is_none()) {
            return Err(FaultError::NotOneDirector(fault.by.clone().unwrap_or_default()));
        }
        if fault.kind == FaultKind::Undrain && fault.by.is_none() {
            return Err(FaultError::MissingDirector);
        }
        let needs_other_end = match fault.kind {
            FaultKind::GossipLink => true,
            FaultKind::Link => fault.to != "board",
            _ => false,
        };
        if needs_other_end && self.resolve(&fault.to).is_none() {
            return Err(FaultError::UnknownOtherEnd(fault.to.clone()));
        }
        Ok(())
    }
}
