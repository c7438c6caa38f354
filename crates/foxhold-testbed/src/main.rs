//! The testbed's command line.

use clap::{Parser, Subcommand};
use foxhold_testbed::scenarios::replay::TestbedError;
use std::process::ExitCode;

mod commands;

/// Counts allocated bytes, from which the memory of simulated directors is computed.
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
    /// Run one trace through the daemon and through the library, and compare every choice and response; exit
    /// 1 if any differs
    Trace(commands::trace::CompareOptions),
    /// Run directors that gossip: measure how fast updates reach all of them, and what that costs; exit 1 if
    /// an update did not reach all
    #[command(alias = "talk")]
    Gossip(commands::gossip::Options),
    /// Simulate many directors in one process over a simulated network, without clients and servers: measure
    /// what control costs each, and when purges reach all; exit 1 if a purge did not
    #[command(alias = "hollow")]
    Simulate(commands::simulate::Options),
    /// Run many director processes with emulated servers and faults between them, as a scenario in YAML says
    Fleet(commands::fleet::Options),
    /// Run one emulated server, with commands on standard input and events on standard output
    #[command(hide = true, alias = "stand-in")]
    Emulate {
        /// Configuration of the server, as JSON
        start: String,
    },
    /// Measure what the director costs per request, as daemon over loopback and as library, with the same
    /// emulated servers
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

/// Runs a command. Returns whether its checks passed.
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
