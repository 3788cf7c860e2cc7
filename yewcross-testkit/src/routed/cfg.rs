//! Configurations of routes, one after the other.

use super::caller::{HOST, RouteSpec};
use super::{MAX_TRIES, TOKENS_PER_EVENT};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use yewcross_common::configuration::route::Mode;

/// A configuration that was sent. `number` is the tier's; 0 while it told none.
#[derive(Clone, Debug, Default)]
pub struct ConfigVersion {
    pub number: u64,
    pub sent_at: u64,
    pub acknowledged_at: Option<u64>,
    pub text: String,
    /// Services that each route may go to.
    pub services: BTreeMap<String, Vec<String>>,
}

pub const SERVICES: [(&str, usize); 4] = [("read", 3), ("write", 3), ("spare", 2), ("model", 3)];

pub fn base_routes() -> Vec<RouteSpec> {
    let of = |name: &str, mode, retained, deadline_ms| RouteSpec {
        name: name.into(),
        mode,
        retained,
        retain_ms: 60_000,
        deadline_ms,
    };
    vec![
        of("look", Mode::Pure, false, 1500),
        of("do", Mode::Effectful, false, 1500),
        of("tell", Mode::Stream, false, 4000),
        of("talk", Mode::Stream, true, 4000),
    ]
}

/// The `n`th: plain routes move, split and move back; one route more each time.
pub fn nth_version(n: u64) -> ConfigVersion {
    let split = |a: &str, b: &str| match n % 3 {
        1 => vec![(a.to_string(), 1)],
        2 => vec![(a.to_string(), 1), (b.to_string(), 1)],
        _ => vec![(b.to_string(), 1)],
    };
    let mut to: BTreeMap<String, Vec<(String, u64)>> = BTreeMap::new();
    to.insert("look".into(), split("read", "spare"));
    to.insert("do".into(), split("write", "spare"));
    to.insert("tell".into(), vec![("model".into(), 1)]);
    to.insert("talk".into(), vec![("model".into(), 1)]);
    (1..n).for_each(|i| {
        to.insert(format!("more{i}"), vec![("read".into(), 1)]);
    });
    let all = base_routes();
    let routes: Vec<Value> = to
        .iter()
        .map(|(name, variants)| {
            let k = all.iter().find(|k| k.name == *name).cloned().unwrap_or_else(|| RouteSpec { name: name.clone(), ..all[0].clone() });
            json!({"name": name, "host": HOST, "prefix": format!("/{name}/"), "mode": k.mode, "variants": variants,
                "timeout_ms": k.deadline_ms, "target_ms": 300, "max_tries": MAX_TRIES, "retained": k.retained, "retain_ms": k.retain_ms})
        })
        .collect();
    let ups: Vec<Value> = SERVICES
        .iter()
        .map(|(s, _)| match *s {
            "model" => json!({"name": s, "max_conns": 256, "engine": {"slots": 8, "cache_tokens": 1_000_000, "token_bytes": 1000, "tokens_per_event": TOKENS_PER_EVENT}}),
            _ => json!({"name": s, "max_conns": 128}),
        })
        .collect();
    let text = json!({"routing": {"routes": routes, "upstreams": ups}}).to_string();
    let to = to
        .into_iter()
        .map(|(k, v)| (k, v.into_iter().map(|x| x.0).collect()))
        .collect();
    ConfigVersion {
        text,
        services: to,
        ..ConfigVersion::default()
    }
}
