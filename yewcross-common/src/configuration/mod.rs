//! The operators' one tree of settings: families that inherit, services, budgets.

pub mod route;

use crate::configuration::route::Routes;
use crate::constants::*;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

pub struct SettingDefinition {
    pub key: &'static str,
    pub kind: &'static str,
    pub range: &'static str,
    pub doc: &'static str,
}

/// One line per setting: type, default, check, range in words, meaning.
macro_rules! settings {
    ($name:ident { $($f:ident : $t:ty = $d:expr, $check:expr, $range:literal, $doc:literal;)* }) => {
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        pub struct $name { $(pub $f: $t,)* }
        impl Default for $name {
            fn default() -> Self { $name { $($f: $d,)* } }
        }
        impl $name {
            pub const DEFS: &'static [SettingDefinition] = &[$(SettingDefinition { key: stringify!($f), kind: stringify!($t), range: $range, doc: $doc },)*];
            pub fn set(&mut self, key: &str, v: &Value) -> Result<(), String> {
                match key {
                    $(stringify!($f) => {
                        let x: $t = serde_json::from_value(v.clone())
                            .map_err(|_| format!("{v} is not of type {}; allowed: {}", stringify!($t), $range))?;
                        let ok: fn(&$t) -> bool = $check;
                        if !ok(&x) {
                            return Err(format!("{v} is out of range; allowed: {}", $range));
                        }
                        self.$f = x;
                        Ok(())
                    })*
                    _ => Err("unknown setting".into()),
                }
            }
        }
    };
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    Urgent,
    Normal,
    Idle,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    All,
    Turns(usize),
    Tokens(u64),
}

impl Rule {
    /// Drops the earliest history lines that the rule no longer keeps; the newest always stays.
    pub fn trim(self, hist: &mut Vec<u8>) {
        if self == Rule::All {
            return;
        }
        let ends: Vec<usize> = hist
            .iter()
            .enumerate()
            .filter(|x| *x.1 == b'\n')
            .map(|x| x.0 + 1)
            .collect();
        let cut = match self {
            Rule::All => 0,
            Rule::Turns(n) => ends
                .len()
                .checked_sub(n.saturating_add(1))
                .map(|i| ends[i])
                .unwrap_or(0),
            Rule::Tokens(n) => {
                let over = hist
                    .len()
                    .saturating_sub((n as usize).saturating_mul(TOKEN_BYTES));
                if over == 0 {
                    0
                } else {
                    ends.iter()
                        .take(ends.len().saturating_sub(1))
                        .find(|e| **e >= over)
                        .or(ends.iter().rev().nth(1))
                        .cloned()
                        .unwrap_or(0)
                }
            }
        };
        hist.drain(..cut);
    }
}

settings!(ProgramClass {
    service: String = "llm".into(), |s| !s.is_empty(), "name of a service", "model service that takes the turns";
    budget: String = String::new(), |_| true, "name of a budget, or empty", "budget that all sessions of the program share";
    horizon_ms: u64 = 6000, |n| (HORIZON_MIN..=HORIZON_MAX).contains(n), "10 to 600000", "longest horizon a turn may ask for";
    class: Class = Class::Normal, |_| true, "urgent, normal, idle", "place in the waiting line";
    history: Rule = Rule::All, |r| !matches!(r, Rule::Turns(0) | Rule::Tokens(0)), "all, {turns: n}, {tokens: n}", "which earlier turns are kept and sent on";
    max_output: u64 = 512, |n| (1..=65_536).contains(n), "1 to 65536", "tokens, cap on one turn's output";
    max_prompt: u64 = 200_000, |n| (1..=2_000_000).contains(n), "1 to 2000000", "tokens, cap on one turn's prompt with its history";
    repeatable: bool = false, |_| true, "true or false", "a lost turn may be sent again within its horizon";
    keep_ms: u64 = 86_400_000, |n| (1000..=KEEP_MAX).contains(n), "1000 to 315360000000", "how long after its last turn a session and its outcomes are kept";
    kv_share: bool = true, |_| true, "true or false", "keep a replica of the session's KV cache at its spill target";
    kv_min_tokens: u64 = KV_MIN_TOKENS, |n| (1..=1_000_000).contains(n), "1 to 1000000", "tokens, turns below this are not replicated";
    kv_session_bytes: u64 = 8 << 30, |n| *n > 0, "above 0", "bytes, largest replica kept for one session";
    judge_load: u64 = 40, |n| *n <= 1000, "0 to 1000", "weight of the occupancy judge";
    judge_standing: u64 = 100, |n| *n <= 1000, "0 to 1000", "weight of the standing judge";
    judge_prefix: u64 = 60, |n| *n <= 1000, "0 to 1000", "weight of the prefix judge";
    judge_site: u64 = 15, |n| *n <= 1000, "0 to 1000", "weight of the site judge";
});

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    Model,
    Lookup,
}

settings!(Service {
    kind: Kind = Kind::Model, |_| true, "model, lookup", "what the service does";
    allow: Vec<String> = vec![], |v| v.iter().all(|s| !s.is_empty()), "server names; a trailing * matches any rest", "identities that may serve";
    line: u64 = 128, |n| (1..=100_000).contains(n), "1 to 100000", "jobs that may wait per front";
    urgent_share: u64 = 25, |n| *n <= 90, "0 to 90", "percent of the line kept for urgent jobs";
    methods: Vec<String> = vec![], |_| true, "names", "lookup methods that exist; empty allows none";
    once: Vec<String> = vec![], |_| true, "names", "lookup methods that may run only once";
    horizon_ms: u64 = 1500, |n| (HORIZON_MIN..=HORIZON_MAX).contains(n), "10 to 600000", "longest horizon a lookup may ask for";
    keep_ms: u64 = 86_400_000, |n| (1000..=KEEP_MAX).contains(n), "1000 to 315360000000", "how long the outcome of a once-only lookup is kept";
    link_bytes: u64 = 1_250_000_000, |n| *n >= 1000, "1000 or more", "bytes per second a server's link may carry for replicas";
});

settings!(Budget {
    tokens: u64 = 0, |_| true, "0 or more", "output tokens the budget allows in all";
});

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFamily {
    #[serde(default)]
    set: Map<String, Value>,
    #[serde(default)]
    under: BTreeMap<String, RawFamily>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    families: BTreeMap<String, RawFamily>,
    #[serde(default)]
    services: BTreeMap<String, Map<String, Value>>,
    #[serde(default)]
    budgets: BTreeMap<String, Map<String, Value>>,
    #[serde(default)]
    fronts: Vec<String>,
    #[serde(default)]
    routing: Routes,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ResolvedProgramClass {
    pub path: String,
    pub eff: ProgramClass,
    /// For each setting, the family it comes from; "default" where none sets it.
    pub from: BTreeMap<String, String>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Configuration {
    pub families: BTreeMap<String, ResolvedProgramClass>,
    pub services: BTreeMap<String, Service>,
    pub budgets: BTreeMap<String, Budget>,
    pub fronts: Vec<String>,
    /// Routes by host and path, beside the families.
    pub routing: Routes,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InvalidSetting {
    pub path: String,
    pub why: String,
}

fn bad(path: impl Into<String>, why: impl Into<String>) -> InvalidSetting {
    InvalidSetting {
        path: path.into(),
        why: why.into(),
    }
}

fn good_name(s: &str) -> bool {
    !s.is_empty()
        && s.len() <= 64
        && s.bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_' || b == b'.')
}

impl Configuration {
    /// Reads and checks a whole configuration; every fault found is told.
    pub fn read(text: &[u8]) -> Result<Configuration, Vec<InvalidSetting>> {
        let raw: Raw = serde_json::from_slice(text).map_err(|e| vec![bad("", e.to_string())])?;
        let mut t = Configuration {
            fronts: raw.fronts.clone(),
            routing: raw.routing.clone(),
            ..Default::default()
        };
        let mut ill = vec![];
        let base = (
            ProgramClass::default(),
            ProgramClass::DEFS
                .iter()
                .map(|d| (d.key.to_string(), "default".to_string()))
                .collect(),
        );
        raw.families
            .iter()
            .for_each(|(n, f)| grow(&mut t, &mut ill, "families", n, f, &base));
        raw.services.iter().for_each(|(n, m)| {
            let mut s = Service::default();
            if !good_name(n) {
                ill.push(bad(format!("services/{n}"), "not a name"));
            }
            m.iter().for_each(|(k, v)| {
                s.set(k, v)
                    .unwrap_or_else(|e| ill.push(bad(format!("services/{n}/{k}"), e)));
            });
            if s.allow.is_empty() {
                ill.push(bad(format!("services/{n}/allow"), "no server is allowed"));
            }
            s.once
                .iter()
                .filter(|m| !s.methods.contains(m))
                .for_each(|m| {
                    ill.push(bad(
                        format!("services/{n}/once"),
                        format!("{m} is not among the methods"),
                    ));
                });
            t.services.insert(n.clone(), s);
        });
        raw.budgets.iter().for_each(|(n, m)| {
            let mut b = Budget::default();
            m.iter().for_each(|(k, v)| {
                b.set(k, v)
                    .unwrap_or_else(|e| ill.push(bad(format!("budgets/{n}/{k}"), e)));
            });
            t.budgets.insert(n.clone(), b);
        });
        t.families.values().for_each(|p| {
            if t.services
                .get(&p.eff.service)
                .is_none_or(|s| s.kind != Kind::Model)
            {
                ill.push(bad(
                    format!("{}/set/service", p.path),
                    format!("{} is not a model service", p.eff.service),
                ));
            }
            if !p.eff.budget.is_empty() && !t.budgets.contains_key(&p.eff.budget) {
                ill.push(bad(
                    format!("{}/set/budget", p.path),
                    format!("{} is not a budget", p.eff.budget),
                ));
            }
        });
        t.routing
            .faults()
            .into_iter()
            .for_each(|(p, why)| ill.push(bad(format!("routing/{p}"), why)));
        if ill.is_empty() { Ok(t) } else { Err(ill) }
    }
}

fn grow(
    t: &mut Configuration,
    ill: &mut Vec<InvalidSetting>,
    at: &str,
    name: &str,
    f: &RawFamily,
    up: &(ProgramClass, BTreeMap<String, String>),
) {
    let path = format!("{at}/{name}");
    if !good_name(name) {
        ill.push(bad(&path, "not a name: letters, digits, - _ . up to 64"));
    }
    if t.families.contains_key(name) {
        ill.push(bad(
            &path,
            "a family of this name stands elsewhere in the tree",
        ));
    }
    let mut own = up.clone();
    f.set.iter().for_each(|(k, v)| match own.0.set(k, v) {
        Ok(()) => {
            own.1.insert(k.clone(), name.to_string());
        }
        Err(e) => ill.push(bad(format!("{path}/set/{k}"), e)),
    });
    t.families.insert(
        name.into(),
        ResolvedProgramClass {
            path: path.clone(),
            eff: own.0.clone(),
            from: own.1.clone(),
        },
    );
    f.under
        .iter()
        .for_each(|(n, c)| grow(t, ill, &format!("{path}/under"), n, c, &own));
}

impl Service {
    pub fn allows(&self, server: &str) -> bool {
        self.allow
            .iter()
            .any(|a| a == server || a.strip_suffix('*').is_some_and(|p| server.starts_with(p)))
    }
}
