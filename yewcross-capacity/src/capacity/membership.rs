//! Membership: probes, and how changes of the table spread.

use crate::capacity::cost::{Cost, beats_s, core, mb, spread_s};
use crate::capacity::inputs::Inputs;
use crate::capacity::messages::{Messages, PACKET};
use yewcross_common::constants::GOSSIP_MAX_NODES;

/// Each node probes one other a beat, and is probed once; while a change spreads, exchanges carry
/// more.
pub(super) fn membership(i: &Inputs, m: &Messages, carried: f64, digests: f64) -> Cost {
    let n = i.size.nodes;
    let exchanges = 2.0 * beats_s();
    let spreading = 2.0 * n.log2() * i.moves_s();
    // Table, view, links at both ends of every pair of nodes.
    let memory = n * (3.0 * m.node + 2.0 * i.costs.link_kb * 1000.0);
    Cost {
        messages_s: 2.0 * exchanges,
        bytes_s: exchanges * (m.probe + 2.0 * PACKET) + spreading * carried,
        memory_mb: mb(memory),
        core_pct: core(i, 2.0 * exchanges) + digests * n * i.costs.digest_us_node / 10_000.0,
        recovery_s: spread_s(i),
        ..Default::default()
    }
}

pub(super) fn whole_tables(i: &Inputs, m: &Messages) -> Cost {
    // The answer brings the table, and both are then swapped. A digest is made three times an
    // exchange.
    membership(i, m, 3.0 * i.size.nodes * m.node, 1.5 * 2.0 * beats_s())
}

pub(super) fn recent_changes(i: &Inputs, m: &Messages) -> Cost {
    // Both ways at most so many of the latest. A digest is made once a change.
    membership(i, m, 2.0 * GOSSIP_MAX_NODES as f64 * m.node, i.moves_s())
}
