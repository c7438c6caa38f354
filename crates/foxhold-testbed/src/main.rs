//! The testbed's command line.

use clap::{Parser, Subcommand};
use foxhold_testbed::scenarios::replay::TestbedError;
use std::process::ExitCode;

mod commands;

/// What is allocated is counted: simulated directors' memory is told from it.
#[global_allocator]
static ALLOCATED: cap::Cap<std::alloc::System> = cap::Cap::new(std::alloc::System, usize::MAX);

/// foxhold's testbed.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Draw a trace with a drain, a crash, a slow parent and a purge, and print it
    Draw(commands::trace::DrawOptions),
    /// Run one trace through the daemon and through the library, and compare every choice and answer; exit 1
    /// where any differs
    Trace(commands::trace::CompareOptions),
    /// Directors that gossip: how fast an update is with all, and what that costs; exit 1 where one was
    /// not
    #[command(alias = "talk")]
    Gossip(commands::gossip::Options),
    /// Many directors in one process over a simulated network, without clients and servers: what control
    /// costs each, and when purges are everywhere; exit 1 where one was not
    #[command(alias = "hollow")]
    Simulate(commands::simulate::Options),
    /// Many processes of the director before emulated servers, with faults between them, by a scenario in
    /// YAML
    Fleet(commands::fleet::Options),
    /// One emulated server as a process: told on standard input, telling on standard output
    #[command(hide = true, alias = "stand-in")]
    Emulate {
        /// How it starts, as JSON
        start: String,
    },
    /// What the director costs a request, as daemon over loopback and as library, before the same emulated
    /// servers
    Overhead(commands::overhead::Options),
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("foxhold-testbed: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs a command; whether what it checks held.
fn run(command: Command) -> Result<bool, TestbedError> {
    match command {
        Command::Draw(options) => commands::trace::draw(&options),
        Command::Trace(options) => commands::trace::compare_daemon_and_library(options),
        Command::Gossip(options) => commands::gossip::run(&options),
        Command::Simulate(options) => commands::simulate::run(&options, || ALLOCATED.allocated()),
        Command::Fleet(options) => commands::fleet::run(options),
        Command::Emulate { start } => emulate(&start),
        Command::Overhead(options) => commands::overhead::run(&options),
    }
}

fn emulate(start: &str) -> Result<bool, TestbedError> {
    foxhold_testbed::servers::emulated::process(serde_json::from_str(start)?)?;
    Ok(true)
}
