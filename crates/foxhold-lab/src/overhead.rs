//! What the director costs a request: the daemon over loopback and the library by function call, before the same
//! stand-ins, closed loop.

use crate::fleet::Fleet;
use crate::replay::{daemon, exchange, Failure};
use foxhold::director::{Director, Question};
use hdrhistogram::Histogram;
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// What one way cost.
#[derive(Clone, Debug)]
pub struct Cost {
    /// Requests a second.
    pub rate: f64,
    /// Of the whole answer, in microseconds.
    pub p50: u64,
    /// See `p50`.
    pub p99: u64,
    /// Processor time of the director's process or thread, in microseconds a request.
    pub cpu: f64,
    /// Answers that did not serve.
    pub others: usize,
}

fn object(n: usize, objects: usize) -> String {
    format!("{:016x}", (n % objects + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Ticks of processor time in a `stat` file, in microseconds; the kernel counts 100 a second.
fn cpu(stat: &str) -> Result<f64, Failure> {
    let text = std::fs::read_to_string(stat)?;
    let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    Ok((ticks(11) + ticks(12)) * 10_000.0)
}

fn summed(begun: Instant, parts: Vec<(Histogram<u64>, usize)>, cpu: f64) -> Result<Cost, Failure> {
    let took = begun.elapsed().as_secs_f64();
    let (mut all, mut others) = (Histogram::<u64>::new(3)?, 0);
    for (part, failed) in parts {
        all.add(part)?;
        others += failed;
    }
    let count = all.len() as f64;
    let (p50, p99) = (all.value_at_quantile(0.5), all.value_at_quantile(0.99));
    Ok(Cost { rate: count / took, p50, p99, cpu: cpu / count, others })
}

/// The daemon, asked on so many connections at once.
pub async fn through_daemon(
    program: &Path,
    fleet: &Fleet,
    requests: usize,
    at_once: usize,
    objects: usize,
) -> Result<Cost, Failure> {
    let file = std::env::temp_dir().join(format!("foxhold-lab-{}-overhead.json", std::process::id()));
    std::fs::write(&file, fleet.config("127.0.0.1:0", 7))?;
    let (address, running) = daemon(program, &file)?;
    let stat = format!("/proc/{}/stat", running.id().ok_or("no process")?);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let (begun, before) = (Instant::now(), cpu(&stat)?);
    let tasks: Vec<_> = (0..at_once)
        .map(|k| {
            let address = address.clone();
            tokio::task::spawn_blocking(move || -> Result<_, Failure> {
                let mut stream = TcpStream::connect(address)?;
                stream.set_nodelay(true)?;
                let (mut times, mut others) = (Histogram::<u64>::new(3)?, 0);
                for n in (k..requests).step_by(at_once) {
                    let request = format!(
                        "GET /ops/guide-videos/{} HTTP/1.1\r\nHost: lab\r\nX-Job-Id: {n:016x}\r\n\
                         X-Allow-Ms: 5000\r\nX-Ram-Kb: 5\r\n\r\n",
                        object(n, objects)
                    );
                    let begun = Instant::now();
                    let answer = exchange(&mut stream, &request)?;
                    times.record(begun.elapsed().as_micros() as u64)?;
                    others += usize::from(answer.status != 200);
                }
                Ok((times, others))
            })
        })
        .collect();
    let mut parts = Vec::new();
    for task in tasks {
        parts.push(task.await??);
    }
    let used = cpu(&stat)? - before;
    std::fs::remove_file(&file)?;
    drop(running);
    summed(begun, parts, used)
}

/// The library, asked by so many tasks at once.
pub async fn through_library(
    fleet: &Fleet,
    requests: usize,
    at_once: usize,
    objects: usize,
) -> Result<Cost, Failure> {
    let file = std::env::temp_dir().join(format!("foxhold-lab-{}-overhead-library.json", std::process::id()));
    std::fs::write(&file, fleet.config("127.0.0.1:0", 7))?;
    let director = Director::from_file(&file)?.start()?;
    std::fs::remove_file(&file)?;
    let stat = thread_named("foxhold")?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let (begun, before) = (Instant::now(), cpu(&stat)?);
    let tasks: Vec<_> = (0..at_once)
        .map(|k| {
            let director = director.clone();
            tokio::spawn(async move {
                let (mut times, mut others) = (Histogram::<u64>::new(3)?, 0);
                for n in (k..requests).step_by(at_once) {
                    let question = Question::new("guide-videos", object(n, objects)).size_kb(5.0);
                    let begun = Instant::now();
                    let answer = director.ask(question).await;
                    times.record(begun.elapsed().as_micros() as u64)?;
                    others += usize::from(!matches!(answer, Ok(foxhold::core::Answer::Served(_))));
                }
                Ok::<_, Failure>((times, others))
            })
        })
        .collect();
    let mut parts = Vec::new();
    for task in tasks {
        parts.push(task.await??);
    }
    let used = cpu(&stat)? - before;
    summed(begun, parts, used)
}

/// The `stat` file of this process's thread of that name.
fn thread_named(name: &str) -> Result<String, Failure> {
    for entry in std::fs::read_dir("/proc/self/task")? {
        let path = entry?.path();
        if std::fs::read_to_string(path.join("comm"))?.trim() == name {
            return Ok(path.join("stat").display().to_string());
        }
    }
    Err(format!("no thread named {name}").into())
}
