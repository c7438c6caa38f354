//! Counts of the servers' events and of the outcomes of requests, for the report.

use super::{Load, BIN_MS};
use crate::checks::slow_start_budget::SlowStartUse;
use crate::load::clients::{End, RequestRecord};
use crate::scenarios::scenario::Scenario;
use crate::servers::emulated::ServerEvent;
use crate::servers::model::{Role, ServerSpec};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};

/// The servers' requests, their use of the slow start budget, and the rules they saw broken.
pub(super) struct ServerActivity {
    pub(super) load: BTreeMap<String, Load>,
    pub(super) slow_starts: BTreeMap<String, SlowStartUse>,
    pub(super) breaches: Vec<String>,
}

impl ServerActivity {
    pub(super) fn new(
        scenario: &Scenario,
        specs: &BTreeMap<String, ServerSpec>,
        zero_ms: u64,
        events: &[(String, ServerEvent)],
    ) -> ServerActivity {
        let tenths = (scenario.seconds * 1e3 / BIN_MS as f64).ceil() as usize;
        let empty = || Load { tenths: vec![0; tenths], ..Load::default() };
        let load = specs.keys().map(|name| (name.clone(), empty())).collect();
        let mut activity = ServerActivity { load, slow_starts: BTreeMap::new(), breaches: Vec::new() };
        let mut runs: HashMap<String, u32> = HashMap::new();
        for (name, event) in events {
            match event {
                ServerEvent::Asked { ms, request: ask, full } => {
                    let bin = ms.checked_sub(zero_ms).map(|ms| (ms / BIN_MS) as usize);
                    let Some(bin) = bin.filter(|bin| *bin < tenths) else { continue };
                    activity.count_request(name, bin, ask.by.is_empty(), *full);
                }
                ServerEvent::Ran(id) => *runs.entry(id.clone()).or_default() += 1,
                ServerEvent::Fell { ms, warming_up: cold } => {
                    let at = (*ms as f64 - zero_ms as f64) / 1e3;
                    let origin = specs.get(name).is_some_and(|s| s.role == Role::Origin);
                    // An origin that stops is a fault and breaks no rule, and neither does an overloaded warm
                    // server.
                    if *cold && !origin {
                        let breach = format!("{name} was pushed over while it was cold, at {at:.3} s");
                        activity.breaches.push(breach);
                    }
                }
                ServerEvent::Drained(id) => {
                    let breach = format!("{name} got {id} over a second after it was told to drain");
                    activity.breaches.push(breach);
                }
                ServerEvent::SlowStart(window) => {
                    activity.slow_starts.entry(name.clone()).or_default().add(window);
                }
                ServerEvent::Listens(_) => {}
            }
        }
        let twice = runs.iter().filter(|run| *run.1 > 1);
        activity.breaches.extend(twice.map(|run| format!("write {} ran {} times", run.0, run.1)));
        activity
    }

    fn count_request(&mut self, server: &str, bin: usize, of_director: bool, full: bool) {
        let Some(load) = self.load.get_mut(server) else { return };
        if of_director {
            load.tenths[bin] += 1;
        } else {
            load.fills += 1;
        }
        load.full += u64::from(full);
    }
}

/// The outcomes of clients' requests, from the start of the measured load on.
pub(super) struct RequestSummary {
    pub(super) ends: BTreeMap<String, u64>,
    /// Requests, and those served within the latency objective, by second.
    pub(super) service: Vec<(u64, u64)>,
    /// Latencies of served requests, in microseconds.
    latencies: Histogram<u64>,
}

impl RequestSummary {
    pub(super) fn new(scenario: &Scenario, ended: &[RequestRecord]) -> RequestSummary {
        let mut summary = RequestSummary {
            ends: BTreeMap::new(),
            service: vec![(0, 0); scenario.seconds.ceil() as usize],
            latencies: Histogram::new(3).unwrap_or_else(|_| unreachable!("3 digits are allowed")),
        };
        for request in ended.iter().filter(|request| request.at >= 0.0) {
            let name = serde_json::to_value(request.end).ok().and_then(|v| v.as_str().map(str::to_owned));
            *summary.ends.entry(name.unwrap_or_default()).or_insert(0) += 1;
            if request.end == End::Served {
                let _ = summary.latencies.record((request.took * 1e3) as u64);
            }
            let there = !matches!(request.end, End::Unreached | End::Cut | End::Left);
            if let Some(second) = summary.service.get_mut(request.at as usize).filter(|_| there) {
                second.0 += 1;
                second.1 += u64::from(request.in_time);
            }
        }
        summary
    }

    pub(super) fn in_time(&self) -> f64 {
        let (all, good) = self.service.iter().fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
        good as f64 / all.max(1) as f64
    }

    /// Returns a quantile of the latencies in milliseconds, or 0 if no request was served.
    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1e3
    }
}
