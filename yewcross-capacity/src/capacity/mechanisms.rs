//! Every mechanism of the design, built or weighed.

use crate::capacity::balancing::{
    balance_all, balance_subset, news_front, news_home, news_subset, per_class, per_tenant,
    push_each, push_paced,
};
use crate::capacity::configuration::{
    asked_in_turn, differences, leases, list_differences, list_whole, text_by_delegates, whole_text,
};
use crate::capacity::cost::{Held, Mechanism, Stand};
use crate::capacity::membership::{recent_changes, whole_tables};
use crate::capacity::state::{
    groups_disk, hand_by_bytes, hand_by_count, ledger_folded, ledger_whole, one_group_disk,
    one_group_memory, registers,
};

/// In the order of the table.
pub const MECHANISMS: &[Mechanism] = &[
    Mechanism {
        name: "membership: probes, whole tables on a change",
        stand: Stand::Weighed,
        held: Held::Control,
        cost: whole_tables,
    },
    Mechanism {
        name: "membership: probes, the latest changes",
        stand: Stand::Kept,
        held: Held::Control,
        cost: recent_changes,
    },
    Mechanism {
        name: "configuration: whole text from one core",
        stand: Stand::Today,
        held: Held::Control,
        cost: whole_text,
    },
    Mechanism {
        name: "configuration: whole text by zone delegates",
        stand: Stand::Weighed,
        held: Held::Control,
        cost: text_by_delegates,
    },
    Mechanism {
        name: "configuration: differences by zone delegates",
        stand: Stand::Next,
        held: Held::Control,
        cost: differences,
    },
    Mechanism {
        name: "in force: leases of fronts (at a core)",
        stand: Stand::Today,
        held: Held::Control,
        cost: leases,
    },
    Mechanism {
        name: "in force: one core asked in turn (at a core)",
        stand: Stand::Kept,
        held: Held::Control,
        cost: asked_in_turn,
    },
    Mechanism {
        name: "server list: whole, during a replacement",
        stand: Stand::Today,
        held: Held::Control,
        cost: list_whole,
    },
    Mechanism {
        name: "server list: differences by zone delegates",
        stand: Stand::Next,
        held: Held::Control,
        cost: list_differences,
    },
    Mechanism {
        name: "load news: all to all (home of a zone)",
        stand: Stand::Today,
        held: Held::Control,
        cost: news_home,
    },
    Mechanism {
        name: "load news: all to all (any front)",
        stand: Stand::Today,
        held: Held::Control,
        cost: news_front,
    },
    Mechanism {
        name: "load news: on answers, of a subset",
        stand: Stand::Next,
        held: Held::Control,
        cost: news_subset,
    },
    Mechanism {
        name: "balancing: state of all servers",
        stand: Stand::Today,
        held: Held::Control,
        cost: balance_all,
    },
    Mechanism {
        name: "balancing: state of a subset",
        stand: Stand::Next,
        held: Held::Control,
        cost: balance_subset,
    },
    Mechanism {
        name: "metrics: by tenant and model",
        stand: Stand::Weighed,
        held: Held::Control,
        cost: per_tenant,
    },
    Mechanism {
        name: "metrics: by model and class; lines on change",
        stand: Stand::Kept,
        held: Held::Control,
        cost: per_class,
    },
    Mechanism {
        name: "sessions as registers",
        stand: Stand::Today,
        held: Held::Store,
        cost: registers,
    },
    Mechanism {
        name: "chains: one group, values in memory",
        stand: Stand::Today,
        held: Held::Store,
        cost: one_group_memory,
    },
    Mechanism {
        name: "chains: one group, history on disk",
        stand: Stand::Weighed,
        held: Held::Store,
        cost: one_group_disk,
    },
    Mechanism {
        name: "chains: groups in a region, history on disk",
        stand: Stand::Next,
        held: Held::Store,
        cost: groups_disk,
    },
    Mechanism {
        name: "ledgers: an entry a turn",
        stand: Stand::Kept,
        held: Held::Store,
        cost: ledger_whole,
    },
    Mechanism {
        name: "ledgers: settled entries folded",
        stand: Stand::Weighed,
        held: Held::Store,
        cost: ledger_folded,
    },
    Mechanism {
        name: "histories on hand: by count",
        stand: Stand::Today,
        held: Held::Front,
        cost: hand_by_count,
    },
    Mechanism {
        name: "histories on hand: by bytes",
        stand: Stand::Kept,
        held: Held::Front,
        cost: hand_by_bytes,
    },
    Mechanism {
        name: "kv_share: every long turn pushed",
        stand: Stand::Weighed,
        held: Held::Server,
        cost: push_each,
    },
    Mechanism {
        name: "kv_share: paced to half a link",
        stand: Stand::Kept,
        held: Held::Server,
        cost: push_paced,
    },
];
