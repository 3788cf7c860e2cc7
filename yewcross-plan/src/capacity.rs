//! What each mechanism costs at a given size, worked out from its own arithmetic, and the size at which it breaks.
//!
//! Sizes of messages are those of real ones, put together here; intervals are the daemons' own constants; what a message
//! costs in processor time is measured (`measure`).

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use yewcross::ask::{Ask, Listed, Report, Tell};
use yewcross::consts::*;
use yewcross::member::Node;
use yewcross::real::Real;
use yewcross::route::Route;
use yewcross::wire::{Listener, Parcel, Peers, pack};
use yewcross::world::{Fut, World};

/// bytes. Ethernet, IP and TCP heads of a frame that fits one packet.
const PACKET: f64 = 66.0;
/// Seconds in a day.
const DAY: f64 = 86_400.0;

macro_rules! part {
    ($(#[$m:meta])* $name:ident { $($f:ident),* $(,)? }) => {
        $(#[$m])*
        #[derive(Clone, Debug, Serialize, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct $name { $(pub $f: f64,)* }
        impl $name {
            fn faults(&self, at: &str, v: &mut Vec<String>) {
                $(if !self.$f.is_finite() || self.$f < 0.0 { v.push(format!("{at}.{}: must be 0 or more", stringify!($f))); })*
            }
        }
    };
}

part!(
    /// How much there is of everything.
    Size { nodes, control_machines, servers, requests_s, tokens_s, programs, turns_max, history_tokens, tenants, models, regions, zones }
);
part!(
    /// What happens in a day.
    Day { config_changes, failed, restarted }
);
part!(
    /// What control may cost a node: percent of a core, MB, bytes a second; and s until a configuration is in force.
    Limits { core_pct, memory_mb, bytes_s, in_force_s }
);
part!(
    /// Our own choices and readings.
    Ours {
        stores,
        store_memory_mb,
        link_bytes_s,
        server_link_bytes_s,
        sync_ms,
        lost,
        group,
        token_bytes,
        routes,
        routes_changed,
        states,
        subset,
        idle_s,
        core_seats,
        hand_mb,
        turnover_s,
    }
);
part!(
    /// Measured: us of processor a message and end, us a digest of the table takes for each node in it, us to read a kB of
    /// configuration, kB of memory that a link takes at one end.
    Costs { message_us, digest_us_node, parse_us_kb, link_kb }
);

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inputs {
    pub size: Size,
    pub day: Day,
    pub limits: Limits,
    pub ours: Ours,
    pub costs: Costs,
}

/// The size two years on, as it is given.
pub const GIVEN: &str = include_str!("../capacity.toml");

impl Inputs {
    /// Reads and checks whole; the error names every fault.
    pub fn read(text: &str) -> Result<Inputs, String> {
        let i: Inputs = toml::from_str(text).map_err(|e| e.message().to_string())?;
        let mut v = vec![];
        i.size.faults("size", &mut v);
        i.day.faults("day", &mut v);
        i.limits.faults("limits", &mut v);
        i.ours.faults("ours", &mut v);
        i.costs.faults("costs", &mut v);
        let above = [("size.nodes", i.size.nodes), ("size.zones", i.size.zones), ("ours.stores", i.ours.stores)];
        v.extend(above.iter().filter(|x| x.1 < 1.0).map(|x| format!("{}: must be 1 or more", x.0)));
        if i.size.nodes <= i.size.control_machines + i.ours.stores {
            v.push("size.nodes: must be above size.control_machines and ours.stores".into());
        }
        if v.is_empty() { Ok(i) } else { Err(v.join("; ")) }
    }

    /// The same tier so many times as large: more of everything, in the same places, over the same day.
    pub fn times(&self, x: f64) -> Inputs {
        let mut i = self.clone();
        let s = &mut i.size;
        for f in [&mut s.nodes, &mut s.servers, &mut s.requests_s, &mut s.tokens_s, &mut s.programs, &mut s.tenants] {
            *f *= x;
        }
        for f in [&mut i.day.config_changes, &mut i.day.failed, &mut i.day.restarted, &mut i.ours.routes, &mut i.ours.stores] {
            *f *= x;
        }
        i.ours.turnover_s /= x;
        i
    }

    /// So many times the load on the same machines.
    pub fn load(&self, x: f64) -> Inputs {
        let mut i = self.clone();
        for f in [&mut i.size.requests_s, &mut i.size.tokens_s, &mut i.size.programs] {
            *f *= x;
        }
        i
    }

    fn fronts(&self) -> f64 {
        (self.size.nodes - self.size.control_machines - self.ours.stores).max(1.0)
    }

    /// Changes of the table a second: every failure and restart of the day taken for one of our nodes.
    fn moves_s(&self) -> f64 {
        (self.day.failed + self.day.restarted) * self.ours.states / DAY
    }

    fn config_s(&self) -> f64 {
        self.day.config_changes / DAY
    }

    /// Bytes of history that a program holds on average: half of the most.
    fn history(&self) -> f64 {
        self.size.history_tokens / 2.0 * self.ours.token_bytes
    }

    /// Bytes that one turn adds at most.
    fn turn(&self) -> f64 {
        self.size.history_tokens / self.size.turns_max * self.ours.token_bytes
    }

    fn copies(&self) -> f64 {
        self.ours.lost + 1.0
    }
}

/// bytes. Real messages of the product, with names of the usual length.
#[derive(Clone, Debug, Serialize)]
pub struct Messages {
    /// A frame with nothing in it.
    pub frame: f64,
    pub probe: f64,
    pub newer: f64,
    pub node: f64,
    pub report: f64,
    pub listed: f64,
    pub route: f64,
    pub poll: f64,
}

fn bytes<T: Serialize>(v: &T) -> f64 {
    serde_json::to_vec(v).map(|b| b.len() as f64).unwrap_or(0.0)
}

fn frame(reply: bool, body: &Value, blob: usize) -> f64 {
    let body = serde_json::to_vec(body).unwrap_or_default();
    pack(WIRE_VERSION, 1 << 20, reply, "front-0123", "region-zone-a", &body, &vec![0; blob]).len() as f64
}

fn made<T: for<'a> Deserialize<'a> + Serialize>(v: Value) -> f64 {
    serde_json::from_value::<T>(v).map(|x| bytes(&x)).unwrap_or(0.0)
}

impl Messages {
    pub fn now() -> Messages {
        let dig = 0x9c41_d07b_e2a3_5f68u64;
        let have = json!([["config", 5600], ["layout", 40], ["list", 90_000]]);
        Messages {
            frame: pack(WIRE_VERSION, 1 << 20, true, "front-0123", "region-zone-a", &[], &[]).len() as f64,
            probe: frame(false, &json!({"Probe": {"dig": dig}}), 0)
                + frame(true, &json!({"Probe": {"dig": dig, "nodes": [], "wall": 1_796_000_000_000u64}}), 0),
            newer: frame(false, &json!({"Newer": {"have": have, "front": true}}), 0)
                + frame(true, &json!({"Newer": {"newest": have, "sure": true}}), 0),
            node: made::<Node>(json!({"name": "front-0123", "born": 459_776_000_000_000u64, "inc": 0, "state": "Alive", "role": "front",
                "site": "region-zone-a", "peer": "10.128.10.123:7380", "http": "10.128.10.123:8149", "disk": "", "wire": 2})),
            report: made::<Report>(json!({"service": "model-07", "server": "i-7f3a91c2", "inst": 28_736_000_000_000u64, "seq": 1_000_000,
                "slots": 96, "running": 61, "waiting": 3, "weights": "w-2028-11-02", "placed": 1u64 << 40, "cache": 257_309,
                "per_k": 30_864, "per_out": 6_120})),
            listed: made::<Listed>(json!({"server": "i-7f3a91c2", "service": "model-07", "addr": "10.128.10.9:8080",
                "site": "region-zone-a"})),
            route: made::<Route>(json!({"name": "r-b9wu3fe", "host": "tenant-01234.example", "prefix": "/pufi791/", "mode": "stream",
                "variants": [["model-07", 100]], "timeout_ms": 6000, "target_ms": 600, "max_tries": 2, "rank": 1, "retained": true,
                "retain_ms": 3_600_000, "pinned": true, "gap_ms": 28})),
            poll: "GET /report HTTP/1.1\r\nhost: 10.128.10.9:8080\r\nHTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 330\r\n\r\n\r\n".len() as f64,
        }
    }
}

/// What a mechanism costs one node: the one that bears the most of it, where they differ.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Cost {
    /// Messages sent, received and answered a second.
    pub messages_s: f64,
    /// Bytes in and out a second.
    pub bytes_s: f64,
    pub memory_mb: f64,
    /// Percent of a core.
    pub core_pct: f64,
    pub syncs_s: f64,
    /// s until it has done its work after a failure or a change.
    pub recovery_s: f64,
    /// What else keeps it from working.
    pub wrong: Option<String>,
}

/// What a mechanism is held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Held {
    /// The limits of control.
    Control,
    /// A store's memory, link and disk.
    Store,
    /// A front's memory and link.
    Front,
    /// A server's link.
    Server,
}

/// Where a mechanism stands in the design.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Stand {
    /// Built, and to be replaced.
    Today,
    /// Built, and stays.
    Kept,
    /// Replaces what is built.
    Next,
    /// Weighed and not taken.
    Weighed,
}

pub struct Mechanism {
    pub name: &'static str,
    pub stand: Stand,
    pub held: Held,
    pub cost: fn(&Inputs, &Messages) -> Cost,
}

#[derive(Clone, Debug, Serialize)]
pub struct Line {
    pub name: &'static str,
    pub stand: Stand,
    pub held: Held,
    pub cost: Cost,
    /// What is passed, in words; empty where it fits.
    pub passes: Vec<String>,
    /// Up to which part of the given size it fits; where a machine's own load counts, of the load on the same machines.
    pub up_to: f64,
}

/// Pure processor time of so many messages a second.
fn core(i: &Inputs, messages_s: f64) -> f64 {
    messages_s * i.costs.message_us / 10_000.0
}

fn mb(b: f64) -> f64 {
    b / 1e6
}

fn beats_s() -> f64 {
    SEC as f64 / PROBE_EVERY as f64
}

/// s from a node's end until all know it: a probe's turn, its wait, the helpers' wait, suspicion, and its spread.
fn spread_s(i: &Inputs) -> f64 {
    let us = (PROBE_EVERY + 3 * PROBE_WAIT + SUSPECT_FOR) as f64 + i.size.nodes.log2().ceil() * PROBE_EVERY as f64;
    us / SEC as f64
}

/// Each node probes one other a beat, and is probed once; while a change spreads, exchanges carry more.
fn membership(i: &Inputs, m: &Messages, carried: f64, digests: f64) -> Cost {
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

fn whole_tables(i: &Inputs, m: &Messages) -> Cost {
    // The answer brings the table, and both are then swapped. A digest is made three times an exchange.
    membership(i, m, 3.0 * i.size.nodes * m.node, 1.5 * 2.0 * beats_s())
}

fn recent_changes(i: &Inputs, m: &Messages) -> Cost {
    // Both ways at most so many of the latest. A digest is made once a change.
    membership(i, m, 2.0 * NEWS_MOST as f64 * m.node, i.moves_s())
}

fn config_text(i: &Inputs, m: &Messages) -> f64 {
    i.ours.routes * m.route
}

/// The document carries the texts of the versions before along with the newest.
fn whole_text(i: &Inputs, m: &Messages) -> Cost {
    let t = config_text(i, m);
    let doc = t * (1.0 + PAST_KEPT as f64);
    Cost {
        messages_s: 2.0 * i.config_s(),
        bytes_s: i.config_s() * doc,
        // Page, and the parsed tree, as large as its text.
        memory_mb: mb(doc + t),
        core_pct: core(i, 2.0 * i.config_s()) + i.config_s() * (doc + t) / 1000.0 * i.costs.parse_us_kb / 10_000.0,
        // One machine sends it to all.
        recovery_s: doc * i.size.nodes / i.ours.link_bytes_s,
        wrong: (t > BODY_MAX as f64).then(|| format!("a text of {:.1} MB, of which {:.1} are taken", mb(t), mb(BODY_MAX as f64))),
        ..Default::default()
    }
}

fn text_by_delegates(i: &Inputs, m: &Messages) -> Cost {
    let t = config_text(i, m);
    let per_zone = i.size.nodes / i.size.zones;
    Cost {
        messages_s: 2.0 * i.config_s() * (1.0 + per_zone),
        bytes_s: i.config_s() * t * (1.0 + per_zone),
        memory_mb: mb(2.0 * t),
        core_pct: core(i, 2.0 * i.config_s() * (1.0 + per_zone)) + i.config_s() * t / 1000.0 * i.costs.parse_us_kb / 10_000.0,
        recovery_s: t * (i.size.zones + per_zone) / i.ours.link_bytes_s,
        ..Default::default()
    }
}

fn differences(i: &Inputs, m: &Messages) -> Cost {
    let d = i.ours.routes_changed * m.route;
    let per_zone = i.size.nodes / i.size.zones;
    // A delegate passes it on within its zone. A restarted node fetches the whole from a neighbour.
    let whole = config_text(i, m) * (i.day.failed + i.day.restarted) / DAY / i.size.nodes * 2.0;
    Cost {
        messages_s: 2.0 * i.config_s() * (1.0 + per_zone),
        bytes_s: i.config_s() * (d + 2.0 * PACKET) * (1.0 + per_zone) + whole,
        memory_mb: mb(2.0 * config_text(i, m)),
        core_pct: core(i, 2.0 * i.config_s() * (1.0 + per_zone)) + i.config_s() * d / 1000.0 * i.costs.parse_us_kb / 10_000.0,
        recovery_s: config_text(i, m) / i.ours.link_bytes_s + 3.0 * PEER_WAIT as f64 / SEC as f64,
        ..Default::default()
    }
}

/// A front that holds a lease asks three cores and more, three times a second; shown for a core.
fn leases(i: &Inputs, m: &Messages) -> Cost {
    let n = i.size.control_machines;
    let asked = n - (n / 2.0).floor() - 1.0 + 2.0;
    let s = i.fronts() * asked * (SEC as f64 / SERVE_ASK as f64) / n;
    Cost { messages_s: 2.0 * s, bytes_s: s * (m.newer + 2.0 * PACKET), core_pct: core(i, 2.0 * s), ..Default::default() }
}

/// Every node asks one core five times in the time allowed for a configuration; shown for a core.
fn asked_in_turn(i: &Inputs, m: &Messages) -> Cost {
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
fn list_whole(i: &Inputs, m: &Messages) -> Cost {
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

fn list_differences(i: &Inputs, m: &Messages) -> Cost {
    let s = 2.0 / i.ours.turnover_s;
    let per_zone = i.size.nodes / i.size.zones;
    Cost {
        messages_s: 2.0 * s * (1.0 + per_zone),
        bytes_s: s * (m.listed + 2.0 * PACKET) * (1.0 + per_zone),
        memory_mb: mb(2.0 * i.size.servers * m.listed),
        core_pct: core(i, 2.0 * s * (1.0 + per_zone)),
        recovery_s: 3.0 * PEER_WAIT as f64 / SEC as f64,
        ..Default::default()
    }
}

fn polls_s() -> f64 {
    SEC as f64 / REPORT_EVERY as f64
}

/// The home node of a service and zone polls every server there, tells its zone, and passes on what other zones tell. A
/// service is a model.
fn news_home(i: &Inputs, m: &Messages) -> Cost {
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
fn news_front(i: &Inputs, m: &Messages) -> Cost {
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

/// Load comes on the answers of the servers that a front balances over; one that was not used for a while is asked.
fn news_subset(i: &Inputs, m: &Messages) -> Cost {
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
const PARTS: f64 = 257.0;
/// bytes. A part in a list of those used latest.
const PART: f64 = 64.0;
/// bytes. What is counted of a server beside its parts.
const SEAT: f64 = 300.0;

fn balance(i: &Inputs, servers: f64) -> Cost {
    let each = i.fronts() * servers / i.size.servers;
    let conns = 480.0;
    let few = conns / each < 8.0;
    Cost {
        memory_mb: mb(servers * (PARTS * PART + SEAT)),
        wrong: few.then(|| format!("{:.1} connections to a server for each of its {each:.0} fronts", conns / each)),
        ..Default::default()
    }
}

fn balance_all(i: &Inputs, _: &Messages) -> Cost {
    balance(i, i.size.servers)
}

fn balance_subset(i: &Inputs, _: &Messages) -> Cost {
    balance(i, i.ours.subset.min(i.size.servers))
}

/// As measured: syncs and bytes inside the tier for one turn whose session, budget and outcome are registers.
const REGISTER_SYNCS: f64 = 30.9;
const REGISTER_BYTES: f64 = 52_200.0;

fn registers(i: &Inputs, _: &Messages) -> Cost {
    let s = i.size.requests_s / i.ours.stores;
    Cost {
        syncs_s: s * REGISTER_SYNCS,
        bytes_s: s * REGISTER_BYTES * 2.0,
        memory_mb: mb(i.size.programs * i.history() * STORE_COPIES as f64 / i.ours.stores),
        ..Default::default()
    }
}

/// Chains of turns: an open at the ledger's owner, its entry on other disks, the turn on enough disks.
fn chains(i: &Inputs, group: f64, in_memory: bool) -> Cost {
    let per = i.size.requests_s / i.ours.stores;
    let asks = per * (1.0 + i.ours.lost + i.copies());
    let takes = i.size.programs / i.size.requests_s.max(1.0);
    let starts = i.size.requests_s / i.size.turns_max / i.ours.stores * (group - i.ours.lost - 1.0);
    let writes = per * i.copies() * i.turn();
    let reads = per * i.history();
    let held = i.size.programs * i.history() * i.copies() / i.ours.stores;
    let index = i.size.programs * i.size.turns_max / 2.0 * i.copies() * 64.0 / i.ours.stores;
    let items = per * 2.0 * i.copies();
    let zone = group / if group > i.ours.group { i.size.zones } else { i.size.zones / i.size.regions };
    Cost {
        messages_s: 2.0 * (asks + starts),
        bytes_s: 2.0 * writes + reads,
        memory_mb: mb(if in_memory { held } else { index }),
        core_pct: core(i, 2.0 * (asks + starts)),
        // A sync takes all that waits for it.
        syncs_s: items.min(1000.0 / i.ours.sync_ms),
        // An empty store is filled over half of its link; what it owned is taken over as turns come.
        recovery_s: (held / (i.ours.link_bytes_s / 2.0)).max(takes),
        wrong: (zone > i.ours.lost).then(|| {
            let most = i.ours.lost * i.size.zones;
            format!("a zone takes {zone:.0} stores of a group that bears {:.0}: at most {most:.0} stores", i.ours.lost)
        }),
    }
}

fn one_group_memory(i: &Inputs, _: &Messages) -> Cost {
    chains(i, i.ours.stores, true)
}

fn one_group_disk(i: &Inputs, _: &Messages) -> Cost {
    chains(i, i.ours.stores, false)
}

fn groups_disk(i: &Inputs, _: &Messages) -> Cost {
    chains(i, i.ours.group.min(i.ours.stores), false)
}

/// bytes. A ledger's head, and an entry of it.
const LEDGER: f64 = 200.0;
const ENTRY: f64 = 80.0;

fn ledger(i: &Inputs, entries: f64) -> Cost {
    let b = i.size.programs * (LEDGER + entries * ENTRY) * i.copies() / i.ours.stores;
    Cost { memory_mb: mb(b), recovery_s: i.size.programs / i.size.requests_s.max(1.0), ..Default::default() }
}

fn ledger_whole(i: &Inputs, _: &Messages) -> Cost {
    ledger(i, i.size.turns_max / 2.0)
}

fn ledger_folded(i: &Inputs, _: &Messages) -> Cost {
    ledger(i, 4.0)
}

fn hand_by_count(i: &Inputs, _: &Messages) -> Cost {
    let n = (i.size.programs / i.fronts()).min(HAND_SESSIONS as f64);
    Cost { memory_mb: mb(n * i.history()), ..Default::default() }
}

fn hand_by_bytes(i: &Inputs, _: &Messages) -> Cost {
    // What is not on hand comes from the stores, and all goes on to the servers.
    let turns = i.size.requests_s / i.fronts();
    Cost { memory_mb: i.ours.hand_mb, bytes_s: 2.0 * turns * i.history(), ..Default::default() }
}

fn push_each(i: &Inputs, _: &Messages) -> Cost {
    let tokens = i.size.history_tokens / i.size.turns_max;
    let s = i.size.requests_s / i.size.servers;
    Cost {
        bytes_s: 2.0 * s * tokens * KV_TOKEN_BYTES as f64,
        recovery_s: i.size.history_tokens * KV_TOKEN_BYTES as f64 / i.ours.server_link_bytes_s,
        ..Default::default()
    }
}

fn push_paced(i: &Inputs, m: &Messages) -> Cost {
    let c = push_each(i, m);
    Cost { bytes_s: c.bytes_s.min(i.ours.server_link_bytes_s / 2.0), ..c }
}

fn per_tenant(i: &Inputs, _: &Messages) -> Cost {
    let n = i.size.tenants * i.size.models * 8.0;
    Cost { memory_mb: mb(n * 16.0), bytes_s: n * 20.0 / 15.0, ..Default::default() }
}

fn per_class(i: &Inputs, _: &Messages) -> Cost {
    let n = 100.0 + i.size.models * 3.0 * 8.0;
    let lines = i.moves_s() * 60.0 + i.config_s() * 60.0;
    Cost { memory_mb: mb(n * 16.0), bytes_s: n * 20.0 / 15.0 + lines, messages_s: 2.0 / 15.0, ..Default::default() }
}

pub const MECHANISMS: &[Mechanism] = &[
    Mechanism { name: "membership: probes, whole tables on a change", stand: Stand::Weighed, held: Held::Control, cost: whole_tables },
    Mechanism { name: "membership: probes, the latest changes", stand: Stand::Kept, held: Held::Control, cost: recent_changes },
    Mechanism { name: "configuration: whole text from one core", stand: Stand::Today, held: Held::Control, cost: whole_text },
    Mechanism { name: "configuration: whole text by zone delegates", stand: Stand::Weighed, held: Held::Control, cost: text_by_delegates },
    Mechanism { name: "configuration: differences by zone delegates", stand: Stand::Next, held: Held::Control, cost: differences },
    Mechanism { name: "in force: leases of fronts (at a core)", stand: Stand::Today, held: Held::Control, cost: leases },
    Mechanism { name: "in force: one core asked in turn (at a core)", stand: Stand::Kept, held: Held::Control, cost: asked_in_turn },
    Mechanism { name: "server list: whole, during a replacement", stand: Stand::Today, held: Held::Control, cost: list_whole },
    Mechanism { name: "server list: differences by zone delegates", stand: Stand::Next, held: Held::Control, cost: list_differences },
    Mechanism { name: "load news: all to all (home of a zone)", stand: Stand::Today, held: Held::Control, cost: news_home },
    Mechanism { name: "load news: all to all (any front)", stand: Stand::Today, held: Held::Control, cost: news_front },
    Mechanism { name: "load news: on answers, of a subset", stand: Stand::Next, held: Held::Control, cost: news_subset },
    Mechanism { name: "balancing: state of all servers", stand: Stand::Today, held: Held::Control, cost: balance_all },
    Mechanism { name: "balancing: state of a subset", stand: Stand::Next, held: Held::Control, cost: balance_subset },
    Mechanism { name: "metrics: by tenant and model", stand: Stand::Weighed, held: Held::Control, cost: per_tenant },
    Mechanism { name: "metrics: by model and class; lines on change", stand: Stand::Kept, held: Held::Control, cost: per_class },
    Mechanism { name: "sessions as registers", stand: Stand::Today, held: Held::Store, cost: registers },
    Mechanism { name: "chains: one group, values in memory", stand: Stand::Today, held: Held::Store, cost: one_group_memory },
    Mechanism { name: "chains: one group, history on disk", stand: Stand::Weighed, held: Held::Store, cost: one_group_disk },
    Mechanism { name: "chains: groups in a region, history on disk", stand: Stand::Next, held: Held::Store, cost: groups_disk },
    Mechanism { name: "ledgers: an entry a turn", stand: Stand::Kept, held: Held::Store, cost: ledger_whole },
    Mechanism { name: "ledgers: settled entries folded", stand: Stand::Weighed, held: Held::Store, cost: ledger_folded },
    Mechanism { name: "histories on hand: by count", stand: Stand::Today, held: Held::Front, cost: hand_by_count },
    Mechanism { name: "histories on hand: by bytes", stand: Stand::Kept, held: Held::Front, cost: hand_by_bytes },
    Mechanism { name: "kv_share: every long turn pushed", stand: Stand::Weighed, held: Held::Server, cost: push_each },
    Mechanism { name: "kv_share: paced to half a link", stand: Stand::Kept, held: Held::Server, cost: push_paced },
];

/// Everything of the next design that control has to do, as if one node bore all of it.
pub fn sum(lines: &[Line]) -> Cost {
    let of = |f: fn(&Cost) -> f64| {
        let mine = |l: &&Line| l.held == Held::Control && [Stand::Kept, Stand::Next].contains(&l.stand);
        lines.iter().filter(mine).map(|l| f(&l.cost)).sum::<f64>()
    };
    Cost {
        messages_s: of(|c| c.messages_s),
        bytes_s: of(|c| c.bytes_s),
        memory_mb: of(|c| c.memory_mb),
        core_pct: of(|c| c.core_pct),
        ..Default::default()
    }
}

/// What a cost passes, in words.
pub fn passes(i: &Inputs, held: Held, c: &Cost) -> Vec<String> {
    let mut v: Vec<String> = c.wrong.iter().cloned().collect();
    let mut over = |what: &str, got: f64, max: f64| {
        if got > max {
            v.push(format!("{what} {:.1} times", got / max));
        }
    };
    match held {
        Held::Control => {
            over("core", c.core_pct, i.limits.core_pct);
            over("memory", c.memory_mb, i.limits.memory_mb);
            over("bytes", c.bytes_s, i.limits.bytes_s);
            over("time", c.recovery_s, i.limits.in_force_s);
        }
        Held::Store => {
            over("memory", c.memory_mb, i.ours.store_memory_mb);
            over("link", c.bytes_s, i.ours.link_bytes_s);
            over("syncs", c.syncs_s, 1000.0 / i.ours.sync_ms);
        }
        Held::Front => {
            over("memory", c.memory_mb, i.limits.memory_mb);
            over("link", c.bytes_s, i.ours.link_bytes_s);
        }
        // Half of a link at most goes to replicas.
        Held::Server => over("half a link", c.bytes_s, i.ours.server_link_bytes_s / 2.0),
    }
    v
}

/// The largest part of the given size that fits, up to 64 times it.
fn up_to(i: &Inputs, msg: &Messages, m: &Mechanism) -> f64 {
    let fits = |x: f64| {
        let j = if m.held == Held::Control { i.times(x) } else { i.load(x) };
        passes(&j, m.held, &(m.cost)(&j, msg)).is_empty()
    };
    let (mut lo, mut hi) = (0.0, 64.0);
    if fits(hi) {
        return hi;
    }
    (0..60).for_each(|_| {
        let x = (lo + hi) / 2.0;
        *(if fits(x) { &mut lo } else { &mut hi }) = x;
    });
    lo
}

pub fn table(i: &Inputs) -> Vec<Line> {
    let msg = Messages::now();
    let line = |m: &Mechanism| {
        let cost = (m.cost)(i, &msg);
        let x = up_to(i, &msg, m);
        Line { name: m.name, stand: m.stand, held: m.held, passes: passes(i, m.held, &cost), cost, up_to: x }
    };
    MECHANISMS.iter().map(line).collect()
}

fn short(x: f64) -> String {
    match x {
        0.0 => "-".into(),
        x if x >= 1e9 => format!("{:.1} G", x / 1e9),
        x if x >= 1e6 => format!("{:.1} M", x / 1e6),
        x if x >= 1e4 => format!("{:.0} k", x / 1e3),
        x if x >= 100.0 => format!("{x:.0}"),
        x if x >= 1.0 => format!("{x:.1}"),
        x => format!("{x:.3}"),
    }
}

/// The page's table: per node, bytes in and out.
pub fn text(lines: &[Line]) -> String {
    let mut s = String::new();
    let mut say = |l: String| writeln!(s, "{l}").unwrap_or_default();
    say("| mechanism | | messages/s | bytes/s | MB | % core | syncs/s | s | fits up to | passes |".into());
    say("|---|---|---|---|---|---|---|---|---|---|".into());
    let cells = |c: &Cost| [c.messages_s, c.bytes_s, c.memory_mb, c.core_pct, c.syncs_s, c.recovery_s].map(short).join(" | ");
    lines.iter().for_each(|l| {
        let stand = format!("{:?}", l.stand).to_lowercase();
        let to = match l.up_to {
            x if x >= 64.0 => "64 x".to_string(),
            x if x < 0.0005 => "no size".to_string(),
            x if x < 0.1 => format!("{x:.3} x"),
            x => format!("{x:.2} x"),
        };
        let bad = if l.passes.is_empty() { "fits".into() } else { l.passes.join("; ") };
        say(format!("| {} | {stand} | {} | {to} | {bad} |", l.name, cells(&l.cost)));
    });
    say(format!("| all of control that is kept or next, on one node | | {} | | |", cells(&sum(lines))));
    s
}

/// us of processor this process has used.
fn used() -> f64 {
    let s = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let f: Vec<f64> = s.rsplit(')').next().unwrap_or("").split_whitespace().skip(11).take(2).filter_map(|x| x.parse().ok()).collect();
    f.iter().sum::<f64>() * 10_000.0
}

/// kB of memory that this process holds.
fn resident() -> f64 {
    let s = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    s.split_whitespace().nth(1).and_then(|x| x.parse::<f64>().ok()).unwrap_or(0.0) * 4.096
}

struct Echo;

impl Listener for Echo {
    fn hear(self: Arc<Self>, p: Parcel) -> Fut<'static, (Vec<u8>, Vec<u8>)> {
        Box::pin(async move {
            let _ = p.read::<Ask>();
            (serde_json::to_vec(&Tell::Second { heard: true }).unwrap_or_default(), vec![])
        })
    }
}

async fn ends(w: &World, n: usize) -> Vec<SocketAddr> {
    let mut v = vec![];
    for i in 0..n {
        let at = SocketAddr::from(([127, 0, 0, 1], 21_000 + i as u16));
        if let Ok(d) = w.bind(at).await {
            let p = Peers::new(w, &format!("end-{i}"), "zone", WIRE_VERSION);
            w.go(p.serve(d, Arc::new(Echo)));
            v.push(at);
        }
    }
    v
}

/// Measures `Costs` on this machine, over loopback and with one thread.
pub fn measure() -> Costs {
    let w = Real::world(".", 1);
    smol::block_on(async {
        let to = ends(&w, 200).await;
        let me = Peers::new(&w, "probe", "zone", WIRE_VERSION);
        let a = Ask::Second { to: SocketAddr::from(([127, 0, 0, 1], 1)) };
        let before = resident();
        for t in &to {
            let _ = me.ask(*t, &a, &[], SEC).await;
        }
        let links = (resident() - before) / to.len().max(1) as f64 / 2.0;
        let (k, t0) = (20_000, used());
        for i in 0..k {
            let _ = me.ask(to[i % to.len().max(1)], &a, &[], SEC).await;
        }
        // A question and its answer, at both ends: four messages handled.
        let message = (used() - t0) / k as f64 / 4.0;
        let names: Vec<String> = (0..410).map(|i| format!("front-{i:04}")).collect();
        let (k, t0) = (4_000, used());
        let mut sum = 0u64;
        for _ in 0..k {
            let s: String = names.iter().map(|n| format!("{n}{:?}", (459_776_000_000_000u64, 0u32, "Alive"))).collect();
            sum ^= yewcross::hash::weigh(&s, "");
        }
        let digest = (used() - t0) / k as f64 / 410.0 + (sum & 1) as f64 * 1e-12;
        let route = json!({"name": "r-b9wu3fe", "host": "tenant-01234.example", "prefix": "/pufi791/", "mode": "stream",
            "variants": [["model-07", 100]], "timeout_ms": 6000, "retained": true, "retain_ms": 3_600_000});
        let routes: Vec<Value> = (0..4000)
            .map(|i| {
                let mut r = route.clone();
                (r["name"], r["prefix"]) = (json!(format!("r-{i}")), json!(format!("/p{i}/")));
                r
            })
            .collect();
        let t = serde_json::to_vec(&json!({"routing": {"routes": routes, "upstreams": [{"name": "model-07"}]}})).unwrap_or_default();
        let (k, t0) = (40, used());
        for _ in 0..k {
            let _ = yewcross::tree::Tree::read(&t);
        }
        let parse = (used() - t0) / k as f64 / (t.len() as f64 / 1000.0);
        Costs { message_us: message, digest_us_node: digest, parse_us_kb: parse, link_kb: links.max(0.0) }
    })
}
