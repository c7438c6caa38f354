//! The figures as text, as JSON, and as a page with plots on logarithmic axes with the budget drawn in.

use super::measurement::Ended;
use super::measurement::Measurement;
use super::regression::{Axis, Form, Regression};
use super::Options;
use crate::reports::scenario::escape;
use crate::scenarios::replay::TestbedError;
use plotters::prelude::*;
use serde::Serialize;

/// Bytes a second and director, both ways with headers.
const BUDGET_BYTES: f64 = 12_000.0;
/// Share of a core.
const BUDGET_PROCESSOR: f64 = 0.04;
/// MB of a director.
const BUDGET_MEMORY: f64 = 32.0;
/// Milliseconds from a purge told until it is everywhere.
const BUDGET_TO_ALL: f64 = 6_500.0;

/// A figure that is fitted and drawn.
struct Figure {
    name: &'static str,
    of: fn(&Measurement) -> f64,
    budget: f64,
}

const FIGURES: [Figure; 5] = [
    Figure { name: "bytes a second, both ways", of: |m| m.bytes_in + m.bytes_out, budget: BUDGET_BYTES },
    Figure { name: "share of a core", of: |m| m.processor, budget: BUDGET_PROCESSOR },
    Figure { name: "memory, MB", of: |m| m.memory_mb, budget: BUDGET_MEMORY },
    Figure { name: "to all, p50, ms", of: |m| m.to_all.p50, budget: BUDGET_TO_ALL },
    Figure { name: "to all, p99.9, ms", of: |m| m.to_all.p999, budget: BUDGET_TO_ALL },
];

/// A figure's line over the sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// The figure.
    pub figure: &'static str,
    /// The line; none: [`Line::regression_error`] says why.
    #[serde(rename = "fit")]
    pub regression: Option<Regression>,
    /// Why there is none.
    #[serde(rename = "unfit")]
    pub regression_error: Option<String>,
    /// Its budget.
    pub budget: f64,
    /// Its value at the scenarioned size, extrapolated where that is out of the range.
    pub planned: Option<f64>,
    /// The size at which the budget is used up.
    pub used_up_at: Option<f64>,
}

/// All that came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// What was asked for.
    pub options: Options,
    /// Along what sizes differ.
    pub axis: Axis,
    /// By size.
    pub measured: Vec<Measurement>,
    /// The lines.
    pub lines: Vec<Line>,
}

impl Line {
    fn through(figure: &Figure, axis: Axis, measured: &[Measurement]) -> Line {
        let complete = measured.iter().filter(|run| run.ended == Ended::Complete);
        let points: Vec<(f64, f64)> = complete.map(|run| (axis.size(run), (figure.of)(run))).collect();
        let regression = Regression::through(&points);
        let regression_error = regression.as_ref().err().map(ToString::to_string);
        let regression = regression.ok();
        let planned = regression.as_ref().map(|regression| regression.at(axis.planned()));
        let used_up_at = regression.as_ref().and_then(|regression| regression.reaches(figure.budget));
        Line { figure: figure.name, regression, regression_error, budget: figure.budget, planned, used_up_at }
    }

    fn text(&self, axis: Axis) -> String {
        let Some(regression) = &self.regression else {
            return format!("{}: {}\n", self.figure, self.regression_error.as_deref().unwrap_or_default());
        };
        let over = match regression.form {
            Form::Linear => axis.name().to_owned(),
            Form::Logarithmic => format!("ln({})", axis.name()),
        };
        let residuals: Vec<String> =
            regression.residuals.iter().map(|share| format!("{:+.1}%", share * 100.0)).collect();
        let holds = if regression.holds() { "holds" } else { "DOES NOT HOLD" };
        let (planned, (from, to)) = (axis.planned(), regression.range);
        let beyond = if (from..=to).contains(&planned) { "within the range" } else { "extrapolated" };
        let used_up = self.used_up_at.map_or("not by this line".to_owned(), |size| format!("at {size:.0}"));
        format!(
            "{}: {:.5} + {:.7} x {over}, {holds} over {from} to {to}, residuals {}\n  at {planned}: {:.4} ({beyond}); \
             budget {} used up {used_up}\n",
            self.figure,
            regression.intercept,
            regression.slope,
            residuals.join(" "),
            self.planned.unwrap_or(f64::NAN),
            self.budget,
        )
    }
}

impl Report {
    /// Of these runs.
    pub fn new(options: Options, axis: Axis, measured: Vec<Measurement>) -> Report {
        let lines = FIGURES.iter().map(|figure| Line::through(figure, axis, &measured)).collect();
        Report { options, axis, measured, lines }
    }

    /// Whether every run was complete, and every purge everywhere.
    pub fn good(&self) -> bool {
        self.measured.iter().all(|run| run.ended == Ended::Complete && run.missed == 0)
    }

    /// The figures in some lines.
    pub fn text(&self) -> String {
        let runs: String = self.measured.iter().map(run_text).collect();
        let several = self.measured.len() > 1;
        let lines: String = self.lines.iter().filter(|_| several).map(|line| line.text(self.axis)).collect();
        format!("{:?}, seed {}\n{runs}{lines}", self.options.scenario, self.options.seed)
    }

    /// One page with the figures, the plots and the lines.
    pub fn page(&self) -> Result<String, TestbedError> {
        let mut page = format!(
            "<!doctype html><meta charset=utf-8><title>Hollow directors</title><style>body{{font:15px \
             sans-serif;margin:2em}}</style><h1>Hollow directors</h1><pre>{}</pre>",
            escape(&self.text())
        );
        for (figure, line) in FIGURES.iter().zip(&self.lines) {
            page += &self.plot(figure, line)?;
        }
        let options = serde_json::to_string_pretty(&self.options)?;
        page += &format!("<h2>What was asked for, to be run again</h2><pre>{}</pre>", escape(&options));
        Ok(page)
    }

    fn plot(&self, figure: &Figure, line: &Line) -> Result<String, TestbedError> {
        let all = self.measured.iter().map(|run| (self.axis.size(run), (figure.of)(run)));
        let points: Vec<(f64, f64)> = all.filter(|(size, figure)| *size > 0.0 && *figure > 0.0).collect();
        let Some(first) = points.first() else { return Ok(String::new()) };
        let last = points.last().map_or(first.0, |p| p.0).max(self.axis.planned()) * 1.2;
        let lowest = points.iter().map(|p| p.1).fold(figure.budget, f64::min) / 2.0;
        let highest = points.iter().map(|p| p.1).fold(figure.budget, f64::max) * 2.0;
        let sizes = (0..=50).map(|step| first.0 * (last / first.0).powf(f64::from(step) / 50.0));
        let fitted: Vec<(f64, f64)> = line
            .regression
            .iter()
            .flat_map(|regression| sizes.clone().map(|size| (size, regression.at(size))))
            .collect();
        let fitted = fitted.into_iter().filter(|p| (lowest..=highest).contains(&p.1));
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, (900, 300)).into_drawing_area();
            let mut chart = ChartBuilder::on(&area)
                .caption(
                    format!("{} by {}; red: the budget", figure.name, self.axis.name()),
                    ("sans-serif", 16),
                )
                .margin(8)
                .x_label_area_size(28)
                .y_label_area_size(64)
                .build_cartesian_2d((first.0 / 1.2..last).log_scale(), (lowest..highest).log_scale())
                .map_err(|e| e.to_string())?;
            chart.configure_mesh().draw().map_err(|e| e.to_string())?;
            let budget = [(first.0, figure.budget), (last, figure.budget)];
            chart.draw_series(LineSeries::new(budget, RED)).map_err(|e| e.to_string())?;
            chart.draw_series(LineSeries::new(fitted, BLUE.mix(0.4))).map_err(|e| e.to_string())?;
            let dots = points.iter().map(|point| Circle::new(*point, 4, BLUE.filled()));
            chart.draw_series(dots).map_err(|e| e.to_string())?;
            area.present().map_err(|e| e.to_string())?;
        }
        Ok(svg)
    }
}

fn run_text(run: &Measurement) -> String {
    let healed =
        run.healed_ms.map_or(String::new(), |ms| format!("; all told before the heal {ms:.0} ms after it"));
    let catching_up = match run.catching_up {
        0 => String::new(),
        some => format!(", {some} STILL CAUGHT UP when measuring began"),
    };
    format!(
        "{} directors, {} purges/s, {} held: {:?}{catching_up}; in {:.0} B/s in {:.1} datagrams ({:.0} B/s without headers), out \
         {:.0} B/s in {:.1}, busiest {:.0} B/s both ways, {:.1}% between regions\n  processor {:.3}%, longest handler \
         {:.2} ms, memory {:.2} MB, {:.0} entries of {:.0} B; to all p50 {:.0} p99 {:.0} p99.9 {:.0} max {:.0} ms of {}, \
         to each p50 {:.0} p99.9 {:.0} ms; missed {}{healed}; {} events, {:.1} s\n",
        run.directors,
        run.purges,
        run.initial_entries,
        run.ended,
        run.bytes_in,
        run.datagrams_in,
        run.payload_in,
        run.bytes_out,
        run.datagrams_out,
        run.busiest_bytes,
        run.between_regions * 100.0,
        run.processor * 100.0,
        run.longest_handler_ms,
        run.memory_mb,
        run.entries,
        run.entry_bytes / run.entries.max(1.0),
        run.to_all.p50,
        run.to_all.p99,
        run.to_all.p999,
        run.to_all.max,
        run.to_all.count,
        run.to_each.p50,
        run.to_each.p999,
        run.missed,
        run.events,
        run.wall_s,
    )
}
