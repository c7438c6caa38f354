//! The director: reads its configuration, serves until SIGTERM, and then ends what it has taken. On SIGHUP it
//! reads the configuration anew.

use clap::{Parser, Subcommand};
use foxhold::config::operator::OperatorConfig;
use foxhold::config::platform::PlatformConfig;
use foxhold::discovery::xds;
use foxhold::frontend::signed::parse_keys;
use foxhold::{daemon, log};
use rustix::process::{getrlimit, Resource};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

/// Where the operator's own file is, unless `FOXHOLD_FRONT` names another: the first of these that is there.
const OPERATOR_FILES: [&str; 2] = ["deploy/foxhold.yaml", "deploy/front.json"];
/// How a program ends whose files can't be used.
const FAULTS: u8 = 2;

/// A director for cache networks.
#[derive(Parser)]
#[command(
    version,
    about,
    after_help = "ROUTER_CONFIG names the platform's configuration, FOXHOLD_FRONT the \
    operator's own file (else deploy/foxhold.yaml), FOXHOLD_LOG the level of the log. See README.md."
)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM; the default
    Serve,
    /// Show who of the other directors is there, and how far each is behind
    #[cfg(feature = "peers")]
    Peers {
        #[command(flatten)]
        door: Door,
        /// As the door gives it, in JSON
        #[arg(long)]
        json: bool,
    },
    /// Show the replicated state
    #[cfg(feature = "peers")]
    State {
        #[command(subcommand)]
        what: StateCommand,
    },
    /// Have a server drain at all directors, by an operator's word
    #[cfg(feature = "peers")]
    Drain {
        /// Its name in the list
        server: String,
        #[command(flatten)]
        door: Door,
    },
    /// Take that word back
    #[cfg(feature = "peers")]
    Undrain {
        /// Its name in the list
        server: String,
        #[command(flatten)]
        door: Door,
    },
    /// Have no director serve copies of an object or a group that are older than now
    #[cfg(feature = "peers")]
    Purge {
        /// `object` or `group`
        what: String,
        /// The object's name or the group's number
        which: String,
        #[command(flatten)]
        door: Door,
    },
    /// Say of each file whether it can be used, and what is wrong with it; exit 2 where one can't
    Check {
        /// Platform configurations in JSON, and operators' files in YAML
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

#[cfg(feature = "peers")]
#[derive(Subcommand)]
enum StateCommand {
    /// All entries of a kind: purges, drains or members
    Show {
        /// The kind
        kind: String,
        #[command(flatten)]
        door: Door,
    },
}

/// Which director is asked.
#[cfg(feature = "peers")]
#[derive(clap::Args)]
struct Door {
    /// The address of its operators' door; else that of the configuration in ROUTER_CONFIG
    #[arg(long, value_name = "ADDRESS")]
    door: Option<String>,
}

#[cfg(feature = "peers")]
impl Door {
    /// Shows the others, as a table or as they come.
    fn peers(&self, json: bool) -> ExitCode {
        let shown = self.answer("peers").map(|answer| answer.lines().next().unwrap_or_default().to_owned());
        let table = shown.as_deref().map(miniserde::json::from_str::<foxhold::cluster::Status>);
        match table {
            Ok(Ok(shown)) if !json => {
                print!("{shown}");
                ExitCode::SUCCESS
            }
            _ => self.ask("peers"),
        }
    }

    /// Asks one line and prints the answer: 0 where it is no refusal, 2 where nobody answers.
    fn ask(&self, line: &str) -> ExitCode {
        match self.answer(line) {
            Ok(answer) => {
                print!("{}", answer.strip_suffix("END\n").unwrap_or(&answer));
                if answer.starts_with("NO") {
                    ExitCode::FAILURE
                } else {
                    ExitCode::SUCCESS
                }
            }
            Err(error) => {
                eprintln!("foxhold: {error}");
                FAULTS.into()
            }
        }
    }

    fn answer(&self, line: &str) -> Result<String, String> {
        use std::io::{Read, Write};
        let door = match (&self.door, std::env::var_os("ROUTER_CONFIG")) {
            (Some(door), _) => door.clone(),
            (None, Some(path)) => {
                PlatformConfig::read(&PathBuf::from(path)).map_err(|e| e.to_string())?.admin_address
            }
            (None, None) => return Err("neither --door nor ROUTER_CONFIG says where the door is".into()),
        };
        let failed = |e: std::io::Error| format!("the door at {door}: {e}");
        let mut stream = std::net::TcpStream::connect(&door).map_err(failed)?;
        stream.set_read_timeout(Some(std::time::Duration::from_secs(5))).map_err(failed)?;
        stream.write_all(format!("{line}\n").as_bytes()).map_err(failed)?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).map_err(failed)?;
        Ok(answer)
    }
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        #[cfg(feature = "peers")]
        Some(Command::Peers { door, json }) => door.peers(json),
        #[cfg(feature = "peers")]
        Some(Command::State { what: StateCommand::Show { kind, door } }) => {
            door.ask(&format!("state {kind}"))
        }
        #[cfg(feature = "peers")]
        Some(Command::Drain { server, door }) => door.ask(&format!("drain {server}")),
        #[cfg(feature = "peers")]
        Some(Command::Undrain { server, door }) => door.ask(&format!("undrain {server}")),
        #[cfg(feature = "peers")]
        Some(Command::Purge { what, which, door }) => door.ask(&format!("purge {what} {which}")),
        None | Some(Command::Serve) => match serve() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("foxhold: {error}");
                ExitCode::FAILURE
            }
        },
        Some(Command::Check { files }) => {
            let mut good = true;
            for file in &files {
                match check(file) {
                    Ok(what) => println!("{}: {what}", file.display()),
                    Err(fault) => {
                        good = false;
                        eprintln!("{fault}");
                    }
                }
            }
            if good {
                ExitCode::SUCCESS
            } else {
                FAULTS.into()
            }
        }
    }
}

/// What a file is, where it and the files that it names can be used.
fn check(file: &Path) -> Result<String, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let platform = text.trim_start().starts_with('{') && text.contains("\"settings\"");
    if platform {
        let config = PlatformConfig::parse(&text).map_err(|e| format!("{}: {e}", file.display()))?;
        let (classes, events) = (config.settings.classes.len(), config.initial_events.len());
        return Ok(format!("a platform configuration, {classes} classes, {events} events known"));
    }
    let operator = OperatorConfig::read(file).map_err(|e| e.to_string())?;
    let named = |path: &Path, parse: &dyn Fn(&str) -> Result<(), String>| {
        let text = std::fs::read_to_string(path).map_err(|e| e.to_string());
        text.and_then(|t| parse(&t)).map_err(|e| format!("{}: {}: {e}", file.display(), path.display()))
    };
    if let Some(signed) = &operator.signed {
        named(&signed.keys_file, &|t| parse_keys(t).map(drop))?;
    }
    if let Some(path) = &operator.xds_file {
        named(path, &|t| xds::parse(t).map(drop).map_err(|e| e.to_string()))?;
    }
    #[cfg(feature = "peers")]
    if let Some(peers) = &operator.peers {
        named(&peers.key_file, &|t| foxhold::cluster::frame::parse_keys(t).map(drop))?;
        if let Some(folder) = peers.state_folder.as_ref().filter(|f| !f.is_dir()) {
            return Err(format!("{}: peers.folder: {} is no folder", file.display(), folder.display()));
        }
    }
    let peers = operator.peers.map_or("off".into(), |p| p.listen.to_string());
    let front = operator.signed.map_or("off".into(), |s| s.listen);
    let members = operator.xds_file.map_or("the notice board".into(), |p| p.display().to_string());
    Ok(format!(
        "an operator's file, signed front {front}, members from {members}, talk among directors {peers}"
    ))
}

fn serve() -> Result<(), String> {
    let inherited = inherited()?;
    let path = std::env::var_os("ROUTER_CONFIG").ok_or("ROUTER_CONFIG does not name a configuration")?;
    let path = PathBuf::from(path);
    let config = read_config(&path)?;
    // All off on the platform, where no file says otherwise.
    let file = std::env::var_os("FOXHOLD_FRONT").map(PathBuf::from);
    let file = file.or_else(|| OPERATOR_FILES.iter().map(PathBuf::from).find(|f| f.exists()));
    let operator =
        file.map(|f| OperatorConfig::read(&f)).transpose().map_err(|e| e.to_string())?.unwrap_or_default();
    log::begin(&operator.log)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        // Taken before anything is served: by default this signal ends a program.
        let hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
        let (to_director, configs) = mpsc::channel(1);
        tokio::task::spawn_local(reload(path, hangup, to_director));
        daemon::run(config, operator, inherited, configs, async move {
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
async fn reload(path: PathBuf, mut hangup: Signal, configs: mpsc::Sender<Result<PlatformConfig, String>>) {
    while hangup.recv().await.is_some() {
        let _ = configs.send(read_config(&path)).await;
    }
}

/// Reads the configuration. Where the system lets this process hold fewer descriptors than it says, that
/// counts.
fn read_config(path: &Path) -> Result<PlatformConfig, String> {
    let mut config = PlatformConfig::read(path).map_err(|e| e.to_string())?;
    let limit = getrlimit(Resource::Nofile).current.and_then(|limit| usize::try_from(limit).ok());
    config.max_descriptors = config.max_descriptors.min(limit.unwrap_or(usize::MAX));
    Ok(config)
}
