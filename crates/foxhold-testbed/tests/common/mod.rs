//! Helpers that several test files use.

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

/// Builds the daemon in this test's profile, once per process, and returns the path of its executable. Cargo
/// does not build it for tests of this crate alone.
pub fn daemon() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    let build_daemon = || {
        let test = std::env::current_exe().expect("path of the test executable");
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--locked", "--quiet", "-p", "foxhold", "--bin", "foxhold"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        let status = build.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../..")).status();
        assert!(status.expect("cargo runs").success(), "the daemon builds");
        test.ancestors().nth(2).expect("test executable is in the deps folder of the profile").join("foxhold")
    };
    BUILT.get_or_init(build_daemon).clone()
}
