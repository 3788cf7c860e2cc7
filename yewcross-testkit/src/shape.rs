//! The two deployments' shapes: machines, servers, configuration, mix of jobs.

use crate::sim::MachineCosts;
use crate::standin::Spec;
use serde_json::json;
use std::net::SocketAddr;
use yewcross_common::constants::*;
use yewcross_common::process_settings::{ProcessSettings, Role};
use yewcross_common::protocol::ListedServer;

#[derive(Clone, Debug)]
pub struct Shape {
    pub name: String,
    pub sites: Vec<String>,
    pub nodes: Vec<ProcessSettings>,
    pub backs: Vec<Spec>,
    pub platform: SocketAddr,
    pub config: String,
    /// us between sites
    pub gap: u64,
    pub mix: Mix,
    pub charges: Charges,
}

/// What the machines of each role charge; nothing by itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Charges {
    pub front: MachineCosts,
    pub core: MachineCosts,
    pub store: MachineCosts,
}

impl Charges {
    /// Small machines with slow disks. 20 us a task and 3 ns a byte are what the daemons' release
    /// builds took.
    pub fn small(sync: u64) -> Charges {
        let of = |share| MachineCosts {
            core_percent: share,
            poll_us: 20,
            byte_ns: 3,
            sync_us: sync,
        };
        Charges {
            front: of(25),
            core: of(30),
            store: of(50),
        }
    }
    pub fn of(&self, r: Role) -> MachineCosts {
        match r {
            Role::Front => self.front,
            Role::Core => self.core,
            Role::Store => self.store,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Mix {
    /// program, budget, weight, first message bytes, later message bytes, max output tokens
    pub turns: Vec<(String, String, u32, usize, usize, u64)>,
    /// service, method, weight
    pub lookups: Vec<(String, String, u32)>,
}

/// Gives each process an address: on one machine by port, in the simulator by host.
pub type Addresses = dyn Fn(usize, u16) -> SocketAddr;

pub fn shape(name: &str, addr: &Addresses) -> Option<Shape> {
    let (fronts, cores, stores, models, lookups, gap) = match name {
        "kowhai" => (9, 4, 4, 12, 5, 500),
        "consorcio" => (6, 4, 4, 9, 4, 1200),
        "small" => (2, 3, 3, 3, 1, 500),
        "wide" => (4, 3, 8, 4, 2, 500),
        "metered" => (2, 3, 4, 3, 1, 500),
        "disks" => (1, 3, 4, 1, 1, 500),
        _ => return None,
    };
    let sites: Vec<String> = (1..=4).map(|i| format!("z{i}")).collect();
    let mut n = 0;
    let mut nodes = vec![];
    let platform = addr(0, 0);
    for (role, k, tag) in [
        (Role::Core, cores, "core"),
        (Role::Store, stores, "store"),
        (Role::Front, fronts, "front"),
    ] {
        for i in 0..k {
            n += 1;
            nodes.push(ProcessSettings {
                name: format!("{tag}{}", i + 1),
                role,
                site: sites[i % 4].clone(),
                peer: addr(n, 0),
                http: addr(n, 1),
                seeds: vec![],
                data: String::new(),
                platform: (role == Role::Core).then_some(platform),
                threads: 1,
                wire: WIRE_VERSION,
                found: false,
                bounds: Default::default(),
            });
        }
    }
    let seeds: Vec<SocketAddr> = nodes.iter().take(3).map(|s| s.peer).collect();
    nodes.iter_mut().for_each(|s| s.seeds = seeds.clone());
    let kow = name != "consorcio";
    let mut backs: Vec<Spec> = (0..models)
        .map(|i| Spec {
            server: format!("m{}", i + 1),
            service: "llm".into(),
            addr: addr(100 + i, 0),
            site: sites[i % 4].clone(),
            model: true,
            slots: 4,
            per_k: 120 * MS,
            per_out: 4 * MS,
            cache: 200_000,
            link: 125_000_000,
            weights: "w1".into(),
        })
        .collect();
    let lk: Vec<(&str, &str)> = if kow {
        vec![
            ("settlement", "status"),
            ("terminal", "details"),
            ("fees", "quote"),
        ]
    } else {
        vec![("thumbs", "get"), ("playlist", "next"), ("events", "last")]
    };
    (0..lookups).for_each(|i| {
        backs.push(Spec {
            server: format!("l{}", i + 1),
            service: lk[i % lk.len()].0.into(),
            addr: addr(200 + i, 0),
            site: sites[i % 4].clone(),
            model: false,
            slots: 16,
            per_k: 0,
            per_out: 4 * MS,
            cache: 0,
            link: 125_000_000,
            weights: String::new(),
        })
    });
    let used: Vec<(&str, &str)> = lk.iter().take(lookups).cloned().collect();
    let mut services = json!({"llm": {"kind": "model", "allow": ["m*"], "line": 64}});
    used.iter()
        .for_each(|(s, m)| services[*s] = json!({"kind": "lookup", "allow": ["l*"], "methods": [m, "confirm"], "once": ["confirm"]}));
    let (common, rare) = if kow {
        ("chargeback", "onboarding")
    } else {
        ("cliptag", "commentary")
    };
    let config = json!({
        "families": {"talk": {"set": {"horizon_ms": 6000, "max_output": 128}, "under": {
            common: {"set": {"budget": common, "class": "normal"}},
            rare: {"set": {"budget": rare, "class": "urgent"}}}}},
        "services": services,
        "budgets": {common: {"tokens": 50_000_000}, rare: {"tokens": 50_000_000}},
        "fronts": nodes.iter().filter(|n| n.role == Role::Front).map(|n| n.name.clone()).collect::<Vec<_>>(),
    });
    let mix = Mix {
        turns: vec![
            (common.into(), common.into(), 6, 36_000, 400, 64),
            (rare.into(), rare.into(), 1, 2_000, 200, 32),
        ],
        lookups: used
            .iter()
            .map(|(s, m)| (s.to_string(), m.to_string(), 4))
            .collect(),
    };
    let charges = if name == "metered" {
        Charges::small(2 * MS)
    } else {
        Charges::default()
    };
    Some(Shape {
        name: name.into(),
        sites,
        nodes,
        backs,
        platform,
        config: config.to_string(),
        gap,
        mix,
        charges,
    })
}

impl Shape {
    pub fn listed(&self) -> Vec<ListedServer> {
        self.backs
            .iter()
            .map(|b| ListedServer {
                server: b.server.clone(),
                service: b.service.clone(),
                addr: b.addr,
                site: b.site.clone(),
                leaving: false,
            })
            .collect()
    }
    pub fn of(&self, r: Role) -> Vec<&ProcessSettings> {
        self.nodes.iter().filter(|n| n.role == r).collect()
    }
}
