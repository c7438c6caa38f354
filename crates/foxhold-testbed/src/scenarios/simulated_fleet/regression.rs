//! Least-squares regressions of a figure over several sizes, with the residual of each figure.

use super::measurement::Measurement;
use serde::Serialize;

/// Smallest number of sizes for a regression.
pub const MIN_SIZES: usize = 3;
/// Smallest ratio of the largest size to the smallest.
pub const MIN_SPAN: f64 = 10.0;
/// A regression holds if no residual is larger than this share of the figure.
pub const MAX_RESIDUAL: f64 = 0.1;

/// Sizes from this value on are not reported, because the regression says nothing about them.
const MAX_REPORTED_SIZE: f64 = 1e9;

/// The option along which the sizes of the runs differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Axis {
    /// Number of directors in the fleet.
    Directors,
    /// Purges a second in the whole fleet.
    Purges,
    /// Entries held by each director.
    #[serde(rename = "Held")]
    InitialEntries,
}

impl Axis {
    /// Returns the axis's name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Axis::Directors => "directors",
            Axis::Purges => "purges a second",
            Axis::InitialEntries => "entries held",
        }
    }

    /// Returns the size that is planned for the next two years. Entries held: ten minutes of 99 purges a
    /// second.
    pub fn planned(self) -> f64 {
        match self {
            Axis::Directors => 13_000.0,
            Axis::Purges => 99.0,
            Axis::InitialEntries => 59_400.0,
        }
    }

    /// Returns a run's size along the axis.
    pub fn size(self, run: &Measurement) -> f64 {
        f64::from(match self {
            Axis::Directors => run.directors,
            Axis::Purges => run.purges,
            Axis::InitialEntries => run.initial_entries,
        })
    }
}

/// The function of the size that a regression is linear in.
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

/// Reason why no regression can be calculated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegressionError {
    /// There are fewer than [`MIN_SIZES`] points.
    #[error("no regression: expected figures for at least {MIN_SIZES} sizes")]
    Sizes,
    /// The largest size is less than [`MIN_SPAN`] times the smallest, or a size is not above zero.
    #[error("no regression: expected sizes above zero, the largest at least {MIN_SPAN} times the smallest")]
    Span,
    /// The slope or the mean of the figures is not finite.
    #[error("no regression: the slope or the mean of the figures is not finite")]
    Figures,
}

/// A least-squares regression line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Regression {
    /// The function of the size that the line is linear in.
    pub form: Form,
    /// Value of the line where the function of the size is zero.
    pub intercept: f64,
    /// Increase of the value when the size grows by one (`Linear`) or by a factor of e (`Logarithmic`).
    pub slope: f64,
    /// Difference between each figure and the line, as a share of the figure; negative below the line.
    pub residuals: Vec<f64>,
    /// Smallest and largest size of the data.
    pub range: (f64, f64),
}

impl Regression {
    /// Calculates the regression of figures over sizes, in the form whose largest residual is smaller.
    pub fn calculate(points: &[(f64, f64)]) -> Result<Regression, RegressionError> {
        if points.len() < MIN_SIZES {
            return Err(RegressionError::Sizes);
        }
        let smallest = points.iter().map(|p| p.0).fold(f64::INFINITY, f64::min);
        let largest = points.iter().map(|p| p.0).fold(0.0, f64::max);
        if smallest <= 0.0 || largest < MIN_SPAN * smallest {
            return Err(RegressionError::Span);
        }
        let linear = Regression::in_form(Form::Linear, points, (smallest, largest))?;
        let logarithmic = Regression::in_form(Form::Logarithmic, points, (smallest, largest))?;
        Ok(if logarithmic.worst() < linear.worst() { logarithmic } else { linear })
    }

    fn in_form(form: Form, points: &[(f64, f64)], range: (f64, f64)) -> Result<Regression, RegressionError> {
        let transformed: Vec<(f64, f64)> =
            points.iter().map(|(size, figure)| (form.of(*size), *figure)).collect();
        let (slope, intercept): (f64, f64) =
            linreg::linear_regression_of(&transformed).map_err(|_| RegressionError::Figures)?;
        let mut regression = Regression { form, intercept, slope, residuals: Vec::new(), range };
        let share = |(size, figure): &(f64, f64)| {
            (figure - regression.at(*size)) / figure.abs().max(f64::MIN_POSITIVE)
        };
        regression.residuals = points.iter().map(share).collect();
        Ok(regression)
    }

    /// Returns the line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * self.form.of(size)
    }

    /// Returns the largest absolute residual, as a share of its figure.
    pub fn worst(&self) -> f64 {
        self.residuals.iter().map(|share| share.abs()).fold(0.0, f64::max)
    }

    /// Returns whether the line holds over its range: no residual exceeds [`MAX_RESIDUAL`].
    pub fn holds(&self) -> bool {
        self.worst() <= MAX_RESIDUAL
    }

    /// Returns the size at which the line reaches a value, or `None` if the line does not rise or the size is
    /// beyond any practical use.
    pub fn reaches(&self, value: f64) -> Option<f64> {
        if self.slope <= 0.0 {
            return None;
        }
        let transformed = (value - self.intercept) / self.slope;
        let size = match self.form {
            Form::Linear => transformed,
            Form::Logarithmic => transformed.exp(),
        };
        (size > 0.0 && size < MAX_REPORTED_SIZE).then_some(size)
    }
}
