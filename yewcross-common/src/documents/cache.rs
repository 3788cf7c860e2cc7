//! The documents every node keeps on hand: configuration, layout, platform list.

use crate::adapter::{ConfigurationFormat, NativeFormat};
use crate::configuration::Configuration;
use crate::documents::departures::Departures;
use crate::membership::Membership;
use crate::protocol::*;
use crate::register::Ballot;
use crate::runtime::Runtime;
use arc_swap::ArcSwap;
use event_listener::Event;
use snafu::Snafu;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

pub const DOCS: [&str; 3] = ["config", "layout", "list"];

#[derive(Clone, Debug, Default)]
pub struct DocumentVersion {
    pub version: u64,
    pub epoch: Ballot,
    pub content: Arc<Vec<u8>>,
}

/// Why a document that was sent has not become the one on hand.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DocumentRejected {
    #[snafu(display("no document of this name is kept"))]
    UnknownName,
    #[snafu(display("version {current} is on hand"))]
    NotNewer { current: u64 },
    /// Two contents under one sequence number: only decided documents are sent, so that one of them
    /// was never decided.
    #[snafu(display("version {seq} is on hand with other content"))]
    Conflicting { seq: u64 },
    #[snafu(display("it cannot be read"))]
    Unreadable,
    #[snafu(display("the change builds on another version than {current}"))]
    OtherBase { current: u64 },
    #[snafu(display("the change does not give the content that it names"))]
    BadDelta,
}

pub struct DocumentCache {
    runtime: Runtime,
    apply_lock: Mutex<()>,
    dialect: Arc<dyn ConfigurationFormat>,
    /// A document was adopted.
    pub changed: Event,
    /// Documents refused because another content is on hand under their number; more than 0 is a
    /// fault of this program.
    pub conflicts: AtomicU64,
    versions: [ArcSwap<DocumentVersion>; 3],
    pub config: ArcSwap<(u64, Configuration)>,
    pub layout: ArcSwap<(u64, Layout)>,
    /// The list decided last, with every server marked as leaving that was ever told to leave.
    pub list: ArcSwap<(u64, ServerList)>,
    departures: Mutex<Departures>,
}

impl DocumentCache {
    pub fn new(runtime: &Runtime) -> Arc<DocumentCache> {
        DocumentCache::of(runtime, Arc::new(NativeFormat))
    }

    /// A book whose configurations are read by the given dialect.
    pub fn of(runtime: &Runtime, dialect: Arc<dyn ConfigurationFormat>) -> Arc<DocumentCache> {
        Arc::new(DocumentCache {
            runtime: runtime.clone(),
            apply_lock: Mutex::new(()),
            dialect,
            changed: Event::new(),
            conflicts: AtomicU64::new(0),
            versions: std::array::from_fn(|_| ArcSwap::default()),
            config: ArcSwap::default(),
            layout: ArcSwap::default(),
            list: ArcSwap::default(),
            departures: Mutex::default(),
        })
    }

    pub fn versions(&self) -> Vec<(String, u64)> {
        DOCS.iter()
            .map(|d| (d.to_string(), self.document(d).version))
            .collect()
    }

    fn text(&self) -> String {
        serde_json::from_slice::<ConfigDoc>(&self.document("config").content)
            .map(|d| d.text)
            .unwrap_or_default()
    }

    pub fn document(&self, name: &str) -> Arc<DocumentVersion> {
        DOCS.iter()
            .position(|d| *d == name)
            .map(|i| self.versions[i].load_full())
            .unwrap_or_default()
    }

    /// Takes a decided document as a change to the version on hand. `base_digest` is that version's
    /// `hash::mark`; empty from nodes that don't tell it, whose delta's own checksum alone then
    /// holds.
    pub fn apply_delta(
        &self,
        name: &str,
        base: u64,
        base_digest: &str,
        seq: u64,
        epoch: Ballot,
        delta: &[u8],
    ) -> Result<(), DocumentRejected> {
        let page = self.document(name);
        if seq <= page.version {
            return Err(DocumentRejected::NotNewer {
                current: page.version,
            });
        }
        let same_base = page.version == base
            && (base_digest.is_empty()
                || base_digest == crate::hash::content_digest(&page.content));
        if !same_base {
            return Err(DocumentRejected::OtherBase {
                current: page.version,
            });
        }
        let raw = crate::documents::delta::apply(&page.content, delta)
            .ok_or(DocumentRejected::BadDelta)?;
        self.try_apply(name, seq, epoch, raw)
    }

    /// Whether the document was taken; see `try_adopt`.
    pub fn apply(&self, name: &str, seq: u64, epoch: Ballot, raw: Vec<u8>) -> bool {
        self.try_apply(name, seq, epoch, raw).is_ok()
    }

    /// Takes a decided document; never an older one than is on hand. The sequence number alone
    /// names the content: a number is decided once, though the epoch under which it stands may
    /// rise. So the epoch is not compared.
    pub fn try_apply(
        &self,
        name: &str,
        seq: u64,
        epoch: Ballot,
        raw: Vec<u8>,
    ) -> Result<(), DocumentRejected> {
        let _one_at_a_time = self.apply_lock.lock().unwrap();
        let index = DOCS
            .iter()
            .position(|d| *d == name)
            .ok_or(DocumentRejected::UnknownName)?;
        let held = self.versions[index].load();
        if seq > 0 && seq == held.version && *held.content != raw {
            self.conflicts.fetch_add(1, SeqCst);
            self.runtime.log(&format!(
                "{name} {seq} is refused: another content is on hand under this number"
            ));
            return Err(DocumentRejected::Conflicting { seq });
        }
        if seq <= held.version {
            return Err(DocumentRejected::NotNewer {
                current: held.version,
            });
        }
        self.parse(name, seq, &raw)
            .ok_or(DocumentRejected::Unreadable)?;
        self.versions[index].store(Arc::new(DocumentVersion {
            version: seq,
            epoch,
            content: Arc::new(raw),
        }));
        // Only a configuration's text is named: it is what an operator sent.
        let what = if name == "config" {
            format!(" {}", crate::hash::content_digest(self.text().as_bytes()))
        } else {
            String::new()
        };
        self.runtime.log(&format!("adopted {name} {seq}{what}"));
        self.changed.notify(usize::MAX);
        Ok(())
    }

    /// Reads the document and puts what it says in force; `None` where it cannot be read.
    fn parse(&self, name: &str, seq: u64, raw: &[u8]) -> Option<()> {
        match name {
            "config" => {
                let document: ConfigDoc = serde_json::from_slice(raw).ok()?;
                // Founded, and nothing put yet.
                if document.text.is_empty() {
                    return Some(());
                }
                let tree = self.dialect.read(document.text.as_bytes()).ok()?;
                self.config.store(Arc::new((seq, tree)));
            }
            "layout" => self
                .layout
                .store(Arc::new((seq, serde_json::from_slice(raw).ok()?))),
            _ => self.list.store(Arc::new((
                seq,
                self.with_departures(serde_json::from_slice(raw).ok()?),
            ))),
        }
        Some(())
    }

    fn with_departures(&self, mut list: ServerList) -> ServerList {
        let departures = self.departures.lock().unwrap();
        for server in list
            .servers
            .iter_mut()
            .filter(|server| departures.is_marked(&server.server))
        {
            server.leaving = true;
        }
        list
    }

    /// The platform shows these servers as leaving: none of them is used from now on, whichever
    /// list names it. Whether any of them is news here.
    pub fn mark_leaving(&self, servers: &[String]) -> bool {
        let _one_at_a_time = self.apply_lock.lock().unwrap();
        if !self
            .departures
            .lock()
            .unwrap()
            .mark(servers, self.runtime.now())
        {
            return false;
        }
        let list = self.list.load();
        self.list
            .store(Arc::new((list.0, self.with_departures(list.1.clone()))));
        self.runtime
            .log(&format!("told that {} leave", servers.join(" ")));
        self.changed.notify(usize::MAX);
        true
    }

    /// The servers known to be leaving; none for whoever was told just these before, by their
    /// digest.
    pub fn leaving_servers_unless(&self, digest: u64) -> Vec<String> {
        let departures = self.departures.lock().unwrap();
        if departures.digest() == digest {
            vec![]
        } else {
            departures.servers()
        }
    }
}

/// The live machines of a key's copies, first choice of owner first.
pub fn replicas_by_preference(
    documents: &DocumentCache,
    members: &Membership,
    key: &str,
) -> Vec<std::net::SocketAddr> {
    let l = documents.layout.load();
    l.1.replicas_for(key, &l.1.group(key).current)
        .into_iter()
        .filter_map(|d| members.by_disk(d))
        .map(|n| n.peer)
        .collect()
}
