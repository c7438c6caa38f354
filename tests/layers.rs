//! The parts stand one on the other: what each imports lies below it, so there are no circles.

use std::path::Path;

/// From the ground up. A part imports parts named before it only.
const LAYERS: [&str; 19] = [
    "estimate",
    "api",
    "request",
    "decide",
    "membership",
    "replica",
    "operator",
    "log",
    "settings",
    "signed",
    "wire",
    "core",
    "transport",
    "sources",
    "peers",
    "director",
    "fronts",
    "middleware",
    "daemon",
];

fn imports(path: &Path, found: &mut Vec<String>) {
    if path.is_dir() {
        for entry in std::fs::read_dir(path).expect("a folder") {
            imports(&entry.expect("an entry").path(), found);
        }
        return;
    }
    let text = std::fs::read_to_string(path).expect("text");
    // Code only: a doc may point anywhere.
    for line in text.lines().filter(|l| !l.trim_start().starts_with("//")) {
        for rest in line.split("crate::").skip(1) {
            let name: String = rest.chars().take_while(|c| c.is_ascii_lowercase() || *c == '_').collect();
            assert!(!rest.starts_with('{'), "one part a line, so that it is seen here: {line}");
            // What the library gives out by its root is of the interface and the decisions.
            found.extend((!name.is_empty()).then_some(name));
        }
    }
}

#[test]
fn imports_go_down_only() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut seen = 0;
    for (rank, name) in LAYERS.iter().enumerate() {
        let (folder, file) = (source.join(name), source.join(format!("{name}.rs")));
        let mut found = Vec::new();
        imports(if folder.is_dir() { &folder } else { &file }, &mut found);
        for other in found.iter().filter(|other| *other != name) {
            let below = LAYERS.iter().position(|l| l == other);
            assert!(below.is_some_and(|below| below < rank), "{name} imports {other}");
            seen += 1;
        }
    }
    assert!(seen > 30, "{seen} imports were seen");
}

#[test]
fn every_part_has_its_place() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for entry in std::fs::read_dir(source).expect("a folder") {
        let path = entry.expect("an entry").path();
        let name = path.file_stem().expect("a name").to_string_lossy().into_owned();
        assert!(["bin", "lib", "main"].contains(&&*name) || LAYERS.contains(&&*name), "{name} has no place");
    }
}
