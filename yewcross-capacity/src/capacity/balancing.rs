//! Load reports, balancing, transfer of KV caches, metrics.

use crate::capacity::cost::{Cost, core, mb, polls_s, spread_s};
use crate::capacity::inputs::Inputs;
use crate::capacity::messages::{Messages, PACKET};
use yewcross_common::constants::KV_TOKEN_BYTES;

/// The home node of a service and zone polls every server there, tells its zone, and passes on what
/// other zones tell. A service is a model.
pub(super) fn news_home(i: &Inputs, m: &Messages) -> Cost {
    let mine = i.size.servers / i.size.zones / i.size.models;
    let near = (i.fronts() / i.size.zones - 1.0).max(0.0);
    let far = i.size.zones - 1.0;
    let polls = mine * polls_s();
    let told = polls_s() * (near * (1.0 + far) + 2.0 * far);
    let s = 2.0 * (polls + told);
    let heard = polls_s() * far * mine * m.report;
    Cost {
        messages_s: s,
        bytes_s: polls * (m.poll + m.report + 4.0 * PACKET)
            + polls_s() * mine * m.report * (near + far)
            + heard * (1.0 + near)
            + told * 2.0 * PACKET,
        memory_mb: mb(3.0 * i.size.servers * m.report),
        core_pct: core(i, s) + (polls * m.report + heard) / 1000.0 * i.costs.parse_us_kb / 10_000.0,
        recovery_s: spread_s(i),
        ..Default::default()
    }
}

/// Any other front hears every report.
pub(super) fn news_front(i: &Inputs, m: &Messages) -> Cost {
    let s = polls_s() * i.size.zones * i.size.models;
    let bytes = polls_s() * i.size.servers * m.report;
    Cost {
        messages_s: 2.0 * s,
        bytes_s: bytes + s * 2.0 * PACKET,
        memory_mb: mb(3.0 * i.size.servers * m.report),
        core_pct: core(i, 2.0 * s) + bytes / 1000.0 * i.costs.parse_us_kb / 10_000.0,
        recovery_s: spread_s(i),
        ..Default::default()
    }
}

/// Load comes on the answers of the servers that a front balances over; one that was not used for a
/// while is asked.
pub(super) fn news_subset(i: &Inputs, m: &Messages) -> Cost {
    let used = i.size.requests_s / i.fronts() / i.ours.subset;
    let idle = i.ours.subset * (-used * i.ours.idle_s).exp() / i.ours.idle_s;
    Cost {
        messages_s: 2.0 * idle,
        bytes_s: idle * (m.poll + m.report + 4.0 * PACKET),
        memory_mb: mb(3.0 * i.ours.subset * m.report + i.size.servers * m.listed),
        core_pct: core(i, 2.0 * idle),
        recovery_s: i.ours.idle_s,
        ..Default::default()
    }
}

/// A part of a prompt is some thousand tokens; a server's memory holds 257,309 tokens today.
pub(super) const PARTS: f64 = 257.0;

/// bytes. A part in a list of those used latest.
pub(super) const PART: f64 = 64.0;

/// bytes. What is counted of a server beside its parts.
pub(super) const SEAT: f64 = 300.0;

pub(super) fn balance(i: &Inputs, servers: f64) -> Cost {
    let each = i.fronts() * servers / i.size.servers;
    let conns = 480.0;
    let few = conns / each < 8.0;
    Cost {
        memory_mb: mb(servers * (PARTS * PART + SEAT)),
        wrong: few.then(|| {
            format!(
                "{:.1} connections to a server for each of its {each:.0} fronts",
                conns / each
            )
        }),
        ..Default::default()
    }
}

pub(super) fn balance_all(i: &Inputs, _: &Messages) -> Cost {
    balance(i, i.size.servers)
}

pub(super) fn balance_subset(i: &Inputs, _: &Messages) -> Cost {
    balance(i, i.ours.subset.min(i.size.servers))
}

pub(super) fn push_each(i: &Inputs, _: &Messages) -> Cost {
    let tokens = i.size.history_tokens / i.size.turns_max;
    let s = i.size.requests_s / i.size.servers;
    Cost {
        bytes_s: 2.0 * s * tokens * KV_TOKEN_BYTES as f64,
        recovery_s: i.size.history_tokens * KV_TOKEN_BYTES as f64 / i.ours.server_link_bytes_s,
        ..Default::default()
    }
}

pub(super) fn push_paced(i: &Inputs, m: &Messages) -> Cost {
    let c = push_each(i, m);
    Cost {
        bytes_s: c.bytes_s.min(i.ours.server_link_bytes_s / 2.0),
        ..c
    }
}

pub(super) fn per_tenant(i: &Inputs, _: &Messages) -> Cost {
    let n = i.size.tenants * i.size.models * 8.0;
    Cost {
        memory_mb: mb(n * 16.0),
        bytes_s: n * 20.0 / 15.0,
        ..Default::default()
    }
}

pub(super) fn per_class(i: &Inputs, _: &Messages) -> Cost {
    let n = 100.0 + i.size.models * 3.0 * 8.0;
    let lines = i.moves_s() * 60.0 + i.config_s() * 60.0;
    Cost {
        memory_mb: mb(n * 16.0),
        bytes_s: n * 20.0 / 15.0 + lines,
        messages_s: 2.0 / 15.0,
        ..Default::default()
    }
}
