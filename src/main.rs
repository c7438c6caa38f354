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
use std::io;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

/// Where the operators' file is, unless [`OPERATOR_FILE_VARIABLE`] names another: the first that exists.
const OPERATOR_FILES: [&str; 2] = ["deploy/foxhold.yaml", "deploy/front.json"];
const OPERATOR_FILE_VARIABLE: &str = "FOXHOLD_FRONT";
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
const INHERITED_SOCKET_VARIABLE: &str = "ROUTER_FD";
/// Descriptors up to this one are the standard streams.
const MAX_STANDARD_STREAM: RawFd = 2;
/// The exit code where a file can't be used, or no admin endpoint answers.
const EXIT_UNUSABLE: u8 = 2;
/// How long an admin endpoint may take to answer.
#[cfg(feature = "peers")]
const ADMIN_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

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
    /// Show the other directors, and how far each is behind
    #[cfg(feature = "peers")]
    Peers {
        #[command(flatten)]
        admin: AdminAddress,
        /// As the admin endpoint gives it, in JSON
        #[arg(long)]
        json: bool,
    },
    /// Show the replicated state
    #[cfg(feature = "peers")]
    State {
        #[command(subcommand)]
        command: StateCommand,
    },
    /// Drain a server at all directors, as an operator's override
    #[cfg(feature = "peers")]
    Drain {
        /// Its name in the endpoint list
        server: String,
        #[command(flatten)]
        admin: AdminAddress,
    },
    /// Withdraw that override
    #[cfg(feature = "peers")]
    Undrain {
        /// Its name in the endpoint list
        server: String,
        #[command(flatten)]
        admin: AdminAddress,
    },
    /// Have no director serve copies of an object or a group that are older than now
    #[cfg(feature = "peers")]
    Purge {
        /// `object` or `group`
        kind: String,
        /// The object's name or the group's number
        target: String,
        #[command(flatten)]
        admin: AdminAddress,
    },
    /// Validate files, and say what is wrong with them; exit 2 where one can't be used
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
        admin: AdminAddress,
    },
}

/// Which director is asked.
#[cfg(feature = "peers")]
#[derive(clap::Args)]
struct AdminAddress {
    /// The address of its admin endpoint; else that of the configuration in ROUTER_CONFIG
    #[arg(long = "admin", alias = "door", value_name = "ADDRESS")]
    address: Option<String>,
}

/// Why a command failed. Its text is one line.
#[derive(Debug, thiserror::Error)]
enum CliError {
    #[error("ROUTER_CONFIG does not name a configuration")]
    NoConfig,
    #[error("ROUTER_FD is not the number of a descriptor")]
    InvalidInheritedSocket,
    #[cfg(feature = "peers")]
    #[error("neither --admin nor ROUTER_CONFIG says where the door is")]
    NoAdminAddress,
    #[cfg(feature = "peers")]
    #[error("the door at {address}: {source}")]
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
    #[error("{}: peers.folder: {} is no folder", .file.display(), .folder.display())]
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
    /// Shows the other directors as a table.
    fn show_peers(&self) -> ExitCode {
        let answer = self.send("peers");
        print_answer(answer, |answer| {
            let json = answer.lines().next().unwrap_or_default();
            let status = miniserde::json::from_str::<foxhold::cluster::Status>(json).ok();
            status.map(|status| status.to_string())
        })
    }

    /// Sends a command and prints the answer as it comes.
    fn run(&self, command: &str) -> ExitCode {
        print_answer(self.send(command), |_| None)
    }

    fn send(&self, command: &str) -> Result<String, CliError> {
        use io::{Read, Write};
        let address = self.resolve()?;
        let failed = |source| CliError::AdminEndpoint { address: address.clone(), source };
        let mut stream = std::net::TcpStream::connect(&address).map_err(failed)?;
        stream.set_read_timeout(Some(ADMIN_TIMEOUT)).map_err(failed)?;
        stream.write_all(format!("{command}\n").as_bytes()).map_err(failed)?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).map_err(failed)?;
        Ok(answer)
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

/// Prints an answer, in another form where `render` knows one: 0 unless it is `NO`, 2 where nobody answers.
#[cfg(feature = "peers")]
fn print_answer(answer: Result<String, CliError>, render: impl Fn(&str) -> Option<String>) -> ExitCode {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            eprintln!("foxhold: {error}");
            return EXIT_UNUSABLE.into();
        }
    };
    if let Some(rendered) = render(&answer) {
        print!("{rendered}");
        return ExitCode::SUCCESS;
    }
    print!("{}", answer.strip_suffix("END\n").unwrap_or(&answer));
    if answer.starts_with("NO") {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

/// Says of each file what it is, or why it can't be used.
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

/// What a file is, where it and the files that it names can be used.
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

/// Validates the files that an operators' file names.
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
        // Registered before anything is served: by default this signal ends a process.
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

/// The operators' file; everything in it is off where there is none.
fn read_operator_file() -> Result<OperatorConfig, CliError> {
    let named = std::env::var_os(OPERATOR_FILE_VARIABLE).map(PathBuf::from);
    let path = named.or_else(|| OPERATOR_FILES.iter().map(PathBuf::from).find(|path| path.exists()));
    match path {
        Some(path) => Ok(OperatorConfig::read(&path)?),
        None => Ok(OperatorConfig::default()),
    }
}

/// The listening socket that whoever started the process holds for it.
fn inherited_socket() -> Result<Option<std::net::TcpListener>, CliError> {
    let Some(number) = std::env::var_os(INHERITED_SOCKET_VARIABLE) else { return Ok(None) };
    let number = number.to_str().and_then(|number| number.parse::<RawFd>().ok());
    let number = number.filter(|number| *number > MAX_STANDARD_STREAM);
    let number = number.ok_or(CliError::InvalidInheritedSocket)?;
    // SAFETY: called once, before anything else is opened; by the platform's contract the descriptor belongs
    // to this process, and nothing else here uses it. A wrong one shows at the first use of the socket, as an
    // error.
    #[allow(unsafe_code, reason = "the platform hands the socket over by the number of its descriptor")]
    let socket = unsafe { OwnedFd::from_raw_fd(number) };
    Ok(Some(socket.into()))
}

/// Reads the configuration at each SIGHUP. The signals that come while one is under way count as one more.
async fn reload_on_hangup(path: PathBuf, mut hangup: Signal, configs: mpsc::Sender<ReloadedConfig>) {
    while hangup.recv().await.is_some() {
        let _ = configs.send(read_config(&path)).await;
    }
}

/// Reads the configuration. Its limit on descriptors is no higher than the system's for this process.
fn read_config(path: &Path) -> ReloadedConfig {
    let mut config = PlatformConfig::read(path)?;
    let limit = getrlimit(Resource::Nofile).current.and_then(|limit| usize::try_from(limit).ok());
    config.max_descriptors = config.max_descriptors.min(limit.unwrap_or(usize::MAX));
    Ok(config)
}
