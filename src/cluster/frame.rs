//! Authenticated framing of messages between directors. Each datagram is authenticated with a shared key, so
//! that forged, damaged or replayed datagrams and those of another fleet are rejected with a [`Rejection`].
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | version of the format, [`VERSION`] |
//! | 4 | hash of the fleet's name |
//! | variable | the [`Message`], encoded with postcard |
//! | 16 | HMAC-SHA256 of all preceding bytes, truncated to its first half |

use super::members::Member;
use crate::replication::digest::stable_hash;
use crate::replication::gossip::GossipMessage;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// The format version that this program sends and accepts.
pub const VERSION: u8 = 1;
/// The largest datagram that is sent or accepted, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
/// The shortest key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;
/// Size of the version field, in bytes.
const VERSION_BYTES: usize = 1;
/// Size of the hash of the fleet's name, in bytes.
const FLEET_BYTES: usize = 4;
/// Size of the fields before the message, in bytes.
const HEADER_BYTES: usize = VERSION_BYTES + FLEET_BYTES;
/// Size of the truncated HMAC, in bytes.
const TAG_BYTES: usize = 16;

/// The content of a message, by protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A message of the membership protocol, as encoded by `foca`.
    Swim(Vec<u8>),
    /// A message of the replication protocol.
    Gossip(GossipMessage),
}

/// A message with its sender, and the incarnation and number by which replays are detected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The director that sent the message.
    pub from: Member,
    /// A random number that the sender draws at each start of its process.
    pub incarnation: u64,
    /// The sequence number of the message within that incarnation, from 1.
    pub number: u64,
    /// The message of either protocol.
    pub body: Body,
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum Rejection {
    /// The datagram is too short or too long.
    #[error("invalid size")]
    Size,
    /// The format version is not [`VERSION`].
    #[error("unknown version")]
    Version,
    /// The datagram was sent by a director of another fleet.
    #[error("another fleet")]
    Fleet,
    /// The datagram was authenticated with an unknown key, or it is damaged.
    #[error("not authentic")]
    Unauthenticated,
    /// The datagram is authentic but cannot be decoded.
    #[error("malformed")]
    Malformed,
    /// The message was received before, belongs to an earlier incarnation of its sender, or claims to come
    /// from this director.
    #[error("replayed")]
    Replayed,
}

impl Rejection {
    /// Returns the name under which operators see the cause in the status.
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

/// Encoder and decoder for the authenticated datagrams of one fleet.
pub struct FrameCodec {
    fleet: [u8; FLEET_BYTES],
    keys: Vec<Hmac<Sha256>>,
}

impl FrameCodec {
    /// Creates a codec. The first key authenticates sent messages; received messages may use any key. Returns
    /// `None` if there is no key or one is shorter than [`MIN_KEY_BYTES`].
    pub fn new(fleet: &str, keys: &[Vec<u8>]) -> Option<FrameCodec> {
        let valid = !keys.is_empty() && keys.iter().all(|key| key.len() >= MIN_KEY_BYTES);
        let keys = keys.iter().filter_map(|key| Hmac::<Sha256>::new_from_slice(key).ok()).collect();
        let fleet = (stable_hash(fleet.as_bytes()) as u32).to_be_bytes();
        valid.then_some(FrameCodec { fleet, keys })
    }

    /// Encodes a message as a datagram. Returns `None` if it would be larger than [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self, message: &Message) -> Option<Vec<u8>> {
        let mut header = vec![VERSION];
        header.extend(self.fleet);
        let mut datagram = postcard::to_extend(message, header).ok()?;
        let mut mac = self.keys.first()?.clone();
        mac.update(&datagram);
        datagram.extend(&mac.finalize().into_bytes()[..TAG_BYTES]);
        (datagram.len() <= MAX_DATAGRAM_BYTES).then_some(datagram)
    }

    /// Verifies and decodes a datagram.
    pub fn decode(&self, datagram: &[u8]) -> Result<Message, Rejection> {
        let content = self.verify(datagram)?;
        let decoded = postcard::take_from_bytes(&content[HEADER_BYTES..]);
        let (message, rest) = decoded.map_err(|_| Rejection::Malformed)?;
        if !rest.is_empty() {
            return Err(Rejection::Malformed);
        }
        Ok(message)
    }

    /// Verifies a datagram and returns its header and encoded message without the HMAC.
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
