//! Traces: a line a request or trouble, in the order of their times.
//!
//! ```text
//! # milliseconds, class, object, part, group, KB, milliseconds that the client waits
//! 0 guide-videos 7f3a9c21e0b4d655 0 17 640 5000
//! 1200 ! crash cache-2
//! ```

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal, Zipf};
use std::fmt;
use std::str::FromStr;

/// A request of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceRequest {
    /// The class's name.
    pub class: String,
    /// 16 hex digits.
    pub object: String,
    /// The part.
    pub part: u32,
    /// The group.
    pub group: u32,
    /// The size in KB.
    pub size_kb: f64,
    /// How long the client waits, in milliseconds.
    pub allow_ms: u64,
}

/// What happens to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceFault {
    /// The board tells that this server drains.
    Drain(String),
    /// This server's process dies.
    Crash(String),
    /// It comes back, empty.
    Back(String),
    /// It takes so many milliseconds longer.
    Slow(String, u64),
    /// An object is purged.
    Purge(String),
}

/// What a line tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A request.
    Request(TraceRequest),
    /// A trouble.
    Trouble(TraceFault),
}

/// A line of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Milliseconds since the start.
    pub at_ms: f64,
    /// What happens then.
    pub step: Step,
}

/// Why a trace can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {what}")]
pub struct TraceError {
    /// Counted from 1.
    pub line: usize,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ", self.at_ms)?;
        match &self.step {
            Step::Request(TraceRequest { class, object, part, group, size_kb, allow_ms }) => {
                write!(f, "{class} {object} {part} {group} {size_kb} {allow_ms}")
            }
            Step::Trouble(TraceFault::Drain(name)) => write!(f, "! drain {name}"),
            Step::Trouble(TraceFault::Crash(name)) => write!(f, "! crash {name}"),
            Step::Trouble(TraceFault::Back(name)) => write!(f, "! back {name}"),
            Step::Trouble(TraceFault::Slow(name, ms)) => write!(f, "! slow {name} {ms}"),
            Step::Trouble(TraceFault::Purge(object)) => write!(f, "! purge {object}"),
        }
    }
}

impl FromStr for Line {
    type Err = String;

    fn from_str(text: &str) -> Result<Line, String> {
        fn number<T: FromStr>(text: &str) -> Result<T, String> {
            text.parse().map_err(|_| format!("'{text}' is no number that fits here"))
        }
        let words: Vec<&str> = text.split_whitespace().collect();
        let (at, rest) = words.split_first().ok_or("empty")?;
        let step = match *rest {
            ["!", "drain", name] => Step::Trouble(TraceFault::Drain(name.into())),
            ["!", "crash", name] => Step::Trouble(TraceFault::Crash(name.into())),
            ["!", "back", name] => Step::Trouble(TraceFault::Back(name.into())),
            ["!", "slow", name, ms] => Step::Trouble(TraceFault::Slow(name.into(), number(ms)?)),
            ["!", "purge", object] => Step::Trouble(TraceFault::Purge(object.into())),
            ["!", ..] => return Err("a trouble that is not known".into()),
            [class, object, part, group, size, allow] => Step::Request(TraceRequest {
                class: class.into(),
                object: object.into(),
                part: number(part)?,
                group: number(group)?,
                size_kb: number(size)?,
                allow_ms: number(allow)?,
            }),
            _ => return Err("neither a request's seven words nor a trouble".into()),
        };
        Ok(Line { at_ms: number::<f64>(at)?, step })
    }
}

/// Reads a trace; empty lines and those that begin with `#` are passed over.
pub fn parse(text: &str) -> Result<Vec<Line>, TraceError> {
    let mut lines: Vec<Line> = Vec::new();
    for (n, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty() && !l.starts_with('#')) {
        let error = |what| TraceError { line: n + 1, what };
        let line: Line = line.parse().map_err(error)?;
        if !line.at_ms.is_finite() || lines.last().is_some_and(|before| before.at_ms > line.at_ms) {
            return Err(error("earlier than the line before".into()));
        }
        lines.push(line);
    }
    Ok(lines)
}

/// Between two requests, in milliseconds. No whole number of it is near any time that the decisions wait for
/// (60 ms after a server was full, 700 ms between trials, 500 ms until an answer is late), so that a small
/// delay of the machine's puts no request on the other side of one.
pub const STEP_MS: f64 = 3.2;
/// Left free round a trouble: the discovery service's news has come by then, and what broke off has ended.
const ROOM_MS: f64 = 96.0;

/// The name of the object of that number, counted from 1.
pub fn object(number: u64) -> String {
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Draws a trace of so many requests with a drain, a crash, a slow parent and a purge of what is asked most.
pub fn draw(requests: usize, seed: u64) -> Vec<Line> {
    let mut random = StdRng::seed_from_u64(seed);
    let popular = Zipf::new(400.0, 1.05).expect("a good law");
    let size = LogNormal::<f64>::new(5.0, 0.8).expect("a good law");
    let troubles = [
        (1, TraceFault::Drain("cache-1".into())),
        (2, TraceFault::Crash("cache-2".into())),
        (4, TraceFault::Back("cache-2".into())),
        (5, TraceFault::Slow("parent-1".into(), 24)),
        (6, TraceFault::Slow("parent-1".into(), 0)),
        (7, TraceFault::Purge(object(1))),
        (8, TraceFault::Crash("parent-2".into())),
    ];
    let (mut lines, mut at, mut step) = (Vec::new(), 0.0, STEP_MS);
    for n in 0..requests {
        let due = troubles.iter().filter(|(tenth, _)| n == requests * tenth / 10);
        for (_, trouble) in due {
            // A slow parent's answers are waited for: the next request comes when they are over.
            match trouble {
                TraceFault::Slow(_, 0) => step = STEP_MS,
                TraceFault::Slow(_, ms) => step = *ms as f64 + 4.0 * STEP_MS,
                _ => {}
            }
            at += ROOM_MS;
            lines.push(Line { at_ms: at, step: Step::Trouble(trouble.clone()) });
            at += ROOM_MS;
        }
        let class = match random.random_range(0..30) {
            0 => "filing-submit",
            n if n < 18 => "guide-videos",
            _ => "page-bits",
        };
        let rank: f64 = popular.sample(&mut random);
        lines.push(Line {
            at_ms: at,
            step: Step::Request(TraceRequest {
                class: class.into(),
                object: object(rank as u64),
                part: random.random_range(0..3),
                group: rank as u32 % 32,
                size_kb: size.sample(&mut random).clamp(1.0, 4_000.0).round(),
                allow_ms: if class == "guide-videos" { 5_000 } else { 3_000 },
            }),
        });
        at += step;
    }
    lines
}
