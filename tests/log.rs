//! The log's filter: levels by module, under the modules' present names and those of earlier versions.
#![cfg(feature = "cli")]

use foxhold::log::parse_filter;
use tracing::Level;

#[test]
fn names_of_earlier_versions_select_the_modules_that_they_have_become() {
    for (alias, module) in [
        ("foxhold::core", "foxhold::dispatch"),
        ("foxhold::decide", "foxhold::policy"),
        ("foxhold::fronts", "foxhold::frontend"),
        ("foxhold::operator", "foxhold::config::operator"),
        ("foxhold::peers", "foxhold::cluster"),
        ("foxhold::replica", "foxhold::replication"),
        ("foxhold::settings", "foxhold::config::settings"),
        ("foxhold::sources", "foxhold::discovery"),
        ("foxhold::transport", "foxhold::upstream"),
        ("foxhold::wire", "foxhold::simulator"),
    ] {
        for name in [alias, module] {
            let filter = parse_filter(&format!("warn,{name}=debug")).expect("a filter");
            assert!(filter.would_enable(module, &Level::DEBUG), "{name}");
            assert!(filter.would_enable(&format!("{module}::part"), &Level::DEBUG), "{name}");
            assert!(!filter.would_enable("foxhold::daemon", &Level::INFO), "{name}");
            assert!(filter.would_enable("foxhold::daemon", &Level::WARN), "{name}");
        }
    }
}

#[test]
fn an_alias_holds_for_submodules_and_for_whole_names_only() {
    let filter = parse_filter("foxhold::core::actor=debug,foxhold::corelike=debug").expect("a filter");
    assert!(filter.would_enable("foxhold::dispatch::actor", &Level::DEBUG));
    assert!(!filter.would_enable("foxhold::dispatch::clock", &Level::ERROR));
    assert!(filter.would_enable("foxhold::corelike", &Level::DEBUG));
}

#[test]
fn a_level_alone_holds_for_every_module() {
    let filter = parse_filter("info").expect("a filter");
    assert!(filter.would_enable("foxhold::dispatch", &Level::INFO));
    assert!(!filter.would_enable("foxhold::dispatch", &Level::DEBUG));
}

#[test]
fn a_level_that_can_not_be_read_is_named() {
    let error = parse_filter("foxhold=loud").expect_err("no level");
    assert!(error.to_string().starts_with("log level 'foxhold=loud': "), "{error}");
}
