//! Costs of load reports, load balancing, transfers of KV caches, and metrics.

use crate::capacity::cost::{
    Cost, failure_dissemination_s, megabytes, message_core_pct, polls_per_s,
};
use crate::capacity::inputs::Inputs;
use crate::capacity::messages::{MessageSizes, PACKET_HEADER_BYTES};
use yewcross_common::constants::KV_TOKEN_BYTES;

/// The designated front of a service and zone polls every server of the service there, distributes
/// the reports within its zone, and forwards those it receives from other zones. Every model is a
/// service of its own.
pub(super) fn load_reports_at_designated_front(inputs: &Inputs, sizes: &MessageSizes) -> Cost {
    let polled_servers = inputs.size.servers / inputs.size.zones / inputs.size.models;
    let zone_fronts = (inputs.fronts() / inputs.size.zones - 1.0).max(0.0);
    let other_zones = inputs.size.zones - 1.0;
    let polls = polled_servers * polls_per_s();
    let notifications = polls_per_s() * (zone_fronts * (1.0 + other_zones) + 2.0 * other_zones);
    let messages_s = 2.0 * (polls + notifications);
    let received_bytes = polls_per_s() * other_zones * polled_servers * sizes.load_report;
    Cost {
        messages_s,
        bytes_s: polls * (sizes.poll_headers + sizes.load_report + 4.0 * PACKET_HEADER_BYTES)
            + polls_per_s() * polled_servers * sizes.load_report * (zone_fronts + other_zones)
            + received_bytes * (1.0 + zone_fronts)
            + notifications * 2.0 * PACKET_HEADER_BYTES,
        memory_mb: megabytes(3.0 * inputs.size.servers * sizes.load_report),
        core_pct: message_core_pct(inputs, messages_s)
            + (polls * sizes.load_report + received_bytes) / 1000.0 * inputs.costs.parse_us_kb
                / 10_000.0,
        recovery_s: failure_dissemination_s(inputs),
        ..Default::default()
    }
}

/// A front that is not designated for any service receives the reports of all servers.
pub(super) fn load_reports_at_other_front(inputs: &Inputs, sizes: &MessageSizes) -> Cost {
    let notifications = polls_per_s() * inputs.size.zones * inputs.size.models;
    let report_bytes = polls_per_s() * inputs.size.servers * sizes.load_report;
    Cost {
        messages_s: 2.0 * notifications,
        bytes_s: report_bytes + notifications * 2.0 * PACKET_HEADER_BYTES,
        memory_mb: megabytes(3.0 * inputs.size.servers * sizes.load_report),
        core_pct: message_core_pct(inputs, 2.0 * notifications)
            + report_bytes / 1000.0 * inputs.costs.parse_us_kb / 10_000.0,
        recovery_s: failure_dissemination_s(inputs),
        ..Default::default()
    }
}

/// Responses of the servers in a front's subset carry the server's load. The front polls only the
/// servers to which it has sent no request for `idle_s` seconds.
pub(super) fn load_reports_in_responses(inputs: &Inputs, sizes: &MessageSizes) -> Cost {
    let requests_per_server = inputs.size.requests_s / inputs.fronts() / inputs.design.subset;
    let idle_polls = inputs.design.subset * (-requests_per_server * inputs.design.idle_s).exp()
        / inputs.design.idle_s;
    Cost {
        messages_s: 2.0 * idle_polls,
        bytes_s: idle_polls * (sizes.poll_headers + sizes.load_report + 4.0 * PACKET_HEADER_BYTES),
        memory_mb: megabytes(
            3.0 * inputs.design.subset * sizes.load_report
                + inputs.size.servers * sizes.listed_server,
        ),
        core_pct: message_core_pct(inputs, 2.0 * idle_polls),
        recovery_s: inputs.design.idle_s,
        ..Default::default()
    }
}

/// Prompt blocks cached per server: a block has about 1,000 tokens, and the memory of a current
/// server holds 257,309 tokens.
pub(super) const BLOCKS_PER_SERVER: f64 = 257.0;

/// Bytes of one prompt block in the list of recently used blocks.
pub(super) const BLOCK_ENTRY_BYTES: f64 = 64.0;

/// Bytes of the state of a server, apart from its prompt blocks.
pub(super) const SERVER_STATE_BYTES: f64 = 300.0;

/// Load balancing at a front that uses `servers` of all servers. Of 480 connections to a server,
/// fewer than 8 for each front that uses the server are too few.
pub(super) fn balancing(inputs: &Inputs, servers: f64) -> Cost {
    let fronts_per_server = inputs.fronts() * servers / inputs.size.servers;
    let connections_per_server = 480.0;
    let too_few = connections_per_server / fronts_per_server < 8.0;
    Cost {
        memory_mb: megabytes(
            servers * (BLOCKS_PER_SERVER * BLOCK_ENTRY_BYTES + SERVER_STATE_BYTES),
        ),
        violation: too_few.then(|| {
            format!(
                "{:.1} connections to a server for each of its {fronts_per_server:.0} fronts",
                connections_per_server / fronts_per_server
            )
        }),
        ..Default::default()
    }
}

/// Every front balances over all servers.
pub(super) fn balancing_over_all(inputs: &Inputs, _: &MessageSizes) -> Cost {
    balancing(inputs, inputs.size.servers)
}

/// Every front balances over its subset of the servers.
pub(super) fn balancing_over_subset(inputs: &Inputs, _: &MessageSizes) -> Cost {
    balancing(inputs, inputs.design.subset.min(inputs.size.servers))
}

/// After every long turn, the server pushes the new part of the KV cache to the replica's server.
pub(super) fn kv_push_per_turn(inputs: &Inputs, _: &MessageSizes) -> Cost {
    let turn_tokens = inputs.size.history_tokens / inputs.size.turns_max;
    let turns_s = inputs.size.requests_s / inputs.size.servers;
    Cost {
        bytes_s: 2.0 * turns_s * turn_tokens * KV_TOKEN_BYTES as f64,
        recovery_s: inputs.size.history_tokens * KV_TOKEN_BYTES as f64
            / inputs.design.server_link_bytes_s,
        ..Default::default()
    }
}

/// As [`kv_push_per_turn`], limited to half of the server's link.
pub(super) fn kv_push_rate_limited(inputs: &Inputs, sizes: &MessageSizes) -> Cost {
    let unlimited = kv_push_per_turn(inputs, sizes);
    Cost {
        bytes_s: unlimited
            .bytes_s
            .min(inputs.design.server_link_bytes_s / 2.0),
        ..unlimited
    }
}

/// Time series per tenant and model.
pub(super) fn metrics_per_tenant(inputs: &Inputs, _: &MessageSizes) -> Cost {
    let series = inputs.size.tenants * inputs.size.models * 8.0;
    Cost {
        memory_mb: megabytes(series * 16.0),
        bytes_s: series * 20.0 / 15.0,
        ..Default::default()
    }
}

/// Time series per model and class, and a line for each change of membership or configuration.
pub(super) fn metrics_per_class(inputs: &Inputs, _: &MessageSizes) -> Cost {
    let series = 100.0 + inputs.size.models * 3.0 * 8.0;
    let line_bytes_s =
        inputs.membership_changes_per_s() * 60.0 + inputs.config_changes_per_s() * 60.0;
    Cost {
        memory_mb: megabytes(series * 16.0),
        bytes_s: series * 20.0 / 15.0 + line_bytes_s,
        messages_s: 2.0 / 15.0,
        ..Default::default()
    }
}
