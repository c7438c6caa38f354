//! Admission control: shares of requests admitted to the zone's link and to the origin, and load shedding.

use crate::policy::estimators::admitted_share::{AdmittedShare, AimdSteps};
use crate::policy::estimators::service_time::ServiceTime;
use crate::policy::random::RandomSequence;
use crate::policy::requests::PendingRequest;
use crate::policy::types::{AttemptEnd, CacheStatus, Micros, Outcome, Settings};

/// How observations move the admitted shares; both directions balance at one congested fill in four.
const ADMISSION_STEPS: AimdSteps = AimdSteps { decrease_factor: 0.7, increase: 0.12, min_share: 0.05 };
/// The zone's link is congested if a fill's bytes take over this multiple of their transfer time.
const CONGESTED_FILL_RATIO: f64 = 1.75;
/// Time that a hit takes beside its transfer time, in microseconds.
pub(super) const HIT_OVERHEAD: f64 = 10_000.0;
/// Name of the value in load reports that holds the transfers on the zone's link, relative to what it carries
/// at full rate.
const LINK_UTILIZATION_NAME: &str = "x1";
/// Desired utilization of the zone's link, where caches report it.
const TARGET_LINK_UTILIZATION: f64 = 1.2;
/// Exponent of the correction towards that utilization.
const LINK_CORRECTION_EXPONENT: f64 = 0.7;
/// A request is rejected when its predicted response time is over this share of the time to its objective.
const MAX_PREDICTED_SHARE: f64 = 0.85;

/// What the end of a fill tells of the resources that all fills share: whether each was congested; `None` if
/// it tells nothing.
struct FillObservation {
    zone_link: Option<bool>,
    origin: Option<bool>,
}

/// A fill that ended, as far as admission needs it.
pub(super) struct EndedFill<'a> {
    pub(super) end: &'a AttemptEnd,
    /// The request's transfer time, in microseconds.
    pub(super) transfer_time: f64,
    /// It named a source and took most of the time to the latency objective.
    pub(super) is_slow: bool,
    pub(super) from_origin: bool,
}

/// Shares of requests that are admitted to resources which all fills share.
#[derive(Default)]
pub(super) struct AdmissionControl {
    /// The zone's link, as a share of the requests of the class of the largest objects.
    zone_link: AdmittedShare,
    origin: AdmittedShare,
}

impl AdmissionControl {
    /// Whether a fill may use the zone's link. Classes of small objects are admitted longest: `relative_size`
    /// is the class's mean transfer time relative to that of the largest. Within a class all sizes are alike.
    pub(super) fn admits_to_zone_link(&self, relative_size: f64, random: &mut RandomSequence) -> bool {
        random.next_unit() <= self.zone_link.value().powf(relative_size)
    }

    /// Whether a fill may be fetched from the origin.
    pub(super) fn admits_to_origin(&self, random: &mut RandomSequence) -> bool {
        self.origin.is_full() || random.next_unit() <= self.origin.value()
    }

    /// Takes what the end of a fill tells.
    pub(super) fn observe_fill(&mut self, fill: &EndedFill) {
        let Some(observation) = self.interpret(fill) else { return };
        if let Some(congested) = observation.zone_link {
            self.zone_link.observe(congested, ADMISSION_STEPS);
        }
        if let Some(congested) = observation.origin {
            self.origin.observe(congested, ADMISSION_STEPS);
        }
    }

    /// The link is congested if a fill's bytes were slow, did not arrive or found no slot. The origin, from
    /// which all parents fetch, is congested if the wait for it was too long or it rejected the fetch.
    fn interpret(&self, fill: &EndedFill) -> Option<FillObservation> {
        let end = fill.end;
        let bytes_elapsed = end.elapsed.saturating_sub(end.source_wait) as f64;
        let slow_bytes = bytes_elapsed > CONGESTED_FILL_RATIO * (fill.transfer_time + HIT_OVERHEAD);
        let (zone_link, origin) = match (end.outcome, end.cache_status) {
            (Outcome::Ok, CacheStatus::Filled) => (Some(slow_bytes), None),
            (Outcome::Ok, CacheStatus::FilledFromOrigin) => {
                (Some(slow_bytes), Some(fill.is_slow && end.source_wait > end.elapsed / 2))
            }
            (Outcome::Rejected, CacheStatus::FillLimitReached) => (Some(true), None),
            (Outcome::Rejected, CacheStatus::OriginFailed) => (None, Some(true)),
            (Outcome::Rejected, CacheStatus::SourceRejected) if fill.from_origin => (None, Some(true)),
            // It is unknown which of the two delayed it: it counts against an origin known to be congested.
            (Outcome::Cancelled | Outcome::TimedOut, _) if fill.is_slow => {
                (Some(true), (!self.origin.is_full()).then_some(true))
            }
            _ => return None,
        };
        Some(FillObservation { zone_link, origin })
    }

    /// Takes a cache's report of the zone's link, which all fills share: it tells at once what the ends of
    /// fills tell late.
    pub(super) fn observe_load_report(&mut self, settings: &Settings, report: &[f64]) {
        let index = settings.load_report.iter().position(|name| name == LINK_UTILIZATION_NAME);
        if let Some(utilization) = index.and_then(|index| report.get(index)) {
            let floor = TARGET_LINK_UTILIZATION / 2.0;
            let factor = (TARGET_LINK_UTILIZATION / utilization.max(floor)).powf(LINK_CORRECTION_EXPONENT);
            self.zone_link.scale(factor, ADMISSION_STEPS);
        }
    }
}

/// Whether a cache that is `congestion` times as slow as when idle would respond too late to be of much use.
/// While it is not congested a rejection relieves nobody: only what can't be sent in time is shed.
pub(super) fn would_miss_objective(
    pending: &PendingRequest,
    class: &ServiceTime,
    congestion: f64,
    now: Micros,
) -> bool {
    let time_left = pending.time_to_objective(now);
    if congestion <= 1.0 {
        return pending.transfer_time > time_left;
    }
    let predicted = class.overhead.min(pending.transfer_time) + pending.transfer_time * congestion;
    predicted > MAX_PREDICTED_SHARE * time_left
}
