//! The deployments that are simulated or run locally: machines, servers, configuration and
//! workload.

use crate::sim::MachineCosts;
use crate::stub_server::StubServerSettings;
use serde_json::{Value, json};
use std::net::SocketAddr;
use yewcross_common::constants::{MS, WIRE_VERSION};
use yewcross_common::process_settings::{ProcessSettings, Role};
use yewcross_common::protocol::ListedServer;

/// Number of sites over which machines and servers are spread.
const SITES: usize = 4;
/// Address index of the first model server.
const FIRST_MODEL_ADDRESS: usize = 100;
/// Address index of the first lookup server.
const FIRST_LOOKUP_ADDRESS: usize = 200;
/// Bandwidth of the links between servers, in bytes per second.
const SERVER_LINK_BANDWIDTH: u64 = 125_000_000;

/// A deployment of the tier, with its servers and its workload.
#[derive(Clone, Debug)]
pub struct Topology {
    /// One of `kowhai`, `consorcio`, `small`, `wide`, `metered` and `disks`.
    pub name: String,
    /// Names of the sites of machines and servers.
    pub sites: Vec<String>,
    /// Settings of the tier's own processes.
    pub nodes: Vec<ProcessSettings>,
    /// Settings of the model and lookup servers.
    pub servers: Vec<StubServerSettings>,
    /// Address of the platform, which lists the servers.
    pub platform: SocketAddr,
    /// Text of the first configuration.
    pub config: String,
    /// One-way latency between sites, in µs.
    pub site_latency: u64,
    /// The requests that callers send.
    pub workload: Workload,
    /// Simulated CPU and disk costs of the machines.
    pub costs: RoleCosts,
}

/// Simulated costs of the machines of each role; zero by default.
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
    /// Small machines with slow disks, where a sync takes `sync_us` µs. 20 µs per task and 3 ns per
    /// byte were measured with the daemons' release builds.
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

/// The turns of one program.
#[derive(Clone, Debug)]
pub struct TurnWorkload {
    /// The program.
    pub program: String,
    /// The budget that its turns spend.
    pub budget: String,
    /// Share of all sessions, relative to the weights of the other programs.
    pub weight: u32,
    /// Size of the first message of a session, in bytes.
    pub first_message_bytes: usize,
    /// Size of each later message of a session, in bytes.
    pub later_message_bytes: usize,
    /// Maximum number of output tokens of a turn.
    pub max_output_tokens: u64,
}

/// The lookups of one method.
#[derive(Clone, Debug)]
pub struct LookupWorkload {
    /// The service.
    pub service: String,
    /// Its method.
    pub method: String,
}

/// The requests that callers send.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Turns by program.
    pub turns: Vec<TurnWorkload>,
    /// Lookups by method, all equally frequent.
    pub lookups: Vec<LookupWorkload>,
}

/// Maps the index of a process and of its listener (0 or 1) to an address. Addresses differ by port
/// on a local machine and by host in the simulator.
pub type Addresses = dyn Fn(usize, u16) -> SocketAddr;

/// Number of processes and servers of a deployment.
struct Sizes {
    fronts: usize,
    cores: usize,
    stores: usize,
    models: usize,
    lookups: usize,
    /// One-way latency between sites, in µs.
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

/// Names of a deployment's programs, services and lookup methods. `consorcio` has its own; all
/// other deployments share those of `kowhai`.
struct Names {
    /// Services and methods.
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
    /// The services and methods that a deployment with this number of lookup servers uses.
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
    for (role, count, prefix) in [
        (Role::Core, sizes.cores, "core"),
        (Role::Store, sizes.stores, "store"),
        (Role::Front, sizes.fronts, "front"),
    ] {
        for i in 0..count {
            // Index 0 is the platform.
            let index = nodes.len() + 1;
            nodes.push(ProcessSettings {
                name: format!("{prefix}{}", i + 1),
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
                start_timeout_ms: yewcross_common::constants::START_TIMEOUT_MS,
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
        link_bytes_per_second: SERVER_LINK_BANDWIDTH,
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
        link_bytes_per_second: SERVER_LINK_BANDWIDTH,
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

/// The deployment with this name, or `None` if there is none.
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
