//! Costs of membership: probes, and the dissemination of changes of the member table.

use crate::capacity::cost::{
    Cost, failure_dissemination_s, megabytes, message_core_pct, probes_per_s,
};
use crate::capacity::inputs::Inputs;
use crate::capacity::messages::{MessageSizes, PACKET_HEADER_BYTES};
use yewcross_common::constants::GOSSIP_MAX_NODES;

/// In each probe interval, every node probes one other node and is on average probed once. While a
/// change is disseminated, each exchange carries `change_bytes` more. `digests_s` is the number of
/// table digests that a node computes per second.
pub(super) fn membership(
    inputs: &Inputs,
    sizes: &MessageSizes,
    change_bytes: f64,
    digests_s: f64,
) -> Cost {
    let nodes = inputs.size.nodes;
    let exchanges_s = 2.0 * probes_per_s();
    let change_exchanges_s = 2.0 * nodes.log2() * inputs.membership_changes_per_s();
    // The member table, the view of it, and both ends of the links to every other node.
    let memory_bytes = nodes * (3.0 * sizes.member + 2.0 * inputs.costs.link_kb * 1000.0);
    Cost {
        messages_s: 2.0 * exchanges_s,
        bytes_s: exchanges_s * (sizes.probe + 2.0 * PACKET_HEADER_BYTES)
            + change_exchanges_s * change_bytes,
        memory_mb: megabytes(memory_bytes),
        core_pct: message_core_pct(inputs, 2.0 * exchanges_s)
            + digests_s * nodes * inputs.costs.digest_us_node / 10_000.0,
        recovery_s: failure_dissemination_s(inputs),
        ..Default::default()
    }
}

/// While the tables differ, the response to a probe carries the complete table, and then both nodes
/// exchange theirs. The digest is computed three times per exchange.
pub(super) fn full_table_exchange(inputs: &Inputs, sizes: &MessageSizes) -> Cost {
    membership(
        inputs,
        sizes,
        3.0 * inputs.size.nodes * sizes.member,
        1.5 * 2.0 * probes_per_s(),
    )
}

/// A probe and its response each carry at most [`GOSSIP_MAX_NODES`] recent changes. The digest is
/// computed once per change.
pub(super) fn recent_changes(inputs: &Inputs, sizes: &MessageSizes) -> Cost {
    membership(
        inputs,
        sizes,
        2.0 * GOSSIP_MAX_NODES as f64 * sizes.member,
        inputs.membership_changes_per_s(),
    )
}
