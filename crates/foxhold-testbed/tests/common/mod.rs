//! What several tests need.

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

/// The daemon's program as this profile builds it, brought up to date: tests of this crate alone do not build it.
pub fn daemon() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    let built = || {
        let target = std::env::current_exe().expect("a path");
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--locked", "--quiet", "-p", "foxhold", "--bin", "foxhold"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        let status = build.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../..")).status();
        assert!(status.expect("cargo").success());
        target.ancestors().nth(2).expect("a folder").join("foxhold")
    };
    BUILT.get_or_init(built).clone()
}
