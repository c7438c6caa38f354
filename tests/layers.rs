//! The modules stand one on the other: what each imports lies below it, so there are no circles.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The modules, from the ground up; each imports only modules named before it. A module of a folder that is
/// named by itself stands apart from the rest of the folder, which is named without it.
const LAYERS: [&str; 20] = [
    "policy::estimators",
    "policy::types",
    "policy",
    "dispatch::membership",
    "dispatch::request",
    "replication",
    "config::operator",
    "log",
    "config::settings",
    "signed",
    "simulator",
    "dispatch",
    "upstream",
    "discovery",
    "cluster",
    "config",
    "director",
    "frontend",
    "middleware",
    "daemon",
];

/// The layer of a module, by the longest name in the list that it begins with.
fn rank(module: &str) -> Option<usize> {
    let holds = |layer: &str| {
        module.strip_prefix(layer).is_some_and(|rest| rest.is_empty() || rest.starts_with("::"))
    };
    let layers = LAYERS.iter().enumerate().filter(|(_, layer)| holds(layer));
    layers.max_by_key(|(_, layer)| layer.len()).map(|(rank, _)| rank)
}

fn source() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

/// All modules with their code, by path: `config::settings`.
fn modules(folder: &Path, parents: &str, found: &mut BTreeMap<String, String>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        let name = path.file_stem().expect("a name").to_string_lossy().into_owned();
        if parents.is_empty() && ["bin", "lib", "main"].contains(&&*name) {
            continue;
        }
        let module = match (parents, &*name) {
            ("", name) => name.to_owned(),
            (parents, "mod") => parents.to_owned(),
            (parents, name) => format!("{parents}::{name}"),
        };
        if path.is_dir() {
            modules(&path, &module, found);
        } else {
            found.insert(module, std::fs::read_to_string(path).expect("text"));
        }
    }
}

/// The modules that code imports from this crate, as far as their paths are written in small letters.
fn imports(code: &str) -> Vec<String> {
    let mut found = Vec::new();
    // Code only: a doc may point anywhere.
    for line in code.lines().filter(|l| !l.trim_start().starts_with("//")) {
        for rest in line.split("crate::").skip(1) {
            let small = |c: &char| c.is_ascii_lowercase() || ['_', ':'].contains(c);
            let path: String = rest.chars().take_while(small).collect();
            let path = path.trim_end_matches(':');
            assert!(!rest.starts_with('{'), "one module a line, so that it is seen here: {line}");
            // What the library gives out by its root is of the policy.
            found.extend((!path.is_empty()).then(|| path.to_owned()));
        }
    }
    found
}

#[test]
fn imports_go_down_only() {
    let (mut all, mut seen) = (BTreeMap::new(), 0);
    modules(&source(), "", &mut all);
    for (module, code) in &all {
        let own = rank(module).unwrap_or_else(|| panic!("{module} has no place"));
        for other in imports(code) {
            let below =
                rank(&other).unwrap_or_else(|| panic!("{module} imports {other}, which has no place"));
            assert!(below <= own, "{module} imports {other}");
            seen += usize::from(below < own);
        }
    }
    assert!(seen > 30, "{seen} imports were seen");
}

#[test]
fn every_part_has_its_place() {
    let mut all = BTreeMap::new();
    modules(&source(), "", &mut all);
    for module in all.keys() {
        assert!(rank(module).is_some(), "{module} has no place");
    }
    for layer in LAYERS {
        assert!(all.keys().any(|module| module.starts_with(layer)), "{layer} is no module");
    }
}

// ---- the testbed ----

fn testbed() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("crates/foxhold-testbed/src")
}

/// The modules of the testbed that one of them imports, by `crate::` or `super::`; those that it lies within
/// are left out, for a folder's own file holds what its modules share.
fn imported_modules(module: &str, code: &str, all: &BTreeMap<String, String>) -> Vec<String> {
    let parent = module.rsplit_once("::").map_or("", |(parent, _)| parent);
    let mut found = Vec::new();
    for line in code.lines().filter(|l| !l.trim_start().starts_with("//")) {
        let absolute = line.split("crate::").skip(1).map(str::to_owned);
        let relative = line.split("super::").skip(1).map(|rest| format!("{parent}::{rest}"));
        for path in absolute.chain(relative) {
            let names = all.keys().filter(|name| {
                path.strip_prefix(name.as_str()).is_some_and(|rest| !rest.starts_with(char::is_alphanumeric))
            });
            if let Some(name) = names.max_by_key(|name| name.len()) {
                let within = module == name || module.starts_with(&format!("{name}::"));
                found.extend((!within).then(|| name.clone()));
            }
        }
    }
    found
}

/// A way from a module along imports back to one on that way, if there is one.
fn circle(
    module: &str,
    imports: &BTreeMap<String, Vec<String>>,
    way: &mut Vec<String>,
    done: &mut Vec<String>,
) -> bool {
    if done.iter().any(|d| d == module) {
        return false;
    }
    let returns = way.iter().any(|w| w == module);
    way.push(module.to_owned());
    if returns || imports[module].iter().any(|other| circle(other, imports, way, done)) {
        return true;
    }
    way.pop();
    done.push(module.to_owned());
    false
}

#[test]
fn the_testbeds_modules_import_each_other_without_circles() {
    let mut all = BTreeMap::new();
    modules(&testbed(), "", &mut all);
    let imports: BTreeMap<String, Vec<String>> =
        all.iter().map(|(name, code)| (name.clone(), imported_modules(name, code, &all))).collect();
    assert!(imports.values().map(Vec::len).sum::<usize>() > 50, "{imports:?}");
    let (mut way, mut done) = (Vec::new(), Vec::new());
    for module in all.keys() {
        assert!(!circle(module, &imports, &mut way, &mut done), "{}", way.join(" imports "));
    }
}
