//! Results as text, as JSON, and as an HTML page with plots on logarithmic axes that show the budgets.

use super::measurement::Ended;
use super::measurement::Measurement;
use super::regression::{Axis, Form, Regression};
use super::Options;
use crate::reports::scenario::escape;
use crate::scenarios::replay::TestbedError;
use plotters::prelude::*;
use serde::Serialize;

/// Budget of bytes per director and second, received and sent, with headers.
const BUDGET_BYTES: f64 = 12_000.0;
/// Budget of processor time per director, as a share of a core.
const BUDGET_PROCESSOR: f64 = 0.04;
/// Budget of memory per director, in MB.
const BUDGET_MEMORY: f64 = 32.0;
/// Budget of the time from publishing a purge until all directors hold it, in milliseconds.
const BUDGET_TO_ALL: f64 = 6_500.0;

/// A figure of the results that has a budget, a regression and a plot.
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

/// The regression of a figure over the sizes, with its budget.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// Name of the figure.
    pub figure: &'static str,
    /// The regression, or `None` for the reason in [`Line::regression_error`].
    #[serde(rename = "fit")]
    pub regression: Option<Regression>,
    /// Reason why there is no regression.
    #[serde(rename = "unfit")]
    pub regression_error: Option<String>,
    /// Largest allowed value of the figure.
    pub budget: f64,
    /// Value of the regression at the planned size, extrapolated if that is outside of the range.
    pub planned: Option<f64>,
    /// Size at which the regression reaches the budget.
    pub used_up_at: Option<f64>,
}

/// Results of a simulation with all its runs.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Options of the simulation.
    pub options: Options,
    /// The option along which the sizes of the runs differ.
    pub axis: Axis,
    /// Results of the runs, by size.
    pub measured: Vec<Measurement>,
    /// Regressions of all figures with a budget.
    pub lines: Vec<Line>,
}

impl Line {
    fn through(figure: &Figure, axis: Axis, measured: &[Measurement]) -> Line {
        let complete = measured.iter().filter(|run| run.ended == Ended::Complete);
        let points: Vec<(f64, f64)> = complete.map(|run| (axis.size(run), (figure.of)(run))).collect();
        let regression = Regression::calculate(&points);
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
    /// Creates the report of these runs, with the regressions of all figures.
    pub fn new(options: Options, axis: Axis, measured: Vec<Measurement>) -> Report {
        let lines = FIGURES.iter().map(|figure| Line::through(figure, axis, &measured)).collect();
        Report { options, axis, measured, lines }
    }

    /// Returns whether every run was complete and no purge was missed.
    pub fn good(&self) -> bool {
        self.measured.iter().all(|run| run.ended == Ended::Complete && run.missed == 0)
    }

    /// Returns the results as text of several lines.
    pub fn text(&self) -> String {
        let runs: String = self.measured.iter().map(run_text).collect();
        let several = self.measured.len() > 1;
        let lines: String = self.lines.iter().filter(|_| several).map(|line| line.text(self.axis)).collect();
        format!("{:?}, seed {}\n{runs}{lines}", self.options.scenario, self.options.seed)
    }

    /// Returns an HTML page with the results, the plots and the regressions.
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
