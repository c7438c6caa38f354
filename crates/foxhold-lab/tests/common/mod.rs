//! What several tests need.

use std::path::PathBuf;
use std::process::Command;

/// The daemon's program as this profile builds it.
pub fn daemon() -> PathBuf {
    let target = std::env::current_exe().expect("a path");
    let program = target.ancestors().nth(2).expect("a folder").join("foxhold");
    if !program.exists() {
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--locked", "-p", "foxhold", "--bin", "foxhold"]);
        let status = build.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../..")).status();
        assert!(status.expect("cargo").success());
    }
    program
}
