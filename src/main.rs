//! The director: reads its configuration, serves until SIGTERM, and then ends what it has taken.

use foxhold::net::{self, config::Config, signed::FrontFile};
use std::path::Path;
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};

/// Where the second front's file is, unless `FOXHOLD_FRONT` names another.
const FRONT_FILE: &str = "deploy/front.json";

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
    // Off on the platform, where no file says otherwise.
    let second = match std::env::var_os("FOXHOLD_FRONT") {
        Some(path) => FrontFile::read(path.as_ref())?,
        None if Path::new(FRONT_FILE).exists() => FrontFile::read(FRONT_FILE.as_ref())?,
        None => None,
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        net::run(config, second, async move {
            term.recv().await;
        })
        .await
    })
}
