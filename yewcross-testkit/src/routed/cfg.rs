//! The sequence of routing configurations that the simulated operator puts.

use super::caller::{HOST, RouteSpec};
use super::{MAX_TRIES, TOKENS_PER_EVENT};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use yewcross_common::configuration::route::Mode;

/// A configuration that the operator put.
#[derive(Clone, Debug, Default)]
pub struct ConfigVersion {
    /// Version number that the tier assigned; 0 until an acknowledgement states it.
    pub number: u64,
    /// Time in us at which the operator first sent it.
    pub sent_at: u64,
    /// Time in us at which the tier acknowledged it.
    pub acknowledged_at: Option<u64>,
    pub text: String,
    /// Services that each route may be sent to, by the route's name.
    pub services: BTreeMap<String, Vec<String>>,
}

/// Services, each with its number of servers.
pub const SERVICES: [(&str, usize); 4] = [("read", 3), ("write", 3), ("spare", 2), ("model", 3)];

/// The routes that every configuration contains.
pub fn base_routes() -> Vec<RouteSpec> {
    let route = |name: &str, mode, retained, deadline_ms| RouteSpec {
        name: name.into(),
        mode,
        retained,
        retain_ms: 60_000,
        deadline_ms,
    };
    vec![
        route("look", Mode::Pure, false, 1500),
        route("do", Mode::Effectful, false, 1500),
        route("tell", Mode::Stream, false, 4000),
        route("talk", Mode::Stream, true, 4000),
    ]
}

/// The `n`th configuration. The routes `look` and `do` cycle through their own service, a split
/// between it and `spare`, and `spare` alone. Every version after the first adds one route.
pub fn nth_version(n: u64) -> ConfigVersion {
    let split = |own: &str, spare: &str| match n % 3 {
        1 => vec![(own.to_string(), 1)],
        2 => vec![(own.to_string(), 1), (spare.to_string(), 1)],
        _ => vec![(spare.to_string(), 1)],
    };
    let mut services: BTreeMap<String, Vec<(String, u64)>> = BTreeMap::new();
    services.insert("look".into(), split("read", "spare"));
    services.insert("do".into(), split("write", "spare"));
    services.insert("tell".into(), vec![("model".into(), 1)]);
    services.insert("talk".into(), vec![("model".into(), 1)]);
    (1..n).for_each(|i| {
        services.insert(format!("more{i}"), vec![("read".into(), 1)]);
    });
    let known_routes = base_routes();
    let routes: Vec<Value> = services
        .iter()
        .map(|(name, variants)| {
            let route = known_routes.iter().find(|route| route.name == *name).cloned().unwrap_or_else(|| RouteSpec { name: name.clone(), ..known_routes[0].clone() });
            json!({"name": name, "host": HOST, "prefix": format!("/{name}/"), "mode": route.mode, "variants": variants,
                "timeout_ms": route.deadline_ms, "target_ms": 300, "max_tries": MAX_TRIES, "retained": route.retained, "retain_ms": route.retain_ms})
        })
        .collect();
    let upstreams: Vec<Value> = SERVICES
        .iter()
        .map(|(service, _)| match *service {
            "model" => json!({"name": service, "max_conns": 256, "engine": {"slots": 8, "cache_tokens": 1_000_000, "token_bytes": 1000, "tokens_per_event": TOKENS_PER_EVENT}}),
            _ => json!({"name": service, "max_conns": 128}),
        })
        .collect();
    let text = json!({"routing": {"routes": routes, "upstreams": upstreams}}).to_string();
    let services = services
        .into_iter()
        .map(|(route, variants)| {
            (
                route,
                variants.into_iter().map(|variant| variant.0).collect(),
            )
        })
        .collect();
    ConfigVersion {
        text,
        services,
        ..ConfigVersion::default()
    }
}
