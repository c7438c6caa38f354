//! `overhead`: measures what the director costs per request.

use foxhold_testbed::scenarios::overhead::{through_daemon, through_library, Cost};
use foxhold_testbed::scenarios::replay::TestbedError;
use foxhold_testbed::servers::in_process::EmulatedFleet;
use std::path::PathBuf;

/// One of this many servers is a parent.
const SERVERS_PER_PARENT: usize = 10;

/// Options of `overhead`.
#[derive(clap::Args)]
pub struct Options {
    /// Path of the director's program
    #[arg(long, default_value = "target/release/foxhold")]
    daemon: PathBuf,
    /// Requests sent through the daemon, and again through the library
    #[arg(long, default_value_t = 40_000)]
    requests: usize,
    /// Number of servers, nine in ten of which are caches
    #[arg(long, default_value_t = 200)]
    servers: usize,
    /// Number of objects, requested in turn
    #[arg(long, default_value_t = 1_000)]
    objects: usize,
    /// Number of requests in flight at a time
    #[arg(long, default_value_t = 16)]
    at_once: usize,
}

/// Measures the daemon and the library with the same emulated servers, and prints their figures.
pub fn run(options: &Options) -> Result<bool, TestbedError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let (daemon, library) = runtime.block_on(measure(options))?;
    print_cost("daemon", &daemon);
    print_cost("library", &library);
    println!(
        "library to daemon: rate {:.2}, p50 {:.2}, p99 {:.2}, processor {:.2}",
        library.rate / daemon.rate,
        library.p50 as f64 / daemon.p50 as f64,
        library.p99 as f64 / daemon.p99 as f64,
        library.cpu / daemon.cpu
    );
    Ok(true)
}

async fn measure(options: &Options) -> Result<(Cost, Cost), TestbedError> {
    let Options { daemon, requests, servers, objects, at_once } = options;
    let parents = (servers / SERVERS_PER_PARENT).max(1);
    let caches = servers.saturating_sub(parents + 1).max(1);
    let fleet = EmulatedFleet::start(caches, parents).await?;
    let daemon = through_daemon(daemon, &fleet, *requests, *at_once, *objects).await?;
    let library = through_library(&fleet, *requests, *at_once, *objects).await?;
    Ok((daemon, library))
}

fn print_cost(name: &str, cost: &Cost) {
    println!(
        "{name}: {:.0} requests/s, p50 {} us, p99 {} us, {:.1} us of processor a request, {} not served",
        cost.rate, cost.p50, cost.p99, cost.cpu, cost.others
    );
}
