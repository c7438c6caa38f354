//! Lines through the figures of several sizes, with how far each figure lies from its line.

use super::measurement::Measurement;
use serde::Serialize;

/// Sizes that a fit needs at least.
pub const SIZES: usize = 3;
/// The largest of them is so many times the smallest at least.
pub const SPAN: f64 = 10.0;
/// A line is said to hold where no figure lies further from it than this share of the figure.
pub const HOLDS: f64 = 0.1;

/// No size from here on is told: a line says nothing about it.
const FARTHEST: f64 = 1e9;

/// Along what sizes differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Axis {
    /// Directors.
    Directors,
    /// Purges a second in the whole fleet.
    Purges,
    /// Entries held by each director.
    #[serde(rename = "Held")]
    InitialEntries,
}

impl Axis {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Axis::Directors => "directors",
            Axis::Purges => "purges a second",
            Axis::InitialEntries => "entries held",
        }
    }

    /// The size that the scenario of the next two years asks for. Held: ten minutes of 99 purges a second.
    pub fn planned(self) -> f64 {
        match self {
            Axis::Directors => 13_000.0,
            Axis::Purges => 99.0,
            Axis::InitialEntries => 59_400.0,
        }
    }

    /// A run's size along it.
    pub fn size(self, run: &Measurement) -> f64 {
        f64::from(match self {
            Axis::Directors => run.directors,
            Axis::Purges => run.purges,
            Axis::InitialEntries => run.initial_entries,
        })
    }
}

/// What is drawn from a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Form {
    /// The size itself.
    Linear,
    /// Its natural logarithm.
    Logarithmic,
}

impl Form {
    fn of(self, size: f64) -> f64 {
        match self {
            Form::Linear => size,
            Form::Logarithmic => size.ln(),
        }
    }
}

/// Why there is no line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegressionError {
    /// Too few sizes.
    #[error("a fit needs {SIZES} sizes at least")]
    Sizes,
    /// Sizes too near to each other, or zero.
    #[error("a fit needs a largest size of {SPAN} times the smallest, which is above zero")]
    Span,
    /// Figures that no line goes through.
    #[error("no line goes through these figures")]
    Figures,
}

/// A line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Regression {
    /// What it is drawn over.
    pub form: Form,
    /// Its value where the form is zero.
    pub intercept: f64,
    /// What a size more (or e times the size) adds.
    pub slope: f64,
    /// How far each figure lies above the line, as a share of the figure.
    pub residuals: Vec<f64>,
    /// The smallest and the largest size.
    pub range: (f64, f64),
}

impl Regression {
    /// The line of least squares through sizes and figures, in the form that lies nearer to them.
    pub fn through(points: &[(f64, f64)]) -> Result<Regression, RegressionError> {
        if points.len() < SIZES {
            return Err(RegressionError::Sizes);
        }
        let smallest = points.iter().map(|p| p.0).fold(f64::INFINITY, f64::min);
        let largest = points.iter().map(|p| p.0).fold(0.0, f64::max);
        if smallest <= 0.0 || largest < SPAN * smallest {
            return Err(RegressionError::Span);
        }
        let linear = Regression::in_form(Form::Linear, points, (smallest, largest))?;
        let logarithmic = Regression::in_form(Form::Logarithmic, points, (smallest, largest))?;
        Ok(if logarithmic.worst() < linear.worst() { logarithmic } else { linear })
    }

    fn in_form(form: Form, points: &[(f64, f64)], range: (f64, f64)) -> Result<Regression, RegressionError> {
        let drawn: Vec<(f64, f64)> = points.iter().map(|(size, figure)| (form.of(*size), *figure)).collect();
        let (slope, intercept): (f64, f64) =
            linreg::linear_regression_of(&drawn).map_err(|_| RegressionError::Figures)?;
        let mut regression = Regression { form, intercept, slope, residuals: Vec::new(), range };
        let share = |(size, figure): &(f64, f64)| {
            (figure - regression.at(*size)) / figure.abs().max(f64::MIN_POSITIVE)
        };
        regression.residuals = points.iter().map(share).collect();
        Ok(regression)
    }

    /// The line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * self.form.of(size)
    }

    /// The largest residual.
    pub fn worst(&self) -> f64 {
        self.residuals.iter().map(|share| share.abs()).fold(0.0, f64::max)
    }

    /// Whether the line holds over its range.
    pub fn holds(&self) -> bool {
        self.worst() <= HOLDS
    }

    /// The size at which the line reaches a value; none: it does not as it grows, or far out of any use.
    pub fn reaches(&self, value: f64) -> Option<f64> {
        if self.slope <= 0.0 {
            return None;
        }
        let drawn = (value - self.intercept) / self.slope;
        let size = match self.form {
            Form::Linear => drawn,
            Form::Logarithmic => drawn.exp(),
        };
        (size > 0.0 && size < FARTHEST).then_some(size)
    }
}
