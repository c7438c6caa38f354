//! The emulated servers of a run: their processes, and the links between them.

use super::process::Process;
use super::ScenarioRun;
use crate::faults::relay::Link;
use crate::load::clients::TRANSFER_KB_PER_S;
use crate::scenarios::replay::TestbedError;
use crate::scenarios::scenario::FaultKind;
use crate::servers::emulated::{unix_ms, ContentClass, ServerCommand, ServerConfig, ServerEvent};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::Command;

/// A server that does not listen by then does not start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a command waits for room in a server's pipe.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(200);

impl ScenarioRun {
    pub(super) async fn start_servers(&self) -> Result<(), TestbedError> {
        for name in self.specs.keys().filter(|name| !self.joins(name)) {
            self.start_server(name, false).await?;
        }
        Ok(())
    }

    /// Whether somebody is not there at the run's beginning.
    pub(super) fn joins(&self, name: &str) -> bool {
        let joins = self.scenario.faults.iter().filter(|f| f.kind == FaultKind::Join);
        joins.filter_map(|f| self.scenario.resolve(&f.who)).any(|whom| whom.contains(name))
    }

    pub(super) async fn start_server(&self, name: &str, cold: bool) -> Result<(), TestbedError> {
        let part = &self.parts[name];
        let kept = part.address.borrow().clone();
        let listen = if kept.is_empty() { "127.0.0.1:0".into() } else { kept };
        let config = self.server_config(name, listen, cold);
        let mut command = Command::new(&self.programs.testbed);
        command.arg("emulate").arg(serde_json::to_string(&config)?);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null()).kill_on_drop(true);
        let mut child = command.spawn().map_err(|e| format!("{name}: {e}"))?;
        let mut lines = BufReader::new(child.stdout.take().ok_or("no output")?).lines();
        let process = Process::new(child);
        let first = tokio::time::timeout(START_TIMEOUT, lines.next_line()).await;
        let first =
            first.map_err(|_| format!("{name} does not start"))??.ok_or(format!("{name} ended at once"))?;
        let ServerEvent::Listens(address) = serde_json::from_str(&first)? else {
            return Err(format!("{name}: {first}").into());
        };
        *part.address.borrow_mut() = address;
        *part.process.borrow_mut() = Some(process);
        if cold {
            part.since.set(unix_ms());
        }
        let (seen, name) = (Rc::clone(&self.seen), name.to_owned());
        tokio::task::spawn_local(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                if let Ok(note) = serde_json::from_str(&line) {
                    seen.borrow_mut().notes.push((name.clone(), note));
                }
            }
        });
        Ok(())
    }

    fn server_config(&self, name: &str, listen: String, cold: bool) -> ServerConfig {
        let kinds = self.scenario.classes.iter().map(|c| ContentClass {
            name: c.name.clone(),
            share: c.share,
            mean_kb: c.work_ms / 1e3 * TRANSFER_KB_PER_S,
            write: c.write,
        });
        ServerConfig {
            name: name.into(),
            listen,
            spec: self.specs[name].clone(),
            kinds: kinds.collect(),
            slow_start: cold,
        }
    }

    pub(super) async fn command(&self, name: &str, command: &ServerCommand) {
        let Ok(mut line) = serde_json::to_vec(command) else { return };
        line.push(b'\n');
        let pipe = self.parts[name].process.borrow_mut().as_mut().and_then(|p| p.stdin.take());
        let Some(mut pipe) = pipe else { return };
        // A server that is stopped reads later; what fits the pipe is enough for all that it is ever told.
        let _ = tokio::time::timeout(COMMAND_TIMEOUT, pipe.write_all(&line)).await;
        if let Some(process) = self.parts[name].process.borrow_mut().as_mut() {
            process.stdin = Some(pipe);
        }
    }

    /// Where this one reaches that one: by a relay, where some fault affects the link between them.
    pub(super) fn reaches(&self, who: &str, whom: &str) -> String {
        let links = self.links.borrow();
        let link = links.get(&(who.to_owned(), whom.to_owned()));
        link.map_or_else(|| self.parts[whom].address.borrow().clone(), |link| link.address.clone())
    }

    pub(super) async fn tell_peers(&self, name: &str) {
        let others = self.specs.keys().filter(|n| *n != name);
        let peers = others.map(|n| (n.clone(), self.reaches(name, n))).collect();
        self.command(name, &ServerCommand::Peers(peers)).await;
    }

    /// Opens a relay for each link to a server that is to be faulty, and tells the servers of each other.
    pub(super) async fn link_servers(&self) -> Result<(), TestbedError> {
        for (who, whom) in self.faulty_links().into_iter().filter(|pair| pair.1 != "board") {
            let address = self.parts[&whom].address.borrow().clone();
            let link = Link::open(address).await?;
            self.links.borrow_mut().insert((who, whom), link);
        }
        for name in self.specs.keys().filter(|name| !self.joins(name)) {
            self.tell_peers(name).await;
        }
        Ok(())
    }
}
