//! The settings in force, published to the dispatcher's handles.

use crate::policy::types::Settings;
use std::ops::Deref;
use std::sync::Arc;
use tokio::sync::watch;

/// The settings in force. Handles receive new settings as soon as these are replaced.
#[derive(Debug)]
pub(super) struct PublishedSettings {
    current: Arc<Settings>,
    publisher: watch::Sender<Arc<Settings>>,
}

impl PublishedSettings {
    /// Publishes the first settings. Returns them and the receiver for the handles.
    pub(super) fn new(settings: Settings) -> (Self, watch::Receiver<Arc<Settings>>) {
        let current = Arc::new(settings);
        let (publisher, receiver) = watch::channel(current.clone());
        (PublishedSettings { current, publisher }, receiver)
    }

    /// Replaces the settings and publishes the new ones to the handles.
    pub(super) fn replace(&mut self, settings: Settings) {
        self.current = Arc::new(settings);
        self.publisher.send_replace(self.current.clone());
    }
}

impl Deref for PublishedSettings {
    type Target = Settings;

    fn deref(&self) -> &Settings {
        &self.current
    }
}
