//! Routes: which service, or weighted variants, takes a request by its host and the longest prefix
//! of its path.

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

const MAX_TRIES_DEFAULT: u32 = 1;

/// Connections to a server.
const MAX_CONNECTIONS_DEFAULT: u32 = 64;

/// How a request may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// May be executed more than once.
    Pure,
    /// Executed at most once in an attempt.
    Effectful,
    /// Answered by a stream of events; executed at most once in an attempt.
    Stream,
}

/// A route: which requests it takes, and how they are served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the requests, without a port.
    pub host: String,
    /// Prefix of the requests' paths; it begins and ends with a slash.
    pub prefix: String,
    /// How a request may be executed.
    pub mode: Mode,
    /// Names of the services that may take it, with their weights.
    pub variants: Vec<(String, u64)>,
    /// ms until the answer, at most.
    pub timeout_ms: u64,
    /// ms within which an answer is wanted; 0 where that is not stated.
    #[serde(default)]
    pub target_ms: u64,
    /// Servers that one attempt of a caller may be sent to.
    #[serde(default = "default_max_tries")]
    pub max_tries: u32,
    /// Priority; 0 is the highest.
    #[serde(default)]
    pub rank: u8,
    /// Whether the tier keeps the conversation: a turn then brings only its new input.
    #[serde(default)]
    pub retained: bool,
    /// ms for which it is kept after its last turn.
    #[serde(default)]
    pub retain_ms: u64,
    /// Whether a server is faster that lately saw segments of the request's prompt, or its affinity
    /// key.
    #[serde(default)]
    pub pinned: bool,
    /// Whether a stream can be resumed on another server. Needs `max_tries` above 1.
    #[serde(default)]
    pub resumable: bool,
    /// ms between two events of a stream, at most; 0 where that is not stated.
    #[serde(default)]
    pub gap_ms: u64,
}

fn default_max_tries() -> u32 {
    MAX_TRIES_DEFAULT
}

/// The model engine of a service's servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Jobs that a server runs at once.
    pub slots: u32,
    /// Tokens that a server's cache holds.
    pub cache_tokens: u64,
    /// Bytes of KV cache for each token.
    pub token_bytes: u64,
    /// Tokens in each event of a stream.
    pub tokens_per_event: u64,
}

/// A service that routes send requests to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name of the service.
    pub name: String,
    /// Connections that a server takes from all fronts together.
    #[serde(default = "default_max_connections")]
    pub max_conns: u32,
    /// Its servers' model engine; none where it has none.
    #[serde(default)]
    pub engine: Option<Engine>,
}

fn default_max_connections() -> u32 {
    MAX_CONNECTIONS_DEFAULT
}

/// Bounds on what a caller may send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Bytes of a request's head, at most.
    pub head_bytes: usize,
    /// Bytes of a request's body, at most.
    pub body_bytes: usize,
    /// ms in which a head must be received.
    pub head_ms: u64,
    /// ms for which an idle connection is kept.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// All routes, indexed by host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, from = "RawRoutes", into = "RawRoutes")]
pub struct Routes {
    /// The routes, in the operators' order.
    pub routes: Vec<Route>,
    /// The services by name.
    pub upstreams: BTreeMap<String, Upstream>,
    /// Bounds on what a caller may send.
    pub limits: Limits,
    /// Indices of each host's routes, longest prefix first; hosts in lower case.
    by_host: HashMap<String, Vec<usize>>,
}

/// The routes as the operators write them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRoutes {
    #[serde(default)]
    routes: Vec<Route>,
    #[serde(default)]
    upstreams: Vec<Upstream>,
    #[serde(default)]
    limits: Limits,
}

impl From<RawRoutes> for Routes {
    fn from(raw: RawRoutes) -> Routes {
        Routes::new(raw.routes, raw.upstreams, raw.limits)
    }
}

impl From<Routes> for RawRoutes {
    fn from(routes: Routes) -> RawRoutes {
        RawRoutes {
            routes: routes.routes,
            upstreams: routes.upstreams.into_values().collect(),
            limits: routes.limits,
        }
    }
}

impl Routes {
    /// Indexes routes. They are not validated, see [`Routes::faults`].
    pub fn new(routes: Vec<Route>, upstreams: Vec<Upstream>, limits: Limits) -> Routes {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|index| Reverse(routes[*index].prefix.len()));
        }
        Routes {
            routes,
            upstreams: upstreams
                .into_iter()
                .map(|upstream| (upstream.name.clone(), upstream))
                .collect(),
            limits,
            by_host,
        }
    }

    /// The route of a request: of those of its host, the one with the longest prefix of the path.
    /// The path is compared byte by byte as it was sent; a port behind the host does not count.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host).to_ascii_lowercase();
        self.by_host
            .get(&host)?
            .iter()
            .map(|index| &self.routes[*index])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// All that is invalid: paths in the routing, and reasons.
    pub fn validation_errors(&self) -> Vec<(String, String)> {
        let mut seen = BTreeSet::new();
        self.routes
            .iter()
            .flat_map(|route| {
                let is_unique = seen.insert((route.host.to_ascii_lowercase(), &route.prefix));
                self.route_errors(route, is_unique)
            })
            .collect()
    }

    fn route_errors(&self, route: &Route, is_unique: bool) -> Vec<(String, String)> {
        let total_weight: u64 = route.variants.iter().map(|(_, weight)| weight).sum();
        let has_known_variants = route
            .variants
            .iter()
            .all(|(service, _)| self.upstreams.contains_key(service));
        let checks = [
            (total_weight > 0, "variants", "the weights sum to 0"),
            (has_known_variants, "variants", "names an unknown service"),
            (route.timeout_ms > 0, "timeout_ms", "must be above 0"),
            (route.max_tries > 0, "max_tries", "must be above 0"),
            (
                route.prefix.starts_with('/') && route.prefix.ends_with('/'),
                "prefix",
                "must begin and end with a slash",
            ),
            (
                is_unique,
                "prefix",
                "another route has this host and prefix",
            ),
        ];
        checks
            .into_iter()
            .filter(|(is_valid, _, _)| !is_valid)
            .map(|(_, key, why)| (format!("routes/{}/{key}", route.name), why.to_string()))
            .collect()
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
