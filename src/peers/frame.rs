//! Messages between directors as datagrams: sealed with a key, so that what is foreign, damaged, of another
//! fleet or come a second time changes nothing and is counted.
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | version of the form, [`VERSION`] |
//! | 4 | the fleet, by a hash of its name |
//! | some | sender, run, number and message, by postcard |
//! | 16 | HMAC-SHA256 of all before, the first half |

use super::members::Member;
use crate::replica::digest::hash;
use crate::replica::talk::Say;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// The version that this program speaks.
pub const VERSION: u8 = 1;
/// The largest datagram that is sent or taken, in bytes.
pub const LARGEST: usize = 8 * 1024;
/// The shortest key, in bytes.
pub const SHORTEST_KEY: usize = 16;
const HEAD: usize = 5;
const SEAL: usize = 16;

/// What is said: of the members, or of the state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A message of the membership protocol, as its library writes it.
    Swim(Vec<u8>),
    /// A message of the replicated state.
    Say(Say),
}

/// A message with who sent it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who sent it.
    pub from: Member,
    /// Its run: drawn anew at each start of the process.
    pub run: u64,
    /// Its number within that run, from 1.
    pub number: u64,
    /// What it says.
    pub body: Body,
}

/// Why a datagram was turned down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Foreign {
    /// Too short or too long to be one.
    Size,
    /// Of a version that is not spoken here.
    Version,
    /// Of another fleet.
    Fleet,
    /// Sealed with no key that is known here, or damaged.
    Seal,
    /// Sealed well, and not of this form.
    Form,
    /// Come a second time, or of a run that has ended.
    Replayed,
}

impl Foreign {
    /// Its name in figures.
    pub fn name(self) -> &'static str {
        match self {
            Foreign::Size => "size",
            Foreign::Version => "version",
            Foreign::Fleet => "fleet",
            Foreign::Seal => "seal",
            Foreign::Form => "form",
            Foreign::Replayed => "replayed",
        }
    }
}

/// Seals and opens messages of one fleet.
pub struct Seal {
    fleet: [u8; 4],
    keys: Vec<Hmac<Sha256>>,
}

impl Seal {
    /// By the fleet's name and its keys: the first seals, all open. None without a key of [`SHORTEST_KEY`]
    /// bytes.
    pub fn new(fleet: &str, keys: &[Vec<u8>]) -> Option<Seal> {
        let good = !keys.is_empty() && keys.iter().all(|k| k.len() >= SHORTEST_KEY);
        let keys = keys.iter().filter_map(|k| Hmac::<Sha256>::new_from_slice(k).ok()).collect();
        good.then(|| Seal { fleet: (hash(fleet.as_bytes()) as u32).to_be_bytes(), keys })
    }

    /// The datagram of a message. None: it is larger than [`LARGEST`].
    pub fn seal(&self, message: &Message) -> Option<Vec<u8>> {
        let mut datagram = vec![VERSION];
        datagram.extend(self.fleet);
        let mut datagram = postcard::to_extend(message, datagram).ok()?;
        let mut mac = self.keys.first()?.clone();
        mac.update(&datagram);
        datagram.extend(&mac.finalize().into_bytes()[..SEAL]);
        (datagram.len() <= LARGEST).then_some(datagram)
    }

    /// The message of a datagram.
    pub fn open(&self, datagram: &[u8]) -> Result<Message, Foreign> {
        if datagram.len() < HEAD + SEAL || datagram.len() > LARGEST {
            return Err(Foreign::Size);
        }
        let (sealed, seal) = datagram.split_at(datagram.len() - SEAL);
        if sealed[0] != VERSION {
            return Err(Foreign::Version);
        }
        if sealed[1..HEAD] != self.fleet {
            return Err(Foreign::Fleet);
        }
        let by = |key: &&Hmac<Sha256>| {
            let mut mac = (*key).clone();
            mac.update(sealed);
            mac.verify_truncated_left(seal).is_ok()
        };
        self.keys.iter().find(by).ok_or(Foreign::Seal)?;
        let (message, rest) = postcard::take_from_bytes(&sealed[HEAD..]).map_err(|_| Foreign::Form)?;
        if rest.is_empty() {
            Ok(message)
        } else {
            Err(Foreign::Form)
        }
    }
}

/// The keys of a key file: one a line in base64url, the first for sealing; empty lines and those that begin
/// with `#` are passed over. The error names the line.
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
        if key.len() < SHORTEST_KEY {
            return Err(format!("line {}: a key of {} bytes, {SHORTEST_KEY} at least", n + 1, key.len()));
        }
        keys.push(key);
    }
    if keys.is_empty() {
        return Err("holds no key".into());
    }
    Ok(keys)
}
