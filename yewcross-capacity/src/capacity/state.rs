//! Sessions, ledgers and histories: what stores and fronts keep.

use crate::capacity::cost::{Cost, core, mb};
use crate::capacity::inputs::Inputs;
use crate::capacity::messages::Messages;
use yewcross_common::constants::{CACHED_SESSION_HISTORIES, RECORD_REPLICAS};

/// As measured: syncs and bytes inside the tier for one turn whose session, budget and outcome are
/// registers.
pub(super) const REGISTER_SYNCS: f64 = 30.9;

pub(super) const REGISTER_BYTES: f64 = 52_200.0;

pub(super) fn registers(i: &Inputs, _: &Messages) -> Cost {
    let s = i.size.requests_s / i.ours.stores;
    Cost {
        syncs_s: s * REGISTER_SYNCS,
        bytes_s: s * REGISTER_BYTES * 2.0,
        memory_mb: mb(i.size.programs * i.history() * RECORD_REPLICAS as f64 / i.ours.stores),
        ..Default::default()
    }
}

/// Chains of turns: an open at the ledger's owner, its entry on other disks, the turn on enough
/// disks.
pub(super) fn chains(i: &Inputs, group: f64, in_memory: bool) -> Cost {
    let per = i.size.requests_s / i.ours.stores;
    let asks = per * (1.0 + i.ours.lost + i.copies());
    let takes = i.size.programs / i.size.requests_s.max(1.0);
    let starts = i.size.requests_s / i.size.turns_max / i.ours.stores * (group - i.ours.lost - 1.0);
    let writes = per * i.copies() * i.turn();
    let reads = per * i.history();
    let held = i.size.programs * i.history() * i.copies() / i.ours.stores;
    let index = i.size.programs * i.size.turns_max / 2.0 * i.copies() * 64.0 / i.ours.stores;
    let items = per * 2.0 * i.copies();
    let zone = group
        / if group > i.ours.group {
            i.size.zones
        } else {
            i.size.zones / i.size.regions
        };
    Cost {
        messages_s: 2.0 * (asks + starts),
        bytes_s: 2.0 * writes + reads,
        memory_mb: mb(if in_memory { held } else { index }),
        core_pct: core(i, 2.0 * (asks + starts)),
        // A sync takes all that waits for it.
        syncs_s: items.min(1000.0 / i.ours.sync_ms),
        // An empty store is filled over half of its link; what it owned is taken over as turns
        // come.
        recovery_s: (held / (i.ours.link_bytes_s / 2.0)).max(takes),
        wrong: (zone > i.ours.lost).then(|| {
            let most = i.ours.lost * i.size.zones;
            format!("a zone takes {zone:.0} stores of a group that bears {:.0}: at most {most:.0} stores", i.ours.lost)
        }),
    }
}

pub(super) fn one_group_memory(i: &Inputs, _: &Messages) -> Cost {
    chains(i, i.ours.stores, true)
}

pub(super) fn one_group_disk(i: &Inputs, _: &Messages) -> Cost {
    chains(i, i.ours.stores, false)
}

pub(super) fn groups_disk(i: &Inputs, _: &Messages) -> Cost {
    chains(i, i.ours.group.min(i.ours.stores), false)
}

/// bytes. A ledger's head, and an entry of it.
pub(super) const LEDGER: f64 = 200.0;

pub(super) const ENTRY: f64 = 80.0;

pub(super) fn ledger(i: &Inputs, entries: f64) -> Cost {
    let b = i.size.programs * (LEDGER + entries * ENTRY) * i.copies() / i.ours.stores;
    Cost {
        memory_mb: mb(b),
        recovery_s: i.size.programs / i.size.requests_s.max(1.0),
        ..Default::default()
    }
}

pub(super) fn ledger_whole(i: &Inputs, _: &Messages) -> Cost {
    ledger(i, i.size.turns_max / 2.0)
}

pub(super) fn ledger_folded(i: &Inputs, _: &Messages) -> Cost {
    ledger(i, 4.0)
}

pub(super) fn hand_by_count(i: &Inputs, _: &Messages) -> Cost {
    let n = (i.size.programs / i.fronts()).min(CACHED_SESSION_HISTORIES as f64);
    Cost {
        memory_mb: mb(n * i.history()),
        ..Default::default()
    }
}

pub(super) fn hand_by_bytes(i: &Inputs, _: &Messages) -> Cost {
    // What is not on hand comes from the stores, and all goes on to the servers.
    let turns = i.size.requests_s / i.fronts();
    Cost {
        memory_mb: i.ours.hand_mb,
        bytes_s: 2.0 * turns * i.history(),
        ..Default::default()
    }
}
