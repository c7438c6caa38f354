//! Codec of the section `peers` in the operator's file, which configures the gossip among directors.
//!
//! | key | decoded as |
//! | --- | --- |
//! | `listen`, `advertise`, `name`, `fleet`, `seeds` | the field of the same name |
//! | `key` | [`PeersSection::key_file`] |
//! | `about`; default 100 | [`PeersSection::expected_directors`] |
//! | `mode: careful`, `careful_ms`; default 10 s | [`PeersSection::catch_up_timeout`] |
//! | `folder` | [`PeersSection::state_folder`] |
//! | `purges_kept_s`; default 10 min | [`PeersSection::purge_retention`] |
//! | `horizon_s`; default 10 min | [`PeersSection::tombstone_retention`] |
//! | `entries`; default 200,000 | [`PeersSection::max_entries`] |

use super::codec::check_range;
use super::error::OperatorParseError;
use super::PeersSection;
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

const DEFAULT_DIRECTORS: u32 = 100;
const DIRECTORS: RangeInclusive<u64> = 1..=10_000;
const DEFAULT_CATCH_UP_MS: u64 = 10_000;
const CATCH_UP_MS: RangeInclusive<u64> = 1..=600_000;
const DEFAULT_RETENTION_S: u64 = 600;
const RETENTION_S: RangeInclusive<u64> = 10..=7 * 86_400;
const DEFAULT_ENTRIES: usize = 200_000;
const ENTRIES: RangeInclusive<u64> = 100..=10_000_000;
const NAME_BYTES: RangeInclusive<usize> = 1..=64;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WirePeers {
    listen: String,
    advertise: Option<String>,
    name: String,
    fleet: String,
    key: String,
    #[serde(default)]
    seeds: Vec<String>,
    about: Option<u32>,
    mode: Option<WireMode>,
    careful_ms: Option<u64>,
    folder: Option<String>,
    purges_kept_s: Option<u64>,
    horizon_s: Option<u64>,
    entries: Option<usize>,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum WireMode {
    Serve,
    Careful,
}

impl WirePeers {
    /// Decodes the section and resolves relative paths against `folder`. Values are checked in a fixed order,
    /// and the first error is returned.
    pub(super) fn decode(self, folder: &Path) -> Result<PeersSection, OperatorParseError> {
        let listen = parse_address("listen", &self.listen)?;
        let advertise = self.decode_advertise(listen)?;
        check_name("name", &self.name)?;
        check_name("fleet", &self.fleet)?;
        let catch_up_timeout = self.decode_catch_up()?;
        let directors = self.about.unwrap_or(DEFAULT_DIRECTORS).into();
        let entries = self.entries.unwrap_or(DEFAULT_ENTRIES) as u64;
        Ok(PeersSection {
            listen,
            advertise,
            seeds: self.decode_seeds()?,
            expected_directors: check_key("about", directors, DIRECTORS)? as u32,
            catch_up_timeout,
            key_file: folder.join(self.key),
            state_folder: self.folder.map(|path| folder.join(path)),
            purge_retention: decode_retention("purges_kept_s", self.purges_kept_s)?,
            tombstone_retention: decode_retention("horizon_s", self.horizon_s)?,
            max_entries: check_key("entries", entries, ENTRIES)? as usize,
            name: self.name,
            fleet: self.fleet,
        })
    }

    /// Returns the advertised address, which defaults to `listen`. Returns an error if other directors can't
    /// send to it: if its port is 0 or its IP address is unspecified.
    fn decode_advertise(&self, listen: SocketAddr) -> Result<SocketAddr, OperatorParseError> {
        let address = match &self.advertise {
            Some(text) => parse_address("advertise", text)?,
            None => listen,
        };
        if address.port() == 0 || address.ip().is_unspecified() {
            return Err(OperatorParseError::UnreachableAddress { address });
        }
        Ok(address)
    }

    fn decode_catch_up(&self) -> Result<Option<Duration>, OperatorParseError> {
        match (self.mode.unwrap_or(WireMode::Serve), self.careful_ms) {
            (WireMode::Serve, Some(_)) => Err(OperatorParseError::CatchUpWithoutMode),
            (WireMode::Serve, None) => Ok(None),
            (WireMode::Careful, ms) => {
                let ms = check_key("careful_ms", ms.unwrap_or(DEFAULT_CATCH_UP_MS), CATCH_UP_MS)?;
                Ok(Some(Duration::from_millis(ms)))
            }
        }
    }

    fn decode_seeds(&self) -> Result<Vec<SocketAddr>, OperatorParseError> {
        let seeds = self.seeds.iter().enumerate();
        seeds.map(|(index, seed)| parse_address(&format!("seeds[{index}]"), seed)).collect()
    }
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, OperatorParseError> {
    let invalid = |_| OperatorParseError::InvalidAddress { key: key.to_owned(), text: text.to_owned() };
    text.parse().map_err(invalid)
}

fn check_name(key: &'static str, name: &str) -> Result<(), OperatorParseError> {
    if NAME_BYTES.contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Ok(());
    }
    Err(OperatorParseError::InvalidName { key, name: name.to_owned() })
}

fn check_key(key: &str, value: u64, range: RangeInclusive<u64>) -> Result<u64, OperatorParseError> {
    check_range(format!("peers.{key}"), value, range)
}

fn decode_retention(key: &str, seconds: Option<u64>) -> Result<Duration, OperatorParseError> {
    check_key(key, seconds.unwrap_or(DEFAULT_RETENTION_S), RETENTION_S).map(Duration::from_secs)
}
