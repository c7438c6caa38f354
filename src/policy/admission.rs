//! Admission control: shares of requests admitted to the zone's link and to the origin, and load shedding.

use crate::policy::estimators::admitted_share::{AdmittedShare, AimdSteps};
use crate::policy::estimators::service_time::ServiceTime;
use crate::policy::random::RandomSequence;
use crate::policy::requests::PendingRequest;
use crate::policy::types::{AttemptEnd, CacheStatus, Micros, Outcome, Settings};

/// Steps of the admitted shares. Increases and decreases balance when one fill in four is congested.
const ADMISSION_STEPS: AimdSteps = AimdSteps { decrease_factor: 0.7, increase: 0.12, min_share: 0.05 };
/// The zone's link is congested if the bytes of a fill take longer than this multiple of the expected time
/// for a hit of the same size.
const CONGESTED_FILL_RATIO: f64 = 1.75;
/// Time that a hit takes in addition to its transfer time, in microseconds.
pub(super) const HIT_OVERHEAD: f64 = 10_000.0;
/// Name of the load report value for the utilization of the zone's link: its transfers, relative to the
/// number that it carries at full rate.
const LINK_UTILIZATION_NAME: &str = "x1";
/// Target utilization of the zone's link, where caches report it.
const TARGET_LINK_UTILIZATION: f64 = 1.2;
/// Exponent of the correction towards [`TARGET_LINK_UTILIZATION`]; below 1 corrects only in part.
const LINK_CORRECTION_EXPONENT: f64 = 0.7;
/// A request is rejected when its predicted response time exceeds this share of the time left to its latency
/// objective.
const MAX_PREDICTED_SHARE: f64 = 0.85;

/// Congestion of the resources that all fills share, as observed at the end of one fill. `None` if the fill
/// gives no evidence.
struct FillObservation {
    zone_link: Option<bool>,
    origin: Option<bool>,
}

/// The data of an ended fill that admission control uses.
pub(super) struct EndedFill<'a> {
    pub(super) end: &'a AttemptEnd,
    /// The request's transfer time, in microseconds.
    pub(super) transfer_time: f64,
    /// Whether the attempt named a source and took most of the time to the latency objective.
    pub(super) is_slow: bool,
    pub(super) from_origin: bool,
}

/// The admitted shares of requests for the resources that all fills share.
#[derive(Default)]
pub(super) struct AdmissionControl {
    /// Share admitted to the zone's link, for the class with the largest objects.
    zone_link: AdmittedShare,
    origin: AdmittedShare,
}

impl AdmissionControl {
    /// Decides at random whether a fill may use the zone's link. `relative_size` is the mean transfer time of
    /// the request's class relative to the class with the largest objects: classes of small objects are shed
    /// last. The size of the single request has no influence.
    pub(super) fn admits_to_zone_link(&self, relative_size: f64, random: &mut RandomSequence) -> bool {
        random.next_unit() <= self.zone_link.value().powf(relative_size)
    }

    /// Decides at random whether a fill may be fetched from the origin.
    pub(super) fn admits_to_origin(&self, random: &mut RandomSequence) -> bool {
        self.origin.is_full() || random.next_unit() <= self.origin.value()
    }

    /// Adjusts the admitted shares to the end of a fill.
    pub(super) fn observe_fill(&mut self, fill: &EndedFill) {
        let Some(observation) = self.interpret(fill) else { return };
        if let Some(congested) = observation.zone_link {
            self.zone_link.observe(congested, ADMISSION_STEPS);
        }
        if let Some(congested) = observation.origin {
            self.origin.observe(congested, ADMISSION_STEPS);
        }
    }

    /// Derives from the end of a fill whether the zone's link and the origin are congested. The link is
    /// congested if the bytes were slow or did not arrive, or if the cache had no slot for the fill. The
    /// origin, from which all parents fetch, is congested if the wait for it was too long or if it rejected
    /// the fetch.
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
            // Either of the two may have caused the delay. It counts against the link, and against the origin
            // only if the origin is already known to be congested.
            (Outcome::Cancelled | Outcome::TimedOut, _) if fill.is_slow => {
                (Some(true), (!self.origin.is_full()).then_some(true))
            }
            _ => return None,
        };
        Some(FillObservation { zone_link, origin })
    }

    /// Adjusts the link's admitted share to the utilization of the zone's link in a cache's load report. All
    /// fills share the link, and the report shows its congestion earlier than the ends of fills do.
    pub(super) fn observe_load_report(&mut self, settings: &Settings, report: &[f64]) {
        let index = settings.load_report.iter().position(|name| name == LINK_UTILIZATION_NAME);
        if let Some(utilization) = index.and_then(|index| report.get(index)) {
            let floor = TARGET_LINK_UTILIZATION / 2.0;
            let factor = (TARGET_LINK_UTILIZATION / utilization.max(floor)).powf(LINK_CORRECTION_EXPONENT);
            self.zone_link.scale(factor, ADMISSION_STEPS);
        }
    }
}

/// Returns whether a cache that is `congestion` times as slow as when idle would probably miss the request's
/// latency objective: its predicted response time exceeds [`MAX_PREDICTED_SHARE`] of the time left. At a
/// cache that is not congested, a rejection would not help other requests, so only a request whose transfer
/// can't complete in time is shed there.
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
