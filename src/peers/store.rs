//! What lasts: the state on a disk, in an embedded store (`redb`), written by a thread of its own.
//!
//! Serving never waits for the disk. Changes are handed over in batches; while the thread is busy they
//! gather, by key. Each batch is one transaction, so a kill at any moment leaves the state of some earlier
//! moment. What can't be read is put aside under another name, and the state is fetched from the others. A
//! write that fails is counted, and all is written anew once writing works again.

use crate::api::Micros;
use crate::replica::word::{bytes, Key, Word};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// The file within the folder.
const FILE: &str = "foxhold-state.redb";
/// The form of what is written.
const FORM: u64 = 1;
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<&[u8], &[u8]> = TableDefinition::new("entries");
/// Batches that wait for the disk.
const BATCHES: usize = 4;
/// Pages kept in memory, in bytes.
const CACHE: usize = 2 << 20;

/// What a disk held.
#[derive(Debug, Default)]
pub struct Found {
    /// The entries.
    pub entries: Vec<(Key, Word)>,
    /// When it was last written, in Unix microseconds; 0: never.
    pub saved: Micros,
    /// The incarnation of the last run.
    pub incarnation: u64,
    /// Why what was there could not be used, and where it is now.
    pub put_aside: Option<String>,
}

/// Entries as they are now; none: let go.
type Batch = Vec<(Vec<u8>, Option<Vec<u8>>)>;

enum Order {
    Write { batch: Batch, unix: Micros, whole: bool },
    Stop(oneshot::Sender<()>),
}

/// What the writer tells.
#[derive(Debug, Default)]
pub struct Told {
    /// Batches written.
    pub written: AtomicU64,
    /// Batches that could not be written.
    pub failed: AtomicU64,
    /// What is on the disk lacks something: it is to be written whole.
    pub lacking: AtomicBool,
}

/// The handle of the writer.
pub struct Store {
    orders: SyncSender<Order>,
    /// What the writer tells.
    pub told: Arc<Told>,
}

fn open(path: &Path) -> Result<Database, String> {
    // Its library may panic on pages that are not its own; that is one more way in which a file is broken.
    let opened = std::panic::catch_unwind(|| {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE).create(path)
    });
    match opened {
        Ok(Ok(database)) => Ok(database),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("its pages can't be read".into()),
    }
}

fn read(database: &Database) -> Result<Found, String> {
    let text = |e: redb::Error| e.to_string();
    let reading = database.begin_read().map_err(|e| text(e.into()))?;
    let meta = match reading.open_table(META) {
        Ok(meta) => meta,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Found::default()),
        Err(error) => return Err(text(error.into())),
    };
    let number = |name: &str| meta.get(name).map(|n| n.map_or(0, |n| n.value())).map_err(|e| text(e.into()));
    match number("form")? {
        FORM => {}
        other => return Err(format!("it is of form {other}, {FORM} is read here")),
    }
    let mut found =
        Found { saved: number("saved")?, incarnation: number("incarnation")?, ..Found::default() };
    let entries = reading.open_table(ENTRIES).map_err(|e| text(e.into()))?;
    for entry in entries.iter().map_err(|e| text(e.into()))? {
        let (key, word) = entry.map_err(|e| text(e.into()))?;
        let key = postcard::from_bytes(key.value()).map_err(|e| format!("a key: {e}"))?;
        let word = postcard::from_bytes(word.value()).map_err(|e| format!("an entry: {e}"))?;
        found.entries.push((key, word));
    }
    Ok(found)
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
        meta.insert("form", FORM)?;
        meta.insert("saved", unix)?;
        meta.insert("incarnation", incarnation)?;
        let mut entries = writing.open_table(ENTRIES)?;
        for (key, word) in batch {
            match word {
                Some(word) => drop(entries.insert(key.as_slice(), word.as_slice())?),
                None => drop(entries.remove(key.as_slice())?),
            }
        }
    }
    writing.commit()?;
    Ok(())
}

/// Opens the state in a folder, puts aside what can't be read, and starts the writer. An error is one line.
pub fn begin(folder: &Path, unix: Micros) -> Result<(Store, Found), String> {
    let path = folder.join(FILE);
    let named = |e: String| format!("peers.folder: {}: {e}", path.display());
    let opened = open(&path).and_then(|database| read(&database).map(|found| (database, found)));
    let (database, found) = match opened {
        Ok(opened) => opened,
        Err(cause) => {
            let aside = folder.join(format!("{FILE}.broken-{unix}"));
            std::fs::rename(&path, &aside).map_err(|e| named(format!("{cause}; not put aside: {e}")))?;
            let put_aside = Some(format!("{cause}; it is put aside as {}", aside.display()));
            (open(&path).map_err(named)?, Found { put_aside, ..Found::default() })
        }
    };
    let incarnation = found.incarnation.saturating_add(1).max(unix);
    let (orders, inbox) = sync_channel(BATCHES);
    let told = Arc::new(Told::default());
    let writer = Writer { path, database: Some(database), incarnation, told: told.clone() };
    std::thread::Builder::new()
        .name("foxhold-state".into())
        .spawn(move || writer.run(&inbox))
        .map_err(|e| format!("peers.folder: no thread to write: {e}"))?;
    Ok((Store { orders, told }, Found { incarnation, ..found }))
}

impl Store {
    /// Hands a batch over; `whole`: it is all that there is. Gives it back where the disk is behind.
    pub fn write(&self, batch: Vec<(Key, Option<Word>)>, unix: Micros, whole: bool) -> Result<(), Vec<Key>> {
        let written = batch.iter().map(|(key, word)| (bytes(key), word.as_ref().map(bytes))).collect();
        match self.orders.try_send(Order::Write { batch: written, unix, whole }) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                Err(batch.into_iter().map(|(key, _)| key).collect())
            }
        }
    }

    /// Waits until all that was handed over is written, for so long at most.
    pub async fn finish(self, most: Duration) {
        let _ = timeout(most, self.stopped()).await; // the next start takes what there is
    }

    async fn stopped(self) {
        let (done, wait) = oneshot::channel();
        let mut order = Order::Stop(done);
        while let Err(TrySendError::Full(back)) = self.orders.try_send(order) {
            order = back;
            sleep(Duration::from_millis(5)).await;
        }
        let _ = wait.await;
    }
}

struct Writer {
    path: PathBuf,
    /// None after a failure: its library wants it opened anew.
    database: Option<Database>,
    incarnation: u64,
    told: Arc<Told>,
}

impl Writer {
    fn run(mut self, inbox: &Receiver<Order>) {
        while let Ok(order) = inbox.recv() {
            match order {
                Order::Write { batch, unix, whole } => self.write(&batch, unix, whole),
                Order::Stop(done) => {
                    drop(self.database.take());
                    let _ = done.send(()); // nobody may wait any more
                    return;
                }
            }
        }
    }

    fn write(&mut self, batch: &Batch, unix: Micros, whole: bool) {
        let database = self.database.take().map_or_else(|| open(&self.path), Ok);
        let outcome = database.and_then(|database| {
            write(&database, batch, unix, self.incarnation, whole).map_err(|e| e.to_string())?;
            Ok(database)
        });
        match outcome {
            Ok(database) => {
                self.database = Some(database);
                self.told.written.fetch_add(1, Ordering::Relaxed);
                if whole {
                    self.told.lacking.store(false, Ordering::Relaxed);
                }
            }
            Err(error) => {
                if self.told.failed.fetch_add(1, Ordering::Relaxed) == 0 {
                    tracing::warn!("peers: the state can't be written ({error}); serving goes on without");
                }
                self.told.lacking.store(true, Ordering::Relaxed);
            }
        }
    }
}
