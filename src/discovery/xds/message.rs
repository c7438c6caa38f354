//! Access to the fields of a message in proto3 JSON.

use super::error::{FieldFault, XdsError};
use crate::config::settings::json::{real, text};
use miniserde::json::{Object, Value};

/// A message whose fields are looked up by their proto name.
#[derive(Clone, Copy)]
pub(super) struct Message<'a>(&'a Object);

impl<'a> Message<'a> {
    /// Returns the JSON value as a message. `field` is the name that the error gives if it is no object.
    pub(super) fn new(value: &'a Value, field: &str) -> Result<Self, XdsError> {
        match value {
            Value::Object(object) => Ok(Message(object)),
            _ => Err(FieldFault::NotAnObject.in_field(field)),
        }
    }

    /// Returns the type URL of a resource (`@type`), or `None` if it is missing or not a string.
    pub(super) fn type_url(self) -> Option<&'a str> {
        self.0.get("@type").and_then(text)
    }

    /// Returns a field by its name in snake_case or lowerCamelCase. Null counts as absent. Returns an error
    /// if both spellings are present.
    pub(super) fn get(self, name: &str) -> Result<Option<&'a Value>, XdsError> {
        let camel_name = lower_camel_case(name);
        let snake = self.0.get(name);
        let camel = self.0.get(&camel_name).filter(|_| camel_name != name);
        if snake.is_some() && camel.is_some() {
            return Err(FieldFault::BothSpellings.in_field(name));
        }
        Ok(snake.or(camel).filter(|value| !matches!(value, Value::Null)))
    }

    /// Returns a field that is a message.
    pub(super) fn message(self, name: &str) -> Result<Option<Message<'a>>, XdsError> {
        self.get(name)?.map(|value| Message::new(value, name)).transpose()
    }

    /// Returns a repeated field, which is empty if absent.
    pub(super) fn list(self, name: &str) -> Result<&'a [Value], XdsError> {
        match self.get(name)? {
            None => Ok(&[]),
            Some(Value::Array(list)) => Ok(list),
            Some(_) => Err(FieldFault::NotAList.in_field(name)),
        }
    }

    /// Returns a string field, which is empty if absent.
    pub(super) fn string(self, name: &str) -> Result<&'a str, XdsError> {
        let string = |value| text(value).ok_or_else(|| FieldFault::NotAText.in_field(name));
        self.get(name)?.map_or(Ok(""), string)
    }

    /// Returns a field of type `uint32`, which proto3 JSON allows as a number or as a string.
    pub(super) fn integer(self, name: &str) -> Result<Option<u32>, XdsError> {
        let Some(value) = self.get(name)? else { return Ok(None) };
        let number = real(value).or_else(|| text(value).and_then(|text| text.parse().ok()));
        let fits = |n: &f64| n.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(n);
        let integer = number.filter(fits).ok_or_else(|| FieldFault::NotAnInteger.in_field(name))?;
        Ok(Some(integer as u32))
    }

    /// Returns a number field, which is 0 if absent.
    pub(super) fn number(self, name: &str) -> Result<f64, XdsError> {
        let number = |value| real(value).ok_or_else(|| FieldFault::NotANumber.in_field(name));
        self.get(name)?.map_or(Ok(0.0), number)
    }
}

fn lower_camel_case(name: &str) -> String {
    let mut words = name.split('_');
    let first = words.next().unwrap_or("").to_owned();
    words.fold(first, |joined, word| {
        let mut letters = word.chars();
        let initial = letters.next().map(|letter| letter.to_ascii_uppercase());
        joined + &initial.into_iter().chain(letters).collect::<String>()
    })
}
