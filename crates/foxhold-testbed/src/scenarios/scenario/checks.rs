//! Checks of a scenario before it is run.

use super::{Fault, FaultKind, Scenario, ScenarioError, MAX_PROCESSES, MAX_REQUESTS, MAX_SECONDS};

/// Why a fault can't be injected.
#[derive(Debug, thiserror::Error)]
enum FaultError {
    #[error("at {0} is outside of the run")]
    OutsideOfRun(f64),
    #[error("who: nobody here is called '{0}'")]
    UnknownParticipant(String),
    #[error("breach: the rule to break is missing")]
    MissingBreach,
    #[error("directors talk only where the plan says peers: true")]
    WithoutGossip,
    #[error("by: is not one director")]
    NotOneDirector,
    #[error("by: the director that is told is missing")]
    MissingDirector,
    #[error("to: nobody here is called '{0}'")]
    UnknownOtherEnd(String),
}

impl Scenario {
    /// Whether it can be run.
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
            return error("directors", format!("{processes} processes in all, {MAX_PROCESSES} at most"));
        }
        if !(0.1..=MAX_SECONDS).contains(&self.seconds) {
            return error("seconds", format!("{} is not between 0.1 and {MAX_SECONDS}", self.seconds));
        }
        if !(self.rate > 0.0 && self.rate * self.seconds <= MAX_REQUESTS) {
            return error("rate", format!("over all the time 1 to {MAX_REQUESTS} requests"));
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

    /// Whether a fault can be injected; the error says what is wrong.
    fn check_fault(&self, fault: &Fault) -> Result<(), FaultError> {
        if !(0.0..=self.seconds).contains(&fault.at) {
            return Err(FaultError::OutsideOfRun(fault.at));
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
            return Err(FaultError::NotOneDirector);
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
