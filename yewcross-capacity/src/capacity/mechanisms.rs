//! The mechanisms of the design: implemented, planned and rejected ones.

use crate::capacity::balancing::{
    balancing_over_all, balancing_over_subset, kv_push_per_turn, kv_push_rate_limited,
    load_reports_at_designated_front, load_reports_at_other_front, load_reports_in_responses,
    metrics_per_class, metrics_per_tenant,
};
use crate::capacity::configuration::{
    config_deltas_by_delegates, front_leases, full_config_by_delegates, full_config_from_core,
    full_server_list, round_robin_version_queries, server_list_deltas,
};
use crate::capacity::cost::{DesignStatus, LimitSet, Mechanism};
use crate::capacity::membership::{full_table_exchange, recent_changes};
use crate::capacity::state::{
    history_cache_by_bytes, history_cache_by_count, ledger_compacted, ledger_entry_per_turn,
    one_group_in_memory, one_group_on_disk, regional_groups_on_disk, registers,
};

/// All mechanisms, in the order of the table.
pub const MECHANISMS: &[Mechanism] = &[
    Mechanism {
        name: "membership: probes, whole tables on a change",
        status: DesignStatus::Weighed,
        limit_set: LimitSet::Control,
        cost: full_table_exchange,
    },
    Mechanism {
        name: "membership: probes, the latest changes",
        status: DesignStatus::Kept,
        limit_set: LimitSet::Control,
        cost: recent_changes,
    },
    Mechanism {
        name: "configuration: whole text from one core",
        status: DesignStatus::Today,
        limit_set: LimitSet::Control,
        cost: full_config_from_core,
    },
    Mechanism {
        name: "configuration: whole text by zone delegates",
        status: DesignStatus::Weighed,
        limit_set: LimitSet::Control,
        cost: full_config_by_delegates,
    },
    Mechanism {
        name: "configuration: differences by zone delegates",
        status: DesignStatus::Next,
        limit_set: LimitSet::Control,
        cost: config_deltas_by_delegates,
    },
    Mechanism {
        name: "in force: leases of fronts (at a core)",
        status: DesignStatus::Today,
        limit_set: LimitSet::Control,
        cost: front_leases,
    },
    Mechanism {
        name: "in force: one core asked in turn (at a core)",
        status: DesignStatus::Kept,
        limit_set: LimitSet::Control,
        cost: round_robin_version_queries,
    },
    Mechanism {
        name: "server list: whole, during a replacement",
        status: DesignStatus::Today,
        limit_set: LimitSet::Control,
        cost: full_server_list,
    },
    Mechanism {
        name: "server list: differences by zone delegates",
        status: DesignStatus::Next,
        limit_set: LimitSet::Control,
        cost: server_list_deltas,
    },
    Mechanism {
        name: "load news: all to all (home of a zone)",
        status: DesignStatus::Today,
        limit_set: LimitSet::Control,
        cost: load_reports_at_designated_front,
    },
    Mechanism {
        name: "load news: all to all (any front)",
        status: DesignStatus::Today,
        limit_set: LimitSet::Control,
        cost: load_reports_at_other_front,
    },
    Mechanism {
        name: "load news: on answers, of a subset",
        status: DesignStatus::Next,
        limit_set: LimitSet::Control,
        cost: load_reports_in_responses,
    },
    Mechanism {
        name: "balancing: state of all servers",
        status: DesignStatus::Today,
        limit_set: LimitSet::Control,
        cost: balancing_over_all,
    },
    Mechanism {
        name: "balancing: state of a subset",
        status: DesignStatus::Next,
        limit_set: LimitSet::Control,
        cost: balancing_over_subset,
    },
    Mechanism {
        name: "metrics: by tenant and model",
        status: DesignStatus::Weighed,
        limit_set: LimitSet::Control,
        cost: metrics_per_tenant,
    },
    Mechanism {
        name: "metrics: by model and class; lines on change",
        status: DesignStatus::Kept,
        limit_set: LimitSet::Control,
        cost: metrics_per_class,
    },
    Mechanism {
        name: "sessions as registers",
        status: DesignStatus::Today,
        limit_set: LimitSet::Store,
        cost: registers,
    },
    Mechanism {
        name: "chains: one group, values in memory",
        status: DesignStatus::Today,
        limit_set: LimitSet::Store,
        cost: one_group_in_memory,
    },
    Mechanism {
        name: "chains: one group, history on disk",
        status: DesignStatus::Weighed,
        limit_set: LimitSet::Store,
        cost: one_group_on_disk,
    },
    Mechanism {
        name: "chains: groups in a region, history on disk",
        status: DesignStatus::Next,
        limit_set: LimitSet::Store,
        cost: regional_groups_on_disk,
    },
    Mechanism {
        name: "ledgers: an entry a turn",
        status: DesignStatus::Kept,
        limit_set: LimitSet::Store,
        cost: ledger_entry_per_turn,
    },
    Mechanism {
        name: "ledgers: settled entries folded",
        status: DesignStatus::Weighed,
        limit_set: LimitSet::Store,
        cost: ledger_compacted,
    },
    Mechanism {
        name: "histories on hand: by count",
        status: DesignStatus::Today,
        limit_set: LimitSet::Front,
        cost: history_cache_by_count,
    },
    Mechanism {
        name: "histories on hand: by bytes",
        status: DesignStatus::Kept,
        limit_set: LimitSet::Front,
        cost: history_cache_by_bytes,
    },
    Mechanism {
        name: "kv_share: every long turn pushed",
        status: DesignStatus::Weighed,
        limit_set: LimitSet::Server,
        cost: kv_push_per_turn,
    },
    Mechanism {
        name: "kv_share: paced to half a link",
        status: DesignStatus::Kept,
        limit_set: LimitSet::Server,
        cost: kv_push_rate_limited,
    },
];
