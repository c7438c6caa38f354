//! The operator file, and the program's commands `check`, `peers`, `drain` and `serve`.

use foxhold::config::operator::{LibrarySection, LogForm, OperatorConfig};
use std::path::{Path, PathBuf};
use std::process::Command;

fn parse(text: &str) -> Result<OperatorConfig, String> {
    OperatorConfig::parse(text, Path::new("/etc/foxhold")).map_err(|e| e.to_string())
}

#[test]
fn the_deployed_file_enables_no_section() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/foxhold.yaml");
    let operator = OperatorConfig::read(&path).expect("a valid file");
    assert_eq!((operator.signed, operator.xds_file, operator.peers), (None, None, None));
}

#[test]
fn paths_are_relative_to_the_file_and_variables_are_not_expanded() {
    let operator = parse(
        "signed: {listen: '127.0.0.1:1', keys: 'keys-${HOME}.json'}\nmembers:\n  xds: /var/members.json\n\
         library: {open: 9}\nlog: {level: 'info,foxhold::dispatch=debug', form: json}\n",
    )
    .expect("a valid file");
    let signed = operator.signed.expect("a frontend");
    assert_eq!(signed.keys_file, PathBuf::from("/etc/foxhold/keys-${HOME}.json"));
    assert_eq!(operator.xds_file, Some("/var/members.json".into()));
    assert_eq!(operator.library, LibrarySection { max_open_requests: 9, ..LibrarySection::default() });
    assert_eq!(operator.log.form, LogForm::Json);
    assert_eq!(parse("").expect("an empty file"), OperatorConfig::default());
}

const PEERS: &str = "listen: '127.0.0.1:7300', name: a, fleet: toy, key: peers.key";

#[test]
fn the_peers_section_has_defaults() {
    let peers =
        parse(&format!("peers: {{{PEERS}, seeds: ['127.0.0.1:7301']}}\n")).expect("a valid file").peers;
    let peers = peers.expect("a section");
    assert_eq!((peers.advertise, peers.catch_up_timeout, peers.state_folder), (peers.listen, None, None));
    assert_eq!(
        (peers.seeds.len(), peers.tombstone_retention.as_secs(), peers.max_entries),
        (1, 600, 200_000)
    );
    assert_eq!(peers.key_file, PathBuf::from("/etc/foxhold/peers.key"));
    let fresh_only = parse(&format!("peers: {{{PEERS}, mode: careful, careful_ms: 500, folder: state}}\n"));
    let fresh_only = fresh_only.expect("a valid file").peers.expect("a section");
    assert_eq!(fresh_only.catch_up_timeout.map(|c| c.as_millis()), Some(500));
    assert_eq!(fresh_only.state_folder, Some("/etc/foxhold/state".into()));
}

#[test]
fn errors_in_the_peers_section_name_the_key() {
    for (keys, expected) in [
        ("name: b", "duplicate"),
        ("advertise: 'director:7300'", "peers.advertise: 'director:7300' is not an IP address with a port"),
        (
            "advertise: '0.0.0.0:7300'",
            "peers.advertise: other directors can't reach 0.0.0.0:7300, expected a specific",
        ),
        ("seeds: ['127.0.0.1:1', x]", "peers.seeds[1]: 'x'"),
        ("mode: brave", "line 1"),
        ("careful_ms: 5", "peers.careful_ms: only allowed with mode: careful"),
        ("mode: careful, careful_ms: 0", "peers.careful_ms: 0 is not between 1 and 600000"),
        ("horizon_s: 1", "peers.horizon_s: 1 is not between 10"),
        ("entries: 5", "peers.entries"),
        ("about: 0", "peers.about"),
        ("colour: red", "colour"),
    ] {
        let error = parse(&format!("peers: {{{PEERS}, {keys}}}\n")).expect_err(keys);
        assert!(error.contains(expected) && error.lines().count() == 1, "{keys:?}: {error}");
    }
    for (from, to, expected) in [("name: a", "name: 'a b'", "peers.name"), ("fleet: toy, ", "", "fleet")] {
        let error = parse(&format!("peers: {{{}}}\n", PEERS.replace(from, to))).expect_err(to);
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn the_flat_form_of_earlier_versions_is_decoded() {
    let flat = r#"{"listen": "127.0.0.1:1", "metrics": "127.0.0.1:2", "keys": "k.json", "xds": "m.json"}"#;
    let operator = parse(flat).expect("a valid file");
    assert_eq!(operator.signed.expect("a frontend").metrics_listen.as_deref(), Some("127.0.0.1:2"));
    assert_eq!(operator.xds_file, Some("/etc/foxhold/m.json".into()));
    assert_eq!(parse(r#"{"listen": "", "xds": "m.json"}"#).expect("a valid file").xds_file, None);
}

#[test]
fn errors_in_invalid_files_name_the_key_or_the_line() {
    for (text, expected) in [
        ("log:\n  level: info\n  colour: red\n", "colour"),
        ("log:\n  level: info\n  colour: red\n", "line 3"),
        ("signd: {}\n", "signd"),
        ("signed:\n  listen: '127.0.0.1:1'\n", "signed.keys"),
        ("library: {open: 0}\n", "library.open"),
        ("library: {open: many}\n", "line 1"),
        ("log: [", "line"),
        ("listen: ''\nlog: {level: info}\n", "flat form"),
    ] {
        let error = parse(text).expect_err(text);
        assert!(error.contains(expected) && error.lines().count() == 1, "{text:?}: {error}");
    }
}

#[cfg(feature = "cli")]
mod program {
    use super::*;

    /// Runs the program; returns its exit status, standard output and standard error.
    fn run_foxhold(arguments: &[&str]) -> (Option<i32>, String, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_foxhold"))
            .args(arguments)
            .env_remove("ROUTER_CONFIG")
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .output()
            .expect("the program");
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
        (output.status.code(), text(output.stdout), text(output.stderr))
    }

    #[test]
    fn check_names_each_fault_and_exits_with_status_2() {
        let valid = run_foxhold(&[
            "check",
            "examples/config.json",
            "examples/foxhold.yaml",
            "examples/peers.yaml",
            "deploy/foxhold.yaml",
        ]);
        assert_eq!((valid.0, valid.1.lines().count(), valid.2.as_str()), (Some(0), 4, ""), "{valid:?}");
        let folder = std::env::temp_dir().join(format!("foxhold-check-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let file = |name: &str, text: &str| {
            std::fs::write(folder.join(name), text).expect("a file");
            folder.join(name).display().to_string()
        };
        let config = include_str!("../examples/config.json").replace("\"idempotent\"", "\"sometimes\"");
        let files = [
            file("config.json", &config),
            file("a.yaml", "log: {form: red}\n"),
            file("b.yaml", "signed: {listen: '127.0.0.1:1', keys: keys.json}\n"),
            file("c.yaml", "peers: {listen: '127.0.0.1:1', name: a, fleet: toy, key: short.key}\n"),
            file("short.key", "AAAA\n"),
            file("keys.json", "{"),
        ];
        let invalid = run_foxhold(&["check", &files[0], &files[1], &files[2], &files[3], "/nowhere.yaml"]);
        std::fs::remove_dir_all(&folder).expect("the folder");
        assert_eq!((invalid.0, invalid.1.as_str()), (Some(2), ""), "{invalid:?}");
        let faults: Vec<&str> = invalid.2.lines().collect();
        assert_eq!(faults.len(), 5, "{faults:?}");
        let expected =
            ["sometimes", "line 1", "keys.json", "short.key: line 1: key of 3 bytes", "/nowhere.yaml"];
        assert!(faults.iter().zip(expected).all(|(fault, expected)| fault.contains(expected)), "{faults:?}");
    }

    /// Runs the program against an admin endpoint that answers one call.
    #[cfg(feature = "peers")]
    #[test]
    fn peers_are_printed_as_a_table_and_the_error_names_an_unreachable_admin_endpoint() {
        use std::io::{BufRead, BufReader, Write};
        let status = r#"{"name":"a","address":"127.0.0.1:1","incarnation":1,"stage":"caught up","bytes":9,
            "entries":{"purges":3},"gone":["c at x"],
            "peers":[{"name":"b","address":"127.0.0.1:2","heard_ms":12,"alike_ms":null}],
            "twins":[],"counts":{"taken":3,"known":0},"turned_down":{"seal":2}}"#
            .replace('\n', "");
        let endpoint = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = endpoint.local_addr().expect("an address").to_string();
        let call = std::thread::spawn(move || {
            let (mut stream, _) = endpoint.accept().expect("a caller");
            let mut call = String::new();
            BufReader::new(&stream).read_line(&mut call).expect("a call");
            stream.write_all(format!("{status}\nEND\n").as_bytes()).expect("a reader");
            call
        });
        let (code, text, error) = run_foxhold(&["peers", "--door", &address]);
        assert_eq!((code, call.join().expect("a call").as_str()), (Some(0), "peers\n"), "{error}");
        for expected in
            ["a at 127.0.0.1:1, caught up: 3 purges", "gone: c at x", "counted: taken 3", "down: seal 2"]
        {
            assert!(text.contains(expected), "{text}");
        }
        assert!(
            text.lines().any(|l| l.starts_with("b ") && l.contains(" 12 ") && l.ends_with('-')),
            "{text}"
        );
        let (code, _, error) = run_foxhold(&["drain", "cache-1", "--door", &address]);
        assert!(code == Some(2) && error.contains(&format!("admin endpoint at {address}")), "{error}");
    }

    #[test]
    fn help_and_version_need_no_configuration() {
        assert!(run_foxhold(&["--help"]).1.contains("ROUTER_CONFIG"));
        assert_eq!(run_foxhold(&["--version"]).1.trim(), concat!("foxhold ", env!("CARGO_PKG_VERSION")));
        let (code, _, error) = run_foxhold(&["serve"]);
        assert_eq!((code, error.lines().count()), (Some(1), 1), "{error}");
    }
}
