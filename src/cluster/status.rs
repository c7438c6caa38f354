//! The status of this director and its peers as shown to operators. The names in the JSON are read by
//! operators' scripts and must not change.

use miniserde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The answer to the admin command `peers`, serialised as JSON.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// This director's name, from its operator's file.
    pub name: String,
    /// The address at which other directors reach this one.
    pub address: String,
    /// Increases at each start, and each time that this director rejoins after being declared dead.
    pub incarnation: u64,
    /// The catch-up stage: `catching up`, `caught up` or `on its own`.
    pub stage: String,
    /// Number of entries by kind.
    pub entries: BTreeMap<String, u64>,
    /// Size of all entries in bytes, as counted towards the limit of the state.
    pub bytes: u64,
    /// The live members, sorted by name.
    pub peers: Vec<PeerStatus>,
    /// Members that died or left, each as `NAME at ADDRESS`.
    #[serde(rename = "gone")]
    pub dead: Vec<String>,
    /// Names shared by two or more directors, with their addresses.
    #[serde(rename = "twins")]
    pub duplicate_names: Vec<String>,
    /// Totals since the start, by name.
    pub counts: BTreeMap<String, u64>,
    /// Number of rejected datagrams, entries and membership messages, by cause.
    #[serde(rename = "turned_down")]
    pub rejected: BTreeMap<String, u64>,
}

/// A member other than this director.
#[derive(Debug, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The peer's name, from its operator's file.
    pub name: String,
    /// The address at which the peer is reached.
    pub address: String,
    /// Milliseconds since a message of the peer was last received, or `None` if none was received since the
    /// start.
    #[serde(rename = "heard_ms")]
    pub last_received_ms: Option<u64>,
    /// Milliseconds since the peer's digest last matched this director's, or `None` if it has not since the
    /// start.
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

/// Writes all non-zero counts on one line.
fn write_counts(f: &mut fmt::Formatter<'_>, title: &str, counts: &BTreeMap<String, u64>) -> fmt::Result {
    let counted = counts.iter().filter(|(_, n)| **n > 0);
    let counted: Vec<String> = counted.map(|(name, n)| format!("{name} {n}")).collect();
    writeln!(f, "{title}: {}", if counted.is_empty() { "none".into() } else { counted.join(", ") })
}
