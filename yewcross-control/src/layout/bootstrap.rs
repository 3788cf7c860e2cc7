//! Bootstrap of the tier: the first layout and the empty configuration.
//!
//! No quorum is defined before the first layout, so a quorum cannot decide it. Instead, each core
//! disk that the layout names accepts one first layout and rejects any other. Only then is it decided
//! as version 1 of the document, followed by the empty configuration.

use super::LAYOUT;
use super::error::LayoutError;
use crate::{Control, config};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::{MS, PEER_REQUEST_TIMEOUT, PUT_TIMEOUT, RECORD_REPLICAS, SEC};
use yewcross_common::error_code::Code;
use yewcross_common::membership::Node;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{ConfigDoc, Layout, PeerRequest, PeerResponse, ReplicaGroup};
use yewcross_common::register::{Ballot, ValueUpdate};

/// Name of the document that holds the operators' configuration.
const CONFIG: &str = "config";

/// Name of the file whose presence means that this process bootstraps the tier. It stores the seeds
/// that the process bootstraps from.
const BOOTSTRAP_FILE: &str = "founding";

/// Version of the first layout and of the file that stores it.
const FIRST_VERSION: u64 = 1;

/// Minimum number of core replicas of a tier that an operator bootstraps.
const MIN_CORE_REPLICAS: usize = 3;

/// Interval at which an automatic bootstrap is retried while nothing changes, in µs.
const BOOTSTRAP_RETRY_INTERVAL: u64 = 300 * MS;

/// Persists and applies the first layout on this disk, as requested by the core process that
/// bootstraps the tier. A core disk votes only after this, or once a decided layout names it.
pub async fn accept_first_layout(control: &Arc<Control>, content: Vec<u8>) -> PeerResponse {
    let _guard = control.bootstrap_lock.lock().await;
    // The request is sent to an address, which another disk may have taken over: only a disk that
    // the layout names may accept it.
    let names_this_disk = serde_json::from_slice::<Layout>(&content)
        .is_ok_and(|layout| layout.core.current.contains(&control.storage.disk_id));
    if !names_this_disk {
        return PeerResponse::Rejected(Code::Conflict);
    }
    let adopted = control.documents.document(LAYOUT);
    if adopted.version > 0 {
        return if *adopted.content == content {
            PeerResponse::Ok
        } else {
            PeerResponse::Rejected(Code::Conflict)
        };
    }
    let text = String::from_utf8_lossy(&content);
    let file = serde_json::to_vec(&(FIRST_VERSION, Ballot::default(), text)).unwrap_or_default();
    let written = control
        .storage
        .persist("local", LAYOUT, FIRST_VERSION, &file)
        .await;
    if written.is_err() {
        return PeerResponse::Rejected(Code::StoreAway);
    }
    control
        .documents
        .apply(LAYOUT, FIRST_VERSION, Ballot::default(), content);
    control
        .replica
        .layout_version
        .fetch_max(FIRST_VERSION, SeqCst);
    PeerResponse::Ok
}

/// Bootstraps the tier from the machines that an operator names. All of them must be known, and the
/// core machines must not hold another layout.
pub async fn bootstrap(
    control: &Arc<Control>,
    cores: &[String],
    stores: &[String],
) -> Result<(), LayoutError> {
    let view = control.members.view.load_full();
    let content = first_layout_of(&view, cores, stores)?;
    for node in cores.iter().filter_map(|name| view.get(name)) {
        let is_own = node.name == control.settings.name;
        let answer = send_first_layout(control, node.peer, is_own, &content).await;
        if !matches!(answer, PeerResponse::Ok) {
            return Err(LayoutError::BootstrapRejected {
                machine: node.name.clone(),
            });
        }
    }
    decide_if_absent(control, LAYOUT, content).await?;
    let empty = serde_json::to_vec(&ConfigDoc::default()).unwrap_or_default();
    decide_if_absent(control, CONFIG, empty).await?;
    for document in [LAYOUT, CONFIG] {
        if let Ok((version, ballot, content)) = control
            .registers
            .read_with_ballot(document, PEER_REQUEST_TIMEOUT)
            .await
        {
            let control_handle = control.clone();
            control.runtime.spawn(async move {
                config::roll_out(&control_handle, document, version, ballot, &content).await;
            });
        }
    }
    Ok(())
}

/// Builds the first layout from the named machines.
fn first_layout_of(
    view: &BTreeMap<String, Node>,
    cores: &[String],
    stores: &[String],
) -> Result<Vec<u8>, LayoutError> {
    let (mut names, mut sites) = (BTreeMap::new(), BTreeMap::new());
    let mut group = |machines: &[String], role: Role| -> Result<ReplicaGroup, LayoutError> {
        let mut current = vec![];
        for machine in machines {
            let node = view
                .get(machine)
                .filter(|node| node.role == role && !node.disk.is_empty())
                .ok_or_else(|| LayoutError::UnknownMachine {
                    machine: machine.clone(),
                    role,
                })?;
            names.insert(node.disk.clone(), machine.clone());
            sites.insert(node.disk.clone(), node.site.clone());
            current.push(node.disk.clone());
        }
        Ok(ReplicaGroup {
            current,
            ..Default::default()
        })
    };
    let core = group(cores, Role::Core)?;
    let store = group(stores, Role::Store)?;
    if core.current.len() < MIN_CORE_REPLICAS || store.current.len() < RECORD_REPLICAS {
        return Err(LayoutError::TooFewMachines);
    }
    let layout = Layout {
        core,
        store,
        names,
        sites,
        change_started: FIRST_VERSION,
        ..Default::default()
    };
    Ok(serde_json::to_vec(&layout).unwrap_or_default())
}

/// Requests a core process to accept the first layout; handled locally if `is_own`.
async fn send_first_layout(
    control: &Arc<Control>,
    peer: SocketAddr,
    is_own: bool,
    content: &[u8],
) -> PeerResponse {
    if is_own {
        return accept_first_layout(control, content.to_vec()).await;
    }
    control
        .peers
        .request(peer, &PeerRequest::Bootstrap, content, PEER_REQUEST_TIMEOUT)
        .await
        .map_or(PeerResponse::Rejected(Code::StoreAway), |(answer, _)| {
            answer
        })
}

/// Decides the first version of a document, unless a version is already decided.
async fn decide_if_absent(
    control: &Control,
    document: &str,
    content: Vec<u8>,
) -> Result<(), LayoutError> {
    let write_first = |version, _: &[u8]| {
        if version == 0 {
            ValueUpdate::Write(content.clone(), ())
        } else {
            ValueUpdate::Keep(())
        }
    };
    control
        .registers
        .change(document, PUT_TIMEOUT, write_first)
        .await
        .map_err(|_| LayoutError::BootstrapUndecided)
}

/// Bootstraps a tier that maintains itself. The first core replicas are the disks of the seed machines
/// that every node is configured with, so all processes that bootstrap propose the same layout.
/// Returns once the first layout and the empty configuration are decided.
pub async fn bootstrap_automatically(control: Arc<Control>) {
    let plan = BootstrapPlan::load_or_persist(&control).await;
    loop {
        let documents_changed = control.documents.changed.listen();
        let members_changed = control.members.changed.listen();
        if control.documents.layout.load_full().0 == 0 {
            plan.propose_if_possible(&control).await;
        } else if is_bootstrapped(&control) {
            control
                .singleton_tasks
                .bootstrapped_at
                .store(control.runtime.now(), SeqCst);
            control.is_bootstrapped.store(true, SeqCst);
            control.documents.changed.notify(usize::MAX);
            return;
        }
        let any_change = futures_lite::future::or(documents_changed, members_changed);
        control
            .runtime
            .timeout(BOOTSTRAP_RETRY_INTERVAL, any_change)
            .await;
    }
}

/// Whether this process bootstraps the tier, and the seeds that it bootstraps from.
struct BootstrapPlan {
    proposes: bool,
    seeds: Vec<SocketAddr>,
}

impl BootstrapPlan {
    /// Reads the plan from the disk or else from the settings. A process that proposes persists its
    /// plan first, so that after a restart during the bootstrap it continues with the same seeds.
    async fn load_or_persist(control: &Control) -> BootstrapPlan {
        let seeds = &control.settings.seeds;
        let configured = BootstrapPlan {
            proposes: control.settings.bootstrap,
            seeds: seeds.clone(),
        };
        if control.documents.layout.load().0 > 0 {
            return configured;
        }
        match control.storage.load("local", BOOTSTRAP_FILE).await {
            Ok(Some((_, body))) => BootstrapPlan {
                proposes: true,
                seeds: serde_json::from_slice(&body).unwrap_or(configured.seeds),
            },
            _ if configured.proposes => {
                let body = serde_json::to_vec(seeds).unwrap_or_default();
                // A disk that cannot persist the plan cannot persist the layout either, and then
                // rejects it.
                let _ = control
                    .storage
                    .persist("local", BOOTSTRAP_FILE, 1, &body)
                    .await;
                configured
            }
            _ => configured,
        }
    }

    /// Proposes the first layout if this process is one of the seeds and all seeds are known.
    async fn propose_if_possible(&self, control: &Arc<Control>) {
        if !self.proposes || !self.seeds.contains(&control.settings.peer) {
            return;
        }
        if let Some(content) = first_layout_of_seeds(control, &self.seeds) {
            propose_first_layout(control, &self.seeds, &content).await;
        }
    }
}

/// Builds the first layout from the seeds; `None` until the machines of all seeds are known.
fn first_layout_of_seeds(control: &Control, seeds: &[SocketAddr]) -> Option<Vec<u8>> {
    let view = control.members.view.load();
    let nodes: Vec<&Node> = seeds
        .iter()
        .map(|seed| {
            view.values()
                .find(|node| node.peer == *seed && node.role == Role::Core && !node.disk.is_empty())
        })
        .collect::<Option<_>>()?;
    let mut voters: Vec<String> = nodes.iter().map(|node| node.disk.clone()).collect();
    voters.sort();
    voters.dedup();
    let names = nodes
        .iter()
        .map(|node| (node.disk.clone(), node.name.clone()));
    let sites = nodes
        .iter()
        .map(|node| (node.disk.clone(), node.site.clone()));
    let layout = Layout {
        core: ReplicaGroup {
            current: voters,
            ..Default::default()
        },
        names: names.collect(),
        sites: sites.collect(),
        change_started: FIRST_VERSION,
        ..Default::default()
    };
    serde_json::to_vec(&layout).ok()
}

/// Sends the layout to the seeds in their configured order, until one does not accept it. If two
/// processes propose different layouts, the fixed order ensures that the first seed accepts one of
/// them before any other seed has accepted either.
async fn propose_first_layout(control: &Arc<Control>, seeds: &[SocketAddr], content: &[u8]) {
    for seed in seeds {
        let is_own = *seed == control.settings.peer;
        let answer = send_first_layout(control, *seed, is_own, content).await;
        if !matches!(answer, PeerResponse::Ok) {
            return;
        }
    }
}

/// Decides the first layout and the empty configuration if they are not decided yet. The lease holder
/// calls this before it acts, which also writes both documents under its own ballots. Returns whether
/// both are decided.
pub async fn decide_first_documents(control: &Arc<Control>) -> bool {
    let adopted = control.documents.document(LAYOUT);
    let write_layout = |version, _: &[u8]| {
        if version == 0 && adopted.version == FIRST_VERSION {
            ValueUpdate::Write(adopted.content.to_vec(), true)
        } else {
            ValueUpdate::Keep(version > 0)
        }
    };
    let layout_decided = control.registers.change(LAYOUT, SEC, write_layout).await;
    if layout_decided != Ok(true) {
        return false;
    }
    let empty = serde_json::to_vec(&ConfigDoc::default()).unwrap_or_default();
    let write_configuration = |version, _: &[u8]| {
        if version == 0 {
            ValueUpdate::Write(empty.clone(), true)
        } else {
            ValueUpdate::Keep(false)
        }
    };
    let was_written = control
        .registers
        .change(CONFIG, SEC, write_configuration)
        .await;
    if was_written == Ok(true) {
        control
            .runtime
            .log("tier bootstrapped: first layout and empty configuration decided");
        control
            .documents
            .apply(CONFIG, FIRST_VERSION, Ballot::default(), empty);
        config::publish_current(control, LAYOUT);
        config::publish_current(control, CONFIG);
    }
    was_written.is_ok()
}

/// Whether the documents applied here show that the first layout and configuration are decided. A
/// configuration or a second layout is published only after both. The first layout alone is no
/// evidence, since a disk applies it before it is decided.
fn is_bootstrapped(control: &Control) -> bool {
    control.documents.document(CONFIG).version > 0 || control.documents.layout.load().0 > 1
}
