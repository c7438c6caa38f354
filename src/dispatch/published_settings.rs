//! The settings in force, published to the dispatcher's handles, and earlier ones that requests still use.

use crate::policy::types::Settings;
use std::ops::Deref;
use std::sync::{Arc, Weak};
use tokio::sync::watch;

/// The settings in force, and the earlier ones that are in use by requests that began under them.
#[derive(Debug)]
pub(super) struct SettingsVersions {
    pub(super) current: Arc<Settings>,
    /// Weak, so that settings exist only as long as a request uses them.
    earlier: Vec<Weak<Settings>>,
}

impl SettingsVersions {
    /// Replaces the settings in force, and removes earlier ones that are no longer in use.
    fn replace(&mut self, settings: Arc<Settings>) {
        self.earlier.retain(|settings| settings.strong_count() > 0);
        let replaced = std::mem::replace(&mut self.current, settings);
        self.earlier.push(Arc::downgrade(&replaced));
    }

    /// Returns all settings that apply to a request or may still: those in force and earlier ones in use.
    pub(super) fn in_use(&self) -> Vec<Arc<Settings>> {
        let earlier = self.earlier.iter().filter_map(Weak::upgrade);
        std::iter::once(self.current.clone()).chain(earlier).collect()
    }
}

/// Publishes the settings to the dispatcher's handles. Handles receive new settings as soon as these are
/// replaced.
#[derive(Debug)]
pub(super) struct PublishedSettings {
    current: Arc<Settings>,
    publisher: watch::Sender<SettingsVersions>,
}

impl PublishedSettings {
    /// Publishes the first settings. Returns them and the receiver for the handles.
    pub(super) fn new(settings: Settings) -> (Self, watch::Receiver<SettingsVersions>) {
        let versions = SettingsVersions { current: Arc::new(settings), earlier: Vec::new() };
        let current = versions.current.clone();
        let (publisher, receiver) = watch::channel(versions);
        (PublishedSettings { current, publisher }, receiver)
    }

    /// Replaces the settings and publishes the new ones to the handles.
    pub(super) fn replace(&mut self, settings: Settings) {
        self.current = Arc::new(settings);
        self.publisher.send_modify(|versions| versions.replace(self.current.clone()));
    }

    /// Returns the settings in force and earlier ones in use.
    pub(super) fn in_use(&self) -> Vec<Arc<Settings>> {
        self.publisher.borrow().in_use()
    }
}

impl Deref for PublishedSettings {
    type Target = Settings;

    fn deref(&self) -> &Settings {
        &self.current
    }
}
