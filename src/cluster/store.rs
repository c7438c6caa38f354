//! The replicated state on a disk, in an embedded database (`redb`) that a thread of its own writes to.
//!
//! Requests never wait for the disk. Changes are handed over in batches; while the writer is busy they
//! gather, by key. Each batch is one transaction, so a kill at any moment leaves the state of some earlier
//! moment. A file that can't be read is renamed, and the state is fetched from peers. A write that fails is
//! counted, and all entries are written again once writing works.

use crate::policy::types::Micros;
use crate::replication::entry::{encode, Key, Value};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// The name of the file within the folder.
const FILE_NAME: &str = "foxhold-state.redb";
/// The version of the format of the file.
const FORMAT_VERSION: u64 = 1;
/// Numbers by name: the version of the format, the time of the last write, the incarnation.
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Encoded entries by encoded key.
const ENTRIES: TableDefinition<&[u8], &[u8]> = TableDefinition::new("entries");
/// Batches that may wait for the writer.
const QUEUE_CAPACITY: usize = 4;
/// How often a full queue is tried again at the end.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// The database's cache of pages, in bytes.
const CACHE_BYTES: usize = 2 << 20;

/// What the file held at the start.
#[derive(Debug, Default)]
pub struct StoredState {
    /// The entries.
    pub entries: Vec<(Key, Value)>,
    /// When it was last written, in Unix microseconds; 0: never.
    pub saved_at: Micros,
    /// The incarnation for this run: later than that of the last one.
    pub incarnation: u64,
    /// Why the file that was there could not be read, and its new name.
    pub set_aside: Option<String>,
}

/// Encoded keys and entries; none: the entry is removed.
type Batch = Vec<(Vec<u8>, Option<Vec<u8>>)>;

/// A request to the writer.
enum Request {
    Write { batch: Batch, unix: Micros, whole: bool },
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

/// The handle of the writer.
pub struct Store {
    requests: SyncSender<Request>,
    /// What the writer reports.
    pub status: Arc<WriterStatus>,
}

fn open_database(path: &Path) -> Result<Database, String> {
    // The library may panic on pages that it did not write: one more way in which a file is broken.
    let opened = std::panic::catch_unwind(|| {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE_BYTES).create(path)
    });
    match opened {
        Ok(Ok(database)) => Ok(database),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("its pages can't be read".into()),
    }
}

fn read(database: &Database) -> Result<StoredState, String> {
    let text = |e: redb::Error| e.to_string();
    let reading = database.begin_read().map_err(|e| text(e.into()))?;
    let meta = match reading.open_table(META) {
        Ok(meta) => meta,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(StoredState::default()),
        Err(error) => return Err(text(error.into())),
    };
    let number = |name: &str| meta.get(name).map(|n| n.map_or(0, |n| n.value())).map_err(|e| text(e.into()));
    match number("form")? {
        FORMAT_VERSION => {}
        other => return Err(format!("it is of form {other}, {FORMAT_VERSION} is read here")),
    }
    let mut stored = StoredState {
        saved_at: number("saved")?,
        incarnation: number("incarnation")?,
        ..StoredState::default()
    };
    let entries = reading.open_table(ENTRIES).map_err(|e| text(e.into()))?;
    for entry in entries.iter().map_err(|e| text(e.into()))? {
        let (key, value) = entry.map_err(|e| text(e.into()))?;
        let key = postcard::from_bytes(key.value()).map_err(|e| format!("a key: {e}"))?;
        let value = postcard::from_bytes(value.value()).map_err(|e| format!("an entry: {e}"))?;
        stored.entries.push((key, value));
    }
    Ok(stored)
}

fn write(
    database: &Database,
    batch: &Batch,
    unix: Micros,
    incarnation: u64,
    whole: bool,
) -> Result<(), redb::Error> {
    let writing = database.begin_write()?;
    if whole {
        writing.delete_table(ENTRIES)?;
    }
    {
        let mut meta = writing.open_table(META)?;
        meta.insert("form", FORMAT_VERSION)?;
        meta.insert("saved", unix)?;
        meta.insert("incarnation", incarnation)?;
        let mut entries = writing.open_table(ENTRIES)?;
        for (key, entry) in batch {
            match entry {
                Some(entry) => drop(entries.insert(key.as_slice(), entry.as_slice())?),
                None => drop(entries.remove(key.as_slice())?),
            }
        }
    }
    writing.commit()?;
    Ok(())
}

/// Opens the file in a folder, renames one that can't be read, and starts the writer. An error is one line.
pub fn open(folder: &Path, unix: Micros) -> Result<(Store, StoredState), String> {
    let path = folder.join(FILE_NAME);
    let named = |e: String| format!("peers.folder: {}: {e}", path.display());
    let opened = open_database(&path).and_then(|database| read(&database).map(|stored| (database, stored)));
    let (database, stored) = match opened {
        Ok(opened) => opened,
        Err(cause) => {
            let new_path = folder.join(format!("{FILE_NAME}.broken-{unix}"));
            std::fs::rename(&path, &new_path).map_err(|e| named(format!("{cause}; not put aside: {e}")))?;
            let set_aside = Some(format!("{cause}; it is put aside as {}", new_path.display()));
            (open_database(&path).map_err(named)?, StoredState { set_aside, ..StoredState::default() })
        }
    };
    let incarnation = stored.incarnation.saturating_add(1).max(unix);
    let (requests, queue) = sync_channel(QUEUE_CAPACITY);
    let status = Arc::new(WriterStatus::default());
    let writer = Writer { path, database: Some(database), incarnation, status: status.clone() };
    std::thread::Builder::new()
        .name("foxhold-state".into())
        .spawn(move || writer.run(&queue))
        .map_err(|e| format!("peers.folder: no thread to write: {e}"))?;
    Ok((Store { requests, status }, StoredState { incarnation, ..stored }))
}

impl Store {
    /// Hands a batch to the writer; `whole`: it holds all entries. An error returns the keys of a batch for
    /// which the queue has no room.
    pub fn write(&self, batch: Vec<(Key, Option<Value>)>, unix: Micros, whole: bool) -> Result<(), Vec<Key>> {
        let encoded = batch.iter().map(|(key, entry)| (encode(key), entry.as_ref().map(encode))).collect();
        match self.requests.try_send(Request::Write { batch: encoded, unix, whole }) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                Err(batch.into_iter().map(|(key, _)| key).collect())
            }
        }
    }

    /// Waits until all batches are written and the file is closed, for a bounded time.
    pub async fn close(self, limit: Duration) {
        let _ = timeout(limit, self.stopped()).await; // the next start takes what there is
    }

    async fn stopped(self) {
        let (done, wait) = oneshot::channel();
        let mut request = Request::Stop(done);
        while let Err(TrySendError::Full(back)) = self.requests.try_send(request) {
            request = back;
            sleep(RETRY_INTERVAL).await;
        }
        let _ = wait.await;
    }
}

/// The thread's state.
struct Writer {
    path: PathBuf,
    /// None after a failure: the library requires it to be opened again.
    database: Option<Database>,
    incarnation: u64,
    status: Arc<WriterStatus>,
}

impl Writer {
    fn run(mut self, queue: &Receiver<Request>) {
        while let Ok(request) = queue.recv() {
            match request {
                Request::Write { batch, unix, whole } => self.write(&batch, unix, whole),
                Request::Stop(done) => {
                    drop(self.database.take());
                    let _ = done.send(()); // nobody may wait any more
                    return;
                }
            }
        }
    }

    fn write(&mut self, batch: &Batch, unix: Micros, whole: bool) {
        let database = self.database.take().map_or_else(|| open_database(&self.path), Ok);
        let outcome = database.and_then(|database| {
            write(&database, batch, unix, self.incarnation, whole).map_err(|e| e.to_string())?;
            Ok(database)
        });
        match outcome {
            Ok(database) => {
                self.database = Some(database);
                self.status.written.fetch_add(1, Ordering::Relaxed);
                if whole {
                    self.status.incomplete.store(false, Ordering::Relaxed);
                }
            }
            Err(error) => {
                if self.status.failed.fetch_add(1, Ordering::Relaxed) == 0 {
                    tracing::warn!("peers: the state can't be written ({error}); serving goes on without");
                }
                self.status.incomplete.store(true, Ordering::Relaxed);
            }
        }
    }
}
