//! The notice board: the actor that follows it, and its events decoded.

use crate::config::settings::micros;
use crate::dispatch::{DispatcherMessage, DispatcherSender, Endpoint};
use crate::policy::estimators::hash::unit;
use crate::policy::types::MemberState;
use bytes::BytesMut;
use miniserde::{json, Deserialize};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

/// The board writes at least once a second; after this long without a byte the connection counts as dead.
const SILENCE: Duration = Duration::from_millis(2500);
/// A connection that is not up by then is tried anew. Together with the longest wait this is well under the
/// second within which a board that returns is to be followed again, also where its machine was silent.
const CONNECT: Duration = Duration::from_millis(400);
/// The first wait before a new connection; doubled up to the longest.
const FIRST_WAIT: Duration = Duration::from_millis(50);
const LONGEST_WAIT: Duration = Duration::from_millis(400);
/// The longest line: a whole list of thousands of members fits.
const LONGEST_LINE: usize = 4 << 20;

/// An event of the board.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchEvent {
    /// Its number.
    pub revision: u64,
    /// What it tells.
    pub change: WatchChange,
}

/// Who else hears the board's events: one that has no room for an event misses it, and the core never waits.
pub type Subscriber = Option<mpsc::Sender<WatchEvent>>;

/// What an event tells.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchChange {
    /// Members that changed, or all of them.
    Members {
        /// Whether this is the whole list.
        complete: bool,
        /// The entries.
        members: Vec<Endpoint>,
    },
    /// A purge of one object or of a group.
    Purge {
        /// The object; none: the group.
        object: Option<String>,
        /// The group.
        group: u32,
        /// Unix milliseconds.
        unix_ms: f64,
    },
    /// Of a kind not known here.
    Unknown,
}

/// An event as it is written.
#[derive(Deserialize)]
pub(crate) struct RawNotice {
    rev: u64,
    pool: Option<RawPool>,
    flush: Option<RawFlush>,
}

#[derive(Deserialize)]
struct RawPool {
    complete: Option<bool>,
    members: Vec<RawMember>,
}

#[derive(Deserialize)]
struct RawMember {
    id: String,
    host_port: String,
    locality: String,
    flavor: String,
    cell: Option<f64>,
    phase: String,
    size: Option<f64>,
    up_since_ms: Option<f64>,
}

#[derive(Deserialize)]
struct RawFlush {
    asset: Option<String>,
    collection: Option<u32>,
    ms: f64,
}

impl WatchEvent {
    pub(crate) fn from_raw(raw: RawNotice) -> Result<WatchEvent, String> {
        let rev = raw.rev;
        let news = match (raw.pool, raw.flush) {
            (Some(pool), _) => WatchChange::Members {
                complete: pool.complete.unwrap_or(false),
                members: pool.members.into_iter().map(RawMember::listing).collect::<Result<_, _>>()?,
            },
            (None, Some(flush)) => {
                if flush.asset.is_none() && flush.collection.is_none() {
                    return Err(format!("event {rev} purges neither an object nor a group"));
                }
                WatchChange::Purge {
                    object: flush.asset,
                    group: flush.collection.unwrap_or(0),
                    unix_ms: flush.ms,
                }
            }
            (None, None) => WatchChange::Unknown,
        };
        Ok(WatchEvent { revision: rev, change: news })
    }

    /// What the core is told of it; nothing of members, where the list comes from elsewhere.
    pub fn message(self, purges_only: bool) -> Option<DispatcherMessage> {
        match self.change {
            WatchChange::Members { .. } if purges_only => None,
            WatchChange::Members { complete: full, members } => {
                Some(DispatcherMessage::Members { full, members })
            }
            WatchChange::Purge { object, group, unix_ms: ms } => Some(DispatcherMessage::Purged {
                object: object.map(Into::into),
                group,
                at: micros(ms),
                retention: 0,
            }),
            WatchChange::Unknown => None,
        }
    }
}

impl RawMember {
    fn listing(self) -> Result<Endpoint, String> {
        let state = match self.phase.as_str() {
            "in_service" => MemberState::Running,
            "terminating" => MemberState::Draining,
            "terminated" => MemberState::Gone,
            other => return Err(format!("member {} is in phase '{other}', which is not known", self.id)),
        };
        Ok(Endpoint {
            name: self.id.into(),
            address: self.host_port.into(),
            zone: self.locality,
            kind: self.flavor,
            cell: self.cell.unwrap_or(0.0) as u32,
            state,
            size: self.size.unwrap_or(0.0),
            started_at: micros(self.up_since_ms.unwrap_or(0.0)),
        })
    }
}

/// A line of the board.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchLine {
    /// The number of its last event, sent each second.
    Heartbeat(u64),
    /// An event.
    Event(WatchEvent),
}

/// Reads one line.
pub fn parse_line(line: &[u8]) -> Result<WatchLine, String> {
    let text = std::str::from_utf8(line).map_err(|_| "not text".to_owned())?.trim();
    if !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit()) {
        return text.parse().map(WatchLine::Heartbeat).map_err(|_| "a number out of range".into());
    }
    let raw: RawNotice = json::from_str(text).map_err(|_| "not an event".to_owned())?;
    WatchEvent::from_raw(raw).map(WatchLine::Event)
}

/// Takes the next whole line off the buffer.
pub fn next_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, String> {
    match buffer.iter().position(|b| *b == b'\n') {
        Some(end) => {
            let mut line = buffer.split_to(end + 1);
            line.truncate(end);
            Ok(Some(line))
        }
        None if buffer.len() > LONGEST_LINE => Err("a line is too long".into()),
        None => Ok(None),
    }
}

/// Between half of a wait and the whole: a board that lets hundreds go at once is not rushed by all of them
/// at once, and nobody waits longer than without.
fn apart(wait: Duration) -> Duration {
    let drawn = RandomState::new().build_hasher().finish();
    wait.mul_f64(0.5 + 0.5 * unit(drawn))
}

/// Follows the board for as long as the program runs, from the event after `last` on. A new address is turned
/// to at once, with the number of the last event: the old one tells nothing more.
pub async fn follow(
    mut address: watch::Receiver<String>,
    mut last: u64,
    purges_only: bool,
    reports: DispatcherSender,
    tap: Subscriber,
) {
    let (mut wait, mut unread) = (FIRST_WAIT, None);
    loop {
        let (before, mut told, at) = (last, false, address.borrow_and_update().clone());
        if at.is_empty() {
            // Nothing to follow, unless a new configuration names one.
            if address.changed().await.is_err() {
                return;
            }
            continue;
        }
        // Nothing is lost where the address changes in the midst of an event: its number is taken when it has
        // come whole, and the mailbox takes it before the next is read.
        let error = tokio::select! {
            error = connection(&at, &mut last, &mut told, &mut unread, purges_only, &reports, &tap) => error,
            Ok(()) = address.changed() => {
                wait = FIRST_WAIT;
                tracing::info!("board: told of another address; asking there after event {last}");
                continue;
            }
        };
        tracing::info!("board: {error}; connecting anew after event {last}");
        // A connection that told anything, be it that there is no news, was a good one.
        wait = if told || last > before { FIRST_WAIT } else { (wait * 2).min(LONGEST_WAIT) };
        tokio::select! {
            () = sleep(apart(wait)) => {}
            Ok(()) = address.changed() => address.mark_changed(),
        }
    }
}

/// Follows one connection to its end and says what that was. `unread` is the event after which a line could
/// not be read: asked for anew once, it may have been spoilt on the way. Where it can't be read then either,
/// it is passed over, for all that follows would never be heard.
async fn connection(
    address: &str,
    last: &mut u64,
    told: &mut bool,
    unread: &mut Option<u64>,
    purges_only: bool,
    reports: &DispatcherSender,
    tap: &Subscriber,
) -> String {
    let mut stream = match timeout(CONNECT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return format!("not connected: {error}"),
        Err(_) => return "not connected in time".into(),
    };
    if let Err(error) = stream.write_all(format!("watch {last}\n").as_bytes()).await {
        return format!("broke off: {error}");
    }
    let mut buffer = BytesMut::with_capacity(16 * 1024);
    let mut passed_over = false;
    loop {
        match timeout(SILENCE, stream.read_buf(&mut buffer)).await {
            Ok(Ok(0)) => return "closed".into(),
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return format!("broke off: {error}"),
            Err(_) => return "silent".into(),
        }
        loop {
            let line = match next_line(&mut buffer) {
                Ok(Some(line)) if line.is_empty() => continue,
                Ok(Some(line)) => line,
                Ok(None) => break,
                Err(error) => return error,
            };
            match parse_line(&line) {
                // It is that of what was passed over.
                Ok(WatchLine::Heartbeat(number)) if std::mem::take(&mut passed_over) => {
                    *last = number.max(*last)
                }
                // Events come in order, so a number ahead of ours means that some were lost on the way.
                Ok(WatchLine::Heartbeat(number)) if number > *last => {
                    return format!("events up to {number} missed")
                }
                Ok(WatchLine::Heartbeat(_)) => *told = true,
                Ok(WatchLine::Event(notice)) if notice.revision <= *last => {}
                Ok(WatchLine::Event(notice)) => {
                    let rev = notice.revision;
                    passed_over = false;
                    if let Some(tap) = tap {
                        let _ = tap.try_send(notice.clone()); // full: others tell of it
                    }
                    if let Some(message) = notice.message(purges_only) {
                        reports.send(message).await;
                    }
                    // Only now: the wait for the mailbox may be cut short by a new address.
                    *last = rev;
                }
                Err(error) if *unread == Some(*last) => {
                    tracing::warn!("board: bad line, passed over: {error}");
                    passed_over = true;
                }
                Err(error) => {
                    *unread = Some(*last);
                    return format!("bad line: {error}");
                }
            }
        }
    }
}
