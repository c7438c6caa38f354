//! Conversion of JSON values, and access to the keys of a JSON object.

use super::error::{KeyFault, SettingsDecodeError};
use crate::policy::types::Micros;
use miniserde::json::{Number, Value};

type Result<T> = std::result::Result<T, SettingsDecodeError>;

/// Converts milliseconds to microseconds. A negative time becomes 0.
pub(crate) fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

/// Returns the value of a JSON number, integer or not, or `None` for other types.
pub(crate) fn real(value: &Value) -> Option<f64> {
    match value {
        Value::Number(Number::U64(number)) => Some(*number as f64),
        Value::Number(Number::I64(number)) => Some(*number as f64),
        Value::Number(Number::F64(number)) => Some(*number),
        _ => None,
    }
}

/// Returns the value of a JSON string, or `None` for other types.
pub(crate) fn text(value: &Value) -> Option<&str> {
    match value {
        Value::String(text) => Some(text),
        _ => None,
    }
}

fn boolean(value: &Value) -> Option<bool> {
    match value {
        Value::Bool(boolean) => Some(*boolean),
        _ => None,
    }
}

/// A JSON object whose accessors return errors that name the key. A key with the value null counts as absent.
pub(super) struct JsonObject<'a> {
    value: &'a Value,
    /// Prefix of its keys in errors, such as `bounds.`; empty at the top level.
    prefix: &'static str,
}

impl<'a> JsonObject<'a> {
    /// Creates a reader for the object in `value`. A value of another type is read as an object without keys.
    pub(super) fn new(value: &'a Value, prefix: &'static str) -> Self {
        JsonObject { value, prefix }
    }

    /// Returns the error for a key with this fault.
    pub(super) fn error(&self, key: &str, fault: KeyFault) -> SettingsDecodeError {
        SettingsDecodeError::Key { key: format!("{}{key}", self.prefix), fault }
    }

    /// Returns the value of a key, or `None` if it is absent or null.
    pub(super) fn get(&self, key: &str) -> Option<&'a Value> {
        match self.value {
            Value::Object(object) => object.get(key).filter(|value| !matches!(value, Value::Null)),
            _ => None,
        }
    }

    /// Returns a nested object, which has no keys if absent. `prefix` is the prefix of its keys in errors.
    pub(super) fn object(&self, key: &str, prefix: &'static str) -> Result<JsonObject<'a>> {
        match self.get(key) {
            None => Ok(JsonObject::new(&Value::Null, prefix)),
            Some(value @ Value::Object(_)) => Ok(JsonObject::new(value, prefix)),
            Some(_) => Err(self.error(key, KeyFault::NotAnObject)),
        }
    }

    /// Returns a number, or `default` if absent.
    pub(super) fn number(&self, key: &str, default: f64) -> Result<f64> {
        let Some(value) = self.get(key) else { return Ok(default) };
        real(value).ok_or_else(|| self.error(key, KeyFault::NotANumber))
    }

    /// Converts a time in milliseconds, or `default_ms` if absent, to microseconds.
    pub(super) fn time(&self, key: &str, default_ms: f64) -> Result<Micros> {
        Ok(micros(self.number(key, default_ms)?))
    }

    /// Returns a boolean, which is `false` if absent.
    pub(super) fn boolean(&self, key: &str) -> Result<bool> {
        let Some(value) = self.get(key) else { return Ok(false) };
        boolean(value).ok_or_else(|| self.error(key, KeyFault::NotABool))
    }

    /// Returns a string, or `default` if absent.
    pub(super) fn string(&self, key: &str, default: &'static str) -> Result<&'a str> {
        let Some(value) = self.get(key) else { return Ok(default) };
        text(value).ok_or_else(|| self.error(key, KeyFault::NotAText))
    }

    /// Returns a list, which is empty if absent.
    pub(super) fn list(&self, key: &str) -> Result<&'a [Value]> {
        match self.get(key) {
            None => Ok(&[]),
            Some(Value::Array(list)) => Ok(list),
            Some(_) => Err(self.error(key, KeyFault::NotAList)),
        }
    }

    /// Returns a list of numbers, which is empty if absent.
    pub(super) fn numbers(&self, key: &str) -> Result<Vec<f64>> {
        let number = |value| real(value).ok_or_else(|| self.error(key, KeyFault::NumberExpected));
        self.list(key)?.iter().map(number).collect()
    }

    /// Returns a list of booleans, which is empty if absent.
    pub(super) fn booleans(&self, key: &str) -> Result<Vec<bool>> {
        let element = |value| boolean(value).ok_or_else(|| self.error(key, KeyFault::BoolExpected));
        self.list(key)?.iter().map(element).collect()
    }

    /// Returns a list of strings, which is empty if absent.
    pub(super) fn strings(&self, key: &str) -> Result<Vec<String>> {
        let element =
            |value| text(value).map(str::to_owned).ok_or_else(|| self.error(key, KeyFault::TextExpected));
        self.list(key)?.iter().map(element).collect()
    }

    /// Returns the value that `names` gives for a string, or `default` if absent. Returns an error if the
    /// string is not among the names.
    pub(super) fn one_of<T: Copy>(&self, key: &str, default: T, names: &[(&str, T)]) -> Result<T> {
        let Some(value) = self.get(key) else { return Ok(default) };
        let found = names.iter().find(|(name, _)| text(value) == Some(name));
        let unknown = || self.error(key, KeyFault::UnknownValue(format!("{value:?}")));
        found.map(|(_, value)| *value).ok_or_else(unknown)
    }
}
