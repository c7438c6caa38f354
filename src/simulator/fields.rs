//! Reads the values of one line, in order, with errors that name the field.

use crate::config::settings::json::micros;
use crate::policy::types::{Micros, ObjectId, Outcome, ServerId};

/// A value, or what is wrong with its field.
pub(super) type Parsed<T> = Result<T, String>;

/// The values of one line, taken in order.
pub(super) struct Fields<'a> {
    /// The message's name.
    pub(super) message: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Splits a line into the name of its message and the rest.
    pub(super) fn new(line: &'a str) -> Self {
        let (message, rest) = line.split_once(' ').map_or((line, None), |(m, r)| (m, Some(r)));
        Fields { message, rest }
    }

    /// An error that names the field.
    pub(super) fn bad(&self, field: &str, why: &str) -> String {
        format!("message '{}', field '{field}': {why}", self.message)
    }

    /// The next value; none where it is `-` or missing.
    pub(super) fn optional(&mut self) -> Option<&'a str> {
        let rest = self.rest?;
        let (value, rest) = rest.split_once(' ').map_or((rest, None), |(v, r)| (v, Some(r)));
        self.rest = rest;
        (value != "-" && !value.is_empty()).then_some(value)
    }

    /// The next value, which must be there.
    pub(super) fn text(&mut self, field: &str) -> Parsed<&'a str> {
        self.optional().ok_or_else(|| self.bad(field, "missing"))
    }

    /// All that is left of the line.
    pub(super) fn tail(&mut self, field: &str) -> Parsed<&'a str> {
        self.rest.take().ok_or_else(|| self.bad(field, "missing"))
    }

    /// A whole number.
    pub(super) fn number<T: std::str::FromStr>(&mut self, field: &str) -> Parsed<T> {
        let value = self.text(field)?;
        value.parse().map_err(|_| self.bad(field, &format!("'{value}' is not a whole number in range")))
    }

    /// A whole number, or a default where it is missing.
    pub(super) fn number_or<T: std::str::FromStr>(&mut self, field: &str, none: T) -> Parsed<T> {
        match self.optional() {
            None => Ok(none),
            Some(value) => {
                value.parse().map_err(|_| self.bad(field, &format!("'{value}' is not a number in range")))
            }
        }
    }

    /// A finite number, or a default where it is missing.
    pub(super) fn real_or(&mut self, field: &str, none: f64) -> Parsed<f64> {
        let value: f64 = self.number_or(field, none)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.bad(field, "not a finite number"))
        }
    }

    /// A time in milliseconds, or a default where it is missing.
    pub(super) fn time_or(&mut self, field: &str, none: Micros) -> Parsed<Micros> {
        Ok(micros(self.real_or(field, none as f64 / 1000.0)?))
    }

    /// A time in milliseconds, which must be there.
    pub(super) fn time(&mut self, field: &str) -> Parsed<Micros> {
        let value = self.text(field)?;
        let ms: f64 = value.parse().map_err(|_| self.bad(field, &format!("'{value}' is not a time")))?;
        if ms.is_finite() {
            Ok(micros(ms))
        } else {
            Err(self.bad(field, "not a finite time"))
        }
    }

    /// 0 or 1; a missing one is 0.
    pub(super) fn flag(&mut self, field: &str) -> Parsed<bool> {
        match self.optional() {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.bad(field, &format!("'{value}' is neither 0 nor 1"))),
        }
    }

    /// An object, in hex.
    pub(super) fn object(&mut self, field: &str) -> Parsed<Option<ObjectId>> {
        let Some(value) = self.optional() else { return Ok(None) };
        let id =
            u64::from_str_radix(value, 16).map_err(|_| self.bad(field, &format!("'{value}' is not hex")))?;
        Ok(Some(ObjectId(id)))
    }

    /// The place of a name in a list.
    pub(super) fn place(&mut self, field: &str, names: &[String]) -> Parsed<usize> {
        let value = self.text(field)?;
        names
            .iter()
            .position(|n| n == value)
            .ok_or_else(|| self.bad(field, &format!("'{value}' is not known")))
    }

    /// Numbers with commas between them.
    pub(super) fn row(&mut self, field: &str) -> Parsed<Vec<f64>> {
        let Some(value) = self.optional() else { return Ok(Vec::new()) };
        let parse =
            |v: &str| v.parse::<f64>().map_err(|_| self.bad(field, &format!("'{v}' is not a number")));
        value.split(',').filter(|v| *v != "-").map(parse).collect()
    }

    /// A server.
    pub(super) fn server(&mut self) -> Parsed<ServerId> {
        Ok(ServerId(self.number("cache")?))
    }

    /// An attempt's outcome.
    pub(super) fn outcome(&mut self) -> Parsed<Outcome> {
        Ok(match self.text("code")? {
            "Ok" => Outcome::Ok,
            "Failed" => Outcome::Failed,
            "QueueFull" => Outcome::Rejected,
            "TimedOut" => Outcome::TimedOut,
            "ConnectError" => Outcome::ConnectError,
            "ResetByPeer" => Outcome::Reset,
            "Canceled" => Outcome::Cancelled,
            "Ignored" => Outcome::NotSent,
            "Miss" => Outcome::Miss,
            other => return Err(self.bad("code", &format!("'{other}' is not an outcome"))),
        })
    }
}
