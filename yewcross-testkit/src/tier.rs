//! A simulated tier whose control plane maintains its own layout, for tests of configuration
//! updates, operator orders, replica placement and the lease.

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

/// A configuration format whose text is `NUMBER MARK`: the version number, a space and any text
/// that distinguishes this version from others with the same number. The parsed configuration is
/// always empty.
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

/// A front reduced to what the control plane interacts with: it takes part in the membership
/// protocol and applies published documents. It records every configuration that it adopts.
pub struct StubFront {
    pub members: Arc<Membership>,
    pub documents: Arc<DocumentCache>,
    /// The time in µs, the document version and the text of each configuration, in the order of
    /// adoption.
    pub configuration_history: Mutex<Vec<(u64, u64, String)>>,
}

impl RequestHandler for StubFront {
    fn handle(self: Arc<Self>, envelope: Envelope) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            let response = match envelope.decode::<PeerRequest>() {
                Some(
                    request @ (PeerRequest::Probe { .. }
                    | PeerRequest::ProbeOnBehalf { .. }
                    | PeerRequest::ExchangeMembership { .. }
                    | PeerRequest::MembershipUpdate { .. }),
                ) => self.members.handle(request).await,
                Some(PeerRequest::PublishDocument {
                    name,
                    version: document_version,
                    ballot: document_ballot,
                    ..
                }) => {
                    self.documents.apply(
                        &name,
                        document_version,
                        document_ballot,
                        envelope.payload,
                    );
                    PeerResponse::DocumentApplied {
                        version: self.documents.document(&name).version,
                    }
                }
                Some(PeerRequest::PublishDelta {
                    name,
                    version: document_version,
                    ballot: document_ballot,
                    base,
                    base_digest,
                    ..
                }) => {
                    let _ = self.documents.apply_delta(
                        &name,
                        base,
                        &base_digest,
                        document_version,
                        document_ballot,
                        &envelope.payload,
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
                message: serde_json::to_vec(&response).unwrap(),
                payload: vec![],
            }
        })
    }
}

impl StubFront {
    /// Text of the configuration that the front holds; empty if it holds none.
    pub fn configuration_text(&self) -> String {
        serde_json::from_slice::<ConfigDoc>(&self.documents.document("config").content)
            .map(|document| document.text)
            .unwrap_or_default()
    }
}

/// A simulated tier of cores, stores and fronts, one process on each machine.
pub struct Tier {
    /// The simulation that the machines belong to.
    pub sim: Sim,
    /// Runtime of the operator's machine, which is not part of the tier and on which test scripts
    /// run.
    pub operator: Runtime,
    /// Number of cores that the tier was created with.
    pub core_count: usize,
    /// Settings of every machine's process, running or not, by machine name.
    pub settings: Mutex<BTreeMap<String, ProcessSettings>>,
    /// Running core and store processes by machine name.
    pub control_nodes: Mutex<BTreeMap<String, Arc<Control>>>,
    /// Running fronts by machine name.
    pub fronts: Mutex<BTreeMap<String, Arc<StubFront>>>,
}

/// Peer address of the machine with this index; indices count through all roles.
pub fn node_address(index: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::from([10, 1, 0, index as u8 + 1]), 7000)
}

/// Roles and the prefixes of their machines' names, in the order in which [`Tier::new`] counts
/// them.
pub const ROLES: [(Role, &str); 3] = [
    (Role::Core, "core"),
    (Role::Store, "store"),
    (Role::Front, "front"),
];

impl Tier {
    /// Creates the machines of a tier, none of them running yet. `counts` holds the number of
    /// cores, stores and fronts; `lost` is the number of lost machines that the tier must tolerate
    /// (`Bounds::lost`).
    pub fn new(seed: u64, counts: [usize; 3], lost: usize) -> Arc<Tier> {
        let sim = Sim::new(seed, 900);
        let machine = sim.add_machine("operator", "z1", IpAddr::from([10, 9, 0, 1]));
        let operator = sim.boot(machine);
        let tier = Arc::new(Tier {
            sim,
            operator,
            core_count: counts[0],
            settings: Default::default(),
            control_nodes: Default::default(),
            fronts: Default::default(),
        });
        let mut index = 0;
        for ((role, prefix), count) in ROLES.into_iter().zip(counts) {
            for i in 0..count {
                tier.add_node(&format!("{prefix}{}", i + 1), role, i % 4, index, lost);
                index += 1;
            }
        }
        tier
    }

    /// Adds a machine at the address with this index and defines the settings of its process.
    pub fn add_node(&self, name: &str, role: Role, site: usize, index: usize, lost: usize) {
        let site = format!("z{}", site + 1);
        self.sim.add_machine(name, &site, node_address(index).ip());
        let settings = ProcessSettings {
            name: name.into(),
            role,
            site,
            peer: node_address(index),
            http: SocketAddr::new(node_address(index).ip(), 7001),
            seeds: (0..self.core_count.min(3)).map(node_address).collect(),
            data: "d".into(),
            platform: None,
            threads: 1,
            wire: WIRE_VERSION,
            bootstrap: true,
            start_timeout_ms: yewcross_common::constants::START_TIMEOUT_MS,
            bounds: Bounds {
                lost,
                probe_interval: 1200,
                ..Default::default()
            },
        };
        self.settings.lock().unwrap().insert(name.into(), settings);
    }

    /// Starts a platform that lists these servers and sets it as the platform of all cores that
    /// boot later.
    pub async fn start_platform(&self, servers: Vec<ListedServer>) -> Arc<Platform> {
        let address = SocketAddr::new(IpAddr::from([10, 9, 0, 1]), 80);
        self.settings
            .lock()
            .unwrap()
            .values_mut()
            .filter(|settings| settings.role == Role::Core)
            .for_each(|settings| settings.platform = Some(address));
        Platform::start(&self.operator, address, servers)
            .await
            .unwrap()
    }

    /// Blocks the traffic from one machine to each of the others.
    pub fn block_from(&self, name: &str, others: &[String]) {
        others
            .iter()
            .filter(|other| *other != name)
            .for_each(|other| self.sim.block(self.sim.find(name), self.sim.find(other)));
    }

    /// Blocks the traffic to one machine from each of the others.
    pub fn block_to(&self, name: &str, others: &[String]) {
        others
            .iter()
            .filter(|other| *other != name)
            .for_each(|other| self.sim.block(self.sim.find(other), self.sim.find(name)));
    }

    /// Names of the processes that act as the lease holder at this moment.
    pub fn acting_holders(&self) -> Vec<String> {
        self.control_nodes
            .lock()
            .unwrap()
            .iter()
            .filter(|node| node.1.is_acting_holder())
            .map(|node| node.0.clone())
            .collect()
    }

    /// Names of all machines of a role, running or not.
    pub fn names_with_role(&self, role: Role) -> Vec<String> {
        self.settings
            .lock()
            .unwrap()
            .values()
            .filter(|settings| settings.role == role)
            .map(|settings| settings.name.clone())
            .collect()
    }

    /// Powers a machine on and starts its process. With `bootstrap` the process may write the first
    /// layout of the tier; without, it joins the existing tier through up to three random cores.
    pub fn boot(self: &Arc<Self>, name: &str, bootstrap: bool) {
        let machine = self.sim.find(name);
        self.sim.power_on(machine);
        let runtime = self.sim.boot(machine);
        let mut settings = self.settings.lock().unwrap()[name].clone();
        settings.bootstrap = bootstrap;
        if !bootstrap {
            // The operator's current list, which may contain the machine itself or machines that
            // are down.
            let all_settings = self.settings.lock().unwrap();
            let mut seeds: Vec<SocketAddr> = all_settings
                .values()
                .filter(|settings| settings.role == Role::Core)
                .map(|settings| settings.peer)
                .collect();
            seeds.rotate_left(self.sim.rand() as usize % self.core_count.max(1));
            seeds.truncate(3);
            settings.seeds = seeds;
        }
        let (tier, name) = (self.clone(), name.to_string());
        runtime.clone().spawn(async move {
            if settings.role == Role::Front {
                let peers =
                    PeerClient::new(&runtime, &settings.name, &settings.site, settings.wire);
                let members = Membership::new(&runtime, &settings, &peers, "");
                let documents = DocumentCache::with_format(&runtime, Arc::new(NumberedTextFormat));
                let watcher = DocumentWatcher::without_leases(
                    &members,
                    &documents,
                    &settings.name,
                    true,
                    settings.bounds.apply * MS,
                );
                let front = Arc::new(StubFront {
                    members: members.clone(),
                    documents,
                    configuration_history: Default::default(),
                });
                let listener = runtime.bind(settings.peer).await.unwrap();
                runtime.spawn(peers.serve(listener, front.clone()));
                runtime.spawn(members.run());
                runtime.spawn(watcher.run());
                tier.fronts.lock().unwrap().insert(name, front.clone());
                loop {
                    let changed = front.documents.changed.listen();
                    let (version, text) = (
                        front.documents.document("config").version,
                        front.configuration_text(),
                    );
                    let is_new = front
                        .configuration_history
                        .lock()
                        .unwrap()
                        .last()
                        .is_none_or(|last| last.1 != version);
                    if is_new && !text.is_empty() {
                        front.configuration_history.lock().unwrap().push((
                            runtime.now(),
                            version,
                            text,
                        ));
                    }
                    changed.await;
                }
            }
            let options = Options {
                configuration_format: Arc::new(NumberedTextFormat),
                put_acknowledgement: PutAcknowledgement::Decided,
                bind_http: false,
                maintains_layout: true,
                outranks_younger_process: true,
                ..Default::default()
            };
            match Control::start_with(&runtime, settings, options).await {
                Ok(control) => {
                    tier.control_nodes.lock().unwrap().insert(name, control);
                }
                Err(error) => panic!("{name} failed to start: {error}"),
            }
        });
    }

    /// Boots every machine of a tier that has no layout yet.
    pub fn boot_all(self: &Arc<Self>) {
        let names: Vec<String> = self.settings.lock().unwrap().keys().cloned().collect();
        names.iter().for_each(|name| self.boot(name, true));
    }

    /// Ends a machine's process at once; with `loses_power` the machine goes down too, without a
    /// reset to its peers, and unsynced bytes may be lost.
    pub fn kill(&self, name: &str, loses_power: bool) {
        self.sim.kill(self.sim.find(name), loses_power);
        self.control_nodes.lock().unwrap().remove(name);
        self.fronts.lock().unwrap().remove(name);
    }

    /// The core or store process that runs on the machine.
    pub fn control_node(&self, name: &str) -> Option<Arc<Control>> {
        self.control_nodes.lock().unwrap().get(name).cloned()
    }

    /// The front that runs on the machine.
    pub fn front(&self, name: &str) -> Option<Arc<StubFront>> {
        self.fronts.lock().unwrap().get(name).cloned()
    }

    /// Runs an operation in the node's own process. `None` if the node is not running, stops, or
    /// does not answer within one second.
    pub async fn run_on<T: Send + 'static>(
        &self,
        name: &str,
        operation: impl FnOnce(Arc<Control>) -> BoxFuture<'static, T>,
    ) -> Option<T> {
        let control = self.control_node(name)?;
        let (sender, receiver) = async_channel::bounded(1);
        let future = operation(control.clone());
        control.runtime.spawn(async move {
            let _ = sender.try_send(future.await);
        });
        self.operator.timeout(SEC, receiver.recv()).await?.ok()
    }

    /// Puts a configuration at the node; `None` as for [`Tier::run_on`].
    pub async fn put_configuration(&self, name: &str, base: u64, text: &str) -> Option<PutAnswer> {
        let text = text.as_bytes().to_vec();
        self.run_on(name, move |control| {
            Box::pin(async move { control.put(base, text).await })
        })
        .await
    }

    /// Reads the configuration at the node; `None` as for [`Tier::run_on`].
    pub async fn read_configuration(&self, name: &str) -> Option<ReadAnswer> {
        self.run_on(name, |control| {
            Box::pin(async move { control.read_config().await })
        })
        .await
    }

    /// Names of the core replicas and of the store replicas, and whether no replica change is in
    /// progress, according to a majority of the core disks. `None` if no core can read the layout.
    pub async fn layout_members(&self) -> Option<(BTreeSet<String>, BTreeSet<String>, bool)> {
        for name in self.names_with_role(Role::Core) {
            let newest = self
                .run_on(&name, |control| {
                    Box::pin(async move { control.registers.read_newest("layout", SEC).await.ok() })
                })
                .await
                .flatten();
            if let Some((_, _, content)) = newest.filter(|value| value.0 > 0) {
                let layout: Layout = serde_json::from_slice(&content).unwrap();
                let member_names = |group: &ReplicaGroup| {
                    group
                        .current
                        .iter()
                        .map(|disk| layout.names[disk].clone())
                        .collect::<BTreeSet<_>>()
                };
                return Some((
                    member_names(&layout.core),
                    member_names(&layout.store),
                    layout.core.previous.is_empty() && layout.store.previous.is_empty(),
                ));
            }
        }
        None
    }

    /// Waits until exactly these machines are core and store replicas, each with its current disk,
    /// and no replica change is in progress. Returns the time in µs that it took, or `None` after
    /// `timeout` µs.
    pub async fn wait_for_members(
        &self,
        core: &[String],
        store: &[String],
        timeout: u64,
    ) -> Option<u64> {
        let started = self.operator.now();
        while self.operator.now() < started + timeout {
            if let Some((core_members, store_members, is_settled)) = self.layout_members().await {
                let set = |names: &[String]| names.iter().cloned().collect::<BTreeSet<String>>();
                let all_disks_assigned = core.iter().chain(store).all(|name| {
                    self.control_node(name).is_some_and(|control| {
                        let layout = control.documents.layout.load();
                        layout.1.core.current.contains(&control.storage.disk_id)
                            || layout.1.store.current.contains(&control.storage.disk_id)
                    })
                });
                if is_settled
                    && all_disks_assigned
                    && core_members == set(core)
                    && store_members == set(store)
                {
                    return Some(self.operator.now() - started);
                }
            }
            self.operator.sleep(20 * MS).await;
        }
        None
    }

    /// Puts a configuration at one core after another until it is acknowledged. Returns the time in
    /// µs that it took; panics after 200 attempts.
    pub async fn put_until_acknowledged(&self, base: u64, text: &str) -> u64 {
        let started = self.operator.now();
        let cores = self.names_with_role(Role::Core);
        for i in 0..200 {
            if let Some(PutAnswer::InForce(_)) = self
                .put_configuration(&cores[i % cores.len()], base, text)
                .await
            {
                return self.operator.now() - started;
            }
            self.operator.sleep(50 * MS).await;
        }
        panic!("no core acknowledged configuration {text} in 200 attempts")
    }

    /// Puts a configuration at one core until it is acknowledged. Returns the time in µs that it
    /// took; panics after 200 attempts.
    pub async fn put_at_until_acknowledged(&self, core: &str, base: u64, text: &str) -> u64 {
        let started = self.operator.now();
        for _ in 0..200 {
            if let Some(PutAnswer::InForce(_)) = self.put_configuration(core, base, text).await {
                return self.operator.now() - started;
            }
            self.operator.sleep(10 * MS).await;
        }
        panic!("{core} did not acknowledge configuration {text} in 200 attempts")
    }

    /// Waits until every running front holds the configuration text. Returns the time in µs that it
    /// took, or `None` after `timeout` µs.
    pub async fn wait_until_adopted(&self, text: &str, timeout: u64) -> Option<u64> {
        let started = self.operator.now();
        while self.operator.now() < started + timeout {
            if self
                .fronts
                .lock()
                .unwrap()
                .values()
                .all(|front| front.configuration_text() == text)
            {
                return Some(self.operator.now() - started);
            }
            self.operator.sleep(5 * MS).await;
        }
        None
    }
}

/// Runs a script on the operator's machine until it ends, and returns its result. After 300
/// simulated seconds it prints the last 60 log lines and panics.
pub fn run_script<T: Send + 'static>(
    tier: &Arc<Tier>,
    script: impl FnOnce(Arc<Tier>) -> BoxFuture<'static, T>,
) -> T {
    let result: Arc<Mutex<Option<T>>> = Default::default();
    let (script_result, future) = (result.clone(), script(tier.clone()));
    tier.operator.spawn(async move {
        let value = future.await;
        *script_result.lock().unwrap() = Some(value);
    });
    tier.sim.run(300 * SEC, || result.lock().unwrap().is_some());
    let value = result.lock().unwrap().take();
    value.unwrap_or_else(|| {
        tier.sim
            .log()
            .iter()
            .rev()
            .take(60)
            .rev()
            .for_each(|line| eprintln!("{} {} {}", line.0 / MS, line.1, line.2));
        panic!("the test script did not end within 300 simulated seconds")
    })
}

/// The simulation's log so far, one line each: time in ms, machine and message.
pub fn format_log(tier: &Tier) -> String {
    tier.sim
        .log()
        .iter()
        .map(|line| format!("{} {} {}\n", line.0 / MS, line.1, line.2))
        .collect()
}

/// Boots all machines and waits until all cores and stores are replicas. Returns the time in µs
/// that it took; panics after 10 s.
pub async fn boot_and_wait(tier: &Arc<Tier>) -> u64 {
    tier.boot_all();
    let (cores, stores) = (
        tier.names_with_role(Role::Core),
        tier.names_with_role(Role::Store),
    );
    tier.wait_for_members(&cores, &stores, 10 * SEC)
        .await
        .unwrap_or_else(|| {
            panic!(
                "the tier was not bootstrapped within 10 s\n{}",
                format_log(tier)
            )
        })
}
