//! The report on a run of a scenario: figures as JSON, and an HTML page with plots.

mod activity;

use crate::checks::slow_start_budget::SlowStartUse;
use crate::load::clients::RequestLog;
use crate::load::disconnects::SentAfterDisconnect;
use crate::scenarios::replay::TestbedError;
use crate::scenarios::scenario::{FaultKind, Scenario};
use crate::servers::emulated::ServerEvent;
use crate::servers::model::{Role, ServerSpec};
use activity::{RequestSummary, ServerActivity};
use plotters::prelude::*;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Length in milliseconds of the windows in which requests are counted.
const BIN_MS: u64 = 100;

/// What a run observed of its processes.
#[derive(Default)]
pub struct Observations {
    /// Events that servers reported, with the server's name, in order of arrival.
    pub events: Vec<(String, ServerEvent)>,
    /// Log lines in which a director suspected a server: Unix milliseconds, and the director's name.
    pub suspicions: Vec<(u64, String)>,
    /// Unexpected exits of processes, and panics.
    pub panics: Vec<String>,
    /// The address of the discovery service for each director, by the director's name.
    pub discovery_addresses: HashMap<String, String>,
}

/// The requests that a server received.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Load {
    /// Requests of directors in each tenth of a second, from the start of the measured load.
    pub tenths: Vec<u32>,
    /// Requests of other servers, over the whole measured load.
    pub fills: u64,
    /// Requests refused because the server had no free slot.
    pub full: u64,
}

/// The figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// The scenario, with which the run can be repeated.
    #[serde(rename = "plan")]
    pub scenario: Scenario,
    /// Broken rules, crashes and panics; a run with any has failed.
    pub breaches: Vec<String>,
    /// Number of requests by outcome.
    pub ends: BTreeMap<String, u64>,
    /// Share of requests served within the latency objective. Leaves out requests whose director was
    /// unreachable, killed or stopped, and those whose client disconnected.
    pub in_time: f64,
    /// Median latency in milliseconds of served requests, from the intended start to the end of the response.
    pub p50: f64,
    /// 99th percentile of the same latency.
    pub p99: f64,
    /// Ratio of the busiest cache's requests to the mean over all caches, relative to their sizes, in windows
    /// of 1 s: the median over all windows.
    pub busiest: f64,
    /// The largest of these ratios.
    pub busiest_worst: f64,
    /// These ratios, by second.
    pub busiest_by_second: Vec<f64>,
    /// Seconds during which a cache got no requests while the mean over all caches was at least 20 per
    /// second, counted in windows of 2 s and summed over the caches.
    pub idle_cache_s: f64,
    /// Ratio of variance to mean of a cache's requests per tenth of a second, which is 1 for a Poisson
    /// process. The mean over all caches.
    pub dispersion: f64,
    /// Ratio of the busiest tenth of a second within 5 s after a fault to the mean, for the requests of all
    /// directors at all servers.
    pub peak: f64,
    /// The highest such ratio of a single server, to the mean of the servers of its role.
    pub peak_server: f64,
    /// Requests of caches at parents per served request.
    pub parent_fills: f64,
    /// Requests of parents and caches at the origin per served request.
    pub origin_fills: f64,
    /// Attempts for clients that had disconnected.
    pub after_leave: SentAfterDisconnect,
    /// Number of times that a director suspected a server.
    pub suspicions: usize,
    /// Requests by server.
    pub load: BTreeMap<String, Load>,
    /// Use of the slow start budget, by server that started cold.
    #[serde(rename = "cold")]
    pub slow_starts: BTreeMap<String, SlowStartUse>,
    /// Requests, and those served within the latency objective, by second.
    pub service: Vec<(u64, u64)>,
    /// Most requests in flight in each tenth of a second of the measured load.
    pub in_flight: Vec<usize>,
}

/// Returns the caches with their sizes.
fn caches<'a>(
    load: &'a BTreeMap<String, Load>,
    specs: &BTreeMap<String, ServerSpec>,
) -> Vec<(&'a Load, f64)> {
    let cache = |name: &str| specs.get(name).filter(|spec| spec.role == Role::Cache);
    load.iter().filter_map(|(name, load)| Some((load, cache(name)?.link))).collect()
}

/// Returns the most requests in flight by tenth of a second, without the warm-up.
fn after_warm_up(scenario: &Scenario, in_flight: &[usize]) -> Vec<usize> {
    let skipped = (in_flight.len() as f64 - scenario.seconds * 10.0).max(0.0) as usize;
    in_flight.get(skipped..).unwrap_or_default().to_vec()
}

impl RunReport {
    /// Computes the figures of a run. `zero_ms` is the start of the measured load in Unix milliseconds.
    pub(crate) fn new(
        scenario: &Scenario,
        specs: &BTreeMap<String, ServerSpec>,
        zero_ms: u64,
        seen: Observations,
        log: RequestLog,
    ) -> RunReport {
        let mut breaches = log.breaches;
        breaches.extend(seen.panics);
        let (after_leave, late) = SentAfterDisconnect::compute(scenario, zero_ms, &log.left, &seen.events);
        breaches.extend(late);
        let servers = ServerActivity::new(scenario, specs, zero_ms, &seen.events);
        breaches.extend(servers.breaches);
        let requests = RequestSummary::new(scenario, &log.ended);
        let load = servers.load;
        let role = |name: &str| specs.get(name).map(|s| s.role);
        let caches = caches(&load, specs);
        let spread = busiest_to_mean_ratio(&caches);
        let mut sorted = spread.clone();
        sorted.sort_by(f64::total_cmp);
        let served = requests.ends.get("served").copied().unwrap_or(0).max(1) as f64;
        let fills = |which: Role| {
            let of = load.iter().filter(|(name, _)| role(name) == Some(which));
            of.map(|(_, load)| load.fills).sum::<u64>() as f64 / served
        };
        let (peak, peak_server) = peaks(scenario, &load, &role);
        RunReport {
            scenario: scenario.clone(),
            in_time: requests.in_time(),
            p50: requests.quantile_ms(0.5),
            p99: requests.quantile_ms(0.99),
            busiest: sorted.get(sorted.len() / 2).copied().unwrap_or(0.0),
            busiest_by_second: spread,
            busiest_worst: sorted.last().copied().unwrap_or(0.0),
            idle_cache_s: idle_cache_seconds(&caches),
            dispersion: dispersion(&caches),
            peak,
            peak_server,
            parent_fills: fills(Role::Parent),
            origin_fills: fills(Role::Origin),
            after_leave,
            suspicions: seen.suspicions.iter().filter(|s| s.0 >= zero_ms).count(),
            ends: requests.ends,
            service: requests.service,
            in_flight: after_warm_up(scenario, &log.in_flight),
            load,
            slow_starts: servers.slow_starts,
            breaches,
        }
    }

    /// Returns the figures in a few lines of text.
    pub fn summary(&self) -> String {
        let RunReport { ends, in_time, p50, p99, busiest, busiest_worst, .. } = self;
        let ends: Vec<String> = ends.iter().map(|(name, n)| format!("{name} {n}")).collect();
        let mut text = format!(
            "{}: {} directors, {} caches, seed {}\n  {}\n  in time {:.3}, p50 {p50:.1} ms, p99 {p99:.1} ms\n  \
             busiest over mean {busiest:.2} (worst second {busiest_worst:.2}), idle {:.1} cache-seconds, \
             dispersion {:.2}\n  peak after faults {:.2} of the mean, at one server {:.2}; suspicions {}\n  \
             fills at parents {:.3} and at the origin {:.3} a request served\n",
            self.scenario.name,
            self.scenario.directors,
            self.scenario.caches,
            self.scenario.seed,
            ends.join(", "),
            in_time,
            self.idle_cache_s,
            self.dispersion,
            self.peak,
            self.peak_server,
            self.suspicions,
            self.parent_fills,
            self.origin_fills,
        );
        if self.after_leave.clients > 0 {
            let SentAfterDisconnect { clients, attempts, latest_ms, too_late } = self.after_leave;
            text += &format!(
                "  {clients} clients left, {attempts} attempts seen to begin after that, the latest {latest_ms} ms, \
                 {too_late} over the term\n"
            );
        }
        for (name, cold) in &self.slow_starts {
            text += &format!("  {name} while cold: {cold}\n");
        }
        for breach in self.breaches.iter().take(10) {
            text += &format!("  BROKEN: {breach}\n");
        }
        if self.breaches.len() > 10 {
            text += &format!("  and {} more\n", self.breaches.len() - 10);
        }
        text
    }

    /// Returns an HTML page with the figures, the plots and the scenario.
    pub fn page(&self) -> Result<String, TestbedError> {
        let tenths = |v: &[u32]| -> Vec<(f64, f64)> {
            let seconds = v.chunks(10).enumerate();
            seconds.map(|(n, c)| (n as f64, c.iter().sum::<u32>() as f64)).collect()
        };
        let of = |which: &str| -> Vec<(String, Vec<(f64, f64)>)> {
            let named = self.load.iter().filter(|(n, _)| n.starts_with(which));
            named.map(|(n, l)| (n.clone(), tenths(&l.tenths))).collect()
        };
        let line = |name: &str, points: Vec<(f64, f64)>| vec![(name.to_owned(), points)];
        let numbered = |v: Vec<f64>, step: f64| -> Vec<(f64, f64)> {
            v.into_iter().enumerate().map(|(n, y)| (n as f64 * step, y)).collect()
        };
        let share = |s: &(u64, u64)| if s.0 > 0 { s.1 as f64 / s.0 as f64 } else { f64::NAN };
        let in_flight = self.in_flight.iter().map(|n| *n as f64).collect();
        let charts = [
            ("requests a second by cache", of("cache")),
            (
                "busiest cache over the mean, by second",
                line("busiest", numbered(self.busiest_by_second.clone(), 1.0)),
            ),
            (
                "share in time, by second",
                line("in time", numbered(self.service.iter().map(share).collect(), 1.0)),
            ),
            ("requests under way", line("under way", numbered(in_flight, 0.1))),
        ];
        let mut page = format!(
            "<!doctype html><meta charset=utf-8><title>{0}</title><style>body{{font:15px sans-serif;margin:2em}}\
             </style><h1>{0}</h1><pre>{1}</pre>",
            escape(&self.scenario.name),
            escape(&self.summary())
        );
        for (title, lines) in charts {
            page += &self.chart(title, &lines)?;
        }
        let scenario = serde_json::to_string_pretty(&self.scenario)?;
        page += &format!("<h2>The plan, to be played again</h2><pre>{}</pre>", escape(&scenario));
        Ok(page)
    }

    fn chart(&self, title: &str, lines: &[(String, Vec<(f64, f64)>)]) -> Result<String, TestbedError> {
        let points = lines.iter().flat_map(|l| &l.1).filter(|p| p.1.is_finite());
        let top = points.map(|p| p.1).fold(0.0, f64::max).max(1e-9) * 1.1;
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, (900, 260)).into_drawing_area();
            let mut chart = ChartBuilder::on(&area)
                .caption(title, ("sans-serif", 16))
                .margin(8)
                .x_label_area_size(24)
                .y_label_area_size(48)
                .build_cartesian_2d(0.0..self.scenario.seconds, 0.0..top)
                .map_err(|e| e.to_string())?;
            chart.configure_mesh().draw().map_err(|e| e.to_string())?;
            for fault in &self.scenario.faults {
                let end = fault.at + fault.lasts.unwrap_or(0.05);
                let shade = Rectangle::new([(fault.at, 0.0), (end, top)], RED.mix(0.12).filled());
                chart.draw_series([shade]).map_err(|e| e.to_string())?;
                let word = format!("{:?} {}", fault.kind, fault.who);
                let text = Text::new(word, (fault.at, top * 0.97), ("sans-serif", 11));
                chart.draw_series([text]).map_err(|e| e.to_string())?;
            }
            for (n, (_, points)) in lines.iter().enumerate() {
                let points = points.iter().copied().filter(|p| p.1.is_finite());
                let colour = Palette99::pick(n).stroke_width(1);
                chart.draw_series(LineSeries::new(points, colour)).map_err(|e| e.to_string())?;
            }
            area.present().map_err(|e| e.to_string())?;
        }
        Ok(svg)
    }
}

/// Escapes text for HTML.
pub(crate) fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}

/// Returns, by second, the ratio of the busiest cache's requests to the mean over all caches, relative to
/// their sizes.
fn busiest_to_mean_ratio(caches: &[(&Load, f64)]) -> Vec<f64> {
    let seconds = caches.first().map_or(0, |c| c.0.tenths.len() / 10);
    let size = caches.iter().map(|c| c.1).sum::<f64>() / caches.len().max(1) as f64;
    let window =
        |s: usize, c: &(&Load, f64)| c.0.tenths[s * 10..s * 10 + 10].iter().sum::<u32>() as f64 * size / c.1;
    let over = |s: usize| {
        let loads: Vec<f64> = caches.iter().map(|c| window(s, c)).collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        if mean > 0.0 {
            loads.iter().copied().fold(0.0, f64::max) / mean
        } else {
            0.0
        }
    };
    (0..seconds).map(over).collect()
}

/// Returns the seconds during which caches got no requests while the others were busy.
fn idle_cache_seconds(caches: &[(&Load, f64)]) -> f64 {
    let windows = caches.first().map_or(0, |c| c.0.tenths.len() / 20);
    let mut seconds = 0.0;
    for w in 0..windows {
        let loads: Vec<u32> = caches.iter().map(|c| c.0.tenths[w * 20..w * 20 + 20].iter().sum()).collect();
        let mean = loads.iter().sum::<u32>() as f64 / loads.len() as f64;
        if mean >= 40.0 {
            seconds += 2.0 * loads.iter().filter(|l| **l == 0).count() as f64;
        }
    }
    seconds
}

/// Returns the ratio of the variance of counts to their mean.
pub fn variance_to_mean_ratio(counts: &[u32]) -> f64 {
    let n = counts.len() as f64;
    let mean = counts.iter().sum::<u32>() as f64 / n;
    let variance = counts.iter().map(|c| (f64::from(*c) - mean).powi(2)).sum::<f64>() / (n - 1.0);
    variance / mean
}

/// Returns the mean over all caches with requests of their ratio of variance to mean.
fn dispersion(caches: &[(&Load, f64)]) -> f64 {
    let busy = caches.iter().filter(|c| c.0.tenths.len() > 1 && c.0.tenths.iter().any(|t| *t > 0));
    let all: Vec<f64> = busy.map(|c| variance_to_mean_ratio(&c.0.tenths)).collect();
    all.iter().sum::<f64>() / all.len().max(1) as f64
}

/// Returns the ratio of the busiest tenth of a second within 5 s after a fault to the mean, for the whole
/// fleet and for the server where it is highest.
fn peaks(
    scenario: &Scenario,
    load: &BTreeMap<String, Load>,
    role: &dyn Fn(&str) -> Option<Role>,
) -> (f64, f64) {
    let tenths = load.values().next().map_or(0, |l| l.tenths.len());
    let after = |bin: usize| {
        let at = bin as f64 * BIN_MS as f64 / 1e3;
        let faults = scenario.faults.iter().filter(|f| !matches!(f.kind, FaultKind::Burst | FaultKind::Hot));
        let moments =
            faults.flat_map(|f| [Some(f.at), f.lasts.map(|l| f.at + l)]).flatten().collect::<Vec<_>>();
        moments.iter().any(|m| (*m..m + 5.0).contains(&at))
    };
    let bins: Vec<usize> = (0..tenths).filter(|b| after(*b)).collect();
    let sums: Vec<u32> = (0..tenths).map(|b| load.values().map(|l| l.tenths[b]).sum()).collect();
    let mean = sums.iter().sum::<u32>() as f64 / tenths.max(1) as f64;
    let top = bins.iter().map(|b| sums[*b]).max().unwrap_or(0);
    let mut single: f64 = 0.0;
    for which in [Role::Cache, Role::Parent] {
        let of: Vec<&Load> = load.iter().filter(|(n, _)| role(n) == Some(which)).map(|e| e.1).collect();
        let all: u32 = of.iter().flat_map(|l| &l.tenths).sum();
        let mean = f64::from(all) / (of.len() * tenths).max(1) as f64;
        let top = of.iter().flat_map(|l| bins.iter().map(|b| l.tenths[*b])).max().unwrap_or(0);
        // Fewer than ten requests in a tenth of a second are not a burst, even if the mean is far lower.
        if top >= 10 && mean > 0.0 {
            single = single.max(f64::from(top) / mean);
        }
    }
    (if mean > 0.0 { f64::from(top) / mean } else { 0.0 }, single)
}

#[cfg(test)]
mod tests;
