//! Traces: text files with one request or fault per line, ordered by time.
//!
//! ```text
//! # time in ms, class, object, part, group, size in KB, client's time limit in ms
//! 0 guide-videos 7f3a9c21e0b4d655 0 17 640 5000
//! 1200 ! crash cache-2
//! ```

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal, Zipf};
use std::fmt;
use std::str::FromStr;

/// A client's request, as a line of a trace describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceRequest {
    /// The name of its class.
    pub class: String,
    /// The object, as 16 hex digits.
    pub object: String,
    /// The part of the object.
    pub part: u32,
    /// The group that the object belongs to.
    pub group: u32,
    /// Expected size of the response in KB.
    pub size_kb: f64,
    /// How long the client waits for the response, in milliseconds.
    pub allow_ms: u64,
}

/// A fault or an event in the emulated fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceFault {
    /// The discovery service announces that this server drains.
    Drain(String),
    /// This server crashes.
    Crash(String),
    /// This server restarts with an empty cache.
    Restart(String),
    /// This server responds with this delay in milliseconds; 0 ends it.
    Slow(String, u64),
    /// This object is purged on all servers.
    Purge(String),
}

/// The content of a line.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A request to send.
    Request(TraceRequest),
    /// A fault to inject.
    Fault(TraceFault),
}

/// A line of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Milliseconds from the start of the trace.
    pub at_ms: f64,
    /// The request or the fault.
    pub step: Step,
}

/// The error for a trace that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {what}")]
pub struct TraceError {
    /// The line number, from 1.
    pub line: usize,
    /// The error in that line.
    #[source]
    pub what: LineError,
}

/// The error for a line of a trace that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// The line has no words.
    #[error("empty line")]
    Empty,
    /// A number that cannot be parsed.
    #[error("'{text}' is not a number or is out of range")]
    Number {
        /// The text in place of the number.
        text: String,
    },
    /// A fault of unknown kind, or with the wrong number of arguments.
    #[error("unknown fault '{text}', expected drain, crash, back, slow or purge with its arguments")]
    UnknownFault {
        /// The text after the `!`.
        text: String,
    },
    /// Neither a request nor a fault.
    #[error("expected a request of 7 words or a fault with '!' as second word, got {count} words")]
    FieldCount {
        /// The number of words on the line.
        count: usize,
    },
    /// The time is not finite, or it is earlier than the time of the previous line.
    #[error("expected a finite time, not earlier than the time of the previous line")]
    OutOfOrder,
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ", self.at_ms)?;
        match &self.step {
            Step::Request(TraceRequest { class, object, part, group, size_kb, allow_ms }) => {
                write!(f, "{class} {object} {part} {group} {size_kb} {allow_ms}")
            }
            Step::Fault(TraceFault::Drain(name)) => write!(f, "! drain {name}"),
            Step::Fault(TraceFault::Crash(name)) => write!(f, "! crash {name}"),
            Step::Fault(TraceFault::Restart(name)) => write!(f, "! back {name}"),
            Step::Fault(TraceFault::Slow(name, ms)) => write!(f, "! slow {name} {ms}"),
            Step::Fault(TraceFault::Purge(object)) => write!(f, "! purge {object}"),
        }
    }
}

impl FromStr for Line {
    type Err = LineError;

    fn from_str(text: &str) -> Result<Line, LineError> {
        fn number<T: FromStr>(text: &str) -> Result<T, LineError> {
            text.parse().map_err(|_| LineError::Number { text: text.into() })
        }
        let words: Vec<&str> = text.split_whitespace().collect();
        let (at, rest) = words.split_first().ok_or(LineError::Empty)?;
        let step = match *rest {
            ["!", "drain", name] => Step::Fault(TraceFault::Drain(name.into())),
            ["!", "crash", name] => Step::Fault(TraceFault::Crash(name.into())),
            ["!", "back", name] => Step::Fault(TraceFault::Restart(name.into())),
            ["!", "slow", name, ms] => Step::Fault(TraceFault::Slow(name.into(), number(ms)?)),
            ["!", "purge", object] => Step::Fault(TraceFault::Purge(object.into())),
            ["!", ref fault @ ..] => return Err(LineError::UnknownFault { text: fault.join(" ") }),
            [class, object, part, group, size, allow] => Step::Request(TraceRequest {
                class: class.into(),
                object: object.into(),
                part: number(part)?,
                group: number(group)?,
                size_kb: number(size)?,
                allow_ms: number(allow)?,
            }),
            _ => return Err(LineError::FieldCount { count: words.len() }),
        };
        Ok(Line { at_ms: number::<f64>(at)?, step })
    }
}

/// Parses a trace. Skips empty lines and lines that begin with `#`.
pub fn parse(text: &str) -> Result<Vec<Line>, TraceError> {
    let mut lines: Vec<Line> = Vec::new();
    for (n, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty() && !l.starts_with('#')) {
        let error = |what| TraceError { line: n + 1, what };
        let line: Line = line.parse().map_err(error)?;
        if !line.at_ms.is_finite() || lines.last().is_some_and(|before| before.at_ms > line.at_ms) {
            return Err(error(LineError::OutOfOrder));
        }
        lines.push(line);
    }
    Ok(lines)
}

/// Interval between two requests, in milliseconds. No multiple of it is close to a waiting time of the policy
/// (60 ms after a server was full, 700 ms between probation requests, 500 ms until a response is late), so
/// that a small scheduling delay does not move a request from one side of such a time to the other.
pub const STEP_MS: f64 = 3.2;
/// Time without requests before and after a fault, in milliseconds. By its end the director has received the
/// watch event, and the requests that the fault interrupted have ended.
const FAULT_MARGIN_MS: f64 = 96.0;

/// Returns the name of the object with a number, from 1.
pub fn object(number: u64) -> String {
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Draws a trace of `requests` requests, with a drain, crashes, a slow parent and a purge of the most popular
/// object.
pub fn draw(requests: usize, seed: u64) -> Vec<Line> {
    let mut random = StdRng::seed_from_u64(seed);
    let popular = Zipf::new(400.0, 1.05).expect("valid parameters");
    let size = LogNormal::<f64>::new(5.0, 0.8).expect("valid parameters");
    let faults = [
        (1, TraceFault::Drain("cache-1".into())),
        (2, TraceFault::Crash("cache-2".into())),
        (4, TraceFault::Restart("cache-2".into())),
        (5, TraceFault::Slow("parent-1".into(), 24)),
        (6, TraceFault::Slow("parent-1".into(), 0)),
        (7, TraceFault::Purge(object(1))),
        (8, TraceFault::Crash("parent-2".into())),
    ];
    let (mut lines, mut at, mut step) = (Vec::new(), 0.0, STEP_MS);
    for n in 0..requests {
        let due = faults.iter().filter(|(tenth, _)| n == requests * tenth / 10);
        for (_, fault) in due {
            // While a parent is slow, each request is sent after the response to the one before.
            match fault {
                TraceFault::Slow(_, 0) => step = STEP_MS,
                TraceFault::Slow(_, ms) => step = *ms as f64 + 4.0 * STEP_MS,
                _ => {}
            }
            at += FAULT_MARGIN_MS;
            lines.push(Line { at_ms: at, step: Step::Fault(fault.clone()) });
            at += FAULT_MARGIN_MS;
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
