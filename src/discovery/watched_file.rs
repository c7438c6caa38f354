//! Files that operators change while the program runs: read again and again, bad ones turned down whole.

use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::sleep;

/// How often a file is read: well within the time in which a drain must be heeded.
const PERIOD: Duration = Duration::from_millis(250);

/// A file and the text of it that is in force.
#[derive(Debug)]
pub struct WatchedFile {
    path: PathBuf,
    text: String,
    /// What was last said of a bad text, so that it is said once.
    complaint: String,
}

impl WatchedFile {
    /// Reads the file for the first time; there is nothing to fall back on yet.
    pub fn open<T>(
        path: PathBuf,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> Result<(WatchedFile, T), String> {
        let (text, content) = read(&path, parse)?;
        Ok((WatchedFile { path, text, complaint: String::new() }, content))
    }

    /// Waits for the next good change. A bad one is logged, and what is in force stays so.
    pub async fn next<T>(&mut self, parse: impl Fn(&str) -> Result<T, String>) -> T {
        loop {
            sleep(PERIOD).await;
            match read(&self.path, &parse) {
                Ok((text, _)) if text == self.text => self.complaint.clear(),
                Ok((text, content)) => {
                    self.text = text;
                    self.complaint.clear();
                    return content;
                }
                Err(error) if error == self.complaint => {}
                Err(error) => {
                    tracing::warn!("{error}; the last good one stays");
                    self.complaint = error;
                }
            }
        }
    }
}

fn read<T>(path: &Path, parse: impl Fn(&str) -> Result<T, String>) -> Result<(String, T), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let content = parse(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok((text, content))
}
