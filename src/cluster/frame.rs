//! The datagrams of messages among directors. Each is authenticated with a shared key, so that one that is
//! forged, damaged, of another fleet or received a second time is rejected, with a [`Rejection`].
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | version of the format, [`VERSION`] |
//! | 4 | the fleet, by a hash of its name |
//! | variable | the [`Message`], encoded by postcard |
//! | 16 | HMAC-SHA256 of all before, truncated to its first half |

use super::members::Member;
use crate::replication::digest::stable_hash;
use crate::replication::gossip::GossipMessage;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// The version of the format that this program sends and accepts.
pub const VERSION: u8 = 1;
/// The largest datagram that is sent or accepted, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
/// The shortest key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;
/// Bytes of the version and the fleet.
const HEADER_BYTES: usize = 5;
/// Bytes of the truncated HMAC.
const TAG_BYTES: usize = 16;

/// The content of a message, by protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A message of the membership protocol, as its library encodes it.
    Swim(Vec<u8>),
    /// A message of the replication protocol.
    Gossip(GossipMessage),
}

/// A message with its sender and its number, by which a second copy is recognised.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// The sender's run: a random number, drawn at each start of the process.
    pub incarnation: u64,
    /// The number of the message within that run, from 1.
    pub number: u64,
    /// The content.
    pub body: Body,
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rejection {
    /// Too short or too long.
    Size,
    /// Of a version that is not known here.
    Version,
    /// Of another fleet.
    Fleet,
    /// Authenticated with no key that is known here, or damaged.
    Unauthenticated,
    /// Authentic, but it can't be decoded.
    Malformed,
    /// Received a second time, or of a run that has ended.
    Replayed,
}

impl Rejection {
    /// Its name in the status.
    pub fn name(self) -> &'static str {
        match self {
            Rejection::Size => "size",
            Rejection::Version => "version",
            Rejection::Fleet => "fleet",
            Rejection::Unauthenticated => "seal",
            Rejection::Malformed => "form",
            Rejection::Replayed => "replayed",
        }
    }
}

/// Encodes and authenticates the messages of one fleet, and verifies and decodes them.
pub struct FrameCodec {
    fleet: [u8; 4],
    keys: Vec<Hmac<Sha256>>,
}

impl FrameCodec {
    /// By the fleet's name and its keys: the first authenticates, each is accepted. None without a key, or if
    /// one is shorter than [`MIN_KEY_BYTES`].
    pub fn new(fleet: &str, keys: &[Vec<u8>]) -> Option<FrameCodec> {
        let valid = !keys.is_empty() && keys.iter().all(|k| k.len() >= MIN_KEY_BYTES);
        let keys = keys.iter().filter_map(|k| Hmac::<Sha256>::new_from_slice(k).ok()).collect();
        valid.then(|| FrameCodec { fleet: (stable_hash(fleet.as_bytes()) as u32).to_be_bytes(), keys })
    }

    /// The datagram of a message. None: it would be larger than [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self, message: &Message) -> Option<Vec<u8>> {
        let mut datagram = vec![VERSION];
        datagram.extend(self.fleet);
        let mut datagram = postcard::to_extend(message, datagram).ok()?;
        let mut mac = self.keys.first()?.clone();
        mac.update(&datagram);
        datagram.extend(&mac.finalize().into_bytes()[..TAG_BYTES]);
        (datagram.len() <= MAX_DATAGRAM_BYTES).then_some(datagram)
    }

    /// The message of a datagram, or why it is rejected.
    pub fn decode(&self, datagram: &[u8]) -> Result<Message, Rejection> {
        if datagram.len() < HEADER_BYTES + TAG_BYTES || datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(Rejection::Size);
        }
        let (content, tag) = datagram.split_at(datagram.len() - TAG_BYTES);
        if content[0] != VERSION {
            return Err(Rejection::Version);
        }
        if content[1..HEADER_BYTES] != self.fleet {
            return Err(Rejection::Fleet);
        }
        let verifies = |key: &&Hmac<Sha256>| {
            let mut mac = (*key).clone();
            mac.update(content);
            mac.verify_truncated_left(tag).is_ok()
        };
        self.keys.iter().find(verifies).ok_or(Rejection::Unauthenticated)?;
        let (message, rest) =
            postcard::take_from_bytes(&content[HEADER_BYTES..]).map_err(|_| Rejection::Malformed)?;
        if rest.is_empty() {
            Ok(message)
        } else {
            Err(Rejection::Malformed)
        }
    }
}

/// The keys of a key file: one a line in base64url, the first for sending; empty lines and those that begin
/// with `#` are ignored. The error names the line.
pub fn parse_keys(text: &str) -> Result<Vec<Vec<u8>>, String> {
    use base64::Engine;
    let engine = base64::engine::general_purpose::URL_SAFE_NO_PAD;
    let mut keys = Vec::new();
    for (n, line) in text.lines().map(str::trim).enumerate() {
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let key = engine
            .decode(line.trim_end_matches('='))
            .map_err(|_| format!("line {}: not base64url", n + 1))?;
        if key.len() < MIN_KEY_BYTES {
            return Err(format!("line {}: a key of {} bytes, {MIN_KEY_BYTES} at least", n + 1, key.len()));
        }
        keys.push(key);
    }
    if keys.is_empty() {
        return Err("holds no key".into());
    }
    Ok(keys)
}
