//! A tier under a plan of troubles.

use super::caller::{self, Book, Caller, Fronts};
use super::cfg::{self, Version};
use super::ports::Ports;
use super::server::{Fault, Ground, Mood, Roster, Server, ServerSpec};
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
pub enum Act {
    KillFront,
    PowerFront,
    FreezeFront,
    CutFront,
    StopFront,
    KillStore,
    PowerStore,
    WipeStore,
    FreezeStore,
    KillCore,
    PowerCore,
    WipeCore,
    FreezeCore,
    SplitCores,
    /// Frames between our processes are lost, come twice or late.
    Storm,
    /// Servers show every fault.
    Faults,
    KillServer,
    /// A server ends and its address goes to another service.
    ReuseAddress,
    LeaveServer,
    /// A service's servers are replaced one after the other.
    Release,
    RosterAway,
    PutConfig,
    TwoOperators,
    Burst,
    KillAll,
    PowerAll,
    /// One store's disk is lost while all other machines lose power.
    WipeOnePowerRest,
}

impl Act {
    pub fn closing(self) -> bool {
        matches!(self, Act::KillAll | Act::PowerAll | Act::WipeOnePowerRest)
    }
}

enum Node {
    Front(Arc<Front>),
    Control(Arc<Control>),
}

pub struct Tier {
    pub sim: Sim,
    pub sh: Topology,
    pub op: Runtime,
    pub ground: Arc<Ground>,
    pub callers: Arc<Book>,
    roster: Mutex<Option<Arc<Roster>>>,
    nodes: Mutex<BTreeMap<String, Node>>,
    servers: Mutex<BTreeMap<String, Arc<Server>>>,
    lives: Mutex<u64>,
    founded: Mutex<bool>,
    pub versions: Mutex<Vec<Version>>,
    leaving: Mutex<Vec<(u64, String)>>,
    troubles: Mutex<Vec<(u64, u64)>>,
    blind: Mutex<Vec<(u64, u64)>>,
    back: Mutex<u64>,
    mood: Mutex<Mood>,
    pub wrong: Mutex<Vec<String>>,
}

fn addr(n: usize, k: u16) -> SocketAddr {
    SocketAddr::new(
        IpAddr::from([10, 0, (n / 250) as u8, (n % 250) as u8 + 1]),
        1000 + k,
    )
}

/// Servers' machines, each with the service of its first life.
fn machines() -> Vec<(String, &'static str)> {
    cfg::SERVICES
        .iter()
        .flat_map(|(s, n)| (0..*n).map(move |k| (format!("{s}{k}"), *s)))
        .collect()
}

/// us that the list lags.
const LAG: u64 = 800 * MS;

impl Tier {
    pub fn new(seed: u64, name: &str) -> Arc<Tier> {
        let mut sh = topology(name, &addr).unwrap_or_else(|| panic!("no shape {name}"));
        sh.nodes.iter_mut().for_each(|n| n.bootstrap = true);
        let sim = Sim::new(seed, sh.site_latency);
        let z = sh.sites[0].clone();
        let m = sim.machine("operator", &z, addr(900, 0).ip());
        let op = sim.boot(m);
        sim.machine("callers", &z, addr(901, 0).ip());
        sim.machine("platform", &z, sh.platform.ip());
        sh.nodes.iter().for_each(|n| {
            sim.machine(&n.name, &n.site, n.peer.ip());
        });
        machines().iter().enumerate().for_each(|(i, (n, _))| {
            sim.machine(n, &sh.sites[i % 4], addr(300 + i, 0).ip());
        });
        Arc::new(Tier {
            sim,
            sh,
            op,
            ground: Default::default(),
            callers: Default::default(),
            roster: Default::default(),
            nodes: Default::default(),
            servers: Default::default(),
            lives: Default::default(),
            founded: Default::default(),
            versions: Default::default(),
            leaving: Default::default(),
            troubles: Default::default(),
            blind: Default::default(),
            back: Default::default(),
            mood: Default::default(),
            wrong: Default::default(),
        })
    }

    fn startup(&self, name: &str) -> Option<ProcessSettings> {
        let mut st = self.sh.nodes.iter().find(|n| n.name == name).cloned()?;
        st.bootstrap = !*self.founded.lock().unwrap();
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

    pub fn names(&self, r: Role) -> Vec<String> {
        self.sh
            .nodes_with_role(r)
            .iter()
            .map(|n| n.name.clone())
            .collect()
    }

    pub fn boot(self: &Arc<Self>, name: &str) {
        let m = self.sim.find(name);
        self.sim.power_on(m);
        let w = self.sim.boot(m);
        let Some(st) = self.startup(name) else { return };
        self.sim.set_costs(m, self.sh.costs.for_role(st.role));
        let (me, n) = (self.clone(), name.to_string());
        self.nodes.lock().unwrap().remove(name);
        w.clone().spawn(async move {
            let p = match st.role {
                Role::Front => {
                    let f = Front::open_without_leases(&w, st, Arc::new(NativeFormat));
                    let chains = TurnLogClient::new(&f.members, &f.documents, &f.settings);
                    let o = FrontOptions {
                        caller: Arc::new(Ports),
                        upstream_protocol: Arc::new(Ports),
                        turn_log: Some(Arc::new(chains)),
                    };
                    f.serve_routes(o).await.ok().map(|_| Node::Front(f))
                }
                _ => {
                    let o = Options {
                        configuration_format: Arc::new(NativeFormat),
                        server_catalogue: Some(Arc::new(Ports)),
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
                    .wrong
                    .lock()
                    .unwrap()
                    .push(format!("START {n} did not start")),
            }
        });
    }

    fn server(self: &Arc<Self>, machine: &str, service: &str) {
        let m = self.sim.find(machine);
        self.sim.power_on(m);
        let w = self.sim.boot(m);
        let id = {
            let mut g = self.lives.lock().unwrap();
            *g += 1;
            format!("{machine}-{}", *g)
        };
        let i = machines().iter().position(|x| x.0 == machine).unwrap_or(0);
        let spec = ServerSpec {
            id,
            service: service.into(),
            addr: addr(300 + i, 0),
            site: self.sim.site(m),
            slots: 8,
            queue: 4,
            max_conns: 128,
            work: 20 * MS,
            gap: 10 * MS,
        };
        let (me, n, mood) = (
            self.clone(),
            machine.to_string(),
            self.mood.lock().unwrap().clone(),
        );
        w.clone().spawn(async move {
            if let Ok(s) = Server::start(&w, spec, me.ground.clone(), mood).await {
                me.servers.lock().unwrap().insert(n, s);
                me.list();
            }
        });
    }

    /// Tells the platform's list what runs.
    fn list(&self) {
        let v: Vec<_> = self
            .servers
            .lock()
            .unwrap()
            .values()
            .map(|s| s.listed())
            .collect();
        self.roster
            .lock()
            .unwrap()
            .iter()
            .for_each(|r| r.set(v.clone()));
    }

    fn machines_of(&self, service: &str) -> Vec<String> {
        self.servers
            .lock()
            .unwrap()
            .iter()
            .filter(|(_, s)| s.spec.service == service)
            .map(|(m, _)| m.clone())
            .collect()
    }

    /// Starts all, puts the first configuration, and returns once it is acknowledged.
    pub async fn rise(self: &Arc<Self>) {
        let m = self.sim.find("platform");
        let w = self.sim.boot(m);
        let r = Roster::start(&w, self.sh.platform, LAG, 5, 40).await.ok();
        *self.roster.lock().unwrap() = r;
        machines().iter().for_each(|(n, s)| self.server(n, s));
        self.sh.nodes.iter().for_each(|n| self.boot(&n.name));
        self.op.sleep(2 * SEC).await;
        *self.founded.lock().unwrap() = true;
        // Where the tier does not found itself.
        let names = |r| self.names(r);
        let v = serde_json::json!({"cores": names(Role::Core), "stores": names(Role::Store)})
            .to_string();
        let to = self.sh.nodes_with_role(Role::Core)[0].http;
        let _ = yewcross_common::buffered_http::fetch(
            &self.op,
            to,
            http_types::Method::Post,
            "/v1/found",
            &[],
            v.into_bytes(),
            8 * SEC,
        )
        .await;
        self.put(0).await;
        self.op.sleep(3 * SEC).await;
    }

    fn core(&self) -> Option<Arc<Control>> {
        let g = self.nodes.lock().unwrap();
        let v: Vec<&Arc<Control>> = self
            .names(Role::Core)
            .iter()
            .filter_map(|n| match g.get(n) {
                Some(Node::Control(c)) if self.sim.is_up(self.sim.find(n)) => Some(c),
                _ => None,
            })
            .collect();
        v.get(self.op.random_index(v.len())).map(|c| (*c).clone())
    }

    /// Sends the next configuration as an operator does: the same text again until the answer is
    /// clear.
    pub async fn put(self: &Arc<Self>, shift: u64) {
        let n = {
            let mut g = self.versions.lock().unwrap();
            let n = g.len();
            g.push(Version {
                sent: self.op.now(),
                ..cfg::version(n as u64 + 1 + shift)
            });
            n
        };
        let text = self.versions.lock().unwrap()[n].text.clone().into_bytes();
        let mut base = self.newest();
        let until = self.op.now() + 20 * SEC;
        while self.op.now() < until {
            let Some(c) = self.core() else {
                self.op.sleep(200 * MS).await;
                continue;
            };
            let got = self.op.timeout(5 * SEC, c.put(base, text.clone())).await;
            self.sim.note(&format!("put {n} on {base}: {got:?}"));
            let got = match got {
                Some(PutAnswer::NotBootstrapped) => {
                    let to = c.settings.http;
                    let h = [("if-match", format!("\"{}\"", base.max(1)))];
                    let r = yewcross_common::buffered_http::fetch(
                        &self.op,
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
                    (g[n].number, g[n].acked) = (k, Some(self.op.now()));
                    return;
                }
                Some(PutAnswer::Conflict(k)) if n == 0 => base = k,
                Some(PutAnswer::Conflict(_)) => return,
                Some(PutAnswer::Invalid(b)) => {
                    return self
                        .wrong
                        .lock()
                        .unwrap()
                        .push(format!("BAD a proper configuration: {b:?}"));
                }
                _ => self.op.sleep(200 * MS).await,
            }
        }
    }

    fn newest(&self) -> u64 {
        self.versions
            .lock()
            .unwrap()
            .iter()
            .map(|v| v.number)
            .max()
            .unwrap_or(0)
    }

    pub fn traffic(self: &Arc<Self>, plain: usize, programs: usize) {
        let w = self.sim.boot(self.sim.find("callers"));
        self.more(&w, plain, programs, 100 * MS);
    }

    fn more(self: &Arc<Self>, runtime: &Runtime, plain: usize, programs: usize, pause: u64) {
        let me = self.clone();
        // What the platform's probes of readiness tell; all while none is in.
        let fronts: Fronts = Arc::new(move || {
            let g = me.nodes.lock().unwrap();
            let fs = me.sh.nodes_with_role(Role::Front);
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
        let all = cfg::known();
        let new = || Caller::new(runtime, &self.callers, &fronts);
        (0..plain).for_each(|_| runtime.spawn(caller::plain(new(), all[..3].to_vec(), pause)));
        (0..programs).for_each(|_| {
            runtime.spawn(caller::programs(
                new(),
                all[3].clone(),
                all[..2].to_vec(),
                pause,
            ))
        });
    }

    fn trouble(&self, from: u64) {
        self.troubles.lock().unwrap().push((from, self.op.now()));
    }

    fn any(&self, r: Role) -> String {
        let v = self.names(r);
        v[self.op.random_index(v.len())].clone()
    }

    async fn down(self: &Arc<Self>, name: &str, power: bool, wipe: bool, us: u64) {
        let (t, m) = (self.op.now(), self.sim.find(name));
        self.sim.kill(m, power);
        self.nodes.lock().unwrap().remove(name);
        if wipe {
            self.sim.wipe(m);
        }
        self.op.sleep(us).await;
        self.boot(name);
        // Its disk is filled again.
        self.op.sleep(4_200 * MS).await;
        self.trouble(t);
    }

    async fn frozen(&self, name: &str, us: u64) {
        let (t, m) = (self.op.now(), self.sim.find(name));
        self.sim.freeze(m);
        self.op.sleep(us).await;
        self.sim.thaw(m);
        self.op.sleep(4_200 * MS).await;
        self.trouble(t);
    }

    async fn apart(&self, xs: &[usize], us: u64) {
        let t = self.op.now();
        let rest: Vec<usize> = self
            .sh
            .nodes
            .iter()
            .map(|n| self.sim.find(&n.name))
            .filter(|m| !xs.contains(m))
            .collect();
        self.sim.partition(xs, &rest);
        self.op.sleep(us).await;
        self.sim.heal();
        self.op.sleep(4_200 * MS).await;
        self.trouble(t);
    }

    /// Shown as leaving, still serving for a while, and gone; another life begins where `service`
    /// is given.
    async fn leave(self: &Arc<Self>, machine: &str, service: Option<&str>) {
        let Some(s) = self.servers.lock().unwrap().get(machine).cloned() else {
            return;
        };
        s.leaving.store(true, SeqCst);
        self.list();
        self.leaving
            .lock()
            .unwrap()
            .push((self.op.now() + LAG, s.spec.id.clone()));
        self.op.sleep(LAG + 4_000 * MS).await;
        self.servers.lock().unwrap().remove(machine);
        self.list();
        self.sim.kill(self.sim.find(machine), false);
        if let Some(x) = service {
            self.op.sleep(2_500 * MS).await;
            self.server(machine, x);
        }
    }

    pub async fn act(self: &Arc<Self>, a: Act) {
        let back = (1 + self.op.random() % 4) * SEC;
        self.sim.note(&format!("act {a}"));
        match a {
            Act::KillFront => {
                self.down(&self.any(Role::Front), false, false, back / 4)
                    .await
            }
            Act::PowerFront => self.down(&self.any(Role::Front), true, false, back).await,
            Act::FreezeFront => self.frozen(&self.any(Role::Front), back).await,
            Act::CutFront => {
                self.apart(&[self.sim.find(&self.any(Role::Front))], back)
                    .await
            }
            Act::StopFront => {
                let n = self.any(Role::Front);
                let f = match self.nodes.lock().unwrap().get(&n) {
                    Some(Node::Front(f)) => f.clone(),
                    _ => return,
                };
                self.op.timeout(8 * SEC, f.stop()).await;
                let m = self.sim.find(&n);
                self.sim.kill(m, false);
                self.nodes.lock().unwrap().remove(&n);
                self.op.sleep(500 * MS).await;
                self.boot(&n);
            }
            Act::KillStore => {
                self.down(&self.any(Role::Store), false, false, back / 4)
                    .await
            }
            Act::PowerStore => self.down(&self.any(Role::Store), true, false, back).await,
            Act::WipeStore => self.down(&self.any(Role::Store), true, true, back).await,
            Act::FreezeStore => self.frozen(&self.any(Role::Store), back).await,
            Act::KillCore => {
                self.down(&self.any(Role::Core), false, false, back / 4)
                    .await
            }
            Act::PowerCore => self.down(&self.any(Role::Core), true, false, back).await,
            Act::WipeCore => self.down(&self.any(Role::Core), true, true, back).await,
            Act::FreezeCore => self.frozen(&self.any(Role::Core), back).await,
            Act::SplitCores => {
                let v: Vec<usize> = self
                    .names(Role::Core)
                    .iter()
                    .map(|n| self.sim.find(n))
                    .collect();
                let k = 1 + self.op.random_index(v.len() - 1);
                self.apart(&v[..k], back).await
            }
            Act::Storm => {
                let t = self.op.now();
                self.sim.set_network_conditions(NetworkConditions {
                    drop_per_mille: 50,
                    duplicate_per_mille: 50,
                    delay_per_mille: 50,
                    max_jitter: 20 * MS,
                });
                self.op.sleep(back).await;
                self.sim
                    .set_network_conditions(NetworkConditions::default());
                self.op.sleep(SEC).await;
                self.trouble(t);
            }
            Act::Faults => {
                let v: Mood = Fault::iter().map(|f| (f, 15)).collect();
                *self.mood.lock().unwrap() = v.clone();
                self.servers
                    .lock()
                    .unwrap()
                    .values()
                    .for_each(|s| *s.mood.lock().unwrap() = v.clone());
                self.op.sleep(back + 4 * SEC).await;
                self.mood.lock().unwrap().clear();
                self.servers
                    .lock()
                    .unwrap()
                    .values()
                    .for_each(|s| s.mood.lock().unwrap().clear());
            }
            Act::KillServer => {
                let v: Vec<String> = self.servers.lock().unwrap().keys().cloned().collect();
                let m = v[self.op.random_index(v.len())].clone();
                let service = self.servers.lock().unwrap()[&m].spec.service.clone();
                self.sim
                    .kill(self.sim.find(&m), self.op.random().is_multiple_of(2));
                self.op.sleep(back).await;
                self.server(&m, &service);
            }
            Act::ReuseAddress => {
                // A crash, which the list learns late; a server of another service comes to the
                // address.
                let v = self.machines_of("read");
                let Some(m) = v
                    .get(self.op.random_index(v.len()))
                    .filter(|_| v.len() > 1)
                    .cloned()
                else {
                    return;
                };
                self.sim.kill(self.sim.find(&m), false);
                self.op.sleep(2_500 * MS).await;
                self.server(&m, "write");
            }
            Act::LeaveServer => {
                let v = self.machines_of("read");
                if v.len() > 1 {
                    self.leave(&v[0], Some("read")).await;
                }
            }
            Act::Release => {
                for m in self.machines_of("write") {
                    self.leave(&m, Some("write")).await;
                }
            }
            Act::RosterAway => {
                let t = self.op.now();
                let r = self.roster.lock().unwrap().clone();
                r.iter().for_each(|r| r.away.store(true, SeqCst));
                self.op.sleep(back).await;
                r.iter().for_each(|r| r.away.store(false, SeqCst));
                self.blind.lock().unwrap().push((t, self.op.now()));
            }
            Act::PutConfig => self.put(0).await,
            Act::TwoOperators => {
                let me = self.clone();
                self.op.spawn(async move { me.put(1).await });
                self.put(0).await;
            }
            Act::Burst => {
                let m = self.sim.find("callers");
                let w = self.sim.runtime_of(m);
                self.more(&w, 40, 20, 20 * MS);
                self.op.sleep(3 * SEC).await;
            }
            Act::KillAll | Act::PowerAll | Act::WipeOnePowerRest => {
                self.put(0).await;
                let t = self.op.now();
                let lost = self.any(Role::Store);
                self.sh
                    .nodes
                    .iter()
                    .for_each(|n| self.sim.kill(self.sim.find(&n.name), a != Act::KillAll));
                self.nodes.lock().unwrap().clear();
                if a == Act::WipeOnePowerRest {
                    self.sim.wipe(self.sim.find(&lost));
                }
                self.op.sleep(SEC).await;
                for n in &self.sh.nodes {
                    self.boot(&n.name);
                    let p = self.op.random() % (300 * MS);
                    self.op.sleep(p).await;
                }
                *self.back.lock().unwrap() = self.op.now();
                self.op.sleep(20 * SEC).await;
                self.trouble(t);
            }
        }
    }

    /// What the operator reads back at the end must be the newest that was acknowledged, or newer.
    pub async fn read_back(&self) {
        let acked = self
            .versions
            .lock()
            .unwrap()
            .iter()
            .filter(|v| v.acked.is_some())
            .map(|v| v.number)
            .max()
            .unwrap_or(0);
        let until = self.op.now() + 6 * SEC;
        let mut last = "nobody to ask".to_string();
        while self.op.now() < until {
            if let Some(c) = self.core() {
                match self.op.timeout(3 * SEC, c.read_config()).await {
                    Some(ReadAnswer::Text(n, t)) if n >= acked => {
                        let sent = self
                            .versions
                            .lock()
                            .unwrap()
                            .iter()
                            .any(|v| v.text == *t && (v.number == n || v.number == 0));
                        if !sent {
                            self.wrong
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
            self.op.sleep(300 * MS).await;
        }
        self.wrong
            .lock()
            .unwrap()
            .push(format!("CONFIG read back: {last}"));
    }

    pub fn evidence(&self) -> Evidence {
        Evidence {
            tries: self.callers.tries.lock().unwrap().clone(),
            runs: self.ground.runs.lock().unwrap().clone(),
            reached: self.ground.reached.lock().unwrap().clone(),
            odd: self
                .ground
                .odd
                .lock()
                .unwrap()
                .iter()
                .chain(self.wrong.lock().unwrap().iter())
                .cloned()
                .collect(),
            versions: self.versions.lock().unwrap().clone(),
            leaving: self.leaving.lock().unwrap().clone(),
            troubles: self.troubles.lock().unwrap().clone(),
            blind: self.blind.lock().unwrap().clone(),
            back: *self.back.lock().unwrap(),
            end: self.sim.now(),
            contact: 3 * SEC,
            apply: 2 * SEC,
            drain: 3 * SEC,
            recover: 12 * SEC,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub shape: String,
    pub acts: Vec<Act>,
}

pub fn run(p: &Plan) -> (Arc<Tier>, Evidence) {
    let t = Tier::new(p.seed, &p.shape);
    let done: Arc<Mutex<bool>> = Default::default();
    let (me, d, acts) = (t.clone(), done.clone(), p.acts.clone());
    t.op.spawn(async move {
        me.rise().await;
        me.traffic(8, 8);
        me.op.sleep(4 * SEC).await;
        for a in acts {
            me.act(a).await;
            let p = me.op.random() % (2 * SEC);
            me.op.sleep(p).await;
        }
        me.op.sleep(4 * SEC).await;
        me.callers.stop.store(true, SeqCst);
        me.op.sleep(6 * SEC).await;
        me.read_back().await;
        *d.lock().unwrap() = true;
    });
    t.sim.run(600 * SEC, || *done.lock().unwrap());
    if !*done.lock().unwrap() {
        t.wrong
            .lock()
            .unwrap()
            .push("STUCK the plan did not end".into());
    }
    let e = t.evidence();
    (t, e)
}
