//! The processes of a run: program paths, child processes that are killed on drop, and the folder of their
//! files.

use crate::scenarios::replay::TestbedError;
use crate::scenarios::scenario::{FaultKind, Scenario};
use rustix::process::{kill_process, Pid, Signal};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::process::{Child, ChildStdin};

/// The programs that a run starts, and its folder.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The daemon, started for each director.
    pub director: PathBuf,
    /// The testbed program, started for each emulated server.
    pub testbed: PathBuf,
    /// Folder for configuration files; removed with its contents when the run finishes.
    pub folder: PathBuf,
}

impl Programs {
    /// Returns the programs with this executable as the testbed, and a new name in the system's temporary
    /// folder.
    pub fn find(director: PathBuf) -> std::io::Result<Programs> {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("foxhold-fleet-{}-{number}", std::process::id()));
        Ok(Programs { director, testbed: std::env::current_exe()?, folder })
    }
}

/// A child process that is killed when this is dropped.
pub(crate) struct Process {
    child: Child,
    pid: Option<Pid>,
    /// `None` while a command is being written to it.
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
        // The process id can't be reused before the child has been waited for.
        if let (Some(pid), Ok(None)) = (self.pid, self.child.try_wait()) {
            let _ = kill_process(pid, signal);
        }
    }

    pub(crate) async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }
}

/// A folder that is removed when this is dropped.
pub(crate) struct TemporaryFolder(pub(crate) PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Waits for SIGINT or SIGTERM, and returns the wording for the error message.
pub async fn interrupted() -> std::io::Result<&'static str> {
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        ctrl_c = tokio::signal::ctrl_c() => ctrl_c.map(|()| "interrupted"),
        _ = term.recv() => Ok("asked to shut down"),
    }
}

/// Checks the limit of file descriptors against what this process needs: pipes, discovery connections and
/// clients of each director, pipes of servers, and relays.
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
