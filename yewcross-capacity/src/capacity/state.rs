//! Costs of sessions, ledgers and histories at stores and fronts.

use crate::capacity::cost::{Cost, megabytes, message_core_pct};
use crate::capacity::inputs::Inputs;
use crate::capacity::messages::MessageSizes;
use yewcross_common::constants::{CACHED_SESSION_HISTORIES, RECORD_REPLICAS};

/// Disk syncs in the tier for one turn whose session, budget and outcome are registers, as
/// measured.
pub(super) const REGISTER_SYNCS_PER_TURN: f64 = 30.9;

/// Bytes sent within the tier for one turn whose session, budget and outcome are registers, as
/// measured.
pub(super) const REGISTER_BYTES_PER_TURN: f64 = 52_200.0;

/// Session, budget and outcome of every turn are replicated registers.
pub(super) fn registers(inputs: &Inputs, _: &MessageSizes) -> Cost {
    let turns_s = inputs.size.requests_s / inputs.design.stores;
    Cost {
        syncs_s: turns_s * REGISTER_SYNCS_PER_TURN,
        bytes_s: turns_s * REGISTER_BYTES_PER_TURN * 2.0,
        memory_mb: megabytes(
            inputs.size.programs * inputs.mean_history_bytes() * RECORD_REPLICAS as f64
                / inputs.design.stores,
        ),
        ..Default::default()
    }
}

/// Turns are appended to replicated logs. A turn is opened at the owner of the ledger, its ledger
/// entry is written to `lost` other disks, and the turn itself to one disk per replica.
pub(super) fn turn_logs(inputs: &Inputs, group_stores: f64, in_memory: bool) -> Cost {
    let turns_s = inputs.size.requests_s / inputs.design.stores;
    let requests_s = turns_s * (1.0 + inputs.design.lost + inputs.replicas());
    let takeover_s = inputs.size.programs / inputs.size.requests_s.max(1.0);
    let session_starts_s = inputs.size.requests_s / inputs.size.turns_max / inputs.design.stores
        * (group_stores - inputs.design.lost - 1.0);
    let written_bytes_s = turns_s * inputs.replicas() * inputs.turn_bytes();
    let read_bytes_s = turns_s * inputs.mean_history_bytes();
    let history_bytes = inputs.size.programs * inputs.mean_history_bytes() * inputs.replicas()
        / inputs.design.stores;
    let index_bytes = inputs.size.programs * inputs.size.turns_max / 2.0 * inputs.replicas() * 64.0
        / inputs.design.stores;
    let appends_s = turns_s * 2.0 * inputs.replicas();
    let group_stores_per_zone = group_stores
        / if group_stores > inputs.design.group {
            inputs.size.zones
        } else {
            inputs.size.zones / inputs.size.regions
        };
    Cost {
        messages_s: 2.0 * (requests_s + session_starts_s),
        bytes_s: 2.0 * written_bytes_s + read_bytes_s,
        memory_mb: megabytes(if in_memory { history_bytes } else { index_bytes }),
        core_pct: message_core_pct(inputs, 2.0 * (requests_s + session_starts_s)),
        // One sync covers all appends that wait for it.
        syncs_s: appends_s.min(1000.0 / inputs.design.sync_ms),
        // An empty store is filled over half of its link. The programs that a failed store owned
        // are taken over when their next turn arrives.
        recovery_s: (history_bytes / (inputs.design.link_bytes_s / 2.0)).max(takeover_s),
        violation: (group_stores_per_zone > inputs.design.lost).then(|| {
            let max_stores = inputs.design.lost * inputs.size.zones;
            format!("a zone takes {group_stores_per_zone:.0} stores of a group that bears {:.0}: at most {max_stores:.0} stores", inputs.design.lost)
        }),
    }
}

/// All stores form one group and keep the histories in memory.
pub(super) fn one_group_in_memory(inputs: &Inputs, _: &MessageSizes) -> Cost {
    turn_logs(inputs, inputs.design.stores, true)
}

/// All stores form one group and keep the histories on disk.
pub(super) fn one_group_on_disk(inputs: &Inputs, _: &MessageSizes) -> Cost {
    turn_logs(inputs, inputs.design.stores, false)
}

/// The stores of a region form groups and keep the histories on disk.
pub(super) fn regional_groups_on_disk(inputs: &Inputs, _: &MessageSizes) -> Cost {
    turn_logs(inputs, inputs.design.group.min(inputs.design.stores), false)
}

/// Bytes of a ledger without its entries.
pub(super) const LEDGER_HEADER_BYTES: f64 = 200.0;

/// Bytes of a ledger entry.
pub(super) const LEDGER_ENTRY_BYTES: f64 = 80.0;

/// Every program has a ledger with this many entries.
pub(super) fn ledgers(inputs: &Inputs, entries: f64) -> Cost {
    let bytes = inputs.size.programs
        * (LEDGER_HEADER_BYTES + entries * LEDGER_ENTRY_BYTES)
        * inputs.replicas()
        / inputs.design.stores;
    Cost {
        memory_mb: megabytes(bytes),
        recovery_s: inputs.size.programs / inputs.size.requests_s.max(1.0),
        ..Default::default()
    }
}

/// A ledger keeps one entry per turn. On average, a program has made half of its turns.
pub(super) fn ledger_entry_per_turn(inputs: &Inputs, _: &MessageSizes) -> Cost {
    ledgers(inputs, inputs.size.turns_max / 2.0)
}

/// Settled entries are merged, so that four entries remain per ledger.
pub(super) fn ledger_compacted(inputs: &Inputs, _: &MessageSizes) -> Cost {
    ledgers(inputs, 4.0)
}

/// Fronts cache histories up to a number of sessions.
pub(super) fn history_cache_by_count(inputs: &Inputs, _: &MessageSizes) -> Cost {
    let histories = (inputs.size.programs / inputs.fronts()).min(CACHED_SESSION_HISTORIES as f64);
    Cost {
        memory_mb: megabytes(histories * inputs.mean_history_bytes()),
        ..Default::default()
    }
}

/// Fronts cache histories up to a number of bytes.
pub(super) fn history_cache_by_bytes(inputs: &Inputs, _: &MessageSizes) -> Cost {
    // Histories that are not cached are read from the stores, and all are sent on to the servers.
    // The cost counts all as not cached.
    let turns_s = inputs.size.requests_s / inputs.fronts();
    Cost {
        memory_mb: inputs.design.hand_mb,
        bytes_s: 2.0 * turns_s * inputs.mean_history_bytes(),
        ..Default::default()
    }
}
