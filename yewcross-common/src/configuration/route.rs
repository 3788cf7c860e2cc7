//! Routes: which service, or weighted variants, takes a request by its host and the longest prefix
//! of its path.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// May run more than once.
    Pure,
    /// Runs at most once a try.
    Effectful,
    /// A row of events; at most once a try.
    Stream,
}

/// One route. Times are in ms; `variants` holds services with their weights.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub name: String,
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    pub mode: Mode,
    pub variants: Vec<(String, u64)>,
    pub timeout_ms: u64,
    #[serde(default)]
    pub target_ms: u64,
    /// Servers that one try may be sent to.
    #[serde(default = "one")]
    pub max_tries: u32,
    /// 0 is the highest.
    #[serde(default)]
    pub rank: u8,
    /// The tier keeps what was said: a turn brings only its new input.
    #[serde(default)]
    pub retained: bool,
    #[serde(default)]
    pub retain_ms: u64,
    /// A server does the work faster that lately saw the thing that a request concerns: parts of
    /// its prompt, or its affinity key.
    #[serde(default)]
    pub pinned: bool,
    #[serde(default)]
    pub resumable: bool,
    /// Longest pause between events that is still in time; 0 where none is named.
    #[serde(default)]
    pub gap_ms: u64,
}

fn one() -> u32 {
    1
}

/// What is known of a service's model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    pub slots: u32,
    /// Tokens that a server's cache holds.
    pub cache_tokens: u64,
    /// Bytes of KV cache a token.
    pub token_bytes: u64,
    /// Tokens in each event.
    pub tokens_per_event: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    pub name: String,
    /// Connections that a server takes from all callers together.
    #[serde(default = "conns")]
    pub max_conns: u32,
    #[serde(default)]
    pub engine: Option<Engine>,
}

fn conns() -> u32 {
    64
}

/// Bounds on what a caller may send. Bytes and ms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    pub head_bytes: usize,
    pub body_bytes: usize,
    pub head_ms: u64,
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

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, from = "Raw", into = "Raw")]
pub struct Routes {
    pub routes: Vec<Route>,
    pub upstreams: BTreeMap<String, Upstream>,
    pub limits: Limits,
    /// Per host, routes by falling length of their prefix.
    by: HashMap<String, Vec<usize>>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    routes: Vec<Route>,
    #[serde(default)]
    upstreams: Vec<Upstream>,
    #[serde(default)]
    limits: Limits,
}

impl From<Raw> for Routes {
    fn from(r: Raw) -> Routes {
        Routes::new(r.routes, r.upstreams, r.limits)
    }
}

impl From<Routes> for Raw {
    fn from(r: Routes) -> Raw {
        Raw {
            routes: r.routes,
            upstreams: r.upstreams.into_values().collect(),
            limits: r.limits,
        }
    }
}

impl Routes {
    pub fn new(routes: Vec<Route>, ups: Vec<Upstream>, limits: Limits) -> Routes {
        let mut by: HashMap<String, Vec<usize>> = HashMap::new();
        routes
            .iter()
            .enumerate()
            .for_each(|(i, r)| by.entry(r.host.to_ascii_lowercase()).or_default().push(i));
        by.values_mut()
            .for_each(|v| v.sort_by_key(|i| std::cmp::Reverse(routes[*i].prefix.len())));
        Routes {
            routes,
            upstreams: ups.into_iter().map(|u| (u.name.clone(), u)).collect(),
            limits,
            by,
        }
    }

    /// The route of a request; the match is made on the bytes sent. A port behind the host does not
    /// count.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let h = host
            .rsplit_once(':')
            .filter(|x| x.1.bytes().all(|b| b.is_ascii_digit()))
            .map_or(host, |x| x.0)
            .to_ascii_lowercase();
        self.by
            .get(&h)?
            .iter()
            .map(|i| &self.routes[*i])
            .find(|r| path.starts_with(&r.prefix))
    }

    /// Every fault, as path and reason.
    pub fn faults(&self) -> Vec<(String, String)> {
        let mut v = vec![];
        let mut seen = std::collections::BTreeSet::new();
        self.routes.iter().for_each(|r| {
            let mut no = |bad: bool, k: &str, why: &str| {
                if bad {
                    v.push((format!("routes/{}/{k}", r.name), why.to_string()));
                }
            };
            no(
                r.variants.is_empty() || r.variants.iter().map(|x| x.1).sum::<u64>() == 0,
                "variants",
                "the weights sum to 0",
            );
            no(
                r.variants
                    .iter()
                    .any(|x| !self.upstreams.contains_key(&x.0)),
                "variants",
                "names an unknown service",
            );
            no(r.timeout_ms == 0, "timeout_ms", "must be above 0");
            no(r.max_tries == 0, "max_tries", "must be above 0");
            no(
                !(r.prefix.starts_with('/') && r.prefix.ends_with('/')),
                "prefix",
                "must begin and end with a slash",
            );
            no(
                !seen.insert((r.host.to_ascii_lowercase(), r.prefix.clone())),
                "prefix",
                "another route has this host and prefix",
            );
        });
        v
    }
}
