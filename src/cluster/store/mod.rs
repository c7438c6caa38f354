//! The replicated state on a disk, in an embedded database (`redb`) that a thread of its own writes to.
//!
//! Requests never wait for the disk. Changes are handed over in batches; while the writer is busy they
//! gather, by key. Each batch is one transaction, so a kill at any moment leaves the state of some earlier
//! moment. A file that cannot be read is renamed, and the state is fetched from peers. A write that fails is
//! counted, and all entries are written again once writing works.

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

/// The name of the file within the folder.
const FILE_NAME: &str = "foxhold-state.redb";
/// Batches that may wait for the writer.
const QUEUE_CAPACITY: usize = 4;
/// How often a full queue is tried again at the end.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// What the file held at the start.
#[derive(Debug, Default)]
pub struct StoredState {
    /// The entries.
    pub entries: Vec<(Key, Value)>,
    /// When it was last written, in Unix microseconds; 0: never.
    pub saved_at: Micros,
    /// The incarnation to start with: later than that of the last start.
    pub incarnation: u64,
    /// The file that was there and could not be read.
    pub set_aside: Option<SetAsideFile>,
}

/// A file that could not be read, and was renamed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SetAsideFile {
    /// Its new name.
    pub path: PathBuf,
    /// Why it could not be read, for the log.
    pub reason: String,
}

/// What a batch holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchScope {
    /// Entries that changed.
    Changes,
    /// All entries; what the file holds beside them is removed.
    AllEntries,
}

/// The handle of the writer.
pub struct Store {
    requests: SyncSender<Request>,
    /// What the writer reports.
    pub status: Arc<WriterStatus>,
}

/// Opens the file in a folder, renames one that cannot be read, and starts the writer.
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

/// Opens and reads the file. One that cannot be read is renamed, and a new one created.
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
    /// Hands a batch to the writer. An error returns the keys of a batch for which the queue has no capacity.
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

    /// Waits until all batches are written and the file is closed, for a bounded time.
    pub async fn close(self, limit: Duration) {
        let _ = timeout(limit, self.stop()).await; // the next start uses what was written
    }

    async fn stop(self) {
        let (done, stopped) = oneshot::channel();
        let mut request = Request::Stop(done);
        while let Err(TrySendError::Full(back)) = self.requests.try_send(request) {
            request = back;
            sleep(RETRY_INTERVAL).await;
        }
        let _ = stopped.await;
    }
}
