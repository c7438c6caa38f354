//! Reads the fields of one line from left to right. Errors name the message and the field.

use crate::config::settings::json::micros;
use crate::policy::types::{Micros, ObjectId};
use crate::simulator::error::{FieldFault, MessageError};
use std::str::FromStr;

/// The value that marks an absent field.
const ABSENT: &str = "-";

/// A reader of the fields of one line. Each call consumes the next field.
pub(in crate::simulator) struct FieldReader<'a> {
    /// The first word of the line.
    pub(in crate::simulator) message: &'a str,
    rest: Option<&'a str>,
}

impl<'a> FieldReader<'a> {
    /// Splits a line into the name of its message and the fields.
    pub(in crate::simulator) fn new(line: &'a str) -> Self {
        let (message, rest) = split_first(line);
        FieldReader { message, rest }
    }

    /// Creates an error that names the message and the field.
    pub(in crate::simulator) fn error(&self, field: &'static str, fault: FieldFault) -> MessageError {
        MessageError::Field { message: self.message.to_owned(), field, fault }
    }

    /// Reads the next value. Returns `None` if it is absent.
    pub(super) fn optional(&mut self) -> Option<&'a str> {
        let (value, rest) = split_first(self.rest?);
        self.rest = rest;
        (value != ABSENT && !value.is_empty()).then_some(value)
    }

    /// Reads the next value, which must be present.
    pub(super) fn text(&mut self, field: &'static str) -> Result<&'a str, MessageError> {
        self.optional().ok_or_else(|| self.error(field, FieldFault::Missing))
    }

    /// Reads the rest of the line, including its spaces.
    pub(super) fn tail(&mut self, field: &'static str) -> Result<&'a str, MessageError> {
        self.rest.take().ok_or_else(|| self.error(field, FieldFault::Missing))
    }

    /// Reads an integer, which must be present.
    pub(super) fn integer<T: FromStr>(&mut self, field: &'static str) -> Result<T, MessageError> {
        let value = self.text(field)?;
        value.parse().map_err(|_| self.error(field, FieldFault::NotAnInteger(value.to_owned())))
    }

    /// Reads a number. Returns `default` if it is absent.
    pub(super) fn number_or<T: FromStr>(
        &mut self,
        field: &'static str,
        default: T,
    ) -> Result<T, MessageError> {
        let Some(value) = self.optional() else { return Ok(default) };
        value.parse().map_err(|_| self.error(field, FieldFault::NotInRange(value.to_owned())))
    }

    /// Reads a finite number. Returns `default` if it is absent.
    pub(super) fn finite_or(&mut self, field: &'static str, default: f64) -> Result<f64, MessageError> {
        let value: f64 = self.number_or(field, default)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.error(field, FieldFault::NotFinite(value)))
        }
    }

    /// Reads a time in milliseconds. Returns `default`, in microseconds, if it is absent.
    pub(super) fn time_or(&mut self, field: &'static str, default: Micros) -> Result<Micros, MessageError> {
        Ok(micros(self.finite_or(field, default as f64 / 1000.0)?))
    }

    /// Reads a time in milliseconds, which must be present, and returns it in microseconds.
    pub(super) fn time(&mut self, field: &'static str) -> Result<Micros, MessageError> {
        let value = self.text(field)?;
        let not_a_time = |_| self.error(field, FieldFault::NotATime(value.to_owned()));
        let ms: f64 = value.parse().map_err(not_a_time)?;
        if ms.is_finite() {
            Ok(micros(ms))
        } else {
            Err(self.error(field, FieldFault::NotAFiniteTime(ms)))
        }
    }

    /// Reads a flag, 0 or 1; an absent one counts as 0.
    pub(super) fn flag(&mut self, field: &'static str) -> Result<bool, MessageError> {
        match self.optional() {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.error(field, FieldFault::NotAFlag(value.to_owned()))),
        }
    }

    /// Reads a hexadecimal object id. Returns `None` if it is absent.
    pub(super) fn object(&mut self, field: &'static str) -> Result<Option<ObjectId>, MessageError> {
        let Some(value) = self.optional() else { return Ok(None) };
        let not_hex = |_| self.error(field, FieldFault::NotHex(value.to_owned()));
        Ok(Some(ObjectId(u64::from_str_radix(value, 16).map_err(not_hex)?)))
    }

    /// Reads a name and returns its index in `names`.
    pub(super) fn index_in(&mut self, field: &'static str, names: &[String]) -> Result<usize, MessageError> {
        let value = self.text(field)?;
        let index = names.iter().position(|name| name == value);
        index.ok_or_else(|| self.error(field, FieldFault::UnknownName(value.to_owned())))
    }

    /// Reads numbers separated by commas and skips those marked as absent.
    pub(super) fn numbers(&mut self, field: &'static str) -> Result<Vec<f64>, MessageError> {
        let Some(value) = self.optional() else { return Ok(Vec::new()) };
        let parse = |value: &str| {
            let not_a_number = |_| self.error(field, FieldFault::NotANumber(value.to_owned()));
            value.parse::<f64>().map_err(not_a_number)
        };
        value.split(',').filter(|value| *value != ABSENT).map(parse).collect()
    }
}

/// Splits a text at its first space. Returns `None` as the second part if there is no space.
fn split_first(text: &str) -> (&str, Option<&str>) {
    text.split_once(' ').map_or((text, None), |(first, rest)| (first, Some(rest)))
}
