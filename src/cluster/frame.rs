//! Authenticated framing: the datagrams of messages among directors. Each is authenticated with a shared key,
//! so that one that is forged, damaged, of another fleet or replayed is rejected, with a [`Rejection`].
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
/// Bytes of the version.
const VERSION_BYTES: usize = 1;
/// Bytes of the hash of the fleet's name.
const FLEET_BYTES: usize = 4;
/// Bytes before the message.
const HEADER_BYTES: usize = VERSION_BYTES + FLEET_BYTES;
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

/// A message with its sender and its number, by which a replay is recognised.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// The sender's incarnation: a random number, drawn at each start of the process.
    pub incarnation: u64,
    /// The number of the message within that incarnation, from 1.
    pub number: u64,
    /// The content.
    pub body: Body,
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum Rejection {
    /// Too short or too long.
    #[error("invalid size")]
    Size,
    /// Of a version that is not known here.
    #[error("unknown version")]
    Version,
    /// Of another fleet.
    #[error("another fleet")]
    Fleet,
    /// Authenticated with no key that is known here, or damaged.
    #[error("not authentic")]
    Unauthenticated,
    /// Authentic, but it cannot be decoded.
    #[error("malformed")]
    Malformed,
    /// Received a second time, or of an incarnation that has ended.
    #[error("replayed")]
    Replayed,
}

impl Rejection {
    /// Its name in the operators' status.
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
    fleet: [u8; FLEET_BYTES],
    keys: Vec<Hmac<Sha256>>,
}

impl FrameCodec {
    /// By the fleet's name and its keys: the first authenticates, each is accepted. None without a key, or if
    /// one is shorter than [`MIN_KEY_BYTES`].
    pub fn new(fleet: &str, keys: &[Vec<u8>]) -> Option<FrameCodec> {
        let valid = !keys.is_empty() && keys.iter().all(|key| key.len() >= MIN_KEY_BYTES);
        let keys = keys.iter().filter_map(|key| Hmac::<Sha256>::new_from_slice(key).ok()).collect();
        let fleet = (stable_hash(fleet.as_bytes()) as u32).to_be_bytes();
        valid.then_some(FrameCodec { fleet, keys })
    }

    /// The datagram of a message. None: it would be larger than [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self, message: &Message) -> Option<Vec<u8>> {
        let mut header = vec![VERSION];
        header.extend(self.fleet);
        let mut datagram = postcard::to_extend(message, header).ok()?;
        let mut mac = self.keys.first()?.clone();
        mac.update(&datagram);
        datagram.extend(&mac.finalize().into_bytes()[..TAG_BYTES]);
        (datagram.len() <= MAX_DATAGRAM_BYTES).then_some(datagram)
    }

    /// The message of a datagram, or why it is rejected.
    pub fn decode(&self, datagram: &[u8]) -> Result<Message, Rejection> {
        let content = self.verify(datagram)?;
        let decoded = postcard::take_from_bytes(&content[HEADER_BYTES..]);
        let (message, rest) = decoded.map_err(|_| Rejection::Malformed)?;
        if !rest.is_empty() {
            return Err(Rejection::Malformed);
        }
        Ok(message)
    }

    /// The header and the encoded message of an authentic datagram.
    fn verify<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], Rejection> {
        if datagram.len() < HEADER_BYTES + TAG_BYTES || datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(Rejection::Size);
        }
        let (content, tag) = datagram.split_at(datagram.len() - TAG_BYTES);
        if content[0] != VERSION {
            return Err(Rejection::Version);
        }
        if content[VERSION_BYTES..HEADER_BYTES] != self.fleet {
            return Err(Rejection::Fleet);
        }
        let verifies = |key: &&Hmac<Sha256>| {
            let mut mac = (*key).clone();
            mac.update(content);
            mac.verify_truncated_left(tag).is_ok()
        };
        self.keys.iter().find(verifies).ok_or(Rejection::Unauthenticated)?;
        Ok(content)
    }
}
