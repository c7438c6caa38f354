//! The director's overhead per request: the daemon over loopback and the library by function call, with the
//! same emulated servers and a closed loop of requests.

use crate::load::trace::object;
use crate::scenarios::replay::{daemon, exchange, ConfigFile, TestbedError};
use crate::servers::in_process::EmulatedFleet;
use foxhold::director::{CacheRequest, Director};
use hdrhistogram::Histogram;
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Overhead of one form of the director.
#[derive(Clone, Debug)]
pub struct Cost {
    /// Completed requests a second.
    pub rate: f64,
    /// Median time until the complete response, in microseconds.
    pub p50: u64,
    /// 99th percentile of that time, in microseconds.
    pub p99: u64,
    /// Processor time of the director's process or thread per request, in microseconds.
    pub cpu: f64,
    /// Number of responses that did not serve the object.
    pub others: usize,
}

/// Returns the processor time in a `stat` file, in microseconds. The kernel counts 100 ticks a second.
fn cpu(stat: &str) -> Result<f64, TestbedError> {
    let text = std::fs::read_to_string(stat)?;
    let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    Ok((ticks(11) + ticks(12)) * 10_000.0)
}

/// Result of one task: its response times, and the number of responses that did not serve the object.
type Part = Result<(Histogram<u64>, usize), TestbedError>;

/// Runs `at_once` tasks concurrently and calculates the overhead of the process or thread of this `stat`
/// file.
async fn measured(
    stat: &str,
    at_once: usize,
    send: impl Fn(usize) -> JoinHandle<Part>,
) -> Result<Cost, TestbedError> {
    tokio::time::sleep(Duration::from_millis(200)).await;
    let (started_at, before) = (Instant::now(), cpu(stat)?);
    let tasks: Vec<_> = (0..at_once).map(send).collect();
    let (mut all, mut others) = (Histogram::<u64>::new(3)?, 0);
    for task in tasks {
        let (part, failed) = task.await??;
        all.add(part)?;
        others += failed;
    }
    let (count, took, used) = (all.len() as f64, started_at.elapsed().as_secs_f64(), cpu(stat)? - before);
    let (p50, p99) = (all.value_at_quantile(0.5), all.value_at_quantile(0.99));
    Ok(Cost { rate: count / took, p50, p99, cpu: used / count, others })
}

/// Measures the daemon with requests on `at_once` concurrent connections.
pub async fn through_daemon(
    program: &Path,
    fleet: &EmulatedFleet,
    requests: usize,
    at_once: usize,
    objects: usize,
) -> Result<Cost, TestbedError> {
    let file = ConfigFile::write(fleet, 7)?;
    let (address, running) = daemon(program, &file.0)?;
    let stat = format!("/proc/{}/stat", running.id().ok_or("the daemon has no process id")?);
    let send = |k| {
        let address = address.clone();
        tokio::task::spawn_blocking(move || {
            let mut stream = TcpStream::connect(address)?;
            stream.set_nodelay(true)?;
            let (mut times, mut others) = (Histogram::<u64>::new(3)?, 0);
            for n in (k..requests).step_by(at_once) {
                let request = format!(
                    "GET /ops/guide-videos/{} HTTP/1.1\r\nHost: lab\r\nX-Job-Id: {n:016x}\r\n\
                     X-Allow-Ms: 5000\r\nX-Ram-Kb: 5\r\n\r\n",
                    object((n % objects + 1) as u64)
                );
                let started_at = Instant::now();
                let answer = exchange(&mut stream, &request)?;
                times.record(started_at.elapsed().as_micros() as u64)?;
                others += usize::from(answer.status != 200);
            }
            Ok((times, others))
        })
    };
    measured(&stat, at_once, send).await
}

/// Measures the library with requests from `at_once` concurrent tasks.
pub async fn through_library(
    fleet: &EmulatedFleet,
    requests: usize,
    at_once: usize,
    objects: usize,
) -> Result<Cost, TestbedError> {
    let file = ConfigFile::write(fleet, 7)?;
    let director = Director::from_file(&file.0)?.start()?;
    let send = |k| {
        let director = director.clone();
        tokio::spawn(async move {
            let (mut times, mut others) = (Histogram::<u64>::new(3)?, 0);
            for n in (k..requests).step_by(at_once) {
                let object = object((n % objects + 1) as u64);
                let request = CacheRequest::new("guide-videos", object).size_kb(5.0);
                let started_at = Instant::now();
                let answer = director.send(request).await;
                times.record(started_at.elapsed().as_micros() as u64)?;
                others += usize::from(!matches!(answer, Ok(foxhold::dispatch::ClientResponse::Served(_))));
            }
            Ok((times, others))
        })
    };
    measured(&thread_named("foxhold")?, at_once, send).await
}

/// Returns the path of the `stat` file of the thread of this name in this process.
fn thread_named(name: &str) -> Result<String, TestbedError> {
    for entry in std::fs::read_dir("/proc/self/task")? {
        let path = entry?.path();
        if std::fs::read_to_string(path.join("comm"))?.trim() == name {
            return Ok(path.join("stat").display().to_string());
        }
    }
    Err(format!("this process has no thread named {name}").into())
}
