//! Answers to operators' commands: the status with its metrics, and the list of entries.
//!
//! Operators' scripts read the metrics by the names used here. These names and those in [`super::status`] may
//! differ from the names in the code and must not change.

use super::actor::Actor;
use super::catch_up::stage_name;
use super::members::Member;
use super::status::{PeerStatus, Status};
use crate::policy::types::{MemberState, Micros};
use crate::replication::entry::{Key, Kind, Value};
use crate::replication::state::ClockReading;
use std::collections::BTreeMap;

impl Actor {
    /// Returns all entries of a kind as text, one line per entry.
    pub(super) fn list(&self, kind: Kind) -> Vec<String> {
        self.replication
            .state
            .entries_of_kind(kind)
            .into_iter()
            .map(|(key, entry)| entry_line(key, entry))
            .collect()
    }

    /// Returns the status of this director and its peers as JSON.
    pub(super) fn status(&self, now: ClockReading) -> String {
        let state = &self.replication.state;
        let own = self.membership.members.local();
        let dead = self.membership.members.dead().into_iter();
        miniserde::json::to_string(&Status {
            name: own.name.clone(),
            address: own.address.to_string(),
            incarnation: own.incarnation,
            stage: stage_name(self.replication.stage()).into(),
            entries: Kind::ALL.iter().map(|k| (k.name().to_owned(), state.count(*k) as u64)).collect(),
            bytes: state.bytes() as u64,
            peers: self.peers(now),
            dead: dead.map(|m| format!("{} at {}", m.name, m.address)).collect(),
            duplicate_names: self.membership.duplicates.lines(),
            counts: self.counts(),
            rejected: self.rejected(),
        })
    }

    fn peers(&self, now: ClockReading) -> Vec<PeerStatus> {
        let millis_since = |at: Micros| now.monotonic.saturating_sub(at) / 1_000;
        let peer = |member: Member| PeerStatus {
            last_received_ms: self.membership.last_received(&member).map(millis_since),
            last_in_sync_ms: self.replication.last_in_sync(&member.address).map(millis_since),
            name: member.name,
            address: member.address.to_string(),
        };
        let mut peers: Vec<PeerStatus> = self.membership.members.peers().into_iter().map(peer).collect();
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        peers
    }

    fn counts(&self) -> BTreeMap<String, u64> {
        let replication = self.replication.counters();
        let transport = &self.transport.counters;
        let (disk_written, disk_failed) = self.persistence.counts();
        let counts = [
            ("taken", replication.merged),
            ("known", replication.unchanged),
            ("differing", replication.conflicts),
            ("rumours_dropped", replication.updates_dropped),
            ("unlike", replication.digest_mismatches),
            ("sources_turned", replication.source_changes),
            ("sent", transport.sent),
            ("sent_bytes", transport.sent_bytes),
            ("received_bytes", transport.received_bytes),
            ("unsent", transport.unsent),
            ("disk_written", disk_written),
            ("disk_failed", disk_failed),
        ];
        counts.into_iter().map(|(name, n)| (name.to_owned(), n)).collect()
    }

    /// Returns the numbers of rejected datagrams, entries and membership messages, by cause.
    fn rejected(&self) -> BTreeMap<String, u64> {
        let datagrams = self.transport.counters.rejected.iter();
        let datagrams = datagrams.map(|(cause, n)| (cause.name().to_owned(), *n));
        let entries = self.replication.counters().rejected.iter();
        let entries = entries.map(|(cause, n)| (format!("entry_{}", cause.name()), *n));
        let membership = [("members".to_owned(), self.membership.members.rejected)];
        datagrams.chain(entries).chain(membership).collect()
    }
}

fn entry_line(key: &Key, entry: &Value) -> String {
    match entry {
        Value::Purged(at) => format!("{key} purged at {}.{:06}", at / 1_000_000, at % 1_000_000),
        Value::Drain(drain) => {
            let verb = if drain.is_draining() { "drains" } else { "does not drain" };
            let count = drain.drains_by_incarnation.len() + drain.undrains_by_incarnation.len();
            format!("{key} {verb}, process of {}, {count} words", drain.started_at)
        }
        Value::Endpoint(revision, record) => match MemberState::from(record.state) {
            MemberState::Running => format!("{key} in service at {}, event {revision}", record.address),
            MemberState::Draining => format!("{key} terminating at {}, event {revision}", record.address),
            MemberState::Gone => format!("{key} terminated, event {revision}"),
        },
    }
}
