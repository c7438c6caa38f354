//! The director: reads its configuration, serves until SIGTERM, and then ends what it has taken.

use foxhold::net::{self, config::Config};
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("foxhold: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG does not name a configuration")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("configuration {path}: {e}"))?;
    let config = Config::parse(&text).map_err(|e| format!("configuration {path}: {e}"))?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        net::run(config, async move {
            term.recv().await;
        })
        .await
    })
}
