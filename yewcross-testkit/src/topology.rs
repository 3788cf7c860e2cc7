//! The deployments that are simulated or brought up locally: machines, servers, configuration and
//! workload.

use crate::sim::MachineCosts;
use crate::stub_server::StubServerSettings;
use serde_json::{Value, json};
use std::net::SocketAddr;
use yewcross_common::constants::{MS, WIRE_VERSION};
use yewcross_common::process_settings::{ProcessSettings, Role};
use yewcross_common::protocol::ListedServer;

/// Sites over which machines and servers are spread.
const SITES: usize = 4;
/// Index of the first model server's address, and of the first lookup server's.
const FIRST_MODEL_ADDRESS: usize = 100;
const FIRST_LOOKUP_ADDRESS: usize = 200;
/// Bytes a second between servers.
const SERVER_LINK: u64 = 125_000_000;

/// A deployment.
#[derive(Clone, Debug)]
pub struct Topology {
    /// One of `kowhai`, `consorcio`, `small`, `wide`, `metered` and `disks`.
    pub name: String,
    /// Where machines and servers stand.
    pub sites: Vec<String>,
    /// Our own processes.
    pub nodes: Vec<ProcessSettings>,
    /// Model and lookup servers.
    pub servers: Vec<StubServerSettings>,
    /// Where the platform lists the servers.
    pub platform: SocketAddr,
    /// Text of the first configuration.
    pub config: String,
    /// us between sites, one way.
    pub site_latency: u64,
    /// What callers ask.
    pub workload: Workload,
    /// What the machines' work costs.
    pub costs: RoleCosts,
}

/// What the machines of each role cost; nothing by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleCosts {
    /// Costs of a front's machine.
    pub front: MachineCosts,
    /// Costs of a core's machine.
    pub core: MachineCosts,
    /// Costs of a store's machine.
    pub store: MachineCosts,
}

impl RoleCosts {
    /// Small machines with slow disks. 20 us a task and 3 ns a byte are what the daemons' release
    /// builds took.
    pub fn small_machines(sync_us: u64) -> RoleCosts {
        let costs = |core_percent| MachineCosts {
            core_percent,
            poll_us: 20,
            byte_ns: 3,
            sync_us,
        };
        RoleCosts {
            front: costs(25),
            core: costs(30),
            store: costs(50),
        }
    }

    /// Costs of a machine of the role.
    pub fn for_role(&self, role: Role) -> MachineCosts {
        match role {
            Role::Front => self.front,
            Role::Core => self.core,
            Role::Store => self.store,
        }
    }
}

/// Turns of one program.
#[derive(Clone, Debug)]
pub struct TurnWorkload {
    /// The program.
    pub program: String,
    /// The budget that its turns spend.
    pub budget: String,
    /// Its share of all sessions, against the others' weights.
    pub weight: u32,
    /// Size of a session's first message.
    pub first_message_bytes: usize,
    /// Size of its later messages.
    pub later_message_bytes: usize,
    /// Most tokens that a turn may put out.
    pub max_output_tokens: u64,
}

/// Lookups of one method.
#[derive(Clone, Debug)]
pub struct LookupWorkload {
    /// The service.
    pub service: String,
    /// Its method.
    pub method: String,
}

/// What callers ask.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Turns by program.
    pub turns: Vec<TurnWorkload>,
    /// Lookups by method, each as frequent as the others.
    pub lookups: Vec<LookupWorkload>,
}

/// Gives each process an address: on one machine by port, in the simulator by host.
pub type Addresses = dyn Fn(usize, u16) -> SocketAddr;

/// How many processes and servers a deployment has.
struct Sizes {
    fronts: usize,
    cores: usize,
    stores: usize,
    models: usize,
    lookups: usize,
    /// us
    site_latency: u64,
}

impl Sizes {
    fn named(name: &str) -> Option<Sizes> {
        let (fronts, cores, stores, models, lookups, site_latency) = match name {
            "kowhai" => (9, 4, 4, 12, 5, 500),
            "consorcio" => (6, 4, 4, 9, 4, 1200),
            "small" => (2, 3, 3, 3, 1, 500),
            "wide" => (4, 3, 8, 4, 2, 500),
            "metered" => (2, 3, 4, 3, 1, 500),
            "disks" => (1, 3, 4, 1, 1, 500),
            _ => return None,
        };
        Some(Sizes {
            fronts,
            cores,
            stores,
            models,
            lookups,
            site_latency,
        })
    }
}

/// Names of programs and lookup methods, which differ between the two deployments.
struct Names {
    /// Service and method.
    lookups: [(&'static str, &'static str); 3],
    common_program: &'static str,
    rare_program: &'static str,
}

const KOWHAI_NAMES: Names = Names {
    lookups: [
        ("settlement", "status"),
        ("terminal", "details"),
        ("fees", "quote"),
    ],
    common_program: "chargeback",
    rare_program: "onboarding",
};

const CONSORCIO_NAMES: Names = Names {
    lookups: [("thumbs", "get"), ("playlist", "next"), ("events", "last")],
    common_program: "cliptag",
    rare_program: "commentary",
};

impl Names {
    /// The methods that a deployment with so many lookup servers uses.
    fn used_lookups(&self, servers: usize) -> &[(&'static str, &'static str)] {
        &self.lookups[..servers.min(self.lookups.len())]
    }
}

fn nodes(
    sizes: &Sizes,
    sites: &[String],
    platform: SocketAddr,
    address: &Addresses,
) -> Vec<ProcessSettings> {
    let mut nodes = vec![];
    for (role, count, tag) in [
        (Role::Core, sizes.cores, "core"),
        (Role::Store, sizes.stores, "store"),
        (Role::Front, sizes.fronts, "front"),
    ] {
        for i in 0..count {
            // The platform has the first index.
            let index = nodes.len() + 1;
            nodes.push(ProcessSettings {
                name: format!("{tag}{}", i + 1),
                role,
                site: sites[i % SITES].clone(),
                peer: address(index, 0),
                http: address(index, 1),
                seeds: vec![],
                data: String::new(),
                platform: (role == Role::Core).then_some(platform),
                threads: 1,
                wire: WIRE_VERSION,
                bootstrap: false,
                bounds: Default::default(),
            });
        }
    }
    let seeds: Vec<SocketAddr> = nodes.iter().take(3).map(|node| node.peer).collect();
    nodes.iter_mut().for_each(|node| node.seeds = seeds.clone());
    nodes
}

fn model_server(index: usize, sites: &[String], address: &Addresses) -> StubServerSettings {
    StubServerSettings {
        server: format!("m{}", index + 1),
        service: "llm".into(),
        addr: address(FIRST_MODEL_ADDRESS + index, 0),
        site: sites[index % SITES].clone(),
        is_model: true,
        slots: 4,
        prefill_us_per_1000: 120 * MS,
        output_us: 4 * MS,
        cache_tokens: 200_000,
        link_bytes_per_second: SERVER_LINK,
        weights: "w1".into(),
    }
}

fn lookup_server(
    index: usize,
    names: &Names,
    sites: &[String],
    address: &Addresses,
) -> StubServerSettings {
    let (service, _) = names.lookups[index % names.lookups.len()];
    StubServerSettings {
        server: format!("l{}", index + 1),
        service: service.into(),
        addr: address(FIRST_LOOKUP_ADDRESS + index, 0),
        site: sites[index % SITES].clone(),
        is_model: false,
        slots: 16,
        prefill_us_per_1000: 0,
        output_us: 4 * MS,
        cache_tokens: 0,
        link_bytes_per_second: SERVER_LINK,
        weights: String::new(),
    }
}

/// Text of the first configuration.
fn configuration(names: &Names, lookup_servers: usize, nodes: &[ProcessSettings]) -> String {
    let (common, rare) = (names.common_program, names.rare_program);
    let mut services = json!({"llm": {"kind": "model", "allow": ["m*"], "line": 64}});
    for (service, method) in names.used_lookups(lookup_servers) {
        services[*service] = json!({
            "kind": "lookup",
            "allow": ["l*"],
            "methods": [method, "confirm"],
            "once": ["confirm"],
        });
    }
    let fronts: Vec<&str> = nodes
        .iter()
        .filter(|node| node.role == Role::Front)
        .map(|node| node.name.as_str())
        .collect();
    let programs: Value = json!({
        common: {"set": {"budget": common, "class": "normal"}},
        rare: {"set": {"budget": rare, "class": "urgent"}},
    });
    let config = json!({
        "families": {
            "talk": {"set": {"horizon_ms": 6000, "max_output": 128}, "under": programs},
        },
        "services": services,
        "budgets": {common: {"tokens": 50_000_000}, rare: {"tokens": 50_000_000}},
        "fronts": fronts,
    });
    config.to_string()
}

fn workload(names: &Names, lookup_servers: usize) -> Workload {
    let turns = vec![
        TurnWorkload {
            program: names.common_program.into(),
            budget: names.common_program.into(),
            weight: 6,
            first_message_bytes: 36_000,
            later_message_bytes: 400,
            max_output_tokens: 64,
        },
        TurnWorkload {
            program: names.rare_program.into(),
            budget: names.rare_program.into(),
            weight: 1,
            first_message_bytes: 2_000,
            later_message_bytes: 200,
            max_output_tokens: 32,
        },
    ];
    let lookups = names
        .used_lookups(lookup_servers)
        .iter()
        .map(|(service, method)| LookupWorkload {
            service: service.to_string(),
            method: method.to_string(),
        })
        .collect();
    Workload { turns, lookups }
}

/// The deployment of that name, or None if there is none.
pub fn topology(name: &str, address: &Addresses) -> Option<Topology> {
    let sizes = Sizes::named(name)?;
    let names = if name == "consorcio" {
        CONSORCIO_NAMES
    } else {
        KOWHAI_NAMES
    };
    let sites: Vec<String> = (1..=SITES).map(|i| format!("z{i}")).collect();
    let platform = address(0, 0);
    let nodes = nodes(&sizes, &sites, platform, address);
    let models = (0..sizes.models).map(|i| model_server(i, &sites, address));
    let lookups = (0..sizes.lookups).map(|i| lookup_server(i, &names, &sites, address));
    let servers = models.chain(lookups).collect();
    let costs = if name == "metered" {
        RoleCosts::small_machines(2 * MS)
    } else {
        RoleCosts::default()
    };
    Some(Topology {
        name: name.into(),
        config: configuration(&names, sizes.lookups, &nodes),
        workload: workload(&names, sizes.lookups),
        sites,
        nodes,
        servers,
        platform,
        site_latency: sizes.site_latency,
        costs,
    })
}

impl Topology {
    /// The servers as the platform lists them.
    pub fn server_list(&self) -> Vec<ListedServer> {
        self.servers
            .iter()
            .map(|server| ListedServer {
                server: server.server.clone(),
                service: server.service.clone(),
                addr: server.addr,
                site: server.site.clone(),
                leaving: false,
            })
            .collect()
    }

    /// The nodes of a role.
    pub fn nodes_with_role(&self, role: Role) -> Vec<&ProcessSettings> {
        self.nodes.iter().filter(|node| node.role == role).collect()
    }
}
