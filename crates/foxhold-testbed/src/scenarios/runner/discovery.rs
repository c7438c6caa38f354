//! The emulated discovery service of a run: sends directors the events about servers and purges.

use super::{number_of, ScenarioRun};
use crate::load::clients::PurgeRecord;
use crate::servers::model::Role;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};

/// Interval at which the number of the last event is sent while there are no new events.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A change that the discovery service publishes.
#[derive(Clone, Debug)]
pub(super) enum DiscoveryChange {
    Member { name: String, phase: &'static str, since: u64 },
    Purge(PurgeRecord),
}

impl ScenarioRun {
    fn member(&self, director: &str, name: &str, phase: &str, since: u64) -> String {
        let spec = &self.specs[name];
        let (kind, address, size) = (spec.role.kind(), self.address_for(director, name), spec.link);
        let zone = if spec.role == Role::Cache { "branch" } else { "hub" };
        format!(
            r#"{{"id":"{name}","host_port":"{address}","locality":"{zone}","flavor":"{kind}","phase":"{phase}","size":{size:.3},"up_since_ms":{since}}}"#
        )
    }

    /// Returns the event of a change as JSON, with the server address that this director is to use.
    fn event(&self, director: &str, rev: usize, change: &DiscoveryChange) -> String {
        match change {
            DiscoveryChange::Member { name, phase, since } => {
                let member = self.member(director, name, phase, *since);
                format!(
                    r#"{{"rev":{rev},"pool":{{"revision":{rev},"complete":false,"members":[{member}]}}}}"#
                )
            }
            DiscoveryChange::Purge(PurgeRecord { object: Some(object), ms, .. }) => {
                format!(r#"{{"rev":{rev},"flush":{{"asset":"{object}","ms":{ms}}}}}"#)
            }
            // A purge of several groups is published as one event per group.
            DiscoveryChange::Purge(PurgeRecord { groups, ms, .. }) => {
                let group = groups.first().copied().unwrap_or(0);
                format!(r#"{{"rev":{rev},"flush":{{"collection":{group},"ms":{ms}}}}}"#)
            }
        }
    }

    /// Returns the events after number `last`, and the number of the last one. Event 1 is the full list of
    /// servers.
    pub(super) fn events(&self, director: &str, last: usize) -> (Vec<String>, usize) {
        let changes = self.discovery_log.borrow();
        let mut lines = Vec::new();
        if last < 1 {
            let listed = self.specs.keys().filter(|name| !self.joins(name));
            let members: Vec<String> = listed.map(|n| self.member(director, n, "in_service", 0)).collect();
            let members = members.join(",");
            lines.push(format!(
                r#"{{"rev":1,"pool":{{"revision":1,"complete":true,"members":[{members}]}}}}"#
            ));
        }
        let skip = last.max(1) - 1;
        lines.extend(changes.iter().enumerate().skip(skip).map(|(n, e)| self.event(director, n + 2, e)));
        (lines, changes.len() + 1)
    }

    pub(super) fn publish(&self, change: DiscoveryChange) {
        self.discovery_log.borrow_mut().push(change);
        self.discovery_length.send_replace(self.discovery_log.borrow().len());
    }

    /// Returns the delay of events to a director, which is fixed for a run.
    fn discovery_delay(&self, director: &str) -> Duration {
        let number = number_of(director).unwrap_or(0) as u64;
        let mut random = StdRng::seed_from_u64(self.scenario.seed.wrapping_mul(1_000_003) ^ number);
        Duration::from_secs_f64(self.scenario.list_late * random.random::<f64>())
    }

    /// Accepts the connections of one director to the discovery service.
    pub(super) async fn serve_discovery(self: Rc<Self>, director: String, listener: TcpListener) {
        let mut watches = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            watches.spawn_local(Rc::clone(&self).serve_watch(director.clone(), stream));
            while watches.try_join_next().is_some() {}
        }
    }

    async fn serve_watch(self: Rc<Self>, director: String, stream: TcpStream) {
        let mut changed = self.discovery_length.subscribe();
        let (read, mut write) = stream.into_split();
        let (mut read, mut line) = (BufReader::new(read), String::new());
        if read.read_line(&mut line).await.is_err() {
            return;
        }
        let mut last: usize = line.trim().rsplit(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0);
        while self.send_events(&director, &mut last, &mut write).await.is_ok() {
            let _ = tokio::time::timeout(HEARTBEAT_INTERVAL, changed.changed()).await;
        }
    }

    /// Sends the events after `last`, or the number of the last event if there are none.
    async fn send_events(
        &self,
        director: &str,
        last: &mut usize,
        write: &mut OwnedWriteHalf,
    ) -> std::io::Result<()> {
        let (lines, now) = self.events(director, *last);
        *last = now.max(*last);
        if !lines.is_empty() {
            tokio::time::sleep(self.discovery_delay(director)).await;
        }
        let text = if lines.is_empty() { format!("{last}\n") } else { lines.join("\n") + "\n" };
        write.write_all(text.as_bytes()).await
    }
}
