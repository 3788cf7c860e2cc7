//! A tier under a plan of troubles.

use super::caller::{self, Caller, CallerRecords, Fronts};
use super::cfg::{self, ConfigVersion};
use super::server::{CatalogueServer, Fault, FaultRates, Server, ServerRecords, ServerSpec};
use super::test_adapter::TestAdapter;
use super::verdict::Evidence;
use crate::sim::{NetworkConditions, Sim};
use crate::topology::{Topology, topology};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use strum::IntoEnumIterator;
use yewcross_common::adapter::NativeFormat;
use yewcross_common::constants::*;
use yewcross_common::process_settings::{ProcessSettings, Role};
use yewcross_common::runtime::*;
use yewcross_common::turn_log::client::TurnLogClient;
use yewcross_control::Control;
use yewcross_control::api::{Options, PutAcknowledgement, PutAnswer, ReadAnswer};
use yewcross_proxy::{Front, FrontOptions};

#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Disruption {
    KillFront,
    #[strum(serialize = "power_front")]
    PowerOffFront,
    FreezeFront,
    #[strum(serialize = "cut_front")]
    IsolateFront,
    StopFront,
    KillStore,
    #[strum(serialize = "power_store")]
    PowerOffStore,
    WipeStore,
    FreezeStore,
    KillCore,
    #[strum(serialize = "power_core")]
    PowerOffCore,
    WipeCore,
    FreezeCore,
    #[strum(serialize = "split_cores")]
    PartitionCores,
    /// Frames between our processes are lost, come twice or late.
    #[strum(serialize = "storm")]
    UnreliableNetwork,
    /// Servers show every fault.
    #[strum(serialize = "faults")]
    ServerFaults,
    KillServer,
    /// A server ends and its address goes to another service.
    ReuseAddress,
    #[strum(serialize = "leave_server")]
    DrainServer,
    /// A service's servers are replaced one after the other.
    #[strum(serialize = "release")]
    RollingRelease,
    #[strum(serialize = "roster_away")]
    CatalogueOutage,
    PutConfig,
    #[strum(serialize = "two_operators")]
    ConcurrentPuts,
    #[strum(serialize = "burst")]
    TrafficBurst,
    KillAll,
    #[strum(serialize = "power_all")]
    PowerOffAll,
    /// One store's disk is lost while all other machines lose power.
    #[strum(serialize = "wipe_one_power_rest")]
    WipeOnePowerOffRest,
}

impl Disruption {
    pub fn affects_all_nodes(self) -> bool {
        matches!(
            self,
            Disruption::KillAll | Disruption::PowerOffAll | Disruption::WipeOnePowerOffRest
        )
    }
}

enum Node {
    Front(Arc<Front>),
    Control(Arc<Control>),
}

pub struct Tier {
    pub sim: Sim,
    pub topology: Topology,
    pub operator: Runtime,
    pub server_records: Arc<ServerRecords>,
    pub caller_records: Arc<CallerRecords>,
    catalogue: Mutex<Option<Arc<CatalogueServer>>>,
    nodes: Mutex<BTreeMap<String, Node>>,
    servers: Mutex<BTreeMap<String, Arc<Server>>>,
    server_starts: Mutex<u64>,
    bootstrapped: Mutex<bool>,
    pub versions: Mutex<Vec<ConfigVersion>>,
    leaving_since: Mutex<Vec<(u64, String)>>,
    disruptions: Mutex<Vec<(u64, u64)>>,
    catalogue_outages: Mutex<Vec<(u64, u64)>>,
    restored_at: Mutex<u64>,
    fault_rates: Mutex<FaultRates>,
    pub errors: Mutex<Vec<String>>,
}

fn machine_addr(n: usize, k: u16) -> SocketAddr {
    SocketAddr::new(
        IpAddr::from([10, 0, (n / 250) as u8, (n % 250) as u8 + 1]),
        1000 + k,
    )
}

/// Servers' machines, each with the service of its first life.
fn server_machines() -> Vec<(String, &'static str)> {
    cfg::SERVICES
        .iter()
        .flat_map(|(s, n)| (0..*n).map(move |k| (format!("{s}{k}"), *s)))
        .collect()
}

/// us that the list lags.
const CATALOGUE_LAG: u64 = 800 * MS;

impl Tier {
    pub fn new(seed: u64, name: &str) -> Arc<Tier> {
        let mut sh = topology(name, &machine_addr).unwrap_or_else(|| panic!("no shape {name}"));
        sh.nodes.iter_mut().for_each(|n| n.bootstrap = true);
        let sim = Sim::new(seed, sh.site_latency);
        let z = sh.sites[0].clone();
        let m = sim.machine("operator", &z, machine_addr(900, 0).ip());
        let op = sim.boot(m);
        sim.machine("callers", &z, machine_addr(901, 0).ip());
        sim.machine("platform", &z, sh.platform.ip());
        sh.nodes.iter().for_each(|n| {
            sim.machine(&n.name, &n.site, n.peer.ip());
        });
        server_machines()
            .iter()
            .enumerate()
            .for_each(|(i, (n, _))| {
                sim.machine(n, &sh.sites[i % 4], machine_addr(300 + i, 0).ip());
            });
        Arc::new(Tier {
            sim,
            topology: sh,
            operator: op,
            server_records: Default::default(),
            caller_records: Default::default(),
            catalogue: Default::default(),
            nodes: Default::default(),
            servers: Default::default(),
            server_starts: Default::default(),
            bootstrapped: Default::default(),
            versions: Default::default(),
            leaving_since: Default::default(),
            disruptions: Default::default(),
            catalogue_outages: Default::default(),
            restored_at: Default::default(),
            fault_rates: Default::default(),
            errors: Default::default(),
        })
    }

    fn startup_settings(&self, name: &str) -> Option<ProcessSettings> {
        let mut st = self
            .topology
            .nodes
            .iter()
            .find(|n| n.name == name)
            .cloned()?;
        st.bootstrap = !*self.bootstrapped.lock().unwrap();
        Some(st)
    }

    /// The core and store nodes that run.
    pub fn control_nodes(&self) -> Vec<Arc<Control>> {
        let nodes = self.nodes.lock().unwrap();
        let control = |node: &Node| match node {
            Node::Control(c) => Some(c.clone()),
            Node::Front(_) => None,
        };
        nodes.values().filter_map(control).collect()
    }

    pub fn node_names(&self, r: Role) -> Vec<String> {
        self.topology.of(r).iter().map(|n| n.name.clone()).collect()
    }

    pub fn boot(self: &Arc<Self>, name: &str) {
        let m = self.sim.find(name);
        self.sim.power_on(m);
        let w = self.sim.boot(m);
        let Some(st) = self.startup_settings(name) else {
            return;
        };
        self.sim.set_costs(m, self.topology.costs.of(st.role));
        let (me, n) = (self.clone(), name.to_string());
        self.nodes.lock().unwrap().remove(name);
        w.clone().spawn(async move {
            let p = match st.role {
                Role::Front => {
                    let f = Front::open_without_leases(&w, st, Arc::new(NativeFormat));
                    let chains = TurnLogClient::new(&f.members, &f.documents, &f.settings);
                    let o = FrontOptions {
                        caller: Arc::new(TestAdapter),
                        upstream_protocol: Arc::new(TestAdapter),
                        turn_log: Some(Arc::new(chains)),
                    };
                    f.serve_routes(o).await.ok().map(|_| Node::Front(f))
                }
                _ => {
                    let o = Options {
                        configuration_format: Arc::new(NativeFormat),
                        server_catalogue: Some(Arc::new(TestAdapter)),
                        put_acknowledgement: PutAcknowledgement::Decided,
                        bind_http: true,
                        maintains_layout: true,
                        outranks_younger_process: true,
                    };
                    Control::start_with(&w, st, o).await.ok().map(Node::Control)
                }
            };
            match p {
                Some(p) => {
                    me.nodes.lock().unwrap().insert(n, p);
                }
                None => me
                    .errors
                    .lock()
                    .unwrap()
                    .push(format!("START {n} did not start")),
            }
        });
    }

    fn start_server(self: &Arc<Self>, machine: &str, service: &str) {
        let m = self.sim.find(machine);
        self.sim.power_on(m);
        let w = self.sim.boot(m);
        let id = {
            let mut g = self.server_starts.lock().unwrap();
            *g += 1;
            format!("{machine}-{}", *g)
        };
        let i = server_machines()
            .iter()
            .position(|x| x.0 == machine)
            .unwrap_or(0);
        let spec = ServerSpec {
            id,
            service: service.into(),
            addr: machine_addr(300 + i, 0),
            site: self.sim.site(m),
            slots: 8,
            queue_limit: 4,
            max_connections: 128,
            service_time: 20 * MS,
            event_interval: 10 * MS,
        };
        let (me, n, mood) = (
            self.clone(),
            machine.to_string(),
            self.fault_rates.lock().unwrap().clone(),
        );
        w.clone().spawn(async move {
            if let Ok(s) = Server::start(&w, spec, me.server_records.clone(), mood).await {
                me.servers.lock().unwrap().insert(n, s);
                me.publish_servers();
            }
        });
    }

    /// Tells the platform's list what runs.
    fn publish_servers(&self) {
        let v: Vec<_> = self
            .servers
            .lock()
            .unwrap()
            .values()
            .map(|s| s.listed())
            .collect();
        self.catalogue
            .lock()
            .unwrap()
            .iter()
            .for_each(|r| r.publish(v.clone()));
    }

    fn machines_of_service(&self, service: &str) -> Vec<String> {
        self.servers
            .lock()
            .unwrap()
            .iter()
            .filter(|(_, s)| s.spec.service == service)
            .map(|(m, _)| m.clone())
            .collect()
    }

    /// Starts all, puts the first configuration, and returns once it is acknowledged.
    pub async fn start_all(self: &Arc<Self>) {
        let m = self.sim.find("platform");
        let w = self.sim.boot(m);
        let r = CatalogueServer::start(&w, self.topology.platform, CATALOGUE_LAG, 5, 40)
            .await
            .ok();
        *self.catalogue.lock().unwrap() = r;
        server_machines()
            .iter()
            .for_each(|(n, s)| self.start_server(n, s));
        self.topology.nodes.iter().for_each(|n| self.boot(&n.name));
        self.operator.sleep(2 * SEC).await;
        *self.bootstrapped.lock().unwrap() = true;
        // Where the tier does not found itself.
        let names = |r| self.node_names(r);
        let v = serde_json::json!({"cores": names(Role::Core), "stores": names(Role::Store)})
            .to_string();
        let to = self.topology.of(Role::Core)[0].http;
        let _ = yewcross_common::buffered_http::fetch(
            &self.operator,
            to,
            http_types::Method::Post,
            "/v1/found",
            &[],
            v.into_bytes(),
            8 * SEC,
        )
        .await;
        self.put_next_config(0).await;
        self.operator.sleep(3 * SEC).await;
    }

    fn random_running_core(&self) -> Option<Arc<Control>> {
        let g = self.nodes.lock().unwrap();
        let v: Vec<&Arc<Control>> = self
            .node_names(Role::Core)
            .iter()
            .filter_map(|n| match g.get(n) {
                Some(Node::Control(c)) if self.sim.is_up(self.sim.find(n)) => Some(c),
                _ => None,
            })
            .collect();
        v.get(self.operator.random_index(v.len()))
            .map(|c| (*c).clone())
    }

    /// Sends the next configuration as an operator does: the same text again until the answer is
    /// clear.
    pub async fn put_next_config(self: &Arc<Self>, shift: u64) {
        let n = {
            let mut g = self.versions.lock().unwrap();
            let n = g.len();
            g.push(ConfigVersion {
                sent_at: self.operator.now(),
                ..cfg::nth_version(n as u64 + 1 + shift)
            });
            n
        };
        let text = self.versions.lock().unwrap()[n].text.clone().into_bytes();
        let mut base = self.newest_version();
        let until = self.operator.now() + 20 * SEC;
        while self.operator.now() < until {
            let Some(c) = self.random_running_core() else {
                self.operator.sleep(200 * MS).await;
                continue;
            };
            let got = self
                .operator
                .timeout(5 * SEC, c.put(base, text.clone()))
                .await;
            self.sim.note(&format!("put {n} on {base}: {got:?}"));
            let got = match got {
                Some(PutAnswer::NotBootstrapped) => {
                    let to = c.settings.http;
                    let h = [("if-match", format!("\"{}\"", base.max(1)))];
                    let r = yewcross_common::buffered_http::fetch(
                        &self.operator,
                        to,
                        http_types::Method::Put,
                        "/v1/config",
                        &h,
                        text.clone(),
                        5 * SEC,
                    )
                    .await;
                    r.ok().and_then(|r| {
                        self.sim.note(&format!(
                            "http put {n} on {base}: {} {}",
                            r.0,
                            String::from_utf8_lossy(&r.2)
                        ));
                        let v: serde_json::Value = serde_json::from_slice(&r.2).ok()?;
                        v["version"]
                            .as_u64()
                            .filter(|_| r.0 == 200)
                            .map(PutAnswer::InForce)
                    })
                }
                x => x,
            };
            match got {
                Some(PutAnswer::InForce(k)) => {
                    let mut g = self.versions.lock().unwrap();
                    (g[n].number, g[n].acknowledged_at) = (k, Some(self.operator.now()));
                    return;
                }
                Some(PutAnswer::Conflict(k)) if n == 0 => base = k,
                Some(PutAnswer::Conflict(_)) => return,
                Some(PutAnswer::Invalid(b)) => {
                    return self
                        .errors
                        .lock()
                        .unwrap()
                        .push(format!("BAD a proper configuration: {b:?}"));
                }
                _ => self.operator.sleep(200 * MS).await,
            }
        }
    }

    fn newest_version(&self) -> u64 {
        self.versions
            .lock()
            .unwrap()
            .iter()
            .map(|v| v.number)
            .max()
            .unwrap_or(0)
    }

    pub fn start_traffic(self: &Arc<Self>, plain: usize, programs: usize) {
        let w = self.sim.boot(self.sim.find("callers"));
        self.spawn_callers(&w, plain, programs, 100 * MS);
    }

    fn spawn_callers(
        self: &Arc<Self>,
        runtime: &Runtime,
        plain: usize,
        programs: usize,
        pause: u64,
    ) {
        let me = self.clone();
        // What the platform's probes of readiness tell; all while none is in.
        let fronts: Fronts = Arc::new(move || {
            let g = me.nodes.lock().unwrap();
            let fs = me.topology.of(Role::Front);
            let ready = |n: &str| {
                matches!(g.get(n), Some(Node::Front(f)) if f.ready())
                    && me.sim.is_up(me.sim.find(n))
            };
            let v: Vec<_> = fs
                .iter()
                .filter(|n| ready(&n.name))
                .map(|n| (n.name.clone(), n.http))
                .collect();
            if v.is_empty() {
                fs.iter().map(|n| (n.name.clone(), n.http)).collect()
            } else {
                v
            }
        });
        let all = cfg::base_routes();
        let new = || Caller::new(runtime, &self.caller_records, &fronts);
        (0..plain).for_each(|_| {
            runtime.spawn(caller::run_plain_requests(new(), all[..3].to_vec(), pause))
        });
        (0..programs).for_each(|_| {
            runtime.spawn(caller::run_programs(
                new(),
                all[3].clone(),
                all[..2].to_vec(),
                pause,
            ))
        });
    }

    fn record_disruption(&self, from: u64) {
        self.disruptions
            .lock()
            .unwrap()
            .push((from, self.operator.now()));
    }

    fn random_node(&self, r: Role) -> String {
        let v = self.node_names(r);
        v[self.operator.random_index(v.len())].clone()
    }

    async fn restart_node(self: &Arc<Self>, name: &str, power: bool, wipe: bool, us: u64) {
        let (t, m) = (self.operator.now(), self.sim.find(name));
        self.sim.kill(m, power);
        self.nodes.lock().unwrap().remove(name);
        if wipe {
            self.sim.wipe(m);
        }
        self.operator.sleep(us).await;
        self.boot(name);
        // Its disk is filled again.
        self.operator.sleep(4_200 * MS).await;
        self.record_disruption(t);
    }

    async fn freeze_node(&self, name: &str, us: u64) {
        let (t, m) = (self.operator.now(), self.sim.find(name));
        self.sim.freeze(m);
        self.operator.sleep(us).await;
        self.sim.thaw(m);
        self.operator.sleep(4_200 * MS).await;
        self.record_disruption(t);
    }

    async fn partition_nodes(&self, xs: &[usize], us: u64) {
        let t = self.operator.now();
        let rest: Vec<usize> = self
            .topology
            .nodes
            .iter()
            .map(|n| self.sim.find(&n.name))
            .filter(|m| !xs.contains(m))
            .collect();
        self.sim.partition(xs, &rest);
        self.operator.sleep(us).await;
        self.sim.heal();
        self.operator.sleep(4_200 * MS).await;
        self.record_disruption(t);
    }

    /// Shown as leaving, still serving for a while, and gone; another life begins where `service`
    /// is given.
    async fn drain_server(self: &Arc<Self>, machine: &str, service: Option<&str>) {
        let Some(s) = self.servers.lock().unwrap().get(machine).cloned() else {
            return;
        };
        s.leaving.store(true, SeqCst);
        self.publish_servers();
        self.leaving_since
            .lock()
            .unwrap()
            .push((self.operator.now() + CATALOGUE_LAG, s.spec.id.clone()));
        self.operator.sleep(CATALOGUE_LAG + 4_000 * MS).await;
        self.servers.lock().unwrap().remove(machine);
        self.publish_servers();
        self.sim.kill(self.sim.find(machine), false);
        if let Some(x) = service {
            self.operator.sleep(2_500 * MS).await;
            self.start_server(machine, x);
        }
    }

    pub async fn inject(self: &Arc<Self>, a: Disruption) {
        let back = (1 + self.operator.random() % 4) * SEC;
        self.sim.note(&format!("act {a}"));
        match a {
            Disruption::KillFront => {
                self.restart_node(&self.random_node(Role::Front), false, false, back / 4)
                    .await
            }
            Disruption::PowerOffFront => {
                self.restart_node(&self.random_node(Role::Front), true, false, back)
                    .await
            }
            Disruption::FreezeFront => self.freeze_node(&self.random_node(Role::Front), back).await,
            Disruption::IsolateFront => {
                self.partition_nodes(&[self.sim.find(&self.random_node(Role::Front))], back)
                    .await
            }
            Disruption::StopFront => {
                let n = self.random_node(Role::Front);
                let f = match self.nodes.lock().unwrap().get(&n) {
                    Some(Node::Front(f)) => f.clone(),
                    _ => return,
                };
                self.operator.timeout(8 * SEC, f.stop()).await;
                let m = self.sim.find(&n);
                self.sim.kill(m, false);
                self.nodes.lock().unwrap().remove(&n);
                self.operator.sleep(500 * MS).await;
                self.boot(&n);
            }
            Disruption::KillStore => {
                self.restart_node(&self.random_node(Role::Store), false, false, back / 4)
                    .await
            }
            Disruption::PowerOffStore => {
                self.restart_node(&self.random_node(Role::Store), true, false, back)
                    .await
            }
            Disruption::WipeStore => {
                self.restart_node(&self.random_node(Role::Store), true, true, back)
                    .await
            }
            Disruption::FreezeStore => self.freeze_node(&self.random_node(Role::Store), back).await,
            Disruption::KillCore => {
                self.restart_node(&self.random_node(Role::Core), false, false, back / 4)
                    .await
            }
            Disruption::PowerOffCore => {
                self.restart_node(&self.random_node(Role::Core), true, false, back)
                    .await
            }
            Disruption::WipeCore => {
                self.restart_node(&self.random_node(Role::Core), true, true, back)
                    .await
            }
            Disruption::FreezeCore => self.freeze_node(&self.random_node(Role::Core), back).await,
            Disruption::PartitionCores => {
                let v: Vec<usize> = self
                    .node_names(Role::Core)
                    .iter()
                    .map(|n| self.sim.find(n))
                    .collect();
                let k = 1 + self.operator.random_index(v.len() - 1);
                self.partition_nodes(&v[..k], back).await
            }
            Disruption::UnreliableNetwork => {
                let t = self.operator.now();
                self.sim.set_network_conditions(NetworkConditions {
                    drop_per_mille: 50,
                    duplicate_per_mille: 50,
                    delay_per_mille: 50,
                    max_jitter: 20 * MS,
                });
                self.operator.sleep(back).await;
                self.sim
                    .set_network_conditions(NetworkConditions::default());
                self.operator.sleep(SEC).await;
                self.record_disruption(t);
            }
            Disruption::ServerFaults => {
                let v: FaultRates = Fault::iter().map(|f| (f, 15)).collect();
                *self.fault_rates.lock().unwrap() = v.clone();
                self.servers
                    .lock()
                    .unwrap()
                    .values()
                    .for_each(|s| *s.fault_rates.lock().unwrap() = v.clone());
                self.operator.sleep(back + 4 * SEC).await;
                self.fault_rates.lock().unwrap().clear();
                self.servers
                    .lock()
                    .unwrap()
                    .values()
                    .for_each(|s| s.fault_rates.lock().unwrap().clear());
            }
            Disruption::KillServer => {
                let v: Vec<String> = self.servers.lock().unwrap().keys().cloned().collect();
                let m = v[self.operator.random_index(v.len())].clone();
                let service = self.servers.lock().unwrap()[&m].spec.service.clone();
                self.sim
                    .kill(self.sim.find(&m), self.operator.random().is_multiple_of(2));
                self.operator.sleep(back).await;
                self.start_server(&m, &service);
            }
            Disruption::ReuseAddress => {
                // A crash, which the list learns late; a server of another service comes to the
                // address.
                let v = self.machines_of_service("read");
                let Some(m) = v
                    .get(self.operator.random_index(v.len()))
                    .filter(|_| v.len() > 1)
                    .cloned()
                else {
                    return;
                };
                self.sim.kill(self.sim.find(&m), false);
                self.operator.sleep(2_500 * MS).await;
                self.start_server(&m, "write");
            }
            Disruption::DrainServer => {
                let v = self.machines_of_service("read");
                if v.len() > 1 {
                    self.drain_server(&v[0], Some("read")).await;
                }
            }
            Disruption::RollingRelease => {
                for m in self.machines_of_service("write") {
                    self.drain_server(&m, Some("write")).await;
                }
            }
            Disruption::CatalogueOutage => {
                let t = self.operator.now();
                let r = self.catalogue.lock().unwrap().clone();
                r.iter().for_each(|r| r.unavailable.store(true, SeqCst));
                self.operator.sleep(back).await;
                r.iter().for_each(|r| r.unavailable.store(false, SeqCst));
                self.catalogue_outages
                    .lock()
                    .unwrap()
                    .push((t, self.operator.now()));
            }
            Disruption::PutConfig => self.put_next_config(0).await,
            Disruption::ConcurrentPuts => {
                let me = self.clone();
                self.operator
                    .spawn(async move { me.put_next_config(1).await });
                self.put_next_config(0).await;
            }
            Disruption::TrafficBurst => {
                let m = self.sim.find("callers");
                let w = self.sim.runtime_of(m);
                self.spawn_callers(&w, 40, 20, 20 * MS);
                self.operator.sleep(3 * SEC).await;
            }
            Disruption::KillAll | Disruption::PowerOffAll | Disruption::WipeOnePowerOffRest => {
                self.put_next_config(0).await;
                let t = self.operator.now();
                let lost = self.random_node(Role::Store);
                self.topology.nodes.iter().for_each(|n| {
                    self.sim
                        .kill(self.sim.find(&n.name), a != Disruption::KillAll)
                });
                self.nodes.lock().unwrap().clear();
                if a == Disruption::WipeOnePowerOffRest {
                    self.sim.wipe(self.sim.find(&lost));
                }
                self.operator.sleep(SEC).await;
                for n in &self.topology.nodes {
                    self.boot(&n.name);
                    let p = self.operator.random() % (300 * MS);
                    self.operator.sleep(p).await;
                }
                *self.restored_at.lock().unwrap() = self.operator.now();
                self.operator.sleep(20 * SEC).await;
                self.record_disruption(t);
            }
        }
    }

    /// What the operator reads back at the end must be the newest that was acknowledged, or newer.
    pub async fn check_read_back(&self) {
        let acked = self
            .versions
            .lock()
            .unwrap()
            .iter()
            .filter(|v| v.acknowledged_at.is_some())
            .map(|v| v.number)
            .max()
            .unwrap_or(0);
        let until = self.operator.now() + 6 * SEC;
        let mut last = "nobody to ask".to_string();
        while self.operator.now() < until {
            if let Some(c) = self.random_running_core() {
                match self.operator.timeout(3 * SEC, c.read_config()).await {
                    Some(ReadAnswer::Text(n, t)) if n >= acked => {
                        let sent = self
                            .versions
                            .lock()
                            .unwrap()
                            .iter()
                            .any(|v| v.text == *t && (v.number == n || v.number == 0));
                        if !sent {
                            self.errors
                                .lock()
                                .unwrap()
                                .push(format!("CONFIG what is read back as {n} was not sent so"));
                        }
                        return;
                    }
                    Some(ReadAnswer::Text(n, _)) => last = format!("{n}, older than {acked}"),
                    x => last = format!("{x:?}"),
                }
            }
            self.operator.sleep(300 * MS).await;
        }
        self.errors
            .lock()
            .unwrap()
            .push(format!("CONFIG read back: {last}"));
    }

    pub fn evidence(&self) -> Evidence {
        Evidence {
            attempts: self.caller_records.attempts.lock().unwrap().clone(),
            executions: self.server_records.executions.lock().unwrap().clone(),
            arrivals: self.server_records.arrivals.lock().unwrap().clone(),
            errors: self
                .server_records
                .protocol_errors
                .lock()
                .unwrap()
                .iter()
                .chain(self.errors.lock().unwrap().iter())
                .cloned()
                .collect(),
            versions: self.versions.lock().unwrap().clone(),
            leaving_since: self.leaving_since.lock().unwrap().clone(),
            disruptions: self.disruptions.lock().unwrap().clone(),
            catalogue_outages: self.catalogue_outages.lock().unwrap().clone(),
            restored_at: *self.restored_at.lock().unwrap(),
            ended_at: self.sim.now(),
            disruption_grace: 3 * SEC,
            config_grace: 2 * SEC,
            drain_grace: 3 * SEC,
            recovery_grace: 12 * SEC,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub topology: String,
    pub disruptions: Vec<Disruption>,
}

pub fn run(p: &Plan) -> (Arc<Tier>, Evidence) {
    let t = Tier::new(p.seed, &p.topology);
    let done: Arc<Mutex<bool>> = Default::default();
    let (me, d, acts) = (t.clone(), done.clone(), p.disruptions.clone());
    t.operator.spawn(async move {
        me.start_all().await;
        me.start_traffic(8, 8);
        me.operator.sleep(4 * SEC).await;
        for a in acts {
            me.inject(a).await;
            let p = me.operator.random() % (2 * SEC);
            me.operator.sleep(p).await;
        }
        me.operator.sleep(4 * SEC).await;
        me.caller_records.stop.store(true, SeqCst);
        me.operator.sleep(6 * SEC).await;
        me.check_read_back().await;
        *d.lock().unwrap() = true;
    });
    t.sim.run(600 * SEC, || *done.lock().unwrap());
    if !*done.lock().unwrap() {
        t.errors
            .lock()
            .unwrap()
            .push("STUCK the plan did not end".into());
    }
    let e = t.evidence();
    (t, e)
}
