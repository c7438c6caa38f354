//! Access to JSON values and to the keys of a JSON object.

use super::error::{KeyFault, SettingsDecodeError};
use crate::policy::types::Micros;
use miniserde::json::{Number, Value};

type Result<T> = std::result::Result<T, SettingsDecodeError>;

/// Microseconds of a time in milliseconds; a negative one counts as 0.
pub(crate) fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

/// A JSON number in any of its forms.
pub(crate) fn real(value: &Value) -> Option<f64> {
    match value {
        Value::Number(Number::U64(number)) => Some(*number as f64),
        Value::Number(Number::I64(number)) => Some(*number as f64),
        Value::Number(Number::F64(number)) => Some(*number),
        _ => None,
    }
}

/// A JSON string.
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

/// An object whose keys are read with errors that name them. A key that is null counts as absent.
pub(super) struct JsonObject<'a> {
    value: &'a Value,
    /// What stands before its keys in errors.
    path: &'static str,
}

impl<'a> JsonObject<'a> {
    /// Views a value as an object; one that is no object has no keys.
    pub(super) fn new(value: &'a Value, path: &'static str) -> Self {
        JsonObject { value, path }
    }

    /// An error that names the key.
    pub(super) fn error(&self, key: &str, fault: KeyFault) -> SettingsDecodeError {
        SettingsDecodeError::Key { key: format!("{}{key}", self.path), fault }
    }

    /// The value of a key.
    pub(super) fn get(&self, key: &str) -> Option<&'a Value> {
        match self.value {
            Value::Object(object) => object.get(key).filter(|value| !matches!(value, Value::Null)),
            _ => None,
        }
    }

    /// An object within this one; an absent one has no keys.
    pub(super) fn object(&self, key: &str, path: &'static str) -> Result<JsonObject<'a>> {
        match self.get(key) {
            None => Ok(JsonObject::new(&Value::Null, path)),
            Some(value @ Value::Object(_)) => Ok(JsonObject::new(value, path)),
            Some(_) => Err(self.error(key, KeyFault::NotAnObject)),
        }
    }

    /// A number.
    pub(super) fn number(&self, key: &str, default: f64) -> Result<f64> {
        let Some(value) = self.get(key) else { return Ok(default) };
        real(value).ok_or_else(|| self.error(key, KeyFault::NotANumber))
    }

    /// A time in milliseconds.
    pub(super) fn time(&self, key: &str, default_ms: f64) -> Result<Micros> {
        Ok(micros(self.number(key, default_ms)?))
    }

    /// A boolean; absent: false.
    pub(super) fn boolean(&self, key: &str) -> Result<bool> {
        let Some(value) = self.get(key) else { return Ok(false) };
        boolean(value).ok_or_else(|| self.error(key, KeyFault::NotABool))
    }

    /// A string.
    pub(super) fn text(&self, key: &str, default: &'static str) -> Result<&'a str> {
        let Some(value) = self.get(key) else { return Ok(default) };
        text(value).ok_or_else(|| self.error(key, KeyFault::NotAText))
    }

    /// A list; absent: empty.
    pub(super) fn list(&self, key: &str) -> Result<&'a [Value]> {
        match self.get(key) {
            None => Ok(&[]),
            Some(Value::Array(list)) => Ok(list),
            Some(_) => Err(self.error(key, KeyFault::NotAList)),
        }
    }

    /// A list of numbers.
    pub(super) fn numbers(&self, key: &str) -> Result<Vec<f64>> {
        let number = |value| real(value).ok_or_else(|| self.error(key, KeyFault::NumberExpected));
        self.list(key)?.iter().map(number).collect()
    }

    /// A list of booleans.
    pub(super) fn booleans(&self, key: &str) -> Result<Vec<bool>> {
        let element = |value| boolean(value).ok_or_else(|| self.error(key, KeyFault::BoolExpected));
        self.list(key)?.iter().map(element).collect()
    }

    /// A list of strings.
    pub(super) fn texts(&self, key: &str) -> Result<Vec<String>> {
        let element =
            |value| text(value).map(str::to_owned).ok_or_else(|| self.error(key, KeyFault::TextExpected));
        self.list(key)?.iter().map(element).collect()
    }

    /// A string that is one of these names, as the value that the name stands for.
    pub(super) fn one_of<T: Copy>(&self, key: &str, default: T, names: &[(&str, T)]) -> Result<T> {
        let Some(value) = self.get(key) else { return Ok(default) };
        let found = names.iter().find(|(name, _)| text(value) == Some(name));
        let unknown = || self.error(key, KeyFault::UnknownValue(format!("{value:?}")));
        found.map(|(_, value)| *value).ok_or_else(unknown)
    }
}
