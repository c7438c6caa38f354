//! The thread that writes batches to the file.

use super::error::FileError;
use super::file::{self, Batch};
use super::BatchScope;
use crate::cluster::LOG_TARGET;
use redb::Database;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use tokio::sync::oneshot;

/// A request to the writer.
pub(super) enum Request {
    /// Writes a batch.
    Write(Batch),
    /// Closes the file and ends the thread.
    Stop(oneshot::Sender<()>),
}

/// What the writer reports, to be read at any time.
#[derive(Debug, Default)]
pub struct WriterStatus {
    /// Batches written.
    pub written: AtomicU64,
    /// Batches that could not be written.
    pub failed: AtomicU64,
    /// Whether the file lacks entries since a write failed: all are to be written.
    pub incomplete: AtomicBool,
}

/// The state of the thread.
pub(super) struct Writer {
    pub(super) path: PathBuf,
    /// None after a failure: the library requires it to be opened again.
    pub(super) database: Option<Database>,
    pub(super) incarnation: u64,
    pub(super) status: Arc<WriterStatus>,
}

impl Writer {
    /// Handles requests until one to stop, or until nobody can send one.
    pub(super) fn run(mut self, requests: &Receiver<Request>) {
        while let Ok(request) = requests.recv() {
            match request {
                Request::Write(batch) => self.write(&batch),
                Request::Stop(done) => {
                    drop(self.database.take());
                    let _ = done.send(()); // nobody may wait any more
                    return;
                }
            }
        }
    }

    fn write(&mut self, batch: &Batch) {
        match self.try_write(batch) {
            Ok(database) => {
                self.database = Some(database);
                self.status.written.fetch_add(1, Ordering::Relaxed);
                if batch.scope == BatchScope::AllEntries {
                    self.status.incomplete.store(false, Ordering::Relaxed);
                }
            }
            Err(error) => self.record_failure(&error),
        }
    }

    fn try_write(&mut self, batch: &Batch) -> Result<Database, FileError> {
        let database = self.database.take().map_or_else(|| file::open_database(&self.path), Ok)?;
        file::write(&database, batch, self.incarnation)?;
        Ok(database)
    }

    /// Counts a failure, and logs the first.
    fn record_failure(&self, error: &FileError) {
        if self.status.failed.fetch_add(1, Ordering::Relaxed) == 0 {
            tracing::warn!(
                target: LOG_TARGET,
                reason = %error,
                "the state can't be written to the disk; serving continues without"
            );
        }
        self.status.incomplete.store(true, Ordering::Relaxed);
    }
}
