//! The director: reads its configuration, serves until SIGTERM, and then ends what it has taken. On SIGHUP it
//! reads the configuration anew.

use foxhold::daemon;
use foxhold::director::Config;
use foxhold::fronts::signed::FrontFile;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
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
    let inherited = inherited()?;
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
        daemon::run(config, second, inherited, configs, async move {
            term.recv().await;
        })
        .await
    })
}

/// The listening socket that whoever started the program holds for it, by the number in `ROUTER_FD`.
fn inherited() -> Result<Option<std::net::TcpListener>, String> {
    let Some(number) = std::env::var_os("ROUTER_FD") else { return Ok(None) };
    let number = number.to_str().and_then(|n| n.parse::<RawFd>().ok()).filter(|n| *n > 2);
    let number = number.ok_or("ROUTER_FD is not the number of a descriptor")?;
    // SAFETY: called once, before anything else is opened; the number belongs to this process by the
    // platform's word, and nothing else here goes by it. A wrong one shows at the first use of the socket, as
    // an error.
    let socket = unsafe { OwnedFd::from_raw_fd(number) };
    Ok(Some(socket.into()))
}

/// Reads the configuration at each SIGHUP. Those signals that come while one is under way count as one more.
async fn reload(path: PathBuf, mut hangup: Signal, configs: mpsc::Sender<Result<Config, String>>) {
    while hangup.recv().await.is_some() {
        let _ = configs.send(Config::read(&path)).await;
    }
}
