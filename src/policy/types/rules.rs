//! The rules by which one request is handled.

use super::{Class, Settings};
use std::sync::Arc;

/// The rules by which one request is handled: its class, and the settings in force when the class was chosen.
///
/// A request carries its rules from the choice of its class until its end, so that no later settings apply to
/// it, wherever it waits. Settings that have been replaced exist as long as a request carries them.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRules {
    settings: Arc<Settings>,
    /// A valid index in the classes of `settings`.
    class: usize,
}

impl RequestRules {
    /// Returns the rules of the class at an index in the settings, or `None` if there is none.
    pub fn new(settings: Arc<Settings>, class: usize) -> Option<Self> {
        (class < settings.classes.len()).then_some(RequestRules { settings, class })
    }

    /// Returns the rules of the class with this name, or `None` if the settings have none.
    pub fn of_class(settings: Arc<Settings>, name: &str) -> Option<Self> {
        let class = settings.class_index(name)?;
        Some(RequestRules { settings, class })
    }

    /// Returns the request's class.
    pub fn class(&self) -> &Class {
        &self.settings.classes[self.class]
    }

    /// Returns the index of the class in [`settings`](Self::settings).
    pub fn class_index(&self) -> usize {
        self.class
    }

    /// Returns the settings in force when the class was chosen.
    pub fn settings(&self) -> &Arc<Settings> {
        &self.settings
    }
}
