//! Routes: selection of a service, or of weighted variants, by the host of a request and the
//! longest matching prefix of its path.

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

const MAX_TRIES_DEFAULT: u32 = 1;

/// Default limit on the connections to a server.
const MAX_CONNECTIONS_DEFAULT: u32 = 64;

/// How a request may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// The request may be executed more than once.
    Pure,
    /// The request is executed at most once per attempt.
    Effectful,
    /// The response is a stream of events; the request is executed at most once per attempt.
    Stream,
}

/// A route: the requests that it matches, and how they are served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the matching requests, without a port.
    pub host: String,
    /// Prefix of the matching paths; it begins and ends with a slash.
    pub prefix: String,
    /// How a request may be executed.
    pub mode: Mode,
    /// Names of the services that serve the route, with their weights.
    pub variants: Vec<(String, u64)>,
    /// Longest time until the response, in ms.
    pub timeout_ms: u64,
    /// Target time for the response, in ms; 0 if it is not stated.
    #[serde(default)]
    pub target_ms: u64,
    /// Limit on the servers that one attempt of a caller may be sent to.
    #[serde(default = "default_max_tries")]
    pub max_tries: u32,
    /// Priority; 0 is the highest.
    #[serde(default)]
    pub rank: u8,
    /// Whether the tier stores the conversation, so that a turn contains only its new input.
    #[serde(default)]
    pub retained: bool,
    /// Time for which the conversation is retained after its last turn, in ms.
    #[serde(default)]
    pub retain_ms: u64,
    /// Whether a server that has recently processed segments of the request's prompt, or its
    /// affinity key, is faster.
    #[serde(default)]
    pub pinned: bool,
    /// Whether a stream can be resumed on another server. Needs `max_tries` above 1.
    #[serde(default)]
    pub resumable: bool,
    /// Longest time between two events of a stream, in ms; 0 if it is not stated.
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
    /// Number of jobs that a server runs concurrently.
    pub slots: u32,
    /// Size of a server's cache in tokens.
    pub cache_tokens: u64,
    /// Bytes of KV cache per token.
    pub token_bytes: u64,
    /// Number of tokens in each event of a stream.
    pub tokens_per_event: u64,
}

/// A service that routes send requests to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name of the service.
    pub name: String,
    /// Limit on the connections from all fronts together to one server.
    #[serde(default = "default_max_connections")]
    pub max_conns: u32,
    /// The model engine of its servers; `None` if they have none.
    #[serde(default)]
    pub engine: Option<Engine>,
}

fn default_max_connections() -> u32 {
    MAX_CONNECTIONS_DEFAULT
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Time within which a head must be received, in ms.
    pub head_ms: u64,
    /// Time for which an idle connection is kept open, in ms.
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
    /// Limits on the requests and connections of callers.
    pub limits: Limits,
    /// Indices of each host's routes, longest prefix first. Hosts are in lower case.
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
    /// Indexes routes without validating them; see [`Routes::validation_errors`].
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

    /// The route of a request: among the routes of its host, the one with the longest matching
    /// prefix. The path is compared byte by byte as it was sent; a port after the host is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host).to_ascii_lowercase();
        self.by_host
            .get(&host)?
            .iter()
            .map(|index| &self.routes[*index])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// The invalid settings: their paths in the routing, and the reasons.
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
            .map(|(_, key, reason)| (format!("routes/{}/{key}", route.name), reason.to_string()))
            .collect()
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
