//! Files that operators change while the process runs. They are polled, and invalid versions are rejected.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::sleep;

/// Interval between two reads of a file, much shorter than the time within which a drain must take effect.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// An error that prevents a file from being used.
#[derive(Debug, thiserror::Error)]
pub enum WatchedFileError {
    /// The file can't be read.
    #[error("{}: {source}", .path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The content of the file is invalid.
    #[error("{}: {source}", .path.display())]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// The error of the file's parser.
        source: Box<dyn Error + Send + Sync>,
    },
}

/// A file that is polled for changes, with its last valid version.
#[derive(Debug)]
pub struct WatchedFile {
    path: PathBuf,
    text: String,
    /// Reason of the last rejection. It is logged once, not at every poll.
    last_rejection: Option<String>,
}

impl WatchedFile {
    /// Reads the file for the first time. Returns an error if it is invalid, since there is no earlier
    /// version to keep.
    pub fn open<T, E>(
        path: PathBuf,
        parse: impl Fn(&str) -> Result<T, E>,
    ) -> Result<(WatchedFile, T), WatchedFileError>
    where
        E: Into<Box<dyn Error + Send + Sync>>,
    {
        let (text, content) = read(&path, parse)?;
        Ok((WatchedFile { path, text, last_rejection: None }, content))
    }

    /// Waits for the next valid version. Logs an invalid version and keeps the last valid one.
    pub async fn next<T, E>(&mut self, parse: impl Fn(&str) -> Result<T, E>) -> T
    where
        E: Into<Box<dyn Error + Send + Sync>>,
    {
        loop {
            sleep(POLL_INTERVAL).await;
            match read(&self.path, &parse) {
                Ok((text, _)) if text == self.text => self.last_rejection = None,
                Ok((text, content)) => {
                    self.text = text;
                    self.last_rejection = None;
                    return content;
                }
                Err(error) => self.reject(&error),
            }
        }
    }

    fn reject(&mut self, error: &WatchedFileError) {
        let reason = error.to_string();
        if self.last_rejection.as_ref() != Some(&reason) {
            tracing::warn!(%reason, "watched file rejected, keeping its last valid version");
            self.last_rejection = Some(reason);
        }
    }
}

fn read<T, E>(path: &Path, parse: impl Fn(&str) -> Result<T, E>) -> Result<(String, T), WatchedFileError>
where
    E: Into<Box<dyn Error + Send + Sync>>,
{
    let text = std::fs::read_to_string(path)
        .map_err(|source| WatchedFileError::Read { path: path.to_owned(), source })?;
    let content = parse(&text)
        .map_err(|source| WatchedFileError::Parse { path: path.to_owned(), source: source.into() })?;
    Ok((text, content))
}
