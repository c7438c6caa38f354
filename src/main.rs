//! The director: reads its configuration, serves until SIGTERM, and then ends what it has taken. On SIGHUP it
//! reads the configuration anew.

use foxhold::net::{self, config::Config, signed::FrontFile};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

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
    let path = std::env::var_os("ROUTER_CONFIG").ok_or("ROUTER_CONFIG does not name a configuration")?;
    let path = PathBuf::from(path);
    let config = Config::read(&path)?;
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
        // Taken before anything is served: by default this signal ends a program.
        let hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
        let (to_director, configs) = mpsc::channel(1);
        tokio::task::spawn_local(reload(path, hangup, to_director));
        net::run(config, second, configs, async move {
            term.recv().await;
        })
        .await
    })
}

/// Reads the configuration at each SIGHUP; one that can't be used is logged, and the one before stays. Those
/// signals that come while one is under way count as one more.
async fn reload(path: PathBuf, mut hangup: Signal, configs: mpsc::Sender<Config>) {
    while hangup.recv().await.is_some() {
        match Config::read(&path) {
            Ok(config) => {
                foxhold::log!("foxhold: configuration read anew");
                let _ = configs.send(config).await;
            }
            Err(error) => foxhold::log!("foxhold: {error}; the one before stays"),
        }
    }
}
