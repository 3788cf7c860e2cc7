//! Costs of distributing the configuration and the server list to every node, and of confirming
//! that a configuration is in force.

use crate::capacity::cost::{Cost, megabytes, message_core_pct};
use crate::capacity::inputs::{Inputs, SECONDS_PER_DAY};
use crate::capacity::messages::{MessageSizes, PACKET_HEADER_BYTES};
use yewcross_common::constants::{
    MAX_BODY_BYTES, PEER_REQUEST_TIMEOUT, RETAINED_VERSIONS, SEC, SERVING_LEASE_RENEWAL,
};

/// Bytes of the configuration's text.
pub(super) fn config_bytes(inputs: &Inputs, sizes: &MessageSizes) -> f64 {
    inputs.design.routes * sizes.route
}

/// Every node fetches the complete document from one core. The document contains the retained
/// previous versions in addition to the newest one.
pub(super) fn full_config_from_core(inputs: &Inputs, sizes: &MessageSizes) -> Cost {
    let text = config_bytes(inputs, sizes);
    let document = text * (1.0 + RETAINED_VERSIONS as f64);
    Cost {
        messages_s: 2.0 * inputs.config_changes_per_s(),
        bytes_s: inputs.config_changes_per_s() * document,
        // The document, and the parsed configuration, which is as large as its text.
        memory_mb: megabytes(document + text),
        core_pct: message_core_pct(inputs, 2.0 * inputs.config_changes_per_s())
            + inputs.config_changes_per_s() * (document + text) / 1000.0 * inputs.costs.parse_us_kb
                / 10_000.0,
        // One machine sends the document to all nodes.
        recovery_s: document * inputs.size.nodes / inputs.design.link_bytes_s,
        violation: (text > MAX_BODY_BYTES as f64).then(|| {
            format!(
                "a text of {:.1} MB, of which {:.1} are taken",
                megabytes(text),
                megabytes(MAX_BODY_BYTES as f64)
            )
        }),
        ..Default::default()
    }
}

/// One delegate per zone receives the complete text and forwards it to the nodes of its zone.
pub(super) fn full_config_by_delegates(inputs: &Inputs, sizes: &MessageSizes) -> Cost {
    let text = config_bytes(inputs, sizes);
    let nodes_per_zone = inputs.size.nodes / inputs.size.zones;
    Cost {
        messages_s: 2.0 * inputs.config_changes_per_s() * (1.0 + nodes_per_zone),
        bytes_s: inputs.config_changes_per_s() * text * (1.0 + nodes_per_zone),
        memory_mb: megabytes(2.0 * text),
        core_pct: message_core_pct(
            inputs,
            2.0 * inputs.config_changes_per_s() * (1.0 + nodes_per_zone),
        ) + inputs.config_changes_per_s() * text / 1000.0 * inputs.costs.parse_us_kb
            / 10_000.0,
        recovery_s: text * (inputs.size.zones + nodes_per_zone) / inputs.design.link_bytes_s,
        ..Default::default()
    }
}

/// One delegate per zone receives the difference to the previous version and forwards it to the
/// nodes of its zone.
pub(super) fn config_deltas_by_delegates(inputs: &Inputs, sizes: &MessageSizes) -> Cost {
    let delta = inputs.design.routes_changed * sizes.route;
    let nodes_per_zone = inputs.size.nodes / inputs.size.zones;
    // A restarted node fetches the complete text from a neighbour.
    let full_transfers = config_bytes(inputs, sizes) * (inputs.day.failed + inputs.day.restarted)
        / SECONDS_PER_DAY
        / inputs.size.nodes
        * 2.0;
    Cost {
        messages_s: 2.0 * inputs.config_changes_per_s() * (1.0 + nodes_per_zone),
        bytes_s: inputs.config_changes_per_s()
            * (delta + 2.0 * PACKET_HEADER_BYTES)
            * (1.0 + nodes_per_zone)
            + full_transfers,
        memory_mb: megabytes(2.0 * config_bytes(inputs, sizes)),
        core_pct: message_core_pct(
            inputs,
            2.0 * inputs.config_changes_per_s() * (1.0 + nodes_per_zone),
        ) + inputs.config_changes_per_s() * delta / 1000.0 * inputs.costs.parse_us_kb
            / 10_000.0,
        recovery_s: config_bytes(inputs, sizes) / inputs.design.link_bytes_s
            + 3.0 * PEER_REQUEST_TIMEOUT as f64 / SEC as f64,
        ..Default::default()
    }
}

/// A front that holds a serving lease queries three or more cores, three times a second. The cost is
/// that of one core.
pub(super) fn front_leases(inputs: &Inputs, sizes: &MessageSizes) -> Cost {
    let cores = inputs.size.control_machines;
    let asked_cores = cores - (cores / 2.0).floor() - 1.0 + 2.0;
    let requests_s =
        inputs.fronts() * asked_cores * (SEC as f64 / SERVING_LEASE_RENEWAL as f64) / cores;
    Cost {
        messages_s: 2.0 * requests_s,
        bytes_s: requests_s * (sizes.version_query + 2.0 * PACKET_HEADER_BYTES),
        core_pct: message_core_pct(inputs, 2.0 * requests_s),
        ..Default::default()
    }
}

/// Every node queries one core, each time the next one, five times within the time allowed for a
/// configuration to come into force. The cost is that of one core.
pub(super) fn round_robin_version_queries(inputs: &Inputs, sizes: &MessageSizes) -> Cost {
    let requests_s =
        inputs.size.nodes * 5.0 / inputs.limits.in_force_s / inputs.size.control_machines;
    Cost {
        messages_s: 2.0 * requests_s,
        bytes_s: requests_s * (sizes.version_query + 2.0 * PACKET_HEADER_BYTES),
        core_pct: message_core_pct(inputs, 2.0 * requests_s),
        recovery_s: inputs.limits.in_force_s / 5.0,
        ..Default::default()
    }
}

/// The complete server list is sent on every change. While all servers are replaced one after
/// another, each replacement changes the list twice.
pub(super) fn full_server_list(inputs: &Inputs, sizes: &MessageSizes) -> Cost {
    let list_bytes = inputs.size.servers * sizes.listed_server;
    let changes_s = 2.0 / inputs.design.turnover_s;
    Cost {
        messages_s: 2.0 * changes_s,
        bytes_s: changes_s * list_bytes,
        memory_mb: megabytes(2.0 * list_bytes),
        core_pct: message_core_pct(inputs, 2.0 * changes_s)
            + changes_s * list_bytes / 1000.0 * inputs.costs.parse_us_kb / 10_000.0,
        recovery_s: list_bytes * inputs.size.nodes / inputs.design.link_bytes_s,
        ..Default::default()
    }
}

/// One delegate per zone receives the changed entries of the server list and forwards them to the
/// nodes of its zone.
pub(super) fn server_list_deltas(inputs: &Inputs, sizes: &MessageSizes) -> Cost {
    let changes_s = 2.0 / inputs.design.turnover_s;
    let nodes_per_zone = inputs.size.nodes / inputs.size.zones;
    Cost {
        messages_s: 2.0 * changes_s * (1.0 + nodes_per_zone),
        bytes_s: changes_s
            * (sizes.listed_server + 2.0 * PACKET_HEADER_BYTES)
            * (1.0 + nodes_per_zone),
        memory_mb: megabytes(2.0 * inputs.size.servers * sizes.listed_server),
        core_pct: message_core_pct(inputs, 2.0 * changes_s * (1.0 + nodes_per_zone)),
        recovery_s: 3.0 * PEER_REQUEST_TIMEOUT as f64 / SEC as f64,
        ..Default::default()
    }
}
