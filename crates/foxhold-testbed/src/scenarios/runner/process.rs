//! The processes of a run: programs, children that end with their owner, and the folder of their files.

use crate::scenarios::replay::TestbedError;
use crate::scenarios::scenario::{FaultKind, Scenario};
use rustix::process::{kill_process, Pid, Signal};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::process::{Child, ChildStdin};

/// The programs of a run.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The director's.
    pub director: PathBuf,
    /// The testbed's own, for emulated servers.
    pub testbed: PathBuf,
    /// Where configurations are written; removed with all in it at the end.
    pub folder: PathBuf,
}

impl Programs {
    /// The director's program, with this one for emulated servers and a new folder under the temporary one.
    pub fn of(director: PathBuf) -> std::io::Result<Programs> {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("foxhold-fleet-{}-{number}", std::process::id()));
        Ok(Programs { director, testbed: std::env::current_exe()?, folder })
    }
}

/// A child that ends with this.
pub(crate) struct Process {
    child: Child,
    pid: Option<Pid>,
    /// Taken while something is written to it.
    pub(super) stdin: Option<ChildStdin>,
}

impl Process {
    pub(crate) fn new(mut child: Child) -> Process {
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let stdin = child.stdin.take();
        Process { child, pid, stdin }
    }

    pub(crate) fn id(&self) -> Option<u32> {
        self.child.id()
    }

    pub(crate) fn signal(&mut self, signal: Signal) {
        // A child that has not been waited for keeps its id: nobody else can have it.
        if let (Some(pid), Ok(None)) = (self.pid, self.child.try_wait()) {
            let _ = kill_process(pid, signal);
        }
    }

    pub(crate) async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }
}

/// A folder that goes with this.
pub(crate) struct TemporaryFolder(pub(crate) PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Which signal came that ends a run.
pub async fn interrupted() -> std::io::Result<&'static str> {
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        ctrl_c = tokio::signal::ctrl_c() => ctrl_c.map(|()| "interrupted"),
        _ = term.recv() => Ok("told to end"),
    }
}

/// Descriptors that this process needs: pipes, boards and clients of each director, pipes of servers, relays.
pub(super) fn check_descriptors(scenario: &Scenario) -> Result<(), TestbedError> {
    let relays =
        scenario.faults.iter().filter(|f| f.kind == FaultKind::Link).count() * scenario.directors * 6;
    let needs = scenario.directors * 10
        + (scenario.caches + scenario.parents + 1) * 4
        + relays
        + scenario.rate as usize
        + 64;
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    if limit.is_some_and(|limit| limit < needs as u64) {
        return Err(format!(
            "descriptors: this run needs {needs}, the limit is {}: raise it (ulimit -n) or run with fewer directors",
            limit.unwrap_or(0)
        )
        .into());
    }
    Ok(())
}
