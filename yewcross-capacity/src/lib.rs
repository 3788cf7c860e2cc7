//! What a change would move. Every rule is the daemons' own: settings, copies, spill targets, home
//! nodes.

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

/// Why the tier's state could not be read.
#[derive(Debug, Snafu)]
pub enum Fault {
    /// A file that cannot be read, or holds something else.
    #[snafu(display("{path}: {why}"))]
    #[allow(missing_docs)]
    File { path: String, why: String },
    /// A machine that did not answer as it should.
    #[snafu(display("{at}: {why}"))]
    #[allow(missing_docs)]
    Live { at: SocketAddr, why: String },
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Part {
    disk: String,
    name: String,
    damaged: u64,
    held: Vec<CheckpointKey>,
    nodes: Vec<Node>,
    versions: Vec<(String, u64)>,
    config: String,
    layout: String,
    list: String,
    duties: Vec<(String, Option<String>)>,
}

/// The tier at a moment, as its machines told it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Version of the configuration.
    pub config_seq: u64,
    /// Its text.
    pub config: String,
    /// Version of the layout.
    pub layout_seq: u64,
    /// Which disks hold which seats.
    pub layout: Layout,
    /// The platform's list of servers.
    pub list: ServerList,
    /// The members.
    pub nodes: Vec<Node>,
    /// Servers by service, as a front sees them.
    pub servers: BTreeMap<String, Vec<Server>>,
    /// Duties, and who holds each.
    pub duties: Vec<(String, Option<String>)>,
    /// Keys by the disk that holds them.
    pub held: BTreeMap<String, Vec<CheckpointKey>>,
    /// Machines that did not answer.
    pub silent: Vec<String>,
}

async fn get<T: for<'a> Deserialize<'a>>(
    runtime: &Runtime,
    at: SocketAddr,
    path: &str,
) -> Result<T, Fault> {
    let r = fetch(
        runtime,
        at,
        http_types::Method::Get,
        path,
        &[],
        vec![],
        5 * SEC,
    )
    .await;
    let (s, _, b) = r.map_err(|e| Fault::Live {
        at,
        why: e.to_string(),
    })?;
    let bad = |why: String| Fault::Live { at, why };
    if s != 200 {
        return Err(bad(format!("{path} answered {s}")));
    }
    serde_json::from_slice(&b).map_err(|e| bad(format!("{path}: {e}")))
}

/// Asks a core, and through it every machine that it knows.
pub async fn take(runtime: &Runtime, core: SocketAddr) -> Result<Checkpoint, Fault> {
    let first: Part = get(runtime, core, "/v1/checkpoint").await?;
    let seq = |d: &str| {
        first
            .versions
            .iter()
            .find(|v| v.0 == d)
            .map(|v| v.1)
            .unwrap_or(0)
    };
    let bad = |e: serde_json::Error| Fault::Live {
        at: core,
        why: e.to_string(),
    };
    let doc: ConfigDoc = serde_json::from_str(&first.config).map_err(bad)?;
    let mut c = Checkpoint {
        config_seq: seq("config"),
        config: doc.text,
        layout_seq: seq("layout"),
        layout: serde_json::from_str(&first.layout).map_err(bad)?,
        list: serde_json::from_str(&first.list).unwrap_or_default(),
        nodes: first.nodes.clone(),
        duties: first.duties.clone(),
        ..Default::default()
    };
    for n in &first.nodes {
        if n.role == Role::Front {
            if c.servers.is_empty() {
                c.servers = get(runtime, n.http, "/v1/servers")
                    .await
                    .unwrap_or_default();
            }
            continue;
        }
        match get::<Part>(runtime, n.http, "/v1/checkpoint").await {
            Ok(p) => {
                c.held.insert(p.disk, p.held);
            }
            Err(_) => c.silent.push(n.name.clone()),
        }
    }
    Ok(c)
}

/// Reads a checkpoint that was saved before.
pub fn load(path: &str) -> Result<Checkpoint, Fault> {
    let bad = |why: String| Fault::File {
        path: path.into(),
        why,
    };
    let b = std::fs::read(path).map_err(|e| bad(e.to_string()))?;
    serde_json::from_slice(&b).map_err(|e| bad(e.to_string()))
}

/// A change whose effect is to be shown.
#[derive(Clone, Debug)]
pub enum Change {
    /// This configuration is put.
    Config(String),
    /// Disks are admitted, emptied or replaced.
    Disks(DiskChange),
    /// A machine or server goes away without notice.
    Without(String),
}

/// A setting that a configuration changes.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Setting {
    /// The program whose setting it is.
    pub family: String,
    /// Its name.
    pub key: String,
    /// Its value before.
    pub was: serde_json::Value,
    /// Its value after.
    pub is: serde_json::Value,
    /// The part of the configuration that the new value comes from.
    pub from: String,
}

/// Something that changes its place.
#[derive(Clone, Debug, Serialize, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moved {
    /// The session, duty or service.
    pub what: String,
    /// Where it was.
    pub was: String,
    /// Where it will be.
    pub is: String,
}

/// A copy of a key that is to be made.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Copying {
    /// The key that is copied.
    pub key: String,
    /// The disk that gets it.
    pub to: String,
    /// Its size.
    pub bytes: u64,
    /// No disk of the same site holds it yet.
    pub across: bool,
}

/// All that a change would move.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Plan {
    /// Why the change would be refused; then nothing else is filled.
    pub refused: Vec<InvalidSetting>,
    /// Settings that change.
    pub settings: Vec<Setting>,
    /// Programs whose turns would be refused.
    pub families_gone: Vec<String>,
    /// Programs that are added.
    pub families_new: Vec<String>,
    /// Sessions whose home may no longer take their turns; `is` names the replica they can resume
    /// from.
    pub homes: Vec<Moved>,
    /// Sessions whose spill target changes.
    pub spills: Vec<Moved>,
    /// Duties that change their holder.
    pub duties: Vec<Moved>,
    /// Fronts that take over polling a service's servers in a site.
    pub news: Vec<Moved>,
    /// How many keys change their usual owner.
    pub owners: u64,
    /// ReplicaSet to be made.
    pub copies: Vec<Copying>,
    /// Bytes copied within sites.
    pub bytes_within: u64,
    /// Bytes copied between sites.
    pub bytes_across: u64,
    /// Bytes of KV caches to be pushed to new spill targets.
    pub replica_bytes: u64,
    /// Machines that did not answer.
    pub silent: Vec<String>,
}

fn sessions(c: &Checkpoint) -> BTreeMap<String, SessionCacheState> {
    let mut top: BTreeMap<String, (u64, SessionCacheState)> = BTreeMap::new();
    c.held.values().flatten().for_each(|h| {
        if let Some(kv) = &h.kv {
            let e = top.entry(h.key.clone()).or_default();
            if h.seq >= e.0 {
                *e = (h.seq, kv.clone());
            }
        }
    });
    top.into_iter().map(|(k, v)| (k, v.1)).collect()
}

fn spill(
    fam: &ProgramClass,
    servers: &[Server],
    key: &str,
    kv: &SessionCacheState,
) -> Option<String> {
    let home = kv.home.as_ref()?;
    let at = servers.iter().find(|s| s.listed.server == home.server)?;
    let h = HomeServer {
        server: home.server.clone(),
        site: at.listed.site.clone(),
    };
    (home.tokens >= fam.kv_min_tokens && fam.kv_share).then(|| {
        scoring::spill_target(servers, key, &h, &ScoreWeights::from(fam))
            .map(|s| s.listed.server.clone())
    })?
}

fn allowed(t: &Configuration, servers: &BTreeMap<String, Vec<Server>>, svc: &str) -> Vec<Server> {
    let s = t.services.get(svc);
    servers
        .get(svc)
        .into_iter()
        .flatten()
        .filter(|x| s.is_some_and(|s| s.allows(&x.listed.server)))
        .cloned()
        .collect()
}

/// What each session would meet under another tree or another set of servers.
fn turns(
    c: &Checkpoint,
    p: &mut Plan,
    was: (&Configuration, &BTreeMap<String, Vec<Server>>),
    is: (&Configuration, &BTreeMap<String, Vec<Server>>),
) {
    for (key, kv) in sessions(c) {
        let Some(f0) = key.split('/').nth(1).and_then(|n| was.0.families.get(n)) else {
            continue;
        };
        let f1 = key.split('/').nth(1).and_then(|n| is.0.families.get(n));
        let v0 = allowed(was.0, was.1, &f0.settings.service);
        let v1 = f1
            .map(|f| allowed(is.0, is.1, &f.settings.service))
            .unwrap_or_default();
        let Some(home) = kv.home.clone() else {
            continue;
        };
        let (had, has) = (
            v0.iter().any(|s| s.listed.server == home.server),
            v1.iter().any(|s| s.listed.server == home.server),
        );
        if had && !has {
            let warm = kv.replica.as_ref().filter(|r| {
                v1.iter()
                    .any(|s| s.listed.server == r.server && s.report.instance == r.instance)
            });
            p.homes.push(Moved {
                what: key.clone(),
                was: home.server.clone(),
                is: warm.map(|r| r.server.clone()).unwrap_or("cold".into()),
            });
            continue;
        }
        let s0 = spill(&f0.settings, &v0, &key, &kv);
        let s1 = f1.and_then(|f| spill(&f.settings, &v1, &key, &kv));
        if s0 != s1 {
            p.replica_bytes += if s1.is_some() {
                home.tokens * KV_TOKEN_BYTES
            } else {
                0
            };
            let none = || "none".to_string();
            p.spills.push(Moved {
                what: key,
                was: s0.unwrap_or_else(none),
                is: s1.unwrap_or_else(none),
            });
        }
    }
}

fn changed(p: &mut Plan, a: &Configuration, b: &Configuration) {
    for (n, f1) in &b.families {
        let Some(f0) = a.families.get(n) else {
            p.families_new.push(n.clone());
            continue;
        };
        let (x, y) = (
            serde_json::to_value(&f0.settings).unwrap_or_default(),
            serde_json::to_value(&f1.settings).unwrap_or_default(),
        );
        y.as_object()
            .into_iter()
            .flatten()
            .filter(|(k, v)| x[k.as_str()] != **v)
            .for_each(|(k, v)| {
                let from = f1.origins.get(k).cloned().unwrap_or_default();
                p.settings.push(Setting {
                    family: n.clone(),
                    key: k.clone(),
                    was: x[k.as_str()].clone(),
                    is: v.clone(),
                    from,
                });
            });
    }
    p.families_gone = a
        .families
        .keys()
        .filter(|n| !b.families.contains_key(*n))
        .cloned()
        .collect();
}

fn disks(c: &Checkpoint, p: &mut Plan, m: &DiskChange) {
    let of = |d: &str| c.nodes.iter().find(|n| n.disk == d || n.name == d).cloned();
    let next = match propose(&c.layout, c.layout_seq, m, of) {
        Err(why) => {
            return p.refused.push(InvalidSetting {
                path: "layout".into(),
                reason: why.to_string(),
            });
        }
        Ok(None) => return,
        Ok(Some(n)) => n,
    };
    let site = |d: &str| {
        c.nodes
            .iter()
            .find(|n| n.disk == d)
            .map(|n| n.site.clone())
            .unwrap_or_default()
    };
    let mut top: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    c.held.values().flatten().for_each(|h| {
        let e = top.entry(&h.key).or_default();
        *e = (*e).max((h.seq, h.bytes));
    });
    for (key, (_, bytes)) in top {
        let a = ReplicaSet::of(key, &c.layout, 0, |_| None).current;
        let b = ReplicaSet::of(key, &next, 0, |_| None).current;
        let owner = |v: &[yewcross_common::register::ReplicaLocation]| {
            v.first().map(|s| s.disk.clone()).unwrap_or_default()
        };
        p.owners += (owner(&a) != owner(&b)) as u64;
        b.iter().filter(|s| !a.contains(s)).for_each(|s| {
            let across = !a.iter().any(|x| site(&x.disk) == site(&s.disk));
            *(if across {
                &mut p.bytes_across
            } else {
                &mut p.bytes_within
            }) += bytes;
            p.copies.push(Copying {
                key: key.into(),
                to: s.disk.clone(),
                bytes,
                across,
            });
        });
    }
    let gone: BTreeSet<&String> = c
        .layout
        .core
        .current
        .iter()
        .filter(|d| !next.core.current.contains(d))
        .collect();
    let cores: Vec<&Node> = c
        .nodes
        .iter()
        .filter(|n| n.role == Role::Core && next.core.current.contains(&n.disk))
        .collect();
    let lost: BTreeSet<&str> = c
        .nodes
        .iter()
        .filter(|n| gone.contains(&n.disk))
        .map(|n| n.name.as_str())
        .collect();
    duties(c, p, &lost, &cores);
}

fn duties(c: &Checkpoint, p: &mut Plan, lost: &BTreeSet<&str>, cores: &[&Node]) {
    c.duties.iter().for_each(|(d, h)| {
        let holder = h
            .as_deref()
            .and_then(|h| h.split('#').next())
            .unwrap_or("none");
        if lost.contains(holder) {
            let next = yewcross_common::hash::ranked(d, cores.iter().map(|n| n.name.as_str()))
                .first()
                .map(|s| s.to_string());
            p.duties.push(Moved {
                what: d.clone(),
                was: holder.into(),
                is: next.unwrap_or("none".into()),
            });
        }
    });
}

fn without(c: &Checkpoint, p: &mut Plan, t: &Configuration, gone: &str) {
    let known = c.nodes.iter().any(|n| n.name == gone)
        || c.servers
            .values()
            .flatten()
            .any(|s| s.listed.server == gone);
    if !known {
        return p.refused.push(InvalidSetting {
            path: gone.into(),
            reason: "no machine or server of this name".into(),
        });
    }
    let left: BTreeMap<String, Vec<Server>> = c
        .servers
        .iter()
        .map(|(k, v)| {
            (
                k.clone(),
                v.iter()
                    .filter(|s| s.listed.server != gone)
                    .cloned()
                    .collect(),
            )
        })
        .collect();
    turns(c, p, (t, &c.servers), (t, &left));
    let fronts = |skip: &str| {
        c.nodes
            .iter()
            .filter(|n| n.role == Role::Front && n.name != skip)
            .cloned()
            .collect::<Vec<_>>()
    };
    let (all, rest) = (fronts(""), fronts(gone));
    let sites: BTreeSet<&str> = c.list.servers.iter().map(|s| s.site.as_str()).collect();
    t.services.keys().for_each(|svc| {
        sites.iter().for_each(|z| {
            let (a, b) = (
                designated_front(&all, svc, z),
                designated_front(&rest, svc, z),
            );
            if a != b {
                let none = || "none".to_string();
                p.news.push(Moved {
                    what: format!("{svc} in {z}"),
                    was: a.unwrap_or_else(none),
                    is: b.unwrap_or_else(none),
                });
            }
        })
    });
    let cores: Vec<&Node> = c
        .nodes
        .iter()
        .filter(|n| n.role == Role::Core && n.name != gone)
        .collect();
    duties(c, p, &[gone].into(), &cores);
    let disk = c
        .nodes
        .iter()
        .find(|n| n.name == gone)
        .map(|n| n.disk.clone())
        .unwrap_or_default();
    let keys: BTreeSet<&str> = c.held.values().flatten().map(|h| h.key.as_str()).collect();
    p.owners = keys
        .iter()
        .filter(|k| {
            ReplicaSet::of(k, &c.layout, 0, |_| None)
                .current
                .first()
                .is_some_and(|s| s.disk == disk)
        })
        .count() as u64;
}

/// What the change would move. Nothing is changed.
pub fn plan(c: &Checkpoint, ch: &Change) -> Plan {
    let mut p = Plan {
        silent: c.silent.clone(),
        ..Default::default()
    };
    let now = Configuration::read(c.config.as_bytes()).unwrap_or_default();
    match ch {
        Change::Config(text) => match Configuration::read(text.as_bytes()) {
            Err(bad) => p.refused = bad,
            Ok(next) => {
                let ls: Vec<_> = [&now, &next]
                    .into_iter()
                    .map(|t| t.fronts.clone())
                    .filter(|l| !l.is_empty())
                    .collect();
                p.refused
                    .extend(yewcross_control::config::find_unavailable_group(&ls, |f| {
                        c.nodes.iter().any(|n| n.name == f)
                    }));
                changed(&mut p, &now, &next);
                turns(c, &mut p, (&now, &c.servers), (&next, &c.servers));
            }
        },
        Change::Disks(m) => disks(c, &mut p, m),
        Change::Without(n) => without(c, &mut p, &now, n),
    }
    p
}

impl Plan {
    /// The plan as lines for an operator.
    pub fn text(&self) -> String {
        let mut s = String::new();
        let mut say = |l: String| writeln!(s, "{l}").unwrap_or_default();
        self.silent.iter().for_each(|n| {
            say(format!(
                "warning: {n} did not answer; what it holds is not counted"
            ))
        });
        if !self.refused.is_empty() {
            self.refused
                .iter()
                .for_each(|b| say(format!("refused: {}: {}", b.path, b.reason)));
            return s;
        }
        self.families_new
            .iter()
            .for_each(|f| say(format!("family {f}: new")));
        self.families_gone
            .iter()
            .for_each(|f| say(format!("family {f}: gone; its turns will be refused")));
        self.settings.iter().for_each(|x| {
            say(format!(
                "family {}: {} {} -> {} (from {})",
                x.family, x.key, x.was, x.is, x.from
            ))
        });
        self.homes.iter().for_each(|m| {
            say(format!(
                "{}: leaves {}, resumes from {}",
                m.what, m.was, m.is
            ))
        });
        self.spills
            .iter()
            .for_each(|m| say(format!("{}: spill target {} -> {}", m.what, m.was, m.is)));
        self.duties
            .iter()
            .for_each(|m| say(format!("duty {}: {} -> {}", m.what, m.was, m.is)));
        self.news
            .iter()
            .for_each(|m| say(format!("news of {}: {} -> {}", m.what, m.was, m.is)));
        say(format!(
            "{} copies of keys to make, {} bytes within sites and {} across; {} keys change owner; {} bytes of replicas to push; \
             {} sessions leave their home, {} change spill target",
            self.copies.len(),
            self.bytes_within,
            self.bytes_across,
            self.owners,
            self.replica_bytes,
            self.homes.len(),
            self.spills.len()
        ));
        s
    }
}
