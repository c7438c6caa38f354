//! Errors of the store.

use super::file::FORMAT_VERSION;
use std::io;
use std::path::PathBuf;

/// An error on opening the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A new file cannot be created.
    #[error("peers.folder: {}: {source}", path.display())]
    Create {
        /// Path of the new file.
        path: PathBuf,
        /// The database's error.
        source: FileError,
    },
    /// The file cannot be read, and renaming it failed.
    #[error("peers.folder: {}: {reason}; renaming the file failed: {source}", path.display())]
    SetAside {
        /// Path of the unreadable file.
        path: PathBuf,
        /// Why it cannot be read.
        reason: FileError,
        /// The error on renaming it.
        source: io::Error,
    },
    /// The writer thread cannot be started.
    #[error("peers.folder: starting the writer thread failed: {0}")]
    SpawnWriter(#[source] io::Error),
}

/// An error on opening, reading or writing the file.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The database cannot be opened.
    #[error(transparent)]
    Open(#[from] redb::DatabaseError),
    /// The database cannot be read or written.
    #[error(transparent)]
    Access(#[from] redb::Error),
    /// `redb` panicked while opening the file, as it may on corrupt pages.
    #[error("corrupt database pages")]
    InvalidPages,
    /// The file has a format version that this program does not read.
    #[error("unsupported format version {found}, expected {FORMAT_VERSION}")]
    Version {
        /// The file's format version, or 0 if it states none.
        found: u64,
    },
    /// A key cannot be decoded.
    #[error("decoding a key failed: {0}")]
    Key(#[source] postcard::Error),
    /// An entry cannot be decoded.
    #[error("decoding an entry failed: {0}")]
    Entry(#[source] postcard::Error),
}
