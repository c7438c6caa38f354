//! Why the stored state cannot be used.

use super::file::FORMAT_VERSION;
use std::io;
use std::path::PathBuf;

/// Why the store cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A new file cannot be created.
    #[error("peers.folder: {}: {source}", path.display())]
    Create {
        /// The file.
        path: PathBuf,
        /// What failed.
        source: FileError,
    },
    /// The file cannot be read, and could not be renamed either.
    #[error("peers.folder: {}: {reason}; not put aside: {source}", path.display())]
    SetAside {
        /// The file.
        path: PathBuf,
        /// Why it cannot be read.
        reason: FileError,
        /// Why it could not be renamed.
        source: io::Error,
    },
    /// The thread of the writer cannot be started.
    #[error("peers.folder: no thread to write: {0}")]
    SpawnWriter(#[source] io::Error),
}

/// Why a file cannot be opened, read or written.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// It cannot be opened.
    #[error(transparent)]
    Open(#[from] redb::DatabaseError),
    /// It cannot be read or written.
    #[error(transparent)]
    Access(#[from] redb::Error),
    /// The database panicked on its pages.
    #[error("its pages can't be read")]
    InvalidPages,
    /// It is of another version of the format.
    #[error("it is of form {found}, {FORMAT_VERSION} is read here")]
    Version {
        /// The version that was found.
        found: u64,
    },
    /// A key cannot be decoded.
    #[error("a key: {0}")]
    Key(#[source] postcard::Error),
    /// An entry cannot be decoded.
    #[error("an entry: {0}")]
    Entry(#[source] postcard::Error),
}
