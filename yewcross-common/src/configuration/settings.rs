//! The settings of program classes, services and budgets: their types, defaults, ranges and meanings.

use super::history::Rule;
use crate::constants::{DEADLINE_MAX_MS, DEADLINE_MIN_MS, KV_MIN_TOKENS, RETENTION_MAX_MS};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The description of a setting in the operators' documentation.
pub struct SettingDefinition {
    /// Name of the setting.
    pub key: &'static str,
    /// Its Rust type.
    pub kind: &'static str,
    /// Its range, as text.
    pub range: &'static str,
    /// Its meaning.
    pub doc: &'static str,
}

/// Declares a struct of settings with one line for each: name, type, default, check, range as text,
/// meaning.
macro_rules! settings {
    ($(#[$attribute:meta])* $name:ident {
        $($field:ident : $type:ty = $default:expr, $check:expr, $range:literal, $doc:literal;)*
    }) => {
        $(#[$attribute])*
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        pub struct $name { $(#[doc = $doc] pub $field: $type,)* }

        impl Default for $name {
            fn default() -> Self {
                $name { $($field: $default,)* }
            }
        }

        impl $name {
            /// All settings, in the order of the documentation.
            pub const DEFS: &'static [SettingDefinition] = &[$(SettingDefinition {
                key: stringify!($field),
                kind: stringify!($type),
                range: $range,
                doc: $doc,
            },)*];

            /// Sets one setting by its name; `Err` contains the reason why the name or the value is
            /// invalid.
            pub fn set(&mut self, key: &str, value: &Value) -> Result<(), String> {
                match key {
                    $(stringify!($field) => {
                        let parsed: $type = serde_json::from_value(value.clone()).map_err(|_| {
                            format!("{value} is not of type {}; allowed: {}", stringify!($type), $range)
                        })?;
                        let is_allowed: fn(&$type) -> bool = $check;
                        if !is_allowed(&parsed) {
                            return Err(format!("{value} is out of range; allowed: {}", $range));
                        }
                        self.$field = parsed;
                        Ok(())
                    })*
                    _ => Err("unknown setting".into()),
                }
            }
        }
    };
}

/// Priority of a program class in the admission queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Admitted first.
    Urgent,
    /// Admitted after the urgent ones.
    Normal,
    /// Admitted after the others.
    Idle,
}

/// What a service does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Computes turns of sessions.
    Model,
    /// Answers single requests by method.
    Lookup,
}

settings!(
    /// The settings of a program class.
    ProgramClass {
    service: String = "llm".into(), |s| !s.is_empty(), "name of a service", "model service that takes the turns";
    budget: String = String::new(), |_| true, "name of a budget, or empty", "budget that all sessions of the program share";
    horizon_ms: u64 = 6000, |n| (DEADLINE_MIN_MS..=DEADLINE_MAX_MS).contains(n), "10 to 600000", "longest horizon a turn may ask for";
    class: Class = Class::Normal, |_| true, "urgent, normal, idle", "place in the waiting line";
    history: Rule = Rule::All, |r| !matches!(r, Rule::Turns(0) | Rule::Tokens(0)), "all, {turns: n}, {tokens: n}", "which earlier turns are kept and sent on";
    max_output: u64 = 512, |n| (1..=65_536).contains(n), "1 to 65536", "tokens, cap on one turn's output";
    max_prompt: u64 = 200_000, |n| (1..=2_000_000).contains(n), "1 to 2000000", "tokens, cap on one turn's prompt with its history";
    repeatable: bool = false, |_| true, "true or false", "a lost turn may be sent again within its horizon";
    keep_ms: u64 = 86_400_000, |n| (1000..=RETENTION_MAX_MS).contains(n), "1000 to 315360000000", "how long after its last turn a session and its outcomes are kept";
    kv_share: bool = true, |_| true, "true or false", "keep a replica of the session's KV cache at its spill target";
    kv_min_tokens: u64 = KV_MIN_TOKENS, |n| (1..=1_000_000).contains(n), "1 to 1000000", "tokens, turns below this are not replicated";
    kv_session_bytes: u64 = 8 << 30, |n| *n > 0, "above 0", "bytes, largest replica kept for one session";
    judge_load: u64 = 40, |n| *n <= 1000, "0 to 1000", "weight of the occupancy judge";
    judge_standing: u64 = 100, |n| *n <= 1000, "0 to 1000", "weight of the standing judge";
    judge_prefix: u64 = 60, |n| *n <= 1000, "0 to 1000", "weight of the prefix judge";
    judge_site: u64 = 15, |n| *n <= 1000, "0 to 1000", "weight of the site judge";
});

settings!(
    /// The settings of a service.
    Service {
    kind: Kind = Kind::Model, |_| true, "model, lookup", "what the service does";
    allow: Vec<String> = vec![], |v| v.iter().all(|s| !s.is_empty()), "server names; a trailing * matches any rest", "identities that may serve";
    line: u64 = 128, |n| (1..=100_000).contains(n), "1 to 100000", "jobs that may wait per front";
    urgent_share: u64 = 25, |n| *n <= 90, "0 to 90", "percent of the line kept for urgent jobs";
    methods: Vec<String> = vec![], |_| true, "names", "lookup methods that exist; empty allows none";
    once: Vec<String> = vec![], |_| true, "names", "lookup methods that may run only once";
    horizon_ms: u64 = 1500, |n| (DEADLINE_MIN_MS..=DEADLINE_MAX_MS).contains(n), "10 to 600000", "longest horizon a lookup may ask for";
    keep_ms: u64 = 86_400_000, |n| (1000..=RETENTION_MAX_MS).contains(n), "1000 to 315360000000", "how long the outcome of a once-only lookup is kept";
    link_bytes: u64 = 1_250_000_000, |n| *n >= 1000, "1000 or more", "bytes per second a server's link may carry for replicas";
});

settings!(
    /// The settings of a budget.
    Budget {
    tokens: u64 = 0, |_| true, "0 or more", "output tokens the budget allows in all";
});

impl Service {
    /// Whether a server of this name may serve.
    pub fn allows(&self, server: &str) -> bool {
        self.allow.iter().any(|allowed| {
            allowed == server
                || allowed
                    .strip_suffix('*')
                    .is_some_and(|prefix| server.starts_with(prefix))
        })
    }
}
