//! `simulate`, alias `hollow`: runs many directors in one process over a simulated network.

use foxhold_testbed::scenarios::replay::TestbedError;
use foxhold_testbed::scenarios::runner::interrupted;
pub use foxhold_testbed::scenarios::simulated_fleet::Options;
use foxhold_testbed::scenarios::simulated_fleet::{self, Host};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Runs all sizes, and prints and writes the report. Returns whether every run was complete and no purge was
/// missed. After an interrupt it reports what was measured until then.
pub fn run(options: &Options, allocated: fn() -> usize) -> Result<bool, TestbedError> {
    let host = Host { allocated, interrupted: Arc::new(AtomicBool::new(false)) };
    let flag = host.interrupted.clone();
    std::thread::spawn(move || set_on_interrupt(&flag));
    let report = simulated_fleet::run(options, &host)?;
    print!("{}", report.text());
    if let Some(file) = &options.json {
        std::fs::write(file, serde_json::to_string_pretty(&report)?)?;
    }
    if let Some(file) = &options.html {
        std::fs::write(file, report.page()?)?;
    }
    Ok(report.good())
}

/// Waits for an interrupt and sets the flag.
fn set_on_interrupt(flag: &AtomicBool) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    // Without a runtime, the signal ends the process by its default action.
    if runtime.is_ok_and(|runtime| runtime.block_on(interrupted()).is_ok()) {
        flag.store(true, Ordering::Relaxed);
    }
}
