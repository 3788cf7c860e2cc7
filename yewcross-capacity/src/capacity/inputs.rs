//! Inputs of the cost model: sizes, limits, choices of the design, and measured costs.

use serde::{Deserialize, Serialize};

pub(super) const SECONDS_PER_DAY: f64 = 86_400.0;

macro_rules! input_section {
    ($(#[$attribute:meta])* $name:ident { $($field:ident),* $(,)? }) => {
        $(#[$attribute])*
        #[derive(Clone, Debug, Serialize, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct $name { $(#[doc = concat!("`", stringify!($field), "` of the inputs. `capacity.toml` explains it; the suffix names the unit.")] pub $field: f64,)* }
        impl $name {
            fn check_fields(&self, section: &str, errors: &mut Vec<String>) {
                $(if !self.$field.is_finite() || self.$field < 0.0 { errors.push(format!("{section}.{}: must be 0 or more", stringify!($field))); })*
            }
        }
    };
}

input_section!(
    /// Number of machines, servers, programs and so on, and their load.
    Size { nodes, control_machines, servers, requests_s, tokens_s, programs, turns_max, history_tokens, tenants, models, regions, zones }
);
input_section!(
    /// Number of changes and failures per day.
    DailyEvents { config_changes, failed, restarted }
);
input_section!(
    /// Limits of the control functions on a node: percent of a core, MB, and bytes per second; and
    /// the limit in seconds until a configuration is in force.
    Limits { core_pct, memory_mb, bytes_s, in_force_s }
);
input_section!(
    /// Choices and assumptions of the design.
    DesignParameters {
        stores,
        store_memory_mb,
        link_bytes_s,
        server_link_bytes_s,
        sync_ms,
        lost,
        group,
        token_bytes,
        routes,
        routes_changed,
        states,
        subset,
        idle_s,
        core_seats,
        hand_mb,
        turnover_s,
    }
);
input_section!(
    /// Measured costs: processor time in µs per message and end, processor time in µs that a digest
    /// of the member table takes per node in it, processor time in µs to parse a kB of
    /// configuration, and memory in kB of a link at one end.
    Costs { message_us, digest_us_node, parse_us_kb, link_kb }
);

/// All inputs of the cost model.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inputs {
    /// Number of machines, servers, programs and so on, and their load.
    pub size: Size,
    /// Number of changes and failures per day.
    pub day: DailyEvents,
    /// Limits of the control functions on a node.
    pub limits: Limits,
    /// Choices and assumptions of the design.
    #[serde(rename = "ours")]
    pub design: DesignParameters,
    /// Measured costs.
    pub costs: Costs,
}

/// The default inputs (TOML): the size that the tier is expected to have in two years.
pub const DEFAULT_INPUTS: &str = include_str!("../../capacity.toml");

impl Inputs {
    /// Parses and checks inputs (TOML). The error lists all values out of range.
    pub fn parse(text: &str) -> Result<Inputs, String> {
        let inputs: Inputs = toml::from_str(text).map_err(|e| e.message().to_string())?;
        let mut errors = vec![];
        inputs.size.check_fields("size", &mut errors);
        inputs.day.check_fields("day", &mut errors);
        inputs.limits.check_fields("limits", &mut errors);
        inputs.design.check_fields("ours", &mut errors);
        inputs.costs.check_fields("costs", &mut errors);
        let at_least_one = [
            ("size.nodes", inputs.size.nodes),
            ("size.zones", inputs.size.zones),
            ("ours.stores", inputs.design.stores),
        ];
        errors.extend(
            at_least_one
                .iter()
                .filter(|entry| entry.1 < 1.0)
                .map(|entry| format!("{}: must be 1 or more", entry.0)),
        );
        if inputs.size.nodes <= inputs.size.control_machines + inputs.design.stores {
            errors.push("size.nodes: must be above size.control_machines and ours.stores".into());
        }
        if errors.is_empty() {
            Ok(inputs)
        } else {
            Err(errors.join("; "))
        }
    }

    /// A tier of `factor` times the size: more machines, load and changes per day, in the same
    /// regions and zones.
    pub fn scaled(&self, factor: f64) -> Inputs {
        let mut inputs = self.clone();
        let size = &mut inputs.size;
        for value in [
            &mut size.nodes,
            &mut size.servers,
            &mut size.requests_s,
            &mut size.tokens_s,
            &mut size.programs,
            &mut size.tenants,
        ] {
            *value *= factor;
        }
        for value in [
            &mut inputs.day.config_changes,
            &mut inputs.day.failed,
            &mut inputs.day.restarted,
            &mut inputs.design.routes,
            &mut inputs.design.stores,
        ] {
            *value *= factor;
        }
        inputs.design.turnover_s /= factor;
        inputs
    }

    /// `factor` times the load on the same machines.
    pub fn with_scaled_load(&self, factor: f64) -> Inputs {
        let mut inputs = self.clone();
        for value in [
            &mut inputs.size.requests_s,
            &mut inputs.size.tokens_s,
            &mut inputs.size.programs,
        ] {
            *value *= factor;
        }
        inputs
    }

    /// Number of fronts: all nodes that are neither control machines nor stores.
    pub(super) fn fronts(&self) -> f64 {
        (self.size.nodes - self.size.control_machines - self.design.stores).max(1.0)
    }

    /// Changes of the member table per second. Every failure and restart of the day is counted as
    /// one of a node of the tier.
    pub(super) fn membership_changes_per_s(&self) -> f64 {
        (self.day.failed + self.day.restarted) * self.design.states / SECONDS_PER_DAY
    }

    pub(super) fn config_changes_per_s(&self) -> f64 {
        self.day.config_changes / SECONDS_PER_DAY
    }

    /// Mean bytes of a program's history: half of the maximum.
    pub(super) fn mean_history_bytes(&self) -> f64 {
        self.size.history_tokens / 2.0 * self.design.token_bytes
    }

    /// Upper estimate of the bytes that one turn adds: the maximum length of a history divided by
    /// the maximum number of turns.
    pub(super) fn turn_bytes(&self) -> f64 {
        self.size.history_tokens / self.size.turns_max * self.design.token_bytes
    }

    /// Number of replicas needed so that one remains when `lost` machines are lost.
    pub(super) fn replicas(&self) -> f64 {
        self.design.lost + 1.0
    }
}
