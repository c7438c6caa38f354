//! The database file: its tables, and functions to read and write them.

use super::error::FileError;
use super::{BatchScope, StoredState};
use crate::policy::types::Micros;
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition, TableError};
use std::path::Path;

/// The version of the file format.
pub(super) const FORMAT_VERSION: u64 = 1;
/// Table of numbers about the file, by name.
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Name in [`META`] of the format version.
const META_VERSION: &str = "form";
/// Name in [`META`] of the time of the last write, in Unix microseconds.
const META_SAVED_AT: &str = "saved";
/// Name in [`META`] of the incarnation of the director that wrote last.
const META_INCARNATION: &str = "incarnation";
/// Table of encoded entries by encoded key.
const ENTRIES: TableDefinition<&[u8], &[u8]> = TableDefinition::new("entries");
/// Size of the database's page cache, in bytes.
const CACHE_BYTES: usize = 2 << 20;

/// Encoded keys with their encoded entries, or `None` for entries to be removed.
pub(super) type EncodedBatch = Vec<(Vec<u8>, Option<Vec<u8>>)>;

/// One write to the file.
pub(super) struct Batch {
    /// The entries to write or remove.
    pub(super) entries: EncodedBatch,
    /// Whether the batch contains all entries or only changes.
    pub(super) scope: BatchScope,
    /// The time of the write, in Unix microseconds.
    pub(super) unix: Micros,
}

/// Opens a file, or creates it if it does not exist.
pub(super) fn open_database(path: &Path) -> Result<Database, FileError> {
    // `redb` may panic on pages that it did not write, as in a corrupt file. A panic is reported like any
    // other unreadable file.
    let opened = std::panic::catch_unwind(|| {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE_BYTES).create(path)
    });
    Ok(opened.map_err(|_| FileError::InvalidPages)??)
}

/// Reads the whole file. A new file yields an empty state.
pub(super) fn read(database: &Database) -> Result<StoredState, FileError> {
    let transaction = database.begin_read().map_err(redb::Error::from)?;
    let meta = match transaction.open_table(META) {
        Ok(meta) => meta,
        Err(TableError::TableDoesNotExist(_)) => return Ok(StoredState::default()),
        Err(error) => return Err(redb::Error::from(error).into()),
    };
    let number =
        |name: &str| -> Result<u64, redb::Error> { Ok(meta.get(name)?.map_or(0, |number| number.value())) };
    let found = number(META_VERSION)?;
    if found != FORMAT_VERSION {
        return Err(FileError::Version { found });
    }
    let mut stored = StoredState {
        saved_at: number(META_SAVED_AT)?,
        incarnation: number(META_INCARNATION)?,
        ..StoredState::default()
    };
    read_entries(&transaction, &mut stored)?;
    Ok(stored)
}

fn read_entries(transaction: &ReadTransaction, stored: &mut StoredState) -> Result<(), FileError> {
    let entries = transaction.open_table(ENTRIES).map_err(redb::Error::from)?;
    for entry in entries.iter().map_err(redb::Error::from)? {
        let (key, value) = entry.map_err(redb::Error::from)?;
        let key = postcard::from_bytes(key.value()).map_err(FileError::Key)?;
        let value = postcard::from_bytes(value.value()).map_err(FileError::Entry)?;
        stored.entries.push((key, value));
    }
    Ok(())
}

/// Writes a batch and the file's metadata in one transaction.
pub(super) fn write(database: &Database, batch: &Batch, incarnation: u64) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    if batch.scope == BatchScope::AllEntries {
        transaction.delete_table(ENTRIES)?;
    }
    {
        let mut meta = transaction.open_table(META)?;
        meta.insert(META_VERSION, FORMAT_VERSION)?;
        meta.insert(META_SAVED_AT, batch.unix)?;
        meta.insert(META_INCARNATION, incarnation)?;
        let mut entries = transaction.open_table(ENTRIES)?;
        for (key, entry) in &batch.entries {
            match entry {
                Some(entry) => drop(entries.insert(key.as_slice(), entry.as_slice())?),
                None => drop(entries.remove(key.as_slice())?),
            }
        }
    }
    transaction.commit()?;
    Ok(())
}
