//! Compares the cost of each mechanism with its limits, and finds the largest size that fits.

use crate::capacity::cost::{Cost, DesignStatus, LimitSet, Mechanism};
use crate::capacity::inputs::Inputs;
use crate::capacity::mechanisms::MECHANISMS;
use crate::capacity::messages::MessageSizes;
use serde::Serialize;
use std::fmt::Write;

/// The cost of a mechanism at one size.
#[derive(Clone, Debug, Serialize)]
pub struct TableRow {
    /// Name of the mechanism.
    pub name: &'static str,
    /// Its status in the design.
    #[serde(rename = "stand")]
    pub status: DesignStatus,
    /// The limits that apply to it.
    #[serde(rename = "held")]
    pub limit_set: LimitSet,
    /// Its cost at the given size.
    pub cost: Cost,
    /// Descriptions of the exceeded limits; empty if it is within all of them.
    #[serde(rename = "passes")]
    pub exceeded: Vec<String>,
    /// The largest factor at which it is within its limits: for limits of control, a factor of the
    /// given size; for limits of a machine, a factor of the load on the same machines.
    #[serde(rename = "up_to")]
    pub max_factor: f64,
}

/// The total cost of the control mechanisms that are kept or planned, as if one node had the
/// highest cost of each.
pub fn control_total(rows: &[TableRow]) -> Cost {
    let total = |field: fn(&Cost) -> f64| {
        let included = |row: &&TableRow| {
            row.limit_set == LimitSet::Control
                && [DesignStatus::Kept, DesignStatus::Next].contains(&row.status)
        };
        rows.iter()
            .filter(included)
            .map(|row| field(&row.cost))
            .sum::<f64>()
    };
    Cost {
        messages_s: total(|cost| cost.messages_s),
        bytes_s: total(|cost| cost.bytes_s),
        memory_mb: total(|cost| cost.memory_mb),
        core_pct: total(|cost| cost.core_pct),
        ..Default::default()
    }
}

/// Descriptions of the limits that a cost exceeds, each with the ratio of cost and limit.
pub fn exceeded_limits(inputs: &Inputs, limit_set: LimitSet, cost: &Cost) -> Vec<String> {
    let mut exceeded: Vec<String> = cost.violation.iter().cloned().collect();
    let mut check = |resource: &str, value: f64, limit: f64| {
        if value > limit {
            exceeded.push(format!("{resource} {:.1} times", value / limit));
        }
    };
    match limit_set {
        LimitSet::Control => {
            check("core", cost.core_pct, inputs.limits.core_pct);
            check("memory", cost.memory_mb, inputs.limits.memory_mb);
            check("bytes", cost.bytes_s, inputs.limits.bytes_s);
            check("time", cost.recovery_s, inputs.limits.in_force_s);
        }
        LimitSet::Store => {
            check("memory", cost.memory_mb, inputs.design.store_memory_mb);
            check("link", cost.bytes_s, inputs.design.link_bytes_s);
            check("syncs", cost.syncs_s, 1000.0 / inputs.design.sync_ms);
        }
        LimitSet::Front => {
            check("memory", cost.memory_mb, inputs.limits.memory_mb);
            check("link", cost.bytes_s, inputs.design.link_bytes_s);
        }
        // Replicas of KV caches may use at most half of a server's link.
        LimitSet::Server => check(
            "half a link",
            cost.bytes_s,
            inputs.design.server_link_bytes_s / 2.0,
        ),
    }
    exceeded
}

/// The largest factor of the given size or load at which the mechanism is within its limits, at
/// most 64.
pub(super) fn max_factor(inputs: &Inputs, sizes: &MessageSizes, mechanism: &Mechanism) -> f64 {
    let fits = |factor: f64| {
        let scaled = if mechanism.limit_set == LimitSet::Control {
            inputs.scaled(factor)
        } else {
            inputs.with_scaled_load(factor)
        };
        exceeded_limits(
            &scaled,
            mechanism.limit_set,
            &(mechanism.cost)(&scaled, sizes),
        )
        .is_empty()
    };
    let (mut low, mut high) = (0.0, 64.0);
    if fits(high) {
        return high;
    }
    (0..60).for_each(|_| {
        let middle = (low + high) / 2.0;
        *(if fits(middle) { &mut low } else { &mut high }) = middle;
    });
    low
}

/// Computes the rows of all mechanisms at the given size.
pub fn cost_table(inputs: &Inputs) -> Vec<TableRow> {
    let sizes = MessageSizes::compute();
    let row = |mechanism: &Mechanism| {
        let cost = (mechanism.cost)(inputs, &sizes);
        let factor = max_factor(inputs, &sizes, mechanism);
        TableRow {
            name: mechanism.name,
            status: mechanism.status,
            limit_set: mechanism.limit_set,
            exceeded: exceeded_limits(inputs, mechanism.limit_set, &cost),
            cost,
            max_factor: factor,
        }
    };
    MECHANISMS.iter().map(row).collect()
}

/// Formats a value with a decimal prefix; `-` for 0.
pub(super) fn format_value(value: f64) -> String {
    match value {
        0.0 => "-".into(),
        value if value >= 1e9 => format!("{:.1} G", value / 1e9),
        value if value >= 1e6 => format!("{:.1} M", value / 1e6),
        value if value >= 1e4 => format!("{:.0} k", value / 1e3),
        value if value >= 100.0 => format!("{value:.0}"),
        value if value >= 1.0 => format!("{value:.1}"),
        value => format!("{value:.3}"),
    }
}

/// The table as Markdown: costs per node, bytes sent and received. `docs/CAPACITY.md` contains
/// these lines.
pub fn format_table(rows: &[TableRow]) -> String {
    let mut output = String::new();
    let mut write_line = |line: String| writeln!(output, "{line}").unwrap_or_default();
    write_line(
        "| mechanism | | messages/s | bytes/s | MB | % core | syncs/s | s | fits up to | passes |"
            .into(),
    );
    write_line("|---|---|---|---|---|---|---|---|---|---|".into());
    let cells = |cost: &Cost| {
        [
            cost.messages_s,
            cost.bytes_s,
            cost.memory_mb,
            cost.core_pct,
            cost.syncs_s,
            cost.recovery_s,
        ]
        .map(format_value)
        .join(" | ")
    };
    rows.iter().for_each(|row| {
        let status = format!("{:?}", row.status).to_lowercase();
        let max_factor = match row.max_factor {
            factor if factor >= 64.0 => "64 x".to_string(),
            factor if factor < 0.0005 => "no size".to_string(),
            factor if factor < 0.1 => format!("{factor:.3} x"),
            factor => format!("{factor:.2} x"),
        };
        let exceeded = if row.exceeded.is_empty() {
            "fits".into()
        } else {
            row.exceeded.join("; ")
        };
        write_line(format!(
            "| {} | {status} | {} | {max_factor} | {exceeded} |",
            row.name,
            cells(&row.cost)
        ));
    });
    write_line(format!(
        "| all of control that is kept or next, on one node | | {} | | |",
        cells(&control_total(rows))
    ));
    output
}
