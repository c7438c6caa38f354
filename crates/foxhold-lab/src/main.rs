//! The laboratory's command line.

use clap::{Parser, Subcommand};
use foxhold_lab::fleet::Fleet;
use foxhold_lab::harness::{self, Programs};
use foxhold_lab::overhead::{through_daemon, through_library};
use foxhold_lab::plan::Plan;
use foxhold_lab::replay::{compare, play, Failure, Played, Through};
use foxhold_lab::trace;
use std::path::PathBuf;
use std::process::ExitCode;

/// What is allocated is counted: hollow directors' memory is told from it.
#[global_allocator]
static ALLOCATED: cap::Cap<std::alloc::System> = cap::Cap::new(std::alloc::System, usize::MAX);

/// foxhold's laboratory.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Draw a trace with a drain, a crash, a slow parent and a purge, and print it
    Draw {
        /// Requests
        #[arg(long, default_value_t = 5_000)]
        requests: usize,
        /// What it is drawn from
        #[arg(long, default_value_t = 7)]
        seed: u64,
    },
    /// Play one trace through the daemon and through the library, and compare every choice and answer; exit 1 where
    /// any differs
    Trace {
        /// The trace; without one it is drawn as by `draw`
        file: Option<PathBuf>,
        /// The daemon's program
        #[arg(long, default_value = "target/release/foxhold")]
        daemon: PathBuf,
        /// Seed of a trace that is drawn
        #[arg(long, default_value_t = 7)]
        seed: u64,
        /// Requests of a trace that is drawn
        #[arg(long, default_value_t = 5_000)]
        requests: usize,
        /// Change the decision on this fill in the library, which must show
        #[arg(long)]
        alter: Option<usize>,
    },
    /// Directors that talk among themselves: how fast a word is with all, and what that costs; exit 1 where one was not
    Talk {
        /// The director's program
        #[arg(long, default_value = "target/release/foxhold")]
        daemon: PathBuf,
        #[command(flatten)]
        play: foxhold_lab::talk_play::Play,
        /// In place of that: one director holds so many entries, another starts and catches up
        #[arg(long)]
        catch_up: Option<u32>,
        /// Where to write the figures, as JSON
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Many directors in one process over a simulated network, without clients and servers: what control costs each,
    /// and when purges are everywhere; exit 1 where one was not
    Hollow(foxhold_lab::hollow::Options),
    /// Many processes of the director before stand-ins, with faults between them, by a plan in YAML
    Fleet {
        /// The plan; without one a calm play
        file: Option<PathBuf>,
        /// In place of a plan: faults drawn by the seed among directors that talk, 20 for 120 s unless told otherwise
        #[arg(long, conflicts_with = "file")]
        storm: bool,
        /// The director's program
        #[arg(long, default_value = "target/release/foxhold")]
        daemon: PathBuf,
        /// Directors, in place of the plan's number
        #[arg(long)]
        directors: Option<usize>,
        /// Seed, in place of the plan's
        #[arg(long)]
        seed: Option<u64>,
        /// Seconds of load, in place of the plan's
        #[arg(long)]
        seconds: Option<f64>,
        /// Where to write the figures, as JSON
        #[arg(long)]
        json: Option<PathBuf>,
        /// Where to write the page with plots
        #[arg(long)]
        html: Option<PathBuf>,
    },
    /// One stand-in server as a process: told on standard input, telling on standard output
    #[command(hide = true)]
    StandIn {
        /// How it starts, as JSON
        start: String,
    },
    /// What the director costs a request, as daemon over loopback and as library, before the same stand-ins
    Overhead {
        /// The daemon's program
        #[arg(long, default_value = "target/release/foxhold")]
        daemon: PathBuf,
        /// Requests of each
        #[arg(long, default_value_t = 40_000)]
        requests: usize,
        /// Servers in all: nine caches in ten
        #[arg(long, default_value_t = 200)]
        servers: usize,
        /// Objects asked for in turn
        #[arg(long, default_value_t = 1_000)]
        objects: usize,
        /// Requests under way at a time
        #[arg(long, default_value_t = 16)]
        at_once: usize,
    },
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(good) => ExitCode::from(u8::from(!good)),
        Err(error) => {
            eprintln!("foxhold-lab: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(command: Command) -> Result<bool, Failure> {
    match command {
        Command::Draw { requests, seed } => {
            trace::draw(requests, seed).iter().for_each(|line| println!("{line}"));
            Ok(true)
        }
        Command::StandIn { start } => {
            foxhold_lab::standin::process(serde_json::from_str(&start)?)?;
            Ok(true)
        }
        Command::Fleet { file, storm, daemon, directors, seed, seconds, json, html } => {
            let mut plan = match file {
                _ if storm => {
                    let (directors, seconds) = (directors.unwrap_or(20), seconds.unwrap_or(120.0));
                    foxhold_lab::storm::draw(directors, seconds, seed.unwrap_or(1))
                }
                Some(file) => {
                    let text =
                        std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
                    Plan::read(&text).map_err(|e| format!("{}: {e}", file.display()))?
                }
                None => Plan::default(),
            };
            plan.directors = directors.unwrap_or(plan.directors);
            plan.seed = seed.unwrap_or(plan.seed);
            plan.seconds = seconds.unwrap_or(plan.seconds);
            let played = fleet(&plan, &Programs::of(daemon)?)?;
            print!("{}", played.summary());
            if let Some(file) = json {
                std::fs::write(file, serde_json::to_string(&played)?)?;
            }
            if let Some(file) = html {
                std::fs::write(file, played.page()?)?;
            }
            Ok(played.breaches.is_empty())
        }
        Command::Talk { daemon, play, catch_up, json } => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let local = tokio::task::LocalSet::new();
            if let Some(entries) = catch_up {
                let caught_up =
                    local.block_on(&runtime, foxhold_lab::talk_play::catch_up(&daemon, entries))?;
                println!("{}", serde_json::to_string_pretty(&caught_up)?);
                return Ok(caught_up.entries >= u64::from(entries));
            }
            let played = local.block_on(&runtime, foxhold_lab::talk_play::play(&daemon, &play))?;
            let text = serde_json::to_string_pretty(&played)?;
            println!("{text}");
            if let Some(file) = json {
                std::fs::write(file, text)?;
            }
            Ok(played.missed == 0)
        }
        Command::Hollow(options) => foxhold_lab::hollow::command(&options, || ALLOCATED.allocated()),
        Command::Overhead { daemon, requests, servers, objects, at_once } => {
            let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
            let parents = (servers / 10).max(1);
            let (daemon, library) = runtime.block_on(async {
                let fleet = Fleet::start(servers.saturating_sub(parents + 1).max(1), parents).await?;
                let daemon = through_daemon(&daemon, &fleet, requests, at_once, objects).await?;
                let library = through_library(&fleet, requests, at_once, objects).await?;
                Ok::<_, Failure>((daemon, library))
            })?;
            for (name, cost) in [("daemon", &daemon), ("library", &library)] {
                println!(
                    "{name}: {:.0} requests/s, p50 {} us, p99 {} us, {:.1} us of processor a request, {} not served",
                    cost.rate, cost.p50, cost.p99, cost.cpu, cost.others
                );
            }
            println!(
                "library to daemon: rate {:.2}, p50 {:.2}, p99 {:.2}, processor {:.2}",
                library.rate / daemon.rate,
                library.p50 as f64 / daemon.p50 as f64,
                library.p99 as f64 / daemon.p99 as f64,
                library.cpu / daemon.cpu
            );
            Ok(true)
        }
        Command::Trace { file, daemon, seed, requests, alter } => {
            let lines = match file {
                Some(file) => trace::parse(&std::fs::read_to_string(file)?)?,
                None => trace::draw(requests, seed),
            };
            let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
            let daemon = runtime.block_on(play(&lines, &Through::Daemon(daemon)))?;
            tell("daemon", &daemon);
            let library = runtime.block_on(play(&lines, &Through::Library { altered: alter }))?;
            tell("library", &library);
            let differences = compare(&daemon, &library);
            for difference in differences.iter().take(5) {
                println!("request {}:", difference.id);
                println!("  daemon  {:?}", difference.one);
                println!("  library {:?}", difference.other);
            }
            println!("{} differences", differences.len());
            Ok(differences.is_empty())
        }
    }
}

/// Plays a plan with a bar that shows how far it is.
fn fleet(plan: &Plan, programs: &Programs) -> Result<foxhold_lab::report::Played, Failure> {
    let bar = indicatif::ProgressBar::new((plan.seconds + plan.settle).ceil() as u64);
    bar.set_message("seconds of load");
    let moved = bar.clone();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let settle = plan.settle;
    let progress = move |at: f64| moved.set_position((at + settle).max(0.0) as u64);
    let played = tokio::task::LocalSet::new().block_on(&runtime, harness::play(plan, programs, progress));
    bar.finish_and_clear();
    played
}

fn tell(name: &str, played: &Played) {
    let attempts: usize = played.requests.values().map(|(seen, _)| seen.len()).sum();
    let mut statuses = std::collections::BTreeMap::new();
    played.requests.values().for_each(|(_, answer)| *statuses.entry(answer.status).or_insert(0) += 1);
    println!(
        "{name}: {} requests, {attempts} attempts, answers {statuses:?}, {} started late, {:?} at the most",
        played.requests.len(),
        played.late,
        played.latest
    );
}
