//! Decodes the settings that a router is told at its start: one decoder for the adapter and the daemon.

use crate::policy::types::*;
use miniserde::json::{self, Number, Value};
use std::time::Duration;

type Parsed<T> = Result<T, String>;

/// Microseconds of a time told in milliseconds; a negative one counts as none.
pub(crate) fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

/// A JSON number, whichever way it was written.
pub(crate) fn real(value: &Value) -> Option<f64> {
    match value {
        Value::Number(Number::U64(n)) => Some(*n as f64),
        Value::Number(Number::I64(n)) => Some(*n as f64),
        Value::Number(Number::F64(n)) => Some(*n),
        _ => None,
    }
}

fn flag(value: &Value) -> Option<bool> {
    match value {
        Value::Bool(b) => Some(*b),
        _ => None,
    }
}

/// A JSON text.
pub(crate) fn text(value: &Value) -> Option<&str> {
    match value {
        Value::String(s) => Some(s),
        _ => None,
    }
}

/// A JSON settings object with plain messages for what is wrong in it.
struct Params<'a>(&'a Value, &'a str);

impl<'a> Params<'a> {
    fn bad(&self, key: &str, why: &str) -> String {
        format!("key '{}{key}': {why}", self.1)
    }

    fn get(&self, key: &str) -> Option<&'a Value> {
        match self.0 {
            Value::Object(object) => object.get(key).filter(|v| !matches!(v, Value::Null)),
            _ => None,
        }
    }

    fn part(&self, key: &str, path: &'a str) -> Parsed<Params<'a>> {
        match self.get(key) {
            None => Ok(Params(&Value::Null, path)),
            Some(v) if matches!(v, Value::Object(_)) => Ok(Params(v, path)),
            Some(_) => Err(self.bad(key, "not an object")),
        }
    }

    fn real(&self, key: &str, none: f64) -> Parsed<f64> {
        match self.get(key) {
            None => Ok(none),
            Some(v) => real(v).ok_or_else(|| self.bad(key, "not a number")),
        }
    }

    fn time(&self, key: &str, none: f64) -> Parsed<Micros> {
        Ok(micros(self.real(key, none)?))
    }

    fn flag(&self, key: &str) -> Parsed<bool> {
        match self.get(key) {
            None => Ok(false),
            Some(v) => flag(v).ok_or_else(|| self.bad(key, "neither true nor false")),
        }
    }

    fn text(&self, key: &str, none: &'static str) -> Parsed<&'a str> {
        match self.get(key) {
            None => Ok(none),
            Some(v) => text(v).ok_or_else(|| self.bad(key, "not a text")),
        }
    }

    fn list(&self, key: &str) -> Parsed<&'a [Value]> {
        match self.get(key) {
            None => Ok(&[]),
            Some(Value::Array(list)) => Ok(list),
            Some(_) => Err(self.bad(key, "not a list")),
        }
    }

    fn reals(&self, key: &str) -> Parsed<Vec<f64>> {
        let one = |v: &Value| real(v).ok_or_else(|| self.bad(key, "holds something that is not a number"));
        self.list(key)?.iter().map(one).collect()
    }

    fn flags(&self, key: &str) -> Parsed<Vec<bool>> {
        let one = |v: &Value| flag(v).ok_or_else(|| self.bad(key, "holds something that is not a bool"));
        self.list(key)?.iter().map(one).collect()
    }

    fn texts(&self, key: &str) -> Parsed<Vec<String>> {
        let one =
            |v: &Value| text(v).map(str::to_owned).ok_or_else(|| self.bad(key, "holds something but text"));
        self.list(key)?.iter().map(one).collect()
    }

    fn one_of<T: Copy>(&self, key: &str, none: T, known: &[(&str, T)]) -> Parsed<T> {
        let Some(value) = self.get(key) else { return Ok(none) };
        let found = known.iter().find(|(name, _)| text(value) == Some(name));
        found.map(|(_, v)| *v).ok_or_else(|| self.bad(key, &format!("{value:?} is not known")))
    }
}

/// Reads a router's settings from their JSON text. Keys that are not known are passed over.
pub fn parse_settings(text: &str) -> Result<Settings, String> {
    decode_settings(&json::from_str(text).map_err(|_| "not JSON")?)
}

/// Reads a router's settings from their JSON object.
pub fn decode_settings(json: &Value) -> Result<Settings, String> {
    if !matches!(json, Value::Object(_)) {
        return Err("not an object".into());
    }
    let sections = Sections::new(json)?;
    let classes = decode_classes(&sections)?;
    sections.settings(classes)
}

/// The objects of the settings that hold more than one value.
struct Sections<'a> {
    top: Params<'a>,
    info: Params<'a>,
    bounds: Params<'a>,
    rules: Params<'a>,
}

impl<'a> Sections<'a> {
    fn new(json: &'a Value) -> Parsed<Sections<'a>> {
        let top = Params(json, "");
        let info = top.part("familyInfo", "familyInfo.")?;
        let bounds = top.part("bounds", "bounds.")?;
        let rules = top.part("rules", "rules.")?;
        Ok(Sections { top, info, bounds, rules })
    }

    /// All settings. Values are decoded in the order of the fields: the first fault is the one reported.
    fn settings(&self, classes: Vec<Class>) -> Parsed<Settings> {
        let Sections { top, info, bounds, rules } = self;
        let (zones, zone) = decode_zones(top)?;
        let parent = info.real("midKind", -1.0)?;
        let overload_window = rules.time("overloadForMs", 0.0)?;
        Ok(Settings {
            classes,
            kinds: top.texts("kinds")?,
            parent_kind: (parent >= 0.0).then_some(parent as usize),
            origin_kind: info.real("storeKind", f64::MAX)? as usize,
            zones,
            zone,
            routers_by_zone: info.reals("instancesByZone")?.iter().map(|n| *n as u32).collect(),
            routers: top.real("balancers", 1.0)? as u32,
            zone_link_kb_per_s: info.reals("inletKbPerS")?,
            transfer_kb_per_s: info.real("flowKbPerS", 0.0)?,
            sizes_known: matches!(top.text("weights", "off")?, "nominal" | "rough"),
            poll_members: top.text("discovery", "push")? == "ask",
            can_cancel: bounds.flag("cancel")?,
            hedging: bounds.flag("secondCopies")?,
            retry_after: bounds.flag("retryAfter")?,
            max_retry_after: bounds.time("maxRetryAfterMs", 0.0)?,
            max_attempts: bounds.real("maxAttempts", 0.0)? as u32,
            health_checks: bounds.flag("probes")?,
            peer_messages: bounds.flag("peers")?,
            load_report: top.part("report", "report.")?.texts("names")?,
            direct_requests: info.flag("passThroughOk")?,
            request_collapsing: info.flag("collapses")?,
            siblings: info.one_of("peersFill", Siblings::None, &SIBLINGS)?,
            cache_status_level: info.one_of("noteLevel", CacheStatusLevel::None, &NOTES)?,
            drain_grace: rules.time("stopSendingWithinMs", 0.0)?,
            cache_slow_start: decode_cold_cache(rules, overload_window)?,
            parent_slow_start: decode_cold_parent(info, overload_window)?,
            purge_grace: info.time("purgeGraceMs", 0.0)?,
            purge_complete_within: info.time("purgeDoneMs", 0.0)?,
        })
    }
}

/// Values of `keyScope`.
const KEY_SCOPES: [(&str, KeyScope); 3] =
    [("all", KeyScope::All), ("zone", KeyScope::Zone), ("cell", KeyScope::Cell)];
/// Values of `peersFill`.
const SIBLINGS: [(&str, Siblings); 3] =
    [("off", Siblings::None), ("location", Siblings::Zone), ("any", Siblings::Any)];
/// Values of `noteLevel`.
const NOTES: [(&str, CacheStatusLevel); 3] =
    [("off", CacheStatusLevel::None), ("hit", CacheStatusLevel::Hit), ("all", CacheStatusLevel::All)];

/// The zones' names, and the place of this router's own among them.
fn decode_zones(top: &Params) -> Parsed<(Vec<String>, usize)> {
    let zones = top.texts("zones")?;
    let own = top.text("zone", "")?;
    let place = zones.iter().position(|zone| zone == own);
    let place = place.ok_or_else(|| top.bad("zone", "not among 'zones'"))?;
    Ok((zones, place))
}

fn decode_cold_cache(rules: &Params, window: Micros) -> Parsed<SlowStartRule> {
    Ok(SlowStartRule {
        initial_capacity_share: rules.real("coldFrom", 0.0)?,
        warm_up_time: rules.time("warmWithinMs", 0.0)?,
        overload_multiple: rules.real("fallMultiple", 0.0)?,
        overload_window: window,
    })
}

fn decode_cold_parent(info: &Params, window: Micros) -> Parsed<SlowStartRule> {
    Ok(SlowStartRule {
        initial_capacity_share: info.real("parentFloor", 0.0)?,
        warm_up_time: info.time("parentWarmsInMs", 0.0)?,
        overload_multiple: info.real("parentLimitFactor", 0.0)?,
        overload_window: window,
    })
}

/// Lists of `familyInfo` with one value for each class.
struct ClassLists {
    lifetimes_ms: Vec<f64>,
    graces_ms: Vec<f64>,
    writes: Vec<bool>,
    stale_shares: Vec<f64>,
}

fn decode_classes(sections: &Sections) -> Parsed<Vec<Class>> {
    let info = &sections.info;
    let lists = ClassLists {
        lifetimes_ms: info.reals("lifetimeByClassMs")?,
        graces_ms: info.reals("classGraceMs")?,
        writes: info.flags("passOn")?,
        stale_shares: info.reals("worthWhenOld")?,
    };
    let services = sections.top.list("services")?.iter().enumerate();
    services.map(|(i, value)| decode_class(&Params(value, "services[]."), i, &lists)).collect()
}

fn decode_class(class: &Params, index: usize, lists: &ClassLists) -> Parsed<Class> {
    let keyed = Idempotency::IdempotencyKey {
        scope: class.one_of("keyScope", KeyScope::All, &KEY_SCOPES)?,
        window: class.time("windowMs", 0.0)?,
    };
    let effects = [
        ("idempotent", Idempotency::Idempotent),
        ("deduplicated", keyed),
        ("at_most_once", Idempotency::AtMostOnce),
    ];
    if class.get("name").is_none() {
        return Err(class.bad("name", "missing"));
    }
    Ok(Class {
        name: class.text("name", "")?.to_owned(),
        latency_objective: class.time("aimMs", 0.0)?,
        objective_stretch: class.real("aimStretch", 0.0)?,
        deadline: class.time("deadlineMs", 0.0)?,
        priority_weight: class.real("worth", 1.0)?,
        late_weight_share: class.real("lateShare", 0.0)?,
        idempotency: class.one_of("effect", Idempotency::AtMostOnce, &effects)?,
        freshness_lifetime: micros(lists.lifetimes_ms.get(index).copied().unwrap_or(0.0)),
        stale_grace: micros(lists.graces_ms.get(index).copied().unwrap_or(0.0)),
        stale_weight_share: lists.stale_shares.get(index).copied().unwrap_or(1.0),
        write: lists.writes.get(index).copied().unwrap_or(false),
        retired: false,
    })
}

/// Turns down settings by which requests can't be held to anything: without a class, or with a deadline or a
/// number of attempts that is no number above 0.
pub(crate) fn check_limits(json: &Value) -> Result<(), String> {
    let top = Params(json, "");
    let services = top.list("services")?;
    let above_0 = |params: &Params, key| match params.get(key).map(real) {
        Some(Some(number)) if number > 0.0 => Ok(()),
        _ => Err(params.bad(key, "not a number above 0")),
    };
    if services.is_empty() {
        return Err(top.bad("services", "holds no class"));
    }
    services.iter().try_for_each(|class| above_0(&Params(class, "services[]."), "deadlineMs"))?;
    above_0(&top.part("bounds", "bounds.")?, "maxAttempts")
}

/// What the settings say of connections to servers; only the daemon reads it.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionSettings {
    /// A connection that is not up by then has failed.
    pub connect_timeout: Duration,
    /// Servers close connections that were idle this long.
    pub idle_timeout: Duration,
    /// Attempts that one connection carries at a time.
    pub max_streams: usize,
}

impl Default for ConnectionSettings {
    /// The usual values.
    fn default() -> Self {
        let (connect_timeout, idle) = (Duration::from_millis(400), Duration::from_secs(30));
        ConnectionSettings { connect_timeout, idle_timeout: idle, max_streams: 100 }
    }
}

/// Reads the part of the settings that concerns connections; what is not told gets its usual value.
pub fn decode_connection_settings(json: &Value) -> Result<ConnectionSettings, String> {
    let bounds = Params(json, "").part("bounds", "bounds.")?;
    let usual = ConnectionSettings::default();
    let time = |key, usual: Duration| bounds.time(key, usual.as_millis() as f64).map(Duration::from_micros);
    Ok(ConnectionSettings {
        connect_timeout: time("connectTimeoutMs", usual.connect_timeout)?,
        idle_timeout: time("connIdleMs", usual.idle_timeout)?,
        max_streams: bounds.real("streamsPerConn", usual.max_streams as f64)?.max(1.0) as usize,
    })
}
