//! The list in xDS form: the actor that watches its file.

use crate::core::{Message, Reports};
use crate::xds;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::sleep;

/// How often the file is read: well within the time in which a drain must be heeded.
const PERIOD: Duration = Duration::from_millis(250);

/// Reads the file's members.
pub fn read(path: &Path) -> Result<(String, Message), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let update = xds::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok((text, Message::Members { full: true, members: update.members }))
}

/// Watches the file; `last` is the text that was taken. A bad update is logged, once, and turned down whole:
/// the last good list stays.
pub async fn follow(path: PathBuf, mut last: String, reports: Reports) {
    let mut complaint = String::new();
    loop {
        sleep(PERIOD).await;
        match read(&path) {
            Ok((text, _)) if text == last => complaint.clear(),
            Ok((text, message)) => {
                last = text;
                complaint.clear();
                reports.send(message).await;
            }
            Err(error) if error == complaint => {}
            Err(error) => {
                eprintln!("xds: {error}; the last good list stays");
                complaint = error;
            }
        }
    }
}
