//! An emulated server as a separate process.

use super::config::ServerConfig;
use super::protocol::ServerCommand;
use super::run;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::sync::mpsc;

/// Runs a server as a separate process until its standard input closes. Reads commands from standard input
/// and writes events to standard output, each as one line of JSON.
pub fn process(config: ServerConfig) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let (commands, received) = mpsc::unbounded_channel();
        let (events, mut happened) = mpsc::unbounded_channel();
        tokio::task::spawn_local(async move {
            let mut out = tokio::io::BufWriter::new(tokio::io::stdout());
            while let Some(event) = happened.recv().await {
                let mut line = serde_json::to_vec(&event).unwrap_or_default();
                line.push(b'\n');
                let written = out.write_all(&line).await;
                if written.is_err() || (happened.is_empty() && out.flush().await.is_err()) {
                    return;
                }
            }
        });
        tokio::task::spawn_local(read_commands(commands));
        run(config, received, events).await
    })
}

async fn read_commands(commands: mpsc::UnboundedSender<ServerCommand>) {
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if let Ok(command) = serde_json::from_str(&line) {
            let _ = commands.send(command);
        }
    }
}
