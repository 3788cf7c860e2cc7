//! Computes what a change of the configuration or of machines would move, without making it. Rules
//! for settings, replicas, spill targets and designated fronts are those that the daemons use.

#![deny(missing_docs)]

pub mod capacity;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;
use yewcross_common::buffered_http::fetch;
use yewcross_common::configuration::{Configuration, InvalidSetting, ProgramClass};
use yewcross_common::constants::*;
use yewcross_common::membership::Node;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{CheckpointKey, ConfigDoc, Layout, ServerList, SessionCacheState};
use yewcross_common::register::ReplicaSet;
use yewcross_common::runtime::Runtime;
use yewcross_control::layout::{DiskChange, propose};
use yewcross_proxy::scoring::{self, HomeServer, ScoreWeights};
use yewcross_proxy::server_table::{Server, designated_front};

/// The reason why the state of the tier could not be read.
#[derive(Debug, Snafu)]
pub enum CheckpointError {
    /// A file that cannot be read or does not contain a checkpoint.
    #[snafu(display("{path}: {reason}"))]
    #[allow(missing_docs)]
    File { path: String, reason: String },
    /// A node that did not respond, or whose response is invalid.
    #[snafu(display("{address}: {reason}"))]
    #[allow(missing_docs)]
    Node { address: SocketAddr, reason: String },
}

/// The response of a control node to `/v1/checkpoint`.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct NodeCheckpoint {
    disk: String,
    name: String,
    damaged: u64,
    #[serde(rename = "held")]
    keys: Vec<CheckpointKey>,
    nodes: Vec<Node>,
    versions: Vec<(String, u64)>,
    config: String,
    layout: String,
    list: String,
    #[serde(rename = "duties")]
    singleton_tasks: Vec<(String, Option<String>)>,
}

/// The state of the tier at one time, as its nodes reported it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Version of the configuration.
    #[serde(rename = "config_seq")]
    pub config_version: u64,
    /// Text of the configuration.
    pub config: String,
    /// Version of the layout.
    #[serde(rename = "layout_seq")]
    pub layout_version: u64,
    /// The disks of each replica group.
    pub layout: Layout,
    /// The platform's server list.
    pub list: ServerList,
    /// The members of the tier.
    pub nodes: Vec<Node>,
    /// Servers by service, as reported by the first front that responded.
    pub servers: BTreeMap<String, Vec<Server>>,
    /// Singleton tasks with the current holder of each.
    #[serde(rename = "duties")]
    pub singleton_tasks: Vec<(String, Option<String>)>,
    /// Stored keys by disk.
    #[serde(rename = "held")]
    pub keys_by_disk: BTreeMap<String, Vec<CheckpointKey>>,
    /// Names of the nodes that did not respond.
    #[serde(rename = "silent")]
    pub unreachable_nodes: Vec<String>,
}

async fn fetch_json<T: for<'a> Deserialize<'a>>(
    runtime: &Runtime,
    address: SocketAddr,
    path: &str,
) -> Result<T, CheckpointError> {
    let response = fetch(
        runtime,
        address,
        http_types::Method::Get,
        path,
        &[],
        vec![],
        5 * SEC,
    )
    .await;
    let (status, _, body) = response.map_err(|e| CheckpointError::Node {
        address,
        reason: e.to_string(),
    })?;
    let node_error = |reason: String| CheckpointError::Node { address, reason };
    if status != 200 {
        return Err(node_error(format!("{path} answered {status}")));
    }
    serde_json::from_slice(&body).map_err(|e| node_error(format!("{path}: {e}")))
}

/// Reads the state of the tier from a core and from all members that it lists.
pub async fn take_checkpoint(
    runtime: &Runtime,
    core: SocketAddr,
) -> Result<Checkpoint, CheckpointError> {
    let from_core: NodeCheckpoint = fetch_json(runtime, core, "/v1/checkpoint").await?;
    let version_of = |document: &str| {
        from_core
            .versions
            .iter()
            .find(|entry| entry.0 == document)
            .map(|entry| entry.1)
            .unwrap_or(0)
    };
    let invalid_json = |e: serde_json::Error| CheckpointError::Node {
        address: core,
        reason: e.to_string(),
    };
    let config_doc: ConfigDoc = serde_json::from_str(&from_core.config).map_err(invalid_json)?;
    let mut checkpoint = Checkpoint {
        config_version: version_of("config"),
        config: config_doc.text,
        layout_version: version_of("layout"),
        layout: serde_json::from_str(&from_core.layout).map_err(invalid_json)?,
        list: serde_json::from_str(&from_core.list).unwrap_or_default(),
        nodes: from_core.nodes.clone(),
        singleton_tasks: from_core.singleton_tasks.clone(),
        ..Default::default()
    };
    for node in &from_core.nodes {
        if node.role == Role::Front {
            if checkpoint.servers.is_empty() {
                checkpoint.servers = fetch_json(runtime, node.http, "/v1/servers")
                    .await
                    .unwrap_or_default();
            }
            continue;
        }
        match fetch_json::<NodeCheckpoint>(runtime, node.http, "/v1/checkpoint").await {
            Ok(from_node) => {
                checkpoint
                    .keys_by_disk
                    .insert(from_node.disk, from_node.keys);
            }
            Err(_) => checkpoint.unreachable_nodes.push(node.name.clone()),
        }
    }
    Ok(checkpoint)
}

/// Reads a saved checkpoint from a file.
pub fn load_checkpoint(path: &str) -> Result<Checkpoint, CheckpointError> {
    let file_error = |reason: String| CheckpointError::File {
        path: path.into(),
        reason,
    };
    let content = std::fs::read(path).map_err(|e| file_error(e.to_string()))?;
    serde_json::from_slice(&content).map_err(|e| file_error(e.to_string()))
}

/// A change whose effects are to be computed.
#[derive(Clone, Debug)]
pub enum Change {
    /// The configuration is replaced by this one (JSON).
    Config(String),
    /// A disk is added, removed or replaced.
    Disks(DiskChange),
    /// The machine or server of this name fails.
    Failure(String),
}

/// A setting of a program class that a new configuration changes.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct ChangedSetting {
    /// Name of the program class.
    #[serde(rename = "family")]
    pub program_class: String,
    /// Name of the setting.
    pub key: String,
    /// Its value under the current configuration.
    #[serde(rename = "was")]
    pub before: serde_json::Value,
    /// Its value under the new configuration.
    #[serde(rename = "is")]
    pub after: serde_json::Value,
    /// The part of the new configuration that sets the value.
    #[serde(rename = "from")]
    pub origin: String,
}

/// A session, singleton task or service that is assigned to another server or node.
#[derive(Clone, Debug, Serialize, PartialEq, Eq, PartialOrd, Ord)]
pub struct Reassignment {
    /// The session, singleton task or service.
    #[serde(rename = "what")]
    pub subject: String,
    /// The server or node before the change.
    #[serde(rename = "was")]
    pub before: String,
    /// The server or node after the change.
    #[serde(rename = "is")]
    pub after: String,
}

/// A replica of a key that is to be copied to a disk.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct PlannedCopy {
    /// The key that is copied.
    pub key: String,
    /// The disk that it is copied to.
    #[serde(rename = "to")]
    pub target_disk: String,
    /// Size of the value in bytes.
    pub bytes: u64,
    /// True if no disk of the same site has a replica yet.
    #[serde(rename = "across")]
    pub between_sites: bool,
}

/// All effects of a change.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Plan {
    /// The reasons why the change would be rejected. A configuration or layout that is invalid has
    /// no other effects.
    #[serde(rename = "refused")]
    pub rejections: Vec<InvalidSetting>,
    /// Settings of program classes that change.
    #[serde(rename = "settings")]
    pub changed_settings: Vec<ChangedSetting>,
    /// Program classes that are removed; turns of their programs would be rejected.
    #[serde(rename = "families_gone")]
    pub removed_classes: Vec<String>,
    /// Program classes that are added.
    #[serde(rename = "families_new")]
    pub added_classes: Vec<String>,
    /// Sessions whose home server may no longer run their turns; `after` is the server of the
    /// replica that they can resume from, or `cold`.
    #[serde(rename = "homes")]
    pub home_changes: Vec<Reassignment>,
    /// Sessions whose spill target changes.
    #[serde(rename = "spills")]
    pub spill_target_changes: Vec<Reassignment>,
    /// Singleton tasks that get another holder.
    #[serde(rename = "duties")]
    pub singleton_task_changes: Vec<Reassignment>,
    /// Services and sites whose servers are polled by another front.
    #[serde(rename = "news")]
    pub designated_front_changes: Vec<Reassignment>,
    /// Number of keys whose preferred owner changes.
    #[serde(rename = "owners")]
    pub owner_changes: u64,
    /// Replicas that are to be copied.
    pub copies: Vec<PlannedCopy>,
    /// Bytes copied within sites.
    #[serde(rename = "bytes_within")]
    pub bytes_within_sites: u64,
    /// Bytes copied between sites.
    #[serde(rename = "bytes_across")]
    pub bytes_between_sites: u64,
    /// Bytes of KV caches that are to be pushed to new spill targets.
    #[serde(rename = "replica_bytes")]
    pub kv_replica_bytes: u64,
    /// Names of the nodes that did not respond; the keys that they store are not counted.
    #[serde(rename = "silent")]
    pub unreachable_nodes: Vec<String>,
}

/// The cache states of all sessions, from the newest version of each key.
fn session_cache_states(checkpoint: &Checkpoint) -> BTreeMap<String, SessionCacheState> {
    let mut newest: BTreeMap<String, (u64, SessionCacheState)> = BTreeMap::new();
    checkpoint
        .keys_by_disk
        .values()
        .flatten()
        .for_each(|stored| {
            if let Some(cache_state) = &stored.kv {
                let entry = newest.entry(stored.key.clone()).or_default();
                if stored.seq >= entry.0 {
                    *entry = (stored.seq, cache_state.clone());
                }
            }
        });
    newest
        .into_iter()
        .map(|(key, entry)| (key, entry.1))
        .collect()
}

/// The spill target of a session; `None` if its cache is not replicated.
fn session_spill_target(
    class: &ProgramClass,
    servers: &[Server],
    key: &str,
    cache_state: &SessionCacheState,
) -> Option<String> {
    let home = cache_state.home.as_ref()?;
    let server = servers
        .iter()
        .find(|server| server.listed.server == home.server)?;
    let home_server = HomeServer {
        server: home.server.clone(),
        site: server.listed.site.clone(),
    };
    (home.tokens >= class.kv_min_tokens && class.kv_share).then(|| {
        scoring::spill_target(servers, key, &home_server, &ScoreWeights::from(class))
            .map(|target| target.listed.server.clone())
    })?
}

/// The servers of a service that the configuration allows.
fn allowed_servers(
    config: &Configuration,
    servers: &BTreeMap<String, Vec<Server>>,
    service_name: &str,
) -> Vec<Server> {
    let service = config.services.get(service_name);
    servers
        .get(service_name)
        .into_iter()
        .flatten()
        .filter(|server| service.is_some_and(|service| service.allows(&server.listed.server)))
        .cloned()
        .collect()
}

/// Compares the home server and the spill target of each session under two configurations or sets
/// of servers.
fn compare_sessions(
    checkpoint: &Checkpoint,
    plan: &mut Plan,
    before: (&Configuration, &BTreeMap<String, Vec<Server>>),
    after: (&Configuration, &BTreeMap<String, Vec<Server>>),
) {
    for (key, cache_state) in session_cache_states(checkpoint) {
        let Some(class_before) = key
            .split('/')
            .nth(1)
            .and_then(|name| before.0.families.get(name))
        else {
            continue;
        };
        let class_after = key
            .split('/')
            .nth(1)
            .and_then(|name| after.0.families.get(name));
        let servers_before = allowed_servers(before.0, before.1, &class_before.settings.service);
        let servers_after = class_after
            .map(|class| allowed_servers(after.0, after.1, &class.settings.service))
            .unwrap_or_default();
        let Some(home) = cache_state.home.clone() else {
            continue;
        };
        let (allowed_before, allowed_after) = (
            servers_before
                .iter()
                .any(|server| server.listed.server == home.server),
            servers_after
                .iter()
                .any(|server| server.listed.server == home.server),
        );
        if allowed_before && !allowed_after {
            let usable_replica = cache_state.replica.as_ref().filter(|replica| {
                servers_after.iter().any(|server| {
                    server.listed.server == replica.server
                        && server.report.instance == replica.instance
                })
            });
            plan.home_changes.push(Reassignment {
                subject: key.clone(),
                before: home.server.clone(),
                after: usable_replica
                    .map(|replica| replica.server.clone())
                    .unwrap_or("cold".into()),
            });
            continue;
        }
        let target_before =
            session_spill_target(&class_before.settings, &servers_before, &key, &cache_state);
        let target_after = class_after.and_then(|class| {
            session_spill_target(&class.settings, &servers_after, &key, &cache_state)
        });
        if target_before != target_after {
            plan.kv_replica_bytes += if target_after.is_some() {
                home.tokens * KV_TOKEN_BYTES
            } else {
                0
            };
            let none = || "none".to_string();
            plan.spill_target_changes.push(Reassignment {
                subject: key,
                before: target_before.unwrap_or_else(none),
                after: target_after.unwrap_or_else(none),
            });
        }
    }
}

/// Lists the program classes that are added, removed or changed.
fn compare_program_classes(plan: &mut Plan, before: &Configuration, after: &Configuration) {
    for (name, class_after) in &after.families {
        let Some(class_before) = before.families.get(name) else {
            plan.added_classes.push(name.clone());
            continue;
        };
        let (settings_before, settings_after) = (
            serde_json::to_value(&class_before.settings).unwrap_or_default(),
            serde_json::to_value(&class_after.settings).unwrap_or_default(),
        );
        settings_after
            .as_object()
            .into_iter()
            .flatten()
            .filter(|(key, value)| settings_before[key.as_str()] != **value)
            .for_each(|(key, value)| {
                let origin = class_after.origins.get(key).cloned().unwrap_or_default();
                plan.changed_settings.push(ChangedSetting {
                    program_class: name.clone(),
                    key: key.clone(),
                    before: settings_before[key.as_str()].clone(),
                    after: value.clone(),
                    origin,
                });
            });
    }
    plan.removed_classes = before
        .families
        .keys()
        .filter(|name| !after.families.contains_key(*name))
        .cloned()
        .collect();
}

/// Adds the copies, owners and singleton tasks that a change of disks moves.
fn plan_disk_change(checkpoint: &Checkpoint, plan: &mut Plan, change: &DiskChange) {
    let find_node = |disk: &str| {
        checkpoint
            .nodes
            .iter()
            .find(|node| node.disk == disk || node.name == disk)
            .cloned()
    };
    let next_layout = match propose(
        &checkpoint.layout,
        checkpoint.layout_version,
        change,
        find_node,
    ) {
        Err(reason) => {
            return plan.rejections.push(InvalidSetting {
                path: "layout".into(),
                reason: reason.to_string(),
            });
        }
        Ok(None) => return,
        Ok(Some(layout)) => layout,
    };
    let site_of = |disk: &str| {
        checkpoint
            .nodes
            .iter()
            .find(|node| node.disk == disk)
            .map(|node| node.site.clone())
            .unwrap_or_default()
    };
    let mut newest: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    checkpoint
        .keys_by_disk
        .values()
        .flatten()
        .for_each(|stored| {
            let entry = newest.entry(&stored.key).or_default();
            *entry = (*entry).max((stored.seq, stored.bytes));
        });
    for (key, (_, bytes)) in newest {
        let replicas_before = ReplicaSet::of(key, &checkpoint.layout, 0, |_| None).current;
        let replicas_after = ReplicaSet::of(key, &next_layout, 0, |_| None).current;
        let preferred_owner = |replicas: &[yewcross_common::register::ReplicaLocation]| {
            replicas
                .first()
                .map(|replica| replica.disk.clone())
                .unwrap_or_default()
        };
        plan.owner_changes +=
            (preferred_owner(&replicas_before) != preferred_owner(&replicas_after)) as u64;
        replicas_after
            .iter()
            .filter(|replica| !replicas_before.contains(replica))
            .for_each(|replica| {
                let between_sites = !replicas_before
                    .iter()
                    .any(|source| site_of(&source.disk) == site_of(&replica.disk));
                *(if between_sites {
                    &mut plan.bytes_between_sites
                } else {
                    &mut plan.bytes_within_sites
                }) += bytes;
                plan.copies.push(PlannedCopy {
                    key: key.into(),
                    target_disk: replica.disk.clone(),
                    bytes,
                    between_sites,
                });
            });
    }
    let removed_core_disks: BTreeSet<&String> = checkpoint
        .layout
        .core
        .current
        .iter()
        .filter(|disk| !next_layout.core.current.contains(disk))
        .collect();
    let remaining_cores: Vec<&Node> = checkpoint
        .nodes
        .iter()
        .filter(|node| node.role == Role::Core && next_layout.core.current.contains(&node.disk))
        .collect();
    let removed_nodes: BTreeSet<&str> = checkpoint
        .nodes
        .iter()
        .filter(|node| removed_core_disks.contains(&node.disk))
        .map(|node| node.name.as_str())
        .collect();
    plan_singleton_tasks(checkpoint, plan, &removed_nodes, &remaining_cores);
}

/// Adds the singleton tasks whose holder is removed, each with the remaining core that takes it
/// over.
fn plan_singleton_tasks(
    checkpoint: &Checkpoint,
    plan: &mut Plan,
    removed_nodes: &BTreeSet<&str>,
    remaining_cores: &[&Node],
) {
    checkpoint
        .singleton_tasks
        .iter()
        .for_each(|(task, holder_instance)| {
            let holder = holder_instance
                .as_deref()
                .and_then(|instance| instance.split('#').next())
                .unwrap_or("none");
            if removed_nodes.contains(holder) {
                let next_holder = yewcross_common::hash::rank_by_weight(
                    task,
                    remaining_cores.iter().map(|node| node.name.as_str()),
                )
                .first()
                .map(|name| name.to_string());
                plan.singleton_task_changes.push(Reassignment {
                    subject: task.clone(),
                    before: holder.into(),
                    after: next_holder.unwrap_or("none".into()),
                });
            }
        });
}

/// Adds what the failure of a machine or server moves.
fn plan_failure(checkpoint: &Checkpoint, plan: &mut Plan, config: &Configuration, failed: &str) {
    let exists = checkpoint.nodes.iter().any(|node| node.name == failed)
        || checkpoint
            .servers
            .values()
            .flatten()
            .any(|server| server.listed.server == failed);
    if !exists {
        return plan.rejections.push(InvalidSetting {
            path: failed.into(),
            reason: "no machine or server of this name".into(),
        });
    }
    let remaining_servers: BTreeMap<String, Vec<Server>> = checkpoint
        .servers
        .iter()
        .map(|(service, servers)| {
            (
                service.clone(),
                servers
                    .iter()
                    .filter(|server| server.listed.server != failed)
                    .cloned()
                    .collect(),
            )
        })
        .collect();
    compare_sessions(
        checkpoint,
        plan,
        (config, &checkpoint.servers),
        (config, &remaining_servers),
    );
    let fronts_without = |excluded: &str| {
        checkpoint
            .nodes
            .iter()
            .filter(|node| node.role == Role::Front && node.name != excluded)
            .cloned()
            .collect::<Vec<_>>()
    };
    let (all_fronts, remaining_fronts) = (fronts_without(""), fronts_without(failed));
    let sites: BTreeSet<&str> = checkpoint
        .list
        .servers
        .iter()
        .map(|server| server.site.as_str())
        .collect();
    config.services.keys().for_each(|service| {
        sites.iter().for_each(|site| {
            let (front_before, front_after) = (
                designated_front(&all_fronts, service, site),
                designated_front(&remaining_fronts, service, site),
            );
            if front_before != front_after {
                let none = || "none".to_string();
                plan.designated_front_changes.push(Reassignment {
                    subject: format!("{service} in {site}"),
                    before: front_before.unwrap_or_else(none),
                    after: front_after.unwrap_or_else(none),
                });
            }
        })
    });
    let remaining_cores: Vec<&Node> = checkpoint
        .nodes
        .iter()
        .filter(|node| node.role == Role::Core && node.name != failed)
        .collect();
    plan_singleton_tasks(checkpoint, plan, &[failed].into(), &remaining_cores);
    let failed_disk = checkpoint
        .nodes
        .iter()
        .find(|node| node.name == failed)
        .map(|node| node.disk.clone())
        .unwrap_or_default();
    let keys: BTreeSet<&str> = checkpoint
        .keys_by_disk
        .values()
        .flatten()
        .map(|stored| stored.key.as_str())
        .collect();
    plan.owner_changes = keys
        .iter()
        .filter(|key| {
            ReplicaSet::of(key, &checkpoint.layout, 0, |_| None)
                .current
                .first()
                .is_some_and(|replica| replica.disk == failed_disk)
        })
        .count() as u64;
}

/// Computes the effects of a change. Nothing is changed.
pub fn plan(checkpoint: &Checkpoint, change: &Change) -> Plan {
    let mut plan = Plan {
        unreachable_nodes: checkpoint.unreachable_nodes.clone(),
        ..Default::default()
    };
    let current_config = Configuration::read(checkpoint.config.as_bytes()).unwrap_or_default();
    match change {
        Change::Config(text) => match Configuration::read(text.as_bytes()) {
            Err(invalid) => plan.rejections = invalid,
            Ok(next_config) => {
                let front_lists: Vec<_> = [&current_config, &next_config]
                    .into_iter()
                    .map(|config| config.fronts.clone())
                    .filter(|fronts| !fronts.is_empty())
                    .collect();
                plan.rejections
                    .extend(yewcross_control::config::find_unavailable_group(
                        &front_lists,
                        |front| checkpoint.nodes.iter().any(|node| node.name == front),
                    ));
                compare_program_classes(&mut plan, &current_config, &next_config);
                compare_sessions(
                    checkpoint,
                    &mut plan,
                    (&current_config, &checkpoint.servers),
                    (&next_config, &checkpoint.servers),
                );
            }
        },
        Change::Disks(disk_change) => plan_disk_change(checkpoint, &mut plan, disk_change),
        Change::Failure(name) => plan_failure(checkpoint, &mut plan, &current_config, name),
    }
    plan
}

impl Plan {
    /// The plan as text for operators, one effect per line.
    pub fn text(&self) -> String {
        let mut output = String::new();
        let mut write_line = |line: String| writeln!(output, "{line}").unwrap_or_default();
        self.unreachable_nodes.iter().for_each(|name| {
            write_line(format!(
                "warning: {name} did not answer; what it holds is not counted"
            ))
        });
        if !self.rejections.is_empty() {
            self.rejections.iter().for_each(|rejection| {
                write_line(format!("refused: {}: {}", rejection.path, rejection.reason))
            });
            return output;
        }
        self.added_classes
            .iter()
            .for_each(|class| write_line(format!("family {class}: new")));
        self.removed_classes.iter().for_each(|class| {
            write_line(format!("family {class}: gone; its turns will be refused"))
        });
        self.changed_settings.iter().for_each(|setting| {
            write_line(format!(
                "family {}: {} {} -> {} (from {})",
                setting.program_class, setting.key, setting.before, setting.after, setting.origin
            ))
        });
        self.home_changes.iter().for_each(|session| {
            write_line(format!(
                "{}: leaves {}, resumes from {}",
                session.subject, session.before, session.after
            ))
        });
        self.spill_target_changes.iter().for_each(|session| {
            write_line(format!(
                "{}: spill target {} -> {}",
                session.subject, session.before, session.after
            ))
        });
        self.singleton_task_changes.iter().for_each(|task| {
            write_line(format!(
                "duty {}: {} -> {}",
                task.subject, task.before, task.after
            ))
        });
        self.designated_front_changes.iter().for_each(|service| {
            write_line(format!(
                "news of {}: {} -> {}",
                service.subject, service.before, service.after
            ))
        });
        write_line(format!(
            "{} copies of keys to make, {} bytes within sites and {} across; {} keys change owner; {} bytes of replicas to push; \
             {} sessions leave their home, {} change spill target",
            self.copies.len(),
            self.bytes_within_sites,
            self.bytes_between_sites,
            self.owner_changes,
            self.kv_replica_bytes,
            self.home_changes.len(),
            self.spill_target_changes.len()
        ));
        output
    }
}
