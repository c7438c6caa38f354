//! The command line of the director.

use clap::{Parser, Subcommand};
use foxhold::config::operator::{OperatorConfig, OperatorConfigError};
use foxhold::config::platform::{PlatformConfig, PlatformConfigError};
use foxhold::daemon::{self, DaemonError, ReloadedConfig};
use foxhold::discovery::xds;
use foxhold::frontend::signed::parse_keys;
use foxhold::log::{self, LogError};
use rustix::process::{getrlimit, Resource};
use std::error::Error;
use std::ffi::OsString;
use std::io;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

/// Default paths of the operator's file, used when [`OPERATOR_FILE_VARIABLE`] is not set. The first that
/// exists is read.
const DEFAULT_OPERATOR_FILES: [&str; 2] = ["deploy/foxhold.yaml", "deploy/front.json"];
const OPERATOR_FILE_VARIABLE: &str = "FOXHOLD_FRONT";
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
const INHERITED_SOCKET_VARIABLE: &str = "ROUTER_FD";
/// The highest descriptor number of the standard streams.
const MAX_STANDARD_STREAM: RawFd = 2;
/// Exit code if a file is invalid or the admin endpoint does not reply.
const EXIT_UNUSABLE: u8 = 2;
/// Read timeout for the admin endpoint's reply.
#[cfg(feature = "peers")]
const ADMIN_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// A director for cache networks.
#[derive(Parser)]
#[command(
    version,
    about,
    after_help = "Environment: ROUTER_CONFIG names the platform's configuration file, FOXHOLD_FRONT the \
    operator's file (default: deploy/foxhold.yaml, else deploy/front.json), FOXHOLD_LOG the log level. \
    See README.md."
)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve requests until SIGTERM (default)
    Serve,
    /// List the other directors, and when each was last heard from and last in sync
    #[cfg(feature = "peers")]
    Peers {
        #[command(flatten)]
        admin: AdminAddress,
        /// Print the admin endpoint's JSON reply unchanged
        #[arg(long)]
        json: bool,
    },
    /// Show the replicated state
    #[cfg(feature = "peers")]
    State {
        #[command(subcommand)]
        command: StateCommand,
    },
    /// Set a drain override: all directors drain the server
    #[cfg(feature = "peers")]
    Drain {
        /// Server name in the endpoint list
        server: String,
        #[command(flatten)]
        admin: AdminAddress,
    },
    /// Remove a server's drain override
    #[cfg(feature = "peers")]
    Undrain {
        /// Server name in the endpoint list
        server: String,
        #[command(flatten)]
        admin: AdminAddress,
    },
    /// Purge an object or a group: no director serves copies older than now
    #[cfg(feature = "peers")]
    Purge {
        /// `object` or `group`
        kind: String,
        /// Object name or group number
        target: String,
        #[command(flatten)]
        admin: AdminAddress,
    },
    /// Validate files and report errors; exits with status 2 if any file is invalid
    Check {
        /// Platform configurations (JSON) and operator's files (YAML)
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

#[cfg(feature = "peers")]
#[derive(Subcommand)]
enum StateCommand {
    /// List all entries of one kind
    Show {
        /// `purges`, `drains` or `members`
        kind: String,
        #[command(flatten)]
        admin: AdminAddress,
    },
}

/// The director that a command is sent to.
#[cfg(feature = "peers")]
#[derive(clap::Args)]
struct AdminAddress {
    /// Address of the director's admin endpoint (default: from the configuration named by ROUTER_CONFIG)
    #[arg(long = "admin", alias = "door", value_name = "ADDRESS")]
    address: Option<String>,
}

/// An error that ends a command, displayed on one line.
#[derive(Debug, thiserror::Error)]
enum CliError {
    #[error("ROUTER_CONFIG is not set: expected the path of the platform configuration")]
    NoConfig,
    #[error("ROUTER_FD is {value:?}, expected a descriptor number greater than 2")]
    InvalidInheritedSocket { value: OsString },
    #[cfg(feature = "peers")]
    #[error("no admin endpoint address: --admin is not given and ROUTER_CONFIG is not set")]
    NoAdminAddress,
    #[cfg(feature = "peers")]
    #[error("admin endpoint at {address}: {source}")]
    AdminEndpoint { address: String, source: io::Error },
    #[error(transparent)]
    PlatformConfig(#[from] PlatformConfigError),
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigError),
    #[error("{}: {source}", .file.display())]
    File { file: PathBuf, source: Box<dyn Error + Send + Sync> },
    #[error("{}: {}: {source}", .file.display(), .named.display())]
    NamedFile { file: PathBuf, named: PathBuf, source: Box<dyn Error + Send + Sync> },
    #[cfg(feature = "peers")]
    #[error("{}: peers.folder: {} is not a directory", .file.display(), .folder.display())]
    NotAFolder { file: PathBuf, folder: PathBuf },
    #[error(transparent)]
    Log(#[from] LogError),
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        None | Some(Command::Serve) => match serve() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("foxhold: {error}");
                ExitCode::FAILURE
            }
        },
        Some(Command::Check { files }) => check_all(&files),
        #[cfg(feature = "peers")]
        Some(Command::Peers { admin, json: true }) => admin.run("peers"),
        #[cfg(feature = "peers")]
        Some(Command::Peers { admin, json: false }) => admin.show_peers(),
        #[cfg(feature = "peers")]
        Some(Command::State { command: StateCommand::Show { kind, admin } }) => {
            admin.run(&format!("state {kind}"))
        }
        #[cfg(feature = "peers")]
        Some(Command::Drain { server, admin }) => admin.run(&format!("drain {server}")),
        #[cfg(feature = "peers")]
        Some(Command::Undrain { server, admin }) => admin.run(&format!("undrain {server}")),
        #[cfg(feature = "peers")]
        Some(Command::Purge { kind, target, admin }) => admin.run(&format!("purge {kind} {target}")),
    }
}

#[cfg(feature = "peers")]
impl AdminAddress {
    /// Prints the other directors as a table.
    fn show_peers(&self) -> ExitCode {
        let reply = self.send("peers");
        print_reply(reply, |reply| {
            let json = reply.lines().next().unwrap_or_default();
            let status = miniserde::json::from_str::<foxhold::cluster::Status>(json).ok();
            status.map(|status| status.to_string())
        })
    }

    /// Sends a command and prints the reply unchanged, without the line `END`.
    fn run(&self, command: &str) -> ExitCode {
        print_reply(self.send(command), |_| None)
    }

    fn send(&self, command: &str) -> Result<String, CliError> {
        use io::{Read, Write};
        let address = self.resolve()?;
        let failed = |source| CliError::AdminEndpoint { address: address.clone(), source };
        let mut stream = std::net::TcpStream::connect(&address).map_err(failed)?;
        stream.set_read_timeout(Some(ADMIN_TIMEOUT)).map_err(failed)?;
        stream.write_all(format!("{command}\n").as_bytes()).map_err(failed)?;
        let mut reply = String::new();
        stream.read_to_string(&mut reply).map_err(failed)?;
        Ok(reply)
    }

    fn resolve(&self) -> Result<String, CliError> {
        if let Some(address) = &self.address {
            return Ok(address.clone());
        }
        let path = std::env::var_os(CONFIG_VARIABLE).ok_or(CliError::NoAdminAddress)?;
        let config = PlatformConfig::read(Path::new(&path))?;
        Ok(config.admin_address)
    }
}

/// Prints a reply of the admin endpoint, as `render` formats it unless that returns `None`. The exit code is
/// 1 if the reply is `NO`, [`EXIT_UNUSABLE`] if there is no reply, and otherwise 0.
#[cfg(feature = "peers")]
fn print_reply(reply: Result<String, CliError>, render: impl Fn(&str) -> Option<String>) -> ExitCode {
    let reply = match reply {
        Ok(reply) => reply,
        Err(error) => {
            eprintln!("foxhold: {error}");
            return EXIT_UNUSABLE.into();
        }
    };
    if let Some(rendered) = render(&reply) {
        print!("{rendered}");
        return ExitCode::SUCCESS;
    }
    print!("{}", reply.strip_suffix("END\n").unwrap_or(&reply));
    if reply.starts_with("NO") {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

/// Prints a description of each valid file, and the error of each invalid one.
fn check_all(files: &[PathBuf]) -> ExitCode {
    let mut exit_code = ExitCode::SUCCESS;
    for file in files {
        match check(file) {
            Ok(description) => println!("{}: {description}", file.display()),
            Err(error) => {
                exit_code = EXIT_UNUSABLE.into();
                eprintln!("{error}");
            }
        }
    }
    exit_code
}

/// Validates a file and the files that it names, and returns a description of the file.
fn check(file: &Path) -> Result<String, CliError> {
    let failed = |source| CliError::File { file: file.to_owned(), source };
    let text = std::fs::read_to_string(file).map_err(|error| failed(error.into()))?;
    let is_platform_config = text.trim_start().starts_with('{') && text.contains("\"settings\"");
    if is_platform_config {
        let config = PlatformConfig::parse(&text).map_err(|error| failed(error.into()))?;
        let (classes, events) = (config.settings.classes.len(), config.initial_events.len());
        return Ok(format!("a platform configuration, {classes} classes, {events} events known"));
    }
    let operator = OperatorConfig::read(file)?;
    check_named_files(file, &operator)?;
    let peers = operator.peers.map_or("off".into(), |peers| peers.listen.to_string());
    let signed = operator.signed.map_or("off".into(), |signed| signed.listen);
    let members = operator.xds_file.map_or("the notice board".into(), |path| path.display().to_string());
    Ok(format!(
        "an operator's file, signed front {signed}, members from {members}, talk among directors {peers}"
    ))
}

/// Validates the files that an operator's file names.
fn check_named_files(file: &Path, operator: &OperatorConfig) -> Result<(), CliError> {
    if let Some(signed) = &operator.signed {
        check_named_file(file, &signed.keys_file, parse_keys)?;
    }
    if let Some(path) = &operator.xds_file {
        check_named_file(file, path, xds::parse)?;
    }
    #[cfg(feature = "peers")]
    if let Some(peers) = &operator.peers {
        check_named_file(file, &peers.key_file, foxhold::cluster::parse_keys)?;
        if let Some(folder) = peers.state_folder.as_ref().filter(|folder| !folder.is_dir()) {
            return Err(CliError::NotAFolder { file: file.to_owned(), folder: folder.clone() });
        }
    }
    Ok(())
}

fn check_named_file<T, E: Into<Box<dyn Error + Send + Sync>>>(
    file: &Path,
    named: &Path,
    parse: impl Fn(&str) -> Result<T, E>,
) -> Result<(), CliError> {
    let failed = |source| CliError::NamedFile { file: file.to_owned(), named: named.to_owned(), source };
    let text = std::fs::read_to_string(named).map_err(|error| failed(error.into()))?;
    parse(&text).map_err(|error| failed(error.into()))?;
    Ok(())
}

fn serve() -> Result<(), CliError> {
    let inherited = inherited_socket()?;
    let path = std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from).ok_or(CliError::NoConfig)?;
    let config = read_config(&path)?;
    let operator = read_operator_file()?;
    log::init(&operator.log)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut terminate = signal(SignalKind::terminate())?;
        // Registered before the daemon serves: without a handler, SIGHUP terminates the process.
        let hangup = signal(SignalKind::hangup())?;
        let (sender, configs) = mpsc::channel(1);
        tokio::task::spawn_local(reload_on_hangup(path, hangup, sender));
        let terminated = async move {
            terminate.recv().await;
        };
        daemon::run(config, operator, inherited, configs, terminated).await?;
        Ok(())
    })
}

/// Reads the operator's file. Without one, everything that it configures is off.
fn read_operator_file() -> Result<OperatorConfig, CliError> {
    let named = std::env::var_os(OPERATOR_FILE_VARIABLE).map(PathBuf::from);
    let path = named.or_else(|| DEFAULT_OPERATOR_FILES.iter().map(PathBuf::from).find(|path| path.exists()));
    match path {
        Some(path) => Ok(OperatorConfig::read(&path)?),
        None => Ok(OperatorConfig::default()),
    }
}

/// Returns the listening socket that the parent process passed on, or `None` if it passed none.
fn inherited_socket() -> Result<Option<std::net::TcpListener>, CliError> {
    let Some(value) = std::env::var_os(INHERITED_SOCKET_VARIABLE) else { return Ok(None) };
    let number = value.to_str().and_then(|number| number.parse::<RawFd>().ok());
    let number = number.filter(|number| *number > MAX_STANDARD_STREAM);
    let number = number.ok_or(CliError::InvalidInheritedSocket { value })?;
    // SAFETY: called once, before this process opens anything else. By the platform's contract the descriptor
    // belongs to this process, and nothing else here uses it. If it is not a socket, its first use returns an
    // error.
    #[allow(unsafe_code, reason = "the platform passes the socket by its descriptor number")]
    let socket = unsafe { OwnedFd::from_raw_fd(number) };
    Ok(Some(socket.into()))
}

/// Reads the configuration again at each SIGHUP. Signals received during a reload cause one further reload.
async fn reload_on_hangup(path: PathBuf, mut hangup: Signal, configs: mpsc::Sender<ReloadedConfig>) {
    while hangup.recv().await.is_some() {
        let _ = configs.send(read_config(&path)).await;
    }
}

/// Reads the configuration, with its descriptor limit lowered to that of this process (`RLIMIT_NOFILE`) if it
/// is higher.
fn read_config(path: &Path) -> ReloadedConfig {
    let mut config = PlatformConfig::read(path)?;
    let limit = getrlimit(Resource::Nofile).current.and_then(|limit| usize::try_from(limit).ok());
    config.max_descriptors = config.max_descriptors.min(limit.unwrap_or(usize::MAX));
    Ok(config)
}
