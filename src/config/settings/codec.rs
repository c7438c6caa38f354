//! Codec of the settings that the platform sends to a router, used by the simulator's host and the daemon.
//! The keys are used in this module only.
//!
//! Times are in milliseconds in the JSON text and in microseconds in [`Settings`]. Unknown keys are ignored.
//!
//! | key | decoded as a field of [`Settings`], or of the type that is named |
//! | --- | --- |
//! | `services[]` | [`Settings::classes`] |
//! | `services[].aimMs`, `aimStretch` | [`Class::latency_objective`], `objective_stretch` |
//! | `services[].worth`, `lateShare` | [`Class::priority_weight`], `late_weight_share` |
//! | `services[].effect`: `idempotent`, `deduplicated`, `at_most_once` | [`Class::idempotency`] |
//! | `services[].keyScope`, `windowMs` | `scope` and `window` of [`Idempotency::IdempotencyKey`] |
//! | `familyInfo.lifetimeByClassMs`, `classGraceMs` | `freshness_lifetime`, `stale_grace` by class |
//! | `familyInfo.worthWhenOld`, `passOn` | `stale_weight_share`, `write` by class |
//! | `familyInfo.midKind`, `storeKind` | `parent_kind`, `origin_kind` |
//! | `familyInfo.instancesByZone`, `balancers` | `routers_by_zone`, `routers` |
//! | `familyInfo.inletKbPerS`, `flowKbPerS` | `zone_link_kb_per_s`, `transfer_kb_per_s` |
//! | `weights`: `nominal` or `rough` | `sizes_known` |
//! | `discovery`: `ask` | `poll_members` |
//! | `bounds.cancel`, `secondCopies` | `can_cancel`, `hedging` |
//! | `bounds.probes`, `peers` | `health_checks`, `peer_messages` |
//! | `bounds.retryAfter`, `maxRetryAfterMs` | `retry_after`, `max_retry_after` |
//! | `bounds.connectTimeoutMs`, `connIdleMs`, `streamsPerConn` | [`ConnectionSettings`] |
//! | `report.names` | `load_report` |
//! | `familyInfo.passThroughOk`, `collapses` | `direct_requests`, `request_collapsing` |
//! | `familyInfo.peersFill`: `off`, `location`, `any` | `siblings` |
//! | `familyInfo.noteLevel`: `off`, `hit`, `all` | `cache_status_level` |
//! | `rules.stopSendingWithinMs` | `drain_grace` |
//! | `rules.coldFrom`, `warmWithinMs`, `fallMultiple`, `overloadForMs` | `cache_slow_start` |
//! | `familyInfo.parentFloor`, `parentWarmsInMs`, `parentLimitFactor` | `parent_slow_start` |
//! | `familyInfo.purgeGraceMs`, `purgeDoneMs` | `purge_grace`, `purge_complete_within` |

use super::connections::ConnectionSettings;
use super::error::{KeyFault, SettingsDecodeError};
use super::json::{micros, real, JsonObject};
use crate::policy::types::{
    CacheStatusLevel, Class, Idempotency, KeyScope, Micros, Settings, Siblings, SlowStartRule,
};
use miniserde::json::{self, Value};
use std::time::Duration;

type Result<T> = std::result::Result<T, SettingsDecodeError>;

/// Value of `effect` for classes whose repeats the caches recognize.
const DEDUPLICATED: &str = "deduplicated";
/// Values of `keyScope`.
const KEY_SCOPES: [(&str, KeyScope); 3] =
    [("all", KeyScope::All), ("zone", KeyScope::Zone), ("cell", KeyScope::Cell)];
/// Values of `peersFill`.
const SIBLINGS: [(&str, Siblings); 3] =
    [("off", Siblings::None), ("location", Siblings::Zone), ("any", Siblings::Any)];
/// Values of `noteLevel`.
const CACHE_STATUS_LEVELS: [(&str, CacheStatusLevel); 3] =
    [("off", CacheStatusLevel::None), ("hit", CacheStatusLevel::Hit), ("all", CacheStatusLevel::All)];

/// Decodes a router's settings from their JSON text.
pub fn parse_settings(text: &str) -> Result<Settings> {
    decode_settings(&json::from_str(text).map_err(|_| SettingsDecodeError::NotJson)?)
}

/// Decodes a router's settings from their JSON object.
pub fn decode_settings(json: &Value) -> Result<Settings> {
    if !matches!(json, Value::Object(_)) {
        return Err(SettingsDecodeError::NotAnObject);
    }
    let sections = Sections::new(json)?;
    let classes = decode_classes(&sections)?;
    sections.settings(classes)
}

/// The objects that hold the settings.
struct Sections<'a> {
    top: JsonObject<'a>,
    info: JsonObject<'a>,
    bounds: JsonObject<'a>,
    rules: JsonObject<'a>,
}

impl<'a> Sections<'a> {
    fn new(json: &'a Value) -> Result<Sections<'a>> {
        let top = JsonObject::new(json, "");
        let info = top.object("familyInfo", "familyInfo.")?;
        let bounds = top.object("bounds", "bounds.")?;
        let rules = top.object("rules", "rules.")?;
        Ok(Sections { top, info, bounds, rules })
    }

    /// Decodes all settings in the order of the fields and returns the first error.
    fn settings(&self, classes: Vec<Class>) -> Result<Settings> {
        let Sections { top, info, bounds, rules } = self;
        let (zones, zone) = decode_zones(top)?;
        let parent = info.number("midKind", -1.0)?;
        let overload_window = rules.time("overloadForMs", 0.0)?;
        Ok(Settings {
            classes,
            kinds: top.strings("kinds")?,
            parent_kind: (parent >= 0.0).then_some(parent as usize),
            origin_kind: info.number("storeKind", f64::MAX)? as usize,
            zones,
            zone,
            routers_by_zone: info.numbers("instancesByZone")?.iter().map(|n| *n as u32).collect(),
            routers: top.number("balancers", 1.0)? as u32,
            zone_link_kb_per_s: info.numbers("inletKbPerS")?,
            transfer_kb_per_s: info.number("flowKbPerS", 0.0)?,
            sizes_known: matches!(top.string("weights", "off")?, "nominal" | "rough"),
            poll_members: top.string("discovery", "push")? == "ask",
            can_cancel: bounds.boolean("cancel")?,
            hedging: bounds.boolean("secondCopies")?,
            retry_after: bounds.boolean("retryAfter")?,
            max_retry_after: bounds.time("maxRetryAfterMs", 0.0)?,
            max_attempts: bounds.number("maxAttempts", 0.0)? as u32,
            health_checks: bounds.boolean("probes")?,
            peer_messages: bounds.boolean("peers")?,
            load_report: top.object("report", "report.")?.strings("names")?,
            direct_requests: info.boolean("passThroughOk")?,
            request_collapsing: info.boolean("collapses")?,
            siblings: info.one_of("peersFill", Siblings::None, &SIBLINGS)?,
            cache_status_level: info.one_of("noteLevel", CacheStatusLevel::None, &CACHE_STATUS_LEVELS)?,
            drain_grace: rules.time("stopSendingWithinMs", 0.0)?,
            cache_slow_start: decode_cache_slow_start(rules, overload_window)?,
            parent_slow_start: decode_parent_slow_start(info, overload_window)?,
            purge_grace: info.time("purgeGraceMs", 0.0)?,
            purge_complete_within: info.time("purgeDoneMs", 0.0)?,
        })
    }
}

/// Returns the names of all zones, and the index of this router's zone among them.
fn decode_zones(top: &JsonObject) -> Result<(Vec<String>, usize)> {
    let zones = top.strings("zones")?;
    let own = top.string("zone", "")?;
    let index = zones.iter().position(|zone| zone == own);
    let index = index.ok_or_else(|| top.error("zone", KeyFault::UnknownZone))?;
    Ok((zones, index))
}

fn decode_cache_slow_start(rules: &JsonObject, overload_window: Micros) -> Result<SlowStartRule> {
    Ok(SlowStartRule {
        initial_capacity_share: rules.number("coldFrom", 0.0)?,
        warm_up_time: rules.time("warmWithinMs", 0.0)?,
        overload_multiple: rules.number("fallMultiple", 0.0)?,
        overload_window,
    })
}

fn decode_parent_slow_start(info: &JsonObject, overload_window: Micros) -> Result<SlowStartRule> {
    Ok(SlowStartRule {
        initial_capacity_share: info.number("parentFloor", 0.0)?,
        warm_up_time: info.time("parentWarmsInMs", 0.0)?,
        overload_multiple: info.number("parentLimitFactor", 0.0)?,
        overload_window,
    })
}

/// Lists that have one value per class, in the order of the classes.
struct ClassLists {
    freshness_lifetimes_ms: Vec<f64>,
    stale_graces_ms: Vec<f64>,
    writes: Vec<bool>,
    stale_weight_shares: Vec<f64>,
}

fn decode_classes(sections: &Sections) -> Result<Vec<Class>> {
    let info = &sections.info;
    let lists = ClassLists {
        freshness_lifetimes_ms: info.numbers("lifetimeByClassMs")?,
        stale_graces_ms: info.numbers("classGraceMs")?,
        writes: info.booleans("passOn")?,
        stale_weight_shares: info.numbers("worthWhenOld")?,
    };
    let classes = sections.top.list("services")?.iter().enumerate();
    classes.map(|(index, value)| decode_class(&class_object(value), index, &lists)).collect()
}

fn class_object(value: &Value) -> JsonObject<'_> {
    JsonObject::new(value, "services[].")
}

fn decode_class(class: &JsonObject, index: usize, lists: &ClassLists) -> Result<Class> {
    let with_key = Idempotency::IdempotencyKey {
        // Without the key, the narrowest scope: caches outside the true scope would run a repeat again.
        scope: class.one_of("keyScope", KeyScope::Cell, &KEY_SCOPES)?,
        window: class.time("windowMs", 0.0)?,
    };
    let effects = [
        ("idempotent", Idempotency::Idempotent),
        (DEDUPLICATED, with_key),
        ("at_most_once", Idempotency::AtMostOnce),
    ];
    if class.get("name").is_none() {
        return Err(class.error("name", KeyFault::Missing));
    }
    let at_index = |list: &[f64], default| list.get(index).copied().unwrap_or(default);
    Ok(Class {
        name: class.string("name", "")?.to_owned(),
        latency_objective: class.time("aimMs", 0.0)?,
        objective_stretch: class.number("aimStretch", 0.0)?,
        deadline: class.time("deadlineMs", 0.0)?,
        priority_weight: class.number("worth", 1.0)?,
        late_weight_share: class.number("lateShare", 0.0)?,
        idempotency: class.one_of("effect", Idempotency::AtMostOnce, &effects)?,
        freshness_lifetime: micros(at_index(&lists.freshness_lifetimes_ms, 0.0)),
        stale_grace: micros(at_index(&lists.stale_graces_ms, 0.0)),
        stale_weight_share: at_index(&lists.stale_weight_shares, 1.0),
        write: lists.writes.get(index).copied().unwrap_or(false),
    })
}

/// Returns an error for settings that leave requests or their repeats without limits: those without a class,
/// with a deadline or a maximum number of attempts that is missing or not above 0, or with a class whose
/// repeats are deduplicated but that has no scope or window for them.
pub(crate) fn check_limits(json: &Value) -> Result<()> {
    let top = JsonObject::new(json, "");
    let classes = top.list("services")?;
    if classes.is_empty() {
        return Err(top.error("services", KeyFault::NoClass));
    }
    for class in classes.iter().map(class_object) {
        check_positive(&class, "deadlineMs")?;
        check_deduplication(&class)?;
    }
    check_positive(&top.object("bounds", "bounds.")?, "maxAttempts")
}

fn check_deduplication(class: &JsonObject) -> Result<()> {
    if class.string("effect", "")? != DEDUPLICATED {
        return Ok(());
    }
    let missing = ["keyScope", "windowMs"].into_iter().find(|key| class.get(key).is_none());
    missing.map_or(Ok(()), |key| Err(class.error(key, KeyFault::Missing)))
}

fn check_positive(object: &JsonObject, key: &str) -> Result<()> {
    match object.get(key).map(real) {
        Some(Some(number)) if number > 0.0 => Ok(()),
        _ => Err(object.error(key, KeyFault::NotPositive)),
    }
}

/// Decodes the settings of connections, which only the daemon uses. An absent setting has its default value.
pub fn decode_connection_settings(json: &Value) -> Result<ConnectionSettings> {
    let bounds = JsonObject::new(json, "").object("bounds", "bounds.")?;
    let default = ConnectionSettings::default();
    let time =
        |key, default: Duration| bounds.time(key, default.as_millis() as f64).map(Duration::from_micros);
    Ok(ConnectionSettings {
        connect_timeout: time("connectTimeoutMs", default.connect_timeout)?,
        idle_timeout: time("connIdleMs", default.idle_timeout)?,
        max_streams: bounds.number("streamsPerConn", default.max_streams as f64)?.max(1.0) as usize,
    })
}
