//! The writer thread, which writes batches to the file.

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
    /// Writes a batch in one transaction.
    Write(Batch),
    /// Closes the file, replies and ends the thread.
    Stop(oneshot::Sender<()>),
}

/// The writer's counts and failure state, readable from other threads.
#[derive(Debug, Default)]
pub struct WriterStatus {
    /// Number of batches written.
    pub written: AtomicU64,
    /// Number of batches that could not be written.
    pub failed: AtomicU64,
    /// Whether the file differs from the state by more than the changes since the last write, after a failed
    /// write or because entries were left out at the start, so that all entries must be written.
    pub incomplete: AtomicBool,
}

/// The state of the writer thread.
pub(super) struct Writer {
    pub(super) path: PathBuf,
    /// The open database, or `None` after a failure: `redb` requires it to be reopened then.
    pub(super) database: Option<Database>,
    pub(super) incarnation: u64,
    pub(super) status: Arc<WriterStatus>,
}

impl Writer {
    /// Handles requests until [`Request::Stop`] is received or all senders are dropped.
    pub(super) fn run(mut self, requests: &Receiver<Request>) {
        while let Ok(request) = requests.recv() {
            match request {
                Request::Write(batch) => self.write(&batch),
                Request::Stop(done) => {
                    drop(self.database.take());
                    let _ = done.send(()); // the receiver is dropped after the close timeout
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

    /// Counts a failed write and logs the first one.
    fn record_failure(&self, error: &FileError) {
        if self.status.failed.fetch_add(1, Ordering::Relaxed) == 0 {
            tracing::warn!(
                target: LOG_TARGET,
                reason = %error,
                "writing the state to disk failed; serving continues and the write will be retried"
            );
        }
        self.status.incomplete.store(true, Ordering::Relaxed);
    }
}
