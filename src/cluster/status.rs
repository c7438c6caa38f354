//! The status of this director and its peers, as operators are shown it. The JSON keeps the names that
//! operators' scripts read.

use miniserde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The answer to the command `peers`, as JSON.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// This director's name.
    pub name: String,
    /// Where other directors reach it.
    pub address: String,
    /// Grows with each start, and each time that others took it for dead.
    pub incarnation: u64,
    /// The stage of catching up.
    pub stage: String,
    /// Entries by kind.
    pub entries: BTreeMap<String, u64>,
    /// Bytes of entries, as their bound counts them.
    pub bytes: u64,
    /// The members that are alive, by name.
    pub peers: Vec<PeerStatus>,
    /// Members that are dead or have left.
    #[serde(rename = "gone")]
    pub dead: Vec<String>,
    /// Names that two or more have.
    #[serde(rename = "twins")]
    pub duplicate_names: Vec<String>,
    /// Totals since the start.
    pub counts: BTreeMap<String, u64>,
    /// What was rejected, by cause.
    #[serde(rename = "turned_down")]
    pub rejected: BTreeMap<String, u64>,
}

/// A member other than this director.
#[derive(Debug, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: String,
    /// Milliseconds since a message of it was last received; none: never in this run.
    #[serde(rename = "heard_ms")]
    pub last_received_ms: Option<u64>,
    /// Milliseconds since its digest was last the same as ours; none: never in this run.
    #[serde(rename = "alike_ms")]
    pub last_in_sync_ms: Option<u64>,
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entries: Vec<String> = self.entries.iter().map(|(kind, n)| format!("{n} {kind}")).collect();
        writeln!(f, "{} at {}, {}: {}", self.name, self.address, self.stage, entries.join(", "))?;
        writeln!(f, "{:<24} {:<24} {:>10} {:>10}", "peer", "address", "heard, ms", "alike, ms")?;
        for peer in &self.peers {
            let (received, in_sync) =
                (milliseconds(peer.last_received_ms), milliseconds(peer.last_in_sync_ms));
            writeln!(f, "{:<24} {:<24} {received:>10} {in_sync:>10}", peer.name, peer.address)?;
        }
        for (title, lines) in [("gone", &self.dead), ("one name", &self.duplicate_names)] {
            lines.iter().try_for_each(|line| writeln!(f, "{title}: {line}"))?;
        }
        write_counts(f, "counted", &self.counts)?;
        write_counts(f, "turned down", &self.rejected)
    }
}

fn milliseconds(ms: Option<u64>) -> String {
    ms.map_or("-".to_owned(), |ms| ms.to_string())
}

/// Writes the counts that are not zero, on one line.
fn write_counts(f: &mut fmt::Formatter<'_>, title: &str, counts: &BTreeMap<String, u64>) -> fmt::Result {
    let counted = counts.iter().filter(|(_, n)| **n > 0);
    let counted: Vec<String> = counted.map(|(name, n)| format!("{name} {n}")).collect();
    writeln!(f, "{title}: {}", if counted.is_empty() { "none".into() } else { counted.join(", ") })
}
