//! Storage of the replicated state on disk, in an embedded database (`redb`) written by a dedicated thread.
//!
//! Requests never wait for the disk. Changes are passed to the writer in batches; while the writer is busy,
//! changes are collected by key. Each batch is one transaction, so a process killed at any moment leaves a
//! consistent earlier state. A file that cannot be read is renamed, and the state is fetched from peers. A
//! failed write is counted, and all entries are written again once writing succeeds.

mod error;
mod file;
mod writer;

pub use error::{FileError, StoreError};
pub use writer::WriterStatus;

use crate::policy::types::Micros;
use crate::replication::entry::{encode, Key, Value};
use file::Batch;
use redb::Database;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use writer::{Request, Writer};

/// Name of the database file within the configured folder.
const FILE_NAME: &str = "foxhold-state.redb";
/// Maximum number of batches queued for the writer.
const QUEUE_CAPACITY: usize = 4;
/// Interval between attempts to queue the stop request while the queue is full.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The content of the file at the start.
#[derive(Debug, Default)]
pub struct StoredState {
    /// All stored entries, not yet checked against the bounds of the state.
    pub entries: Vec<(Key, Value)>,
    /// Time of the last write in Unix microseconds, or 0 if the file was never written.
    pub saved_at: Micros,
    /// The incarnation to start with, which is later than that of the previous start.
    pub incarnation: u64,
    /// The unreadable file that was replaced, if any.
    pub set_aside: Option<SetAsideFile>,
}

/// An unreadable file that was renamed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SetAsideFile {
    /// The file's new path.
    pub path: PathBuf,
    /// Why it could not be read, for the log.
    pub reason: String,
}

/// Which entries a batch contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchScope {
    /// Only entries that changed.
    Changes,
    /// All entries; any other entries in the file are removed.
    AllEntries,
}

/// A handle to the writer thread.
pub struct Store {
    requests: SyncSender<Request>,
    /// Counts and failures reported by the writer.
    pub status: Arc<WriterStatus>,
}

/// Opens the file in a folder and starts the writer. An unreadable file is renamed and replaced by a new one.
pub fn open(folder: &Path, unix: Micros) -> Result<(Store, StoredState), StoreError> {
    let path = folder.join(FILE_NAME);
    let (database, mut stored) = open_or_replace(folder, &path, unix)?;
    stored.incarnation = stored.incarnation.saturating_add(1).max(unix);
    let (requests, queue) = sync_channel(QUEUE_CAPACITY);
    let status = Arc::new(WriterStatus::default());
    let writer =
        Writer { path, database: Some(database), incarnation: stored.incarnation, status: status.clone() };
    std::thread::Builder::new()
        .name("foxhold-state".into())
        .spawn(move || writer.run(&queue))
        .map_err(StoreError::SpawnWriter)?;
    Ok((Store { requests, status }, stored))
}

/// Opens and reads the file. Renames an unreadable file and creates a new one.
fn open_or_replace(folder: &Path, path: &Path, unix: Micros) -> Result<(Database, StoredState), StoreError> {
    let reason = match open_and_read(path) {
        Ok(opened) => return Ok(opened),
        Err(reason) => reason,
    };
    let new_path = folder.join(format!("{FILE_NAME}.broken-{unix}"));
    if let Err(source) = std::fs::rename(path, &new_path) {
        return Err(StoreError::SetAside { path: path.into(), reason, source });
    }
    let database =
        file::open_database(path).map_err(|source| StoreError::Create { path: path.into(), source })?;
    let set_aside = Some(SetAsideFile { path: new_path, reason: reason.to_string() });
    Ok((database, StoredState { set_aside, ..StoredState::default() }))
}

fn open_and_read(path: &Path) -> Result<(Database, StoredState), FileError> {
    let database = file::open_database(path)?;
    let stored = file::read(&database)?;
    Ok((database, stored))
}

impl Store {
    /// Queues a batch for the writer. Returns the batch's keys as an error if the queue is full or the writer
    /// has stopped.
    pub fn write(
        &self,
        batch: Vec<(Key, Option<Value>)>,
        scope: BatchScope,
        unix: Micros,
    ) -> Result<(), Vec<Key>> {
        let entries = batch.iter().map(|(key, value)| (encode(key), value.as_ref().map(encode))).collect();
        match self.requests.try_send(Request::Write(Batch { entries, scope, unix })) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                Err(batch.into_iter().map(|(key, _)| key).collect())
            }
        }
    }

    /// Waits until all batches are written and the file is closed, for `limit` at most.
    pub async fn close(self, limit: Duration) {
        let _ = timeout(limit, self.stop()).await; // after a timeout, the next start uses what was written
    }

    async fn stop(self) {
        let (done, stopped) = oneshot::channel();
        let mut request = Request::Stop(done);
        while let Err(TrySendError::Full(returned)) = self.requests.try_send(request) {
            request = returned;
            sleep(RETRY_INTERVAL).await;
        }
        let _ = stopped.await;
    }
}
