//! Files that operators change while the process runs: polled, and a version that can't be used is rejected.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::sleep;

/// How often a file is read: well within the time in which a drain must take effect.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Why a file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum WatchedFileError {
    /// It can't be read.
    #[error("{}: {source}", .path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: std::io::Error,
    },
    /// Its content is not valid.
    #[error("{}: {source}", .path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: Box<dyn Error + Send + Sync>,
    },
}

/// A file and its version that is in force.
#[derive(Debug)]
pub struct WatchedFile {
    path: PathBuf,
    text: String,
    /// The last reason for which a version was rejected, so that it is logged once.
    last_rejection: Option<String>,
}

impl WatchedFile {
    /// Reads the file for the first time; there is no earlier version to fall back on.
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

    /// Waits for the next valid version. One that is not valid is logged, and the version in force stays.
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
            tracing::warn!(%reason, "watched file rejected, the version in force stays");
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
