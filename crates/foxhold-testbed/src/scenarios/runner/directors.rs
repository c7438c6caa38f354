//! The directors of a run: their processes and configurations.

use super::process::Process;
use super::{ScenarioRun, INITIAL_CAPACITY_SHARE, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_S, WARM_UP_S};
use crate::faults::relay::Link;
use crate::load::clients::TRANSFER_KB_PER_S;
use crate::scenarios::replay::TestbedError;
use crate::scenarios::scenario::RequestClass;
use crate::servers::emulated::unix_ms;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::net::TcpListener;
use tokio::process::{ChildStderr, Command};

/// Time within which a director must log its address for clients.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Multiplier of the scenario's seed; keeps the directors' seeds of one scenario apart from those of another.
const SEED_STEP: u64 = 1_000_003;

impl ScenarioRun {
    pub(super) async fn start_directors(self: &Rc<Self>) -> Result<(), TestbedError> {
        for n in 1..=self.scenario.directors {
            let name = format!("director-{n}");
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let mut board = listener.local_addr()?.to_string();
            tokio::task::spawn_local(Rc::clone(self).serve_discovery(name.clone(), listener));
            let pair = (name.clone(), "board".to_owned());
            if self.faulty_links().contains(&pair) {
                let link = Link::open(board).await?;
                board = link.address.clone();
                self.links.borrow_mut().insert(pair, link);
            }
            self.seen.borrow_mut().discovery_addresses.insert(name.clone(), board);
        }
        let names = (1..=self.scenario.directors).map(|n| format!("director-{n}"));
        let initial: Vec<String> = names.filter(|name| !self.joins(name)).collect();
        self.start_directors_named(&initial).await
    }

    /// Starts directors concurrently, and waits until all listen.
    pub(super) async fn start_directors_named(self: &Rc<Self>, names: &[String]) -> Result<(), TestbedError> {
        let starts = names.iter().map(|name| {
            let (run, name) = (Rc::clone(self), name.clone());
            tokio::task::spawn_local(async move { run.start_director(&name).await })
        });
        for start in starts.collect::<Vec<_>>() {
            start.await??;
        }
        Ok(())
    }

    async fn start_director(self: &Rc<Self>, name: &str) -> Result<(), TestbedError> {
        let participant = &self.participants[name];
        let previous = participant.address.borrow().clone();
        let listen = if previous.is_empty() { "127.0.0.1:0".into() } else { previous };
        let number: u64 = name.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
        let seed = self.scenario.seed.wrapping_mul(SEED_STEP).wrapping_add(number) ^ participant.since.get();
        let mut child = self
            .director_command(name, number, &listen, seed)?
            .spawn()
            .map_err(|e| format!("can't start {name}: {e}"))?;
        let mut lines =
            BufReader::new(child.stderr.take().ok_or("standard error of the child process is not piped")?)
                .lines();
        *participant.process.borrow_mut() = Some(Process::new(child));
        let address = listening_address(name, &mut lines).await?;
        *participant.address.borrow_mut() = address.clone();
        *self.clients.targets[number as usize - 1].address.borrow_mut() = address;
        tokio::task::spawn_local(Rc::clone(self).follow_log(name.to_owned(), lines));
        Ok(())
    }

    fn director_command(
        &self,
        name: &str,
        number: u64,
        listen: &str,
        seed: u64,
    ) -> Result<Command, TestbedError> {
        let file = self.programs.folder.join(format!("{name}.json"));
        std::fs::write(&file, self.config(name, listen, seed))?;
        let mut command = Command::new(&self.programs.director);
        command
            .env("ROUTER_CONFIG", &file)
            .env_remove("FOXHOLD_FRONT")
            .env_remove("FOXHOLD_LOG")
            .env_remove("ROUTER_FD")
            .current_dir(&self.programs.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        if let Some(relays) = self.gossip_relays.borrow().as_ref() {
            let operator = self.programs.folder.join(format!("{name}.yaml"));
            std::fs::write(&operator, relays.operator(number as usize - 1, ""))?;
            command.env("FOXHOLD_FRONT", operator);
        }
        Ok(command)
    }

    /// Reads a director's log until the process exits. An exit without a kill by the run is recorded as a
    /// crash.
    async fn follow_log(self: Rc<Self>, name: String, mut lines: Lines<BufReader<ChildStderr>>) {
        let (seen, run) = (Rc::clone(&self.seen), Rc::downgrade(&self));
        drop(self);
        while let Ok(Some(line)) = lines.next_line().await {
            let mut seen = seen.borrow_mut();
            if line.contains("suspected") {
                seen.suspicions.push((unix_ms(), name.clone()));
            } else if line.contains("panicked") {
                seen.panics.push(format!("{name}: {line}"));
            }
        }
        let Some(run) = run.upgrade().filter(|run| !run.ending.get()) else { return };
        let participant = Rc::clone(&run.participants[&name]);
        let killed = participant.process.borrow().is_none();
        drop(run);
        if !killed {
            participant.crashed.set(true);
        }
    }

    /// Returns the director's platform configuration, as JSON.
    fn config(&self, name: &str, listen: &str, seed: u64) -> String {
        let scenario = &self.scenario;
        let (notices, rev) = self.events(name, 0);
        let notices = notices.join(",");
        let board = self.seen.borrow().discovery_addresses[name].clone();
        let ops = self.admin_address_of(name).map(|door| format!(r#","ops":"{door}""#)).unwrap_or_default();
        let list = |f: &dyn Fn(&RequestClass) -> String| {
            scenario.classes.iter().map(f).collect::<Vec<_>>().join(",")
        };
        let services = list(&|c| {
            let effect = if c.write { "at_most_once" } else { "idempotent" };
            let (name, aim, stretch, give_up) = (&c.name, c.objective_ms, c.stretch, c.deadline_ms);
            format!(
                r#"{{"name":"{name}","aimMs":{aim},"aimStretch":{stretch},"deadlineMs":{give_up},"effect":"{effect}","worth":1}}"#
            )
        });
        let writes = list(&|c| c.write.to_string());
        let (directors, flow) = (scenario.directors, TRANSFER_KB_PER_S);
        let (warm, window) = (WARM_UP_S * 1e3, OVERLOAD_WINDOW_S * 1e3);
        format!(
            r#"{{"name":"{name}","listen":"{listen}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":64,"sockets":512}},
"board":"{board}"{ops},"known":{{"rev":{rev},"notices":[{notices}]}},
"settings":{{"balancers":{directors},"zone":"branch","zones":["hub","branch"],"kinds":["cache","parent","origin"],
"weights":"nominal","services":[{services}],
"familyInfo":{{"midKind":1,"storeKind":2,"flowKbPerS":{flow},"noteLevel":"all","passThroughOk":true,"collapses":false,
"passOn":[{writes}],"instancesByZone":[0,{directors}],"purgeGraceMs":1000,"purgeDoneMs":6000,
"parentFloor":{INITIAL_CAPACITY_SHARE},"parentWarmsInMs":{warm},"parentLimitFactor":{OVERLOAD_MULTIPLE}}},
"bounds":{{"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterMs":1000,"maxAttempts":6,
"probes":true,"connectTimeoutMs":400,"connIdleMs":30000,"streamsPerConn":100}},
"rules":{{"stopSendingWithinMs":1000,"coldFrom":{INITIAL_CAPACITY_SHARE},"warmWithinMs":{warm},"fallMultiple":{OVERLOAD_MULTIPLE},"overloadForMs":{window}}}}}}}"#
        )
    }
}

/// Reads a director's log up to the line with its address for clients, and returns that address.
async fn listening_address(
    name: &str,
    lines: &mut Lines<BufReader<ChildStderr>>,
) -> Result<String, TestbedError> {
    let mut last_line = String::new();
    while !last_line.contains("clients on ") {
        let line = tokio::time::timeout(START_TIMEOUT, lines.next_line()).await;
        let line = line.map_err(|_| format!("{name} did not log its address within {START_TIMEOUT:?}"))??;
        last_line =
            line.ok_or(format!("{name} exited before it logged its address; last line: {last_line}"))?;
    }
    let address = last_line.trim_end().rsplit(' ').next().filter(|a| a.contains(':'));
    Ok(address.ok_or(format!("{name}: no address in log line: {last_line}"))?.to_owned())
}
