//! Configuration and server list: how they reach every node, and when they are in force.

use crate::capacity::cost::{Cost, core, mb};
use crate::capacity::inputs::{DAY, Inputs};
use crate::capacity::messages::{Messages, PACKET};
use yewcross_common::constants::{
    MAX_BODY_BYTES, PEER_REQUEST_TIMEOUT, RETAINED_VERSIONS, SEC, SERVING_LEASE_RENEWAL,
};

pub(super) fn config_text(i: &Inputs, m: &Messages) -> f64 {
    i.ours.routes * m.route
}

/// The document carries the texts of the versions before along with the newest.
pub(super) fn whole_text(i: &Inputs, m: &Messages) -> Cost {
    let t = config_text(i, m);
    let doc = t * (1.0 + RETAINED_VERSIONS as f64);
    Cost {
        messages_s: 2.0 * i.config_s(),
        bytes_s: i.config_s() * doc,
        // Page, and the parsed tree, as large as its text.
        memory_mb: mb(doc + t),
        core_pct: core(i, 2.0 * i.config_s())
            + i.config_s() * (doc + t) / 1000.0 * i.costs.parse_us_kb / 10_000.0,
        // One machine sends it to all.
        recovery_s: doc * i.size.nodes / i.ours.link_bytes_s,
        wrong: (t > MAX_BODY_BYTES as f64).then(|| {
            format!(
                "a text of {:.1} MB, of which {:.1} are taken",
                mb(t),
                mb(MAX_BODY_BYTES as f64)
            )
        }),
        ..Default::default()
    }
}

pub(super) fn text_by_delegates(i: &Inputs, m: &Messages) -> Cost {
    let t = config_text(i, m);
    let per_zone = i.size.nodes / i.size.zones;
    Cost {
        messages_s: 2.0 * i.config_s() * (1.0 + per_zone),
        bytes_s: i.config_s() * t * (1.0 + per_zone),
        memory_mb: mb(2.0 * t),
        core_pct: core(i, 2.0 * i.config_s() * (1.0 + per_zone))
            + i.config_s() * t / 1000.0 * i.costs.parse_us_kb / 10_000.0,
        recovery_s: t * (i.size.zones + per_zone) / i.ours.link_bytes_s,
        ..Default::default()
    }
}

pub(super) fn differences(i: &Inputs, m: &Messages) -> Cost {
    let d = i.ours.routes_changed * m.route;
    let per_zone = i.size.nodes / i.size.zones;
    // A delegate passes it on within its zone. A restarted node fetches the whole from a neighbour.
    let whole = config_text(i, m) * (i.day.failed + i.day.restarted) / DAY / i.size.nodes * 2.0;
    Cost {
        messages_s: 2.0 * i.config_s() * (1.0 + per_zone),
        bytes_s: i.config_s() * (d + 2.0 * PACKET) * (1.0 + per_zone) + whole,
        memory_mb: mb(2.0 * config_text(i, m)),
        core_pct: core(i, 2.0 * i.config_s() * (1.0 + per_zone))
            + i.config_s() * d / 1000.0 * i.costs.parse_us_kb / 10_000.0,
        recovery_s: config_text(i, m) / i.ours.link_bytes_s
            + 3.0 * PEER_REQUEST_TIMEOUT as f64 / SEC as f64,
        ..Default::default()
    }
}

/// A front that holds a lease asks three cores and more, three times a second; shown for a core.
pub(super) fn leases(i: &Inputs, m: &Messages) -> Cost {
    let n = i.size.control_machines;
    let asked = n - (n / 2.0).floor() - 1.0 + 2.0;
    let s = i.fronts() * asked * (SEC as f64 / SERVING_LEASE_RENEWAL as f64) / n;
    Cost {
        messages_s: 2.0 * s,
        bytes_s: s * (m.newer + 2.0 * PACKET),
        core_pct: core(i, 2.0 * s),
        ..Default::default()
    }
}

/// Every node asks one core five times in the time allowed for a configuration; shown for a core.
pub(super) fn asked_in_turn(i: &Inputs, m: &Messages) -> Cost {
    let s = i.size.nodes * 5.0 / i.limits.in_force_s / i.size.control_machines;
    Cost {
        messages_s: 2.0 * s,
        bytes_s: s * (m.newer + 2.0 * PACKET),
        core_pct: core(i, 2.0 * s),
        recovery_s: i.limits.in_force_s / 5.0,
        ..Default::default()
    }
}

/// While all servers are replaced one after another, each replacement changes the list twice.
pub(super) fn list_whole(i: &Inputs, m: &Messages) -> Cost {
    let t = i.size.servers * m.listed;
    let s = 2.0 / i.ours.turnover_s;
    Cost {
        messages_s: 2.0 * s,
        bytes_s: s * t,
        memory_mb: mb(2.0 * t),
        core_pct: core(i, 2.0 * s) + s * t / 1000.0 * i.costs.parse_us_kb / 10_000.0,
        recovery_s: t * i.size.nodes / i.ours.link_bytes_s,
        ..Default::default()
    }
}

pub(super) fn list_differences(i: &Inputs, m: &Messages) -> Cost {
    let s = 2.0 / i.ours.turnover_s;
    let per_zone = i.size.nodes / i.size.zones;
    Cost {
        messages_s: 2.0 * s * (1.0 + per_zone),
        bytes_s: s * (m.listed + 2.0 * PACKET) * (1.0 + per_zone),
        memory_mb: mb(2.0 * i.size.servers * m.listed),
        core_pct: core(i, 2.0 * s * (1.0 + per_zone)),
        recovery_s: 3.0 * PEER_REQUEST_TIMEOUT as f64 / SEC as f64,
        ..Default::default()
    }
}
