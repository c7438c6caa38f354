//! The log filter: levels by module, under the modules' current names and those of earlier versions.
#![cfg(feature = "cli")]

use foxhold::log::parse_filter;
use tracing::Level;

#[test]
fn module_names_of_earlier_versions_select_the_renamed_modules() {
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
fn an_alias_applies_to_submodules_but_not_to_longer_names() {
    let filter = parse_filter("foxhold::core::actor=debug,foxhold::corelike=debug").expect("a filter");
    assert!(filter.would_enable("foxhold::dispatch::actor", &Level::DEBUG));
    assert!(!filter.would_enable("foxhold::dispatch::clock", &Level::ERROR));
    assert!(filter.would_enable("foxhold::corelike", &Level::DEBUG));
}

#[test]
fn a_level_alone_applies_to_every_module() {
    let filter = parse_filter("info").expect("a filter");
    assert!(filter.would_enable("foxhold::dispatch", &Level::INFO));
    assert!(!filter.would_enable("foxhold::dispatch", &Level::DEBUG));
}

#[test]
fn the_error_for_an_invalid_level_names_it() {
    let error = parse_filter("foxhold=loud").expect_err("an invalid level");
    assert!(error.to_string().starts_with("log level 'foxhold=loud': "), "{error}");
}
