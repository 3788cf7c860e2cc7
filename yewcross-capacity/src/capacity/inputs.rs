//! Sizes, limits and measured costs: what the arithmetic starts from.

use serde::{Deserialize, Serialize};

/// Seconds in a day.
pub(super) const DAY: f64 = 86_400.0;

macro_rules! part {
    ($(#[$m:meta])* $name:ident { $($f:ident),* $(,)? }) => {
        $(#[$m])*
        #[derive(Clone, Debug, Serialize, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct $name { $(#[doc = concat!("`", stringify!($f), "` of the inputs; the suffix is its unit, capacity.toml explains it.")] pub $f: f64,)* }
        impl $name {
            fn faults(&self, at: &str, v: &mut Vec<String>) {
                $(if !self.$f.is_finite() || self.$f < 0.0 { v.push(format!("{at}.{}: must be 0 or more", stringify!($f))); })*
            }
        }
    };
}

part!(
    /// How much there is of everything.
    Size { nodes, control_machines, servers, requests_s, tokens_s, programs, turns_max, history_tokens, tenants, models, regions, zones }
);
part!(
    /// What happens in a day.
    Day { config_changes, failed, restarted }
);
part!(
    /// What control may cost a node: percent of a core, MB, bytes a second; and s until a
    /// configuration is in force.
    Limits { core_pct, memory_mb, bytes_s, in_force_s }
);
part!(
    /// Our own choices and readings.
    Ours {
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
part!(
    /// Measured: us of processor a message and end, us a digest of the table takes for each node in
    /// it, us to read a kB of configuration, kB of memory that a link takes at one end.
    Costs { message_us, digest_us_node, parse_us_kb, link_kb }
);

/// All that the arithmetic starts from.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inputs {
    /// How much there is of everything.
    pub size: Size,
    /// What happens in a day.
    pub day: Day,
    /// What control may cost.
    pub limits: Limits,
    /// Choices of the design.
    pub ours: Ours,
    /// Measured costs.
    pub costs: Costs,
}

/// The size two years on, as it is given.
pub const GIVEN: &str = include_str!("../../capacity.toml");

impl Inputs {
    /// Reads and checks whole; the error names every fault.
    pub fn read(text: &str) -> Result<Inputs, String> {
        let i: Inputs = toml::from_str(text).map_err(|e| e.message().to_string())?;
        let mut v = vec![];
        i.size.faults("size", &mut v);
        i.day.faults("day", &mut v);
        i.limits.faults("limits", &mut v);
        i.ours.faults("ours", &mut v);
        i.costs.faults("costs", &mut v);
        let above = [
            ("size.nodes", i.size.nodes),
            ("size.zones", i.size.zones),
            ("ours.stores", i.ours.stores),
        ];
        v.extend(
            above
                .iter()
                .filter(|x| x.1 < 1.0)
                .map(|x| format!("{}: must be 1 or more", x.0)),
        );
        if i.size.nodes <= i.size.control_machines + i.ours.stores {
            v.push("size.nodes: must be above size.control_machines and ours.stores".into());
        }
        if v.is_empty() {
            Ok(i)
        } else {
            Err(v.join("; "))
        }
    }

    /// The same tier so many times as large: more of everything, in the same places, over the same
    /// day.
    pub fn times(&self, x: f64) -> Inputs {
        let mut i = self.clone();
        let s = &mut i.size;
        for f in [
            &mut s.nodes,
            &mut s.servers,
            &mut s.requests_s,
            &mut s.tokens_s,
            &mut s.programs,
            &mut s.tenants,
        ] {
            *f *= x;
        }
        for f in [
            &mut i.day.config_changes,
            &mut i.day.failed,
            &mut i.day.restarted,
            &mut i.ours.routes,
            &mut i.ours.stores,
        ] {
            *f *= x;
        }
        i.ours.turnover_s /= x;
        i
    }

    /// So many times the load on the same machines.
    pub fn load(&self, x: f64) -> Inputs {
        let mut i = self.clone();
        for f in [
            &mut i.size.requests_s,
            &mut i.size.tokens_s,
            &mut i.size.programs,
        ] {
            *f *= x;
        }
        i
    }

    pub(super) fn fronts(&self) -> f64 {
        (self.size.nodes - self.size.control_machines - self.ours.stores).max(1.0)
    }

    /// Changes of the table a second: every failure and restart of the day taken for one of our
    /// nodes.
    pub(super) fn moves_s(&self) -> f64 {
        (self.day.failed + self.day.restarted) * self.ours.states / DAY
    }

    pub(super) fn config_s(&self) -> f64 {
        self.day.config_changes / DAY
    }

    /// Bytes of history that a program holds on average: half of the most.
    pub(super) fn history(&self) -> f64 {
        self.size.history_tokens / 2.0 * self.ours.token_bytes
    }

    /// Bytes that one turn adds at most.
    pub(super) fn turn(&self) -> f64 {
        self.size.history_tokens / self.size.turns_max * self.ours.token_bytes
    }

    pub(super) fn copies(&self) -> f64 {
        self.ours.lost + 1.0
    }
}
