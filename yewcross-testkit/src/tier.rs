//! A tier in the simulator whose control plane keeps itself, for the tests of orders, seats and
//! duties.

use crate::platform::Platform;
use crate::sim::Sim;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use yewcross_common::adapter::ConfigurationFormat;
use yewcross_common::configuration::{Configuration, InvalidSetting};
use yewcross_common::constants::*;
use yewcross_common::documents::cache::DocumentCache;
use yewcross_common::documents::watcher::DocumentWatcher;
use yewcross_common::error_code::Code;
use yewcross_common::membership::Membership;
use yewcross_common::process_settings::{Bounds, ProcessSettings, Role};
use yewcross_common::protocol::*;
use yewcross_common::runtime::*;
use yewcross_common::transport::*;
use yewcross_control::Control;
use yewcross_control::api::*;

/// `number mark`; the tree is empty.
pub struct NumberedTextFormat;

impl ConfigurationFormat for NumberedTextFormat {
    fn read(&self, text: &[u8]) -> Result<Configuration, Vec<InvalidSetting>> {
        match self.number(text) {
            Some(_) => Configuration::read(b"{}"),
            None => Err(vec![InvalidSetting {
                path: "number".into(),
                reason: "none".into(),
            }]),
        }
    }
    fn number(&self, text: &[u8]) -> Option<u64> {
        std::str::from_utf8(text)
            .ok()?
            .split(' ')
            .next()?
            .parse()
            .ok()
    }
}

/// A front as far as it concerns the control plane. It notes every configuration that it holds.
pub struct StubFront {
    pub members: Arc<Membership>,
    pub documents: Arc<DocumentCache>,
    pub configuration_history: Mutex<Vec<(u64, u64, String)>>,
}

impl RequestHandler for StubFront {
    fn handle(self: Arc<Self>, p: Envelope) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            let t = match p.decode::<PeerRequest>() {
                Some(
                    a @ (PeerRequest::Probe { .. }
                    | PeerRequest::ProbeOnBehalf { .. }
                    | PeerRequest::ExchangeMembership { .. }
                    | PeerRequest::MembershipUpdate { .. }),
                ) => self.members.handle(a).await,
                Some(PeerRequest::PublishDocument {
                    name,
                    version: seq,
                    ballot: epoch,
                    ..
                }) => {
                    self.documents.apply(&name, seq, epoch, p.payload);
                    PeerResponse::DocumentApplied {
                        version: self.documents.document(&name).version,
                    }
                }
                Some(PeerRequest::PublishDelta {
                    name,
                    version: seq,
                    ballot: epoch,
                    base,
                    base_digest,
                    ..
                }) => {
                    let _ = self.documents.apply_delta(
                        &name,
                        base,
                        &base_digest,
                        seq,
                        epoch,
                        &p.payload,
                    );
                    PeerResponse::DocumentApplied {
                        version: self.documents.document(&name).version,
                    }
                }
                Some(PeerRequest::ServersLeaving { servers, .. }) => {
                    self.documents.mark_leaving(&servers);
                    PeerResponse::Ok
                }
                _ => PeerResponse::Rejected(Code::BadField),
            };
            Reply {
                message: serde_json::to_vec(&t).unwrap(),
                payload: vec![],
            }
        })
    }
}

impl StubFront {
    pub fn configuration_text(&self) -> String {
        serde_json::from_slice::<ConfigDoc>(&self.documents.document("config").content)
            .map(|d| d.text)
            .unwrap_or_default()
    }
}

pub struct Tier {
    pub sim: Sim,
    pub operator: Runtime,
    pub core_count: usize,
    pub settings: Mutex<BTreeMap<String, ProcessSettings>>,
    pub control_nodes: Mutex<BTreeMap<String, Arc<Control>>>,
    pub fronts: Mutex<BTreeMap<String, Arc<StubFront>>>,
}

pub fn node_address(n: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::from([10, 1, 0, n as u8 + 1]), 7000)
}

pub const ROLES: [(Role, &str); 3] = [
    (Role::Core, "core"),
    (Role::Store, "store"),
    (Role::Front, "front"),
];

impl Tier {
    pub fn new(seed: u64, counts: [usize; 3], lost: usize) -> Arc<Tier> {
        let sim = Sim::new(seed, 900);
        let m = sim.machine("operator", "z1", IpAddr::from([10, 9, 0, 1]));
        let op = sim.boot(m);
        let t = Arc::new(Tier {
            sim,
            operator: op,
            core_count: counts[0],
            settings: Default::default(),
            control_nodes: Default::default(),
            fronts: Default::default(),
        });
        let mut n = 0;
        for ((role, tag), k) in ROLES.into_iter().zip(counts) {
            for i in 0..k {
                t.add_node(&format!("{tag}{}", i + 1), role, i % 4, n, lost);
                n += 1;
            }
        }
        t
    }

    pub fn add_node(&self, name: &str, role: Role, site: usize, n: usize, lost: usize) {
        let site = format!("z{}", site + 1);
        self.sim.machine(name, &site, node_address(n).ip());
        let st = ProcessSettings {
            name: name.into(),
            role,
            site,
            peer: node_address(n),
            http: SocketAddr::new(node_address(n).ip(), 7001),
            seeds: (0..self.core_count.min(3)).map(node_address).collect(),
            data: "d".into(),
            platform: None,
            threads: 1,
            wire: WIRE_VERSION,
            bootstrap: true,
            bounds: Bounds {
                lost,
                probe_interval: 1200,
                ..Default::default()
            },
        };
        self.settings.lock().unwrap().insert(name.into(), st);
    }

    /// Starts a platform that lists these servers, and tells all machines that start later of it.
    pub async fn start_platform(&self, servers: Vec<ListedServer>) -> Arc<Platform> {
        let at = SocketAddr::new(IpAddr::from([10, 9, 0, 1]), 80);
        self.settings
            .lock()
            .unwrap()
            .values_mut()
            .filter(|s| s.role == Role::Core)
            .for_each(|s| s.platform = Some(at));
        Platform::start(&self.operator, at, servers).await.unwrap()
    }

    /// Holds back what flows from one machine to each of the others.
    pub fn block_from(&self, name: &str, others: &[String]) {
        others
            .iter()
            .filter(|o| *o != name)
            .for_each(|o| self.sim.block(self.sim.find(name), self.sim.find(o)));
    }

    /// Holds back what flows to one machine from each of the others.
    pub fn block_to(&self, name: &str, others: &[String]) {
        others
            .iter()
            .filter(|o| *o != name)
            .for_each(|o| self.sim.block(self.sim.find(o), self.sim.find(name)));
    }

    /// Machines that hold the duties at this moment.
    pub fn acting_holders(&self) -> Vec<String> {
        self.control_nodes
            .lock()
            .unwrap()
            .iter()
            .filter(|c| c.1.is_acting_holder())
            .map(|c| c.0.clone())
            .collect()
    }

    pub fn names_with_role(&self, r: Role) -> Vec<String> {
        self.settings
            .lock()
            .unwrap()
            .values()
            .filter(|s| s.role == r)
            .map(|s| s.name.clone())
            .collect()
    }

    pub fn boot(self: &Arc<Self>, name: &str, first: bool) {
        let m = self.sim.find(name);
        self.sim.power_on(m);
        let w = self.sim.boot(m);
        let mut st = self.settings.lock().unwrap()[name].clone();
        st.bootstrap = first;
        if !first {
            // The operator's list of now, which may name the machine itself or ones that are down.
            let g = self.settings.lock().unwrap();
            let mut v: Vec<SocketAddr> = g
                .values()
                .filter(|s| s.role == Role::Core)
                .map(|s| s.peer)
                .collect();
            v.rotate_left(self.sim.rand() as usize % self.core_count.max(1));
            v.truncate(3);
            st.seeds = v;
        }
        let (me, n) = (self.clone(), name.to_string());
        w.clone().spawn(async move {
            if st.role == Role::Front {
                let peers = PeerClient::new(&w, &st.name, &st.site, st.wire);
                let members = Membership::new(&w, &st, &peers, "");
                let book = DocumentCache::with_format(&w, Arc::new(NumberedTextFormat));
                let follow = DocumentWatcher::without_leases(
                    &members,
                    &book,
                    &st.name,
                    true,
                    st.bounds.apply * MS,
                );
                let b = Arc::new(StubFront {
                    members: members.clone(),
                    documents: book,
                    configuration_history: Default::default(),
                });
                let door = w.bind(st.peer).await.unwrap();
                w.spawn(peers.serve(door, b.clone()));
                w.spawn(members.run());
                w.spawn(follow.run());
                me.fronts.lock().unwrap().insert(n, b.clone());
                loop {
                    let l = b.documents.changed.listen();
                    let (p, t) = (
                        b.documents.document("config").version,
                        b.configuration_text(),
                    );
                    let new = b
                        .configuration_history
                        .lock()
                        .unwrap()
                        .last()
                        .is_none_or(|x| x.1 != p);
                    if new && !t.is_empty() {
                        b.configuration_history
                            .lock()
                            .unwrap()
                            .push((w.now(), p, t));
                    }
                    l.await;
                }
            }
            let o = Options {
                configuration_format: Arc::new(NumberedTextFormat),
                put_acknowledgement: PutAcknowledgement::Decided,
                bind_http: false,
                maintains_layout: true,
                outranks_younger_process: true,
                ..Default::default()
            };
            match Control::start_with(&w, st, o).await {
                Ok(c) => {
                    me.control_nodes.lock().unwrap().insert(n, c);
                }
                Err(e) => panic!("{n} does not start: {e}"),
            }
        });
    }

    pub fn boot_all(self: &Arc<Self>) {
        let v: Vec<String> = self.settings.lock().unwrap().keys().cloned().collect();
        v.iter().for_each(|n| self.boot(n, true));
    }

    pub fn kill(&self, name: &str, power: bool) {
        self.sim.kill(self.sim.find(name), power);
        self.control_nodes.lock().unwrap().remove(name);
        self.fronts.lock().unwrap().remove(name);
    }

    pub fn control_node(&self, name: &str) -> Option<Arc<Control>> {
        self.control_nodes.lock().unwrap().get(name).cloned()
    }

    pub fn front(&self, name: &str) -> Option<Arc<StubFront>> {
        self.fronts.lock().unwrap().get(name).cloned()
    }

    /// An order run on the node itself; none where the node dies, or is silent for a second.
    pub async fn run_on<T: Send + 'static>(
        &self,
        name: &str,
        f: impl FnOnce(Arc<Control>) -> BoxFuture<'static, T>,
    ) -> Option<T> {
        let c = self.control_node(name)?;
        let (tx, rx) = async_channel::bounded(1);
        let go = f(c.clone());
        c.runtime.spawn(async move {
            let _ = tx.try_send(go.await);
        });
        self.operator.timeout(SEC, rx.recv()).await?.ok()
    }

    pub async fn put_configuration(&self, name: &str, base: u64, text: &str) -> Option<PutAnswer> {
        let text = text.as_bytes().to_vec();
        self.run_on(name, move |c| {
            Box::pin(async move { c.put(base, text).await })
        })
        .await
    }

    pub async fn read_configuration(&self, name: &str) -> Option<ReadAnswer> {
        self.run_on(name, |c| Box::pin(async move { c.read_config().await }))
            .await
    }

    /// Names behind the seats, and whether no change is under way, as a majority of the core disks
    /// has it.
    pub async fn layout_members(&self) -> Option<(BTreeSet<String>, BTreeSet<String>, bool)> {
        for n in self.names_with_role(Role::Core) {
            let got = self
                .run_on(&n, |c| {
                    Box::pin(async move { c.registers.read_newest("layout", SEC).await.ok() })
                })
                .await
                .flatten();
            if let Some((_, _, raw)) = got.filter(|g| g.0 > 0) {
                let l: Layout = serde_json::from_slice(&raw).unwrap();
                let f = |g: &ReplicaGroup| {
                    g.current
                        .iter()
                        .map(|d| l.names[d].clone())
                        .collect::<BTreeSet<_>>()
                };
                return Some((
                    f(&l.core),
                    f(&l.store),
                    l.core.previous.is_empty() && l.store.previous.is_empty(),
                ));
            }
        }
        None
    }

    /// Waits until these and no others have seats, on the disks that they have now, and no change
    /// is under way.
    pub async fn wait_for_members(
        &self,
        core: &[String],
        store: &[String],
        us: u64,
    ) -> Option<u64> {
        let t0 = self.operator.now();
        while self.operator.now() < t0 + us {
            if let Some((c, s, still)) = self.layout_members().await {
                let set = |v: &[String]| v.iter().cloned().collect::<BTreeSet<String>>();
                let own = core.iter().chain(store).all(|n| {
                    self.control_node(n).is_some_and(|x| {
                        let l = x.documents.layout.load();
                        l.1.core.current.contains(&x.storage.disk_id)
                            || l.1.store.current.contains(&x.storage.disk_id)
                    })
                });
                if still && own && c == set(core) && s == set(store) {
                    return Some(self.operator.now() - t0);
                }
            }
            self.operator.sleep(20 * MS).await;
        }
        None
    }

    /// Puts until it is acknowledged, as an operator does.
    pub async fn put_until_acknowledged(&self, base: u64, text: &str) -> u64 {
        let t0 = self.operator.now();
        let v = self.names_with_role(Role::Core);
        for i in 0..200 {
            if let Some(PutAnswer::InForce(_)) =
                self.put_configuration(&v[i % v.len()], base, text).await
            {
                return self.operator.now() - t0;
            }
            self.operator.sleep(50 * MS).await;
        }
        panic!("{text} is not acknowledged")
    }

    /// Puts at one core until it is acknowledged; us that it took.
    pub async fn put_at_until_acknowledged(&self, core: &str, base: u64, text: &str) -> u64 {
        let t0 = self.operator.now();
        for _ in 0..200 {
            if let Some(PutAnswer::InForce(_)) = self.put_configuration(core, base, text).await {
                return self.operator.now() - t0;
            }
            self.operator.sleep(10 * MS).await;
        }
        panic!("{text} is not acknowledged by {core}")
    }

    /// us until every front that runs holds the text.
    pub async fn wait_until_adopted(&self, text: &str, us: u64) -> Option<u64> {
        let t0 = self.operator.now();
        while self.operator.now() < t0 + us {
            if self
                .fronts
                .lock()
                .unwrap()
                .values()
                .all(|f| f.configuration_text() == text)
            {
                return Some(self.operator.now() - t0);
            }
            self.operator.sleep(5 * MS).await;
        }
        None
    }
}

pub fn run_script<T: Send + 'static>(
    t: &Arc<Tier>,
    f: impl FnOnce(Arc<Tier>) -> BoxFuture<'static, T>,
) -> T {
    let out: Arc<Mutex<Option<T>>> = Default::default();
    let (o, go) = (out.clone(), f(t.clone()));
    t.operator.spawn(async move {
        let x = go.await;
        *o.lock().unwrap() = Some(x);
    });
    t.sim.run(300 * SEC, || out.lock().unwrap().is_some());
    let x = out.lock().unwrap().take();
    x.unwrap_or_else(|| {
        t.sim
            .log()
            .iter()
            .rev()
            .take(60)
            .rev()
            .for_each(|l| eprintln!("{} {} {}", l.0 / MS, l.1, l.2));
        panic!("the script did not end")
    })
}

pub fn format_log(t: &Tier) -> String {
    t.sim
        .log()
        .iter()
        .map(|l| format!("{} {} {}\n", l.0 / MS, l.1, l.2))
        .collect()
}

pub async fn boot_and_wait(t: &Arc<Tier>) -> u64 {
    t.boot_all();
    let (c, s) = (
        t.names_with_role(Role::Core),
        t.names_with_role(Role::Store),
    );
    t.wait_for_members(&c, &s, 10 * SEC)
        .await
        .unwrap_or_else(|| panic!("not founded\n{}", format_log(t)))
}
