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

/// Time within which a server must report its address.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait until a command is written to a server's pipe.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(200);

impl ScenarioRun {
    pub(super) async fn start_servers(&self) -> Result<(), TestbedError> {
        for name in self.specs.keys().filter(|name| !self.joins(name)) {
            self.start_server(name, false).await?;
        }
        Ok(())
    }

    /// Returns whether a participant starts only by a `join` fault.
    pub(super) fn joins(&self, name: &str) -> bool {
        let joins = self.scenario.faults.iter().filter(|f| f.kind == FaultKind::Join);
        joins.filter_map(|f| self.scenario.resolve(&f.who)).any(|participants| participants.contains(name))
    }

    pub(super) async fn start_server(&self, name: &str, cold: bool) -> Result<(), TestbedError> {
        let participant = &self.participants[name];
        let previous = participant.address.borrow().clone();
        let listen = if previous.is_empty() { "127.0.0.1:0".into() } else { previous };
        let config = self.server_config(name, listen, cold);
        let mut command = Command::new(&self.programs.testbed);
        command.arg("emulate").arg(serde_json::to_string(&config)?);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null()).kill_on_drop(true);
        let mut child = command.spawn().map_err(|e| format!("can't start {name}: {e}"))?;
        let mut lines =
            BufReader::new(child.stdout.take().ok_or("standard output of the child process is not piped")?)
                .lines();
        let process = Process::new(child);
        let first = tokio::time::timeout(START_TIMEOUT, lines.next_line()).await;
        let first = first
            .map_err(|_| format!("{name} did not report its address within {START_TIMEOUT:?}"))??
            .ok_or(format!("{name} exited before it reported its address"))?;
        let ServerEvent::Listens(address) = serde_json::from_str(&first)? else {
            return Err(format!("{name}: expected its address, got: {first}").into());
        };
        *participant.address.borrow_mut() = address;
        *participant.process.borrow_mut() = Some(process);
        if cold {
            participant.since.set(unix_ms());
        }
        let (seen, name) = (Rc::clone(&self.seen), name.to_owned());
        tokio::task::spawn_local(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                if let Ok(event) = serde_json::from_str(&line) {
                    seen.borrow_mut().events.push((name.clone(), event));
                }
            }
        });
        Ok(())
    }

    fn server_config(&self, name: &str, listen: String, cold: bool) -> ServerConfig {
        let classes = self.scenario.classes.iter().map(|c| ContentClass {
            name: c.name.clone(),
            share: c.share,
            mean_kb: c.work_ms / 1e3 * TRANSFER_KB_PER_S,
            write: c.write,
        });
        ServerConfig {
            name: name.into(),
            listen,
            spec: self.specs[name].clone(),
            kinds: classes.collect(),
            slow_start: cold,
        }
    }

    pub(super) async fn command(&self, name: &str, command: &ServerCommand) {
        let Ok(mut line) = serde_json::to_vec(command) else { return };
        line.push(b'\n');
        let pipe = self.participants[name].process.borrow_mut().as_mut().and_then(|p| p.stdin.take());
        let Some(mut pipe) = pipe else { return };
        // A stopped server reads its commands later; the pipe's buffer holds all commands of a run.
        let _ = tokio::time::timeout(COMMAND_TIMEOUT, pipe.write_all(&line)).await;
        if let Some(process) = self.participants[name].process.borrow_mut().as_mut() {
            process.stdin = Some(pipe);
        }
    }

    /// Returns the address at which `from` reaches `to`: a relay if a fault affects the link between them.
    pub(super) fn address_for(&self, from: &str, to: &str) -> String {
        let links = self.links.borrow();
        let link = links.get(&(from.to_owned(), to.to_owned()));
        link.map_or_else(|| self.participants[to].address.borrow().clone(), |link| link.address.clone())
    }

    pub(super) async fn send_peer_addresses(&self, name: &str) {
        let others = self.specs.keys().filter(|n| *n != name);
        let peers = others.map(|n| (n.clone(), self.address_for(name, n))).collect();
        self.command(name, &ServerCommand::Peers(peers)).await;
    }

    /// Opens a relay for each link to a server that a fault affects, and sends each server the others'
    /// addresses.
    pub(super) async fn link_servers(&self) -> Result<(), TestbedError> {
        for (from, to) in self.faulty_links().into_iter().filter(|pair| pair.1 != "board") {
            let address = self.participants[&to].address.borrow().clone();
            let link = Link::open(address).await?;
            self.links.borrow_mut().insert((from, to), link);
        }
        for name in self.specs.keys().filter(|name| !self.joins(name)) {
            self.send_peer_addresses(name).await;
        }
        Ok(())
    }
}
