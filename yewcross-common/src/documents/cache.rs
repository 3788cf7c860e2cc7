//! The newest decided version of each document that this node has.

use super::delta;
use super::departures::Departures;
use super::name::DocumentName;
use crate::adapter::{ConfigurationFormat, NativeFormat};
use crate::configuration::Configuration;
use crate::hash::content_digest;
use crate::membership::Membership;
use crate::protocol::{ConfigDoc, Layout, ServerList};
use crate::register::Ballot;
use crate::runtime::Runtime;
use arc_swap::ArcSwap;
use event_listener::Event;
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

/// The text forms of all document names.
pub const DOCUMENT_NAMES: [&str; 3] = [
    DocumentName::Configuration.as_str(),
    DocumentName::Layout.as_str(),
    DocumentName::ServerList.as_str(),
];

/// One version of a document. Version 0 is the empty one of a node that has none yet.
#[derive(Clone, Debug, Default)]
pub struct DocumentVersion {
    /// The version of the register that the document was decided in.
    pub version: u64,
    /// The ballot under which it was decided, as far as the sender knew.
    pub ballot: Ballot,
    /// The document's bytes.
    pub content: Arc<Vec<u8>>,
}

/// Why a document that was received has not become the current one.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DocumentRejected {
    /// A name that is not in [`DOCUMENT_NAMES`].
    #[snafu(display("no document of this name is kept"))]
    UnknownName,
    /// The current version is the same or a newer one.
    #[snafu(display("version {current} is on hand"))]
    NotNewer { current: u64 },
    /// Two contents under one version: only decided documents are sent, so one of the two was never
    /// decided.
    #[snafu(display("version {seq} is on hand with other content"))]
    Conflicting { seq: u64 },
    /// The content cannot be parsed.
    #[snafu(display("it cannot be read"))]
    Unreadable,
    /// The delta was made against another version or another content than the current one.
    #[snafu(display("the change builds on another version than {current}"))]
    OtherBase { current: u64 },
    /// The delta is malformed, or its result fails the checksum.
    #[snafu(display("the change does not give the content that it names"))]
    BadDelta,
}

/// The current version of each document, and what they say in parsed form.
pub struct DocumentCache {
    runtime: Runtime,
    /// Documents are applied one after the other.
    apply_lock: Mutex<()>,
    format: Arc<dyn ConfigurationFormat>,
    /// Notified when a document has been applied or a server marked as leaving.
    pub changed: Event,
    /// Documents rejected as [`DocumentRejected::Conflicting`]; more than 0 is a fault of this
    /// program.
    pub conflicts: AtomicU64,
    /// By [`DocumentName`].
    versions: [ArcSwap<DocumentVersion>; 3],
    /// The configuration in force and its version; version 0 until an operator has put one.
    pub config: ArcSwap<(u64, Configuration)>,
    /// The layout in force and its version.
    pub layout: ArcSwap<(u64, Layout)>,
    /// The server list in force and its version. Every server that was ever reported as leaving is
    /// marked so in it.
    pub server_list: ArcSwap<(u64, ServerList)>,
    departures: Mutex<Departures>,
}

impl DocumentCache {
    /// An empty cache for configurations in the native format.
    pub fn new(runtime: &Runtime) -> Arc<DocumentCache> {
        DocumentCache::with_format(runtime, Arc::new(NativeFormat))
    }

    /// An empty cache for configurations in the given format.
    pub fn with_format(
        runtime: &Runtime,
        format: Arc<dyn ConfigurationFormat>,
    ) -> Arc<DocumentCache> {
        Arc::new(DocumentCache {
            runtime: runtime.clone(),
            apply_lock: Mutex::new(()),
            format,
            changed: Event::new(),
            conflicts: AtomicU64::new(0),
            versions: std::array::from_fn(|_| ArcSwap::default()),
            config: ArcSwap::default(),
            layout: ArcSwap::default(),
            server_list: ArcSwap::default(),
            departures: Mutex::default(),
        })
    }

    /// Name and current version of every document.
    pub fn versions(&self) -> Vec<(String, u64)> {
        DocumentName::ALL
            .into_iter()
            .map(|name| (name.to_string(), self.current(name).load().version))
            .collect()
    }

    /// The current version of a document; the empty one for an unknown name.
    pub fn document(&self, name: &str) -> Arc<DocumentVersion> {
        DocumentName::parse(name)
            .map(|name| self.current(name).load_full())
            .unwrap_or_default()
    }

    fn current(&self, name: DocumentName) -> &ArcSwap<DocumentVersion> {
        &self.versions[name as usize]
    }

    /// Applies a decided document that was sent as a delta against the current version.
    /// `base_digest` is the [`content_digest`] of that version; it is empty from nodes that do not
    /// send it, and then only the delta's own checksum is compared.
    pub fn apply_delta(
        &self,
        name: &str,
        base: u64,
        base_digest: &str,
        version: u64,
        ballot: Ballot,
        delta: &[u8],
    ) -> Result<(), DocumentRejected> {
        let current = self.document(name);
        if version <= current.version {
            return Err(DocumentRejected::NotNewer {
                current: current.version,
            });
        }
        let is_same_base = current.version == base
            && (base_digest.is_empty() || base_digest == content_digest(&current.content));
        if !is_same_base {
            return Err(DocumentRejected::OtherBase {
                current: current.version,
            });
        }
        let content = delta::apply(&current.content, delta).ok_or(DocumentRejected::BadDelta)?;
        self.try_apply(name, version, ballot, content)
    }

    /// Whether the document has become the current one; see [`DocumentCache::try_apply`].
    pub fn apply(&self, name: &str, version: u64, ballot: Ballot, content: Vec<u8>) -> bool {
        self.try_apply(name, version, ballot, content).is_ok()
    }

    /// Makes a decided document the current one, unless it is older. The version alone identifies
    /// the content: a version is decided once, though the ballot under which it stands may rise. So
    /// the ballots are not compared.
    pub fn try_apply(
        &self,
        name: &str,
        version: u64,
        ballot: Ballot,
        content: Vec<u8>,
    ) -> Result<(), DocumentRejected> {
        let _applying = self.apply_lock.lock().unwrap();
        let name = DocumentName::parse(name).ok_or(DocumentRejected::UnknownName)?;
        self.check_newer(name, version, &content)?;
        self.put_in_force(name, version, &content)
            .ok_or(DocumentRejected::Unreadable)?;
        self.current(name).store(Arc::new(DocumentVersion {
            version,
            ballot,
            content: Arc::new(content),
        }));
        self.log_applied(name, version);
        self.changed.notify(usize::MAX);
        Ok(())
    }

    fn check_newer(
        &self,
        name: DocumentName,
        version: u64,
        content: &[u8],
    ) -> Result<(), DocumentRejected> {
        let current = self.current(name).load();
        if version > 0 && version == current.version && *current.content != content {
            self.conflicts.fetch_add(1, SeqCst);
            self.runtime.log(&format!(
                "{name} {version} rejected: the current content of this version differs"
            ));
            return Err(DocumentRejected::Conflicting { seq: version });
        }
        if version <= current.version {
            return Err(DocumentRejected::NotNewer {
                current: current.version,
            });
        }
        Ok(())
    }

    /// Parses the document and puts what it says in force; `None` where it cannot be parsed.
    fn put_in_force(&self, name: DocumentName, version: u64, content: &[u8]) -> Option<()> {
        match name {
            DocumentName::Configuration => {
                let document: ConfigDoc = serde_json::from_slice(content).ok()?;
                // The document of the bootstrap has no text: no operator has put one yet.
                if !document.text.is_empty() {
                    let configuration = self.format.read(document.text.as_bytes()).ok()?;
                    self.config.store(Arc::new((version, configuration)));
                }
            }
            DocumentName::Layout => {
                let layout = serde_json::from_slice(content).ok()?;
                self.layout.store(Arc::new((version, layout)));
            }
            DocumentName::ServerList => {
                let list = serde_json::from_slice(content).ok()?;
                self.server_list
                    .store(Arc::new((version, self.with_departures(list))));
            }
        }
        Some(())
    }

    /// The digest in the log is that of a configuration's text, as the operator sent it.
    fn log_applied(&self, name: DocumentName, version: u64) {
        let digest = match name {
            DocumentName::Configuration => {
                format!(" {}", content_digest(self.configuration_text().as_bytes()))
            }
            DocumentName::Layout | DocumentName::ServerList => String::new(),
        };
        self.runtime
            .log(&format!("adopted {name} {version}{digest}"));
    }

    fn configuration_text(&self) -> String {
        let current = self.current(DocumentName::Configuration).load();
        serde_json::from_slice::<ConfigDoc>(&current.content)
            .map(|document| document.text)
            .unwrap_or_default()
    }

    fn with_departures(&self, mut list: ServerList) -> ServerList {
        let departures = self.departures.lock().unwrap();
        for server in &mut list.servers {
            if departures.is_marked(&server.server) {
                server.leaving = true;
            }
        }
        list
    }

    /// Marks servers that the platform shows as leaving: none of them is used from now on,
    /// whichever list names it. Returns whether any of them was not marked before.
    pub fn mark_leaving(&self, servers: &[String]) -> bool {
        let _applying = self.apply_lock.lock().unwrap();
        let now = self.runtime.now();
        let has_new = self.departures.lock().unwrap().mark(servers, now);
        if !has_new {
            return false;
        }
        let list = self.server_list.load();
        self.server_list
            .store(Arc::new((list.0, self.with_departures(list.1.clone()))));
        self.runtime
            .log(&format!("servers leaving: {}", servers.join(" ")));
        self.changed.notify(usize::MAX);
        true
    }

    /// The servers known to be leaving; none if `digest` shows that the asker knows just these.
    pub fn leaving_servers_unless(&self, digest: u64) -> Vec<String> {
        let departures = self.departures.lock().unwrap();
        if departures.digest() == digest {
            vec![]
        } else {
            departures.servers()
        }
    }
}

/// Addresses of the live machines that replicate a key, most preferred first.
pub fn replicas_by_preference(
    documents: &DocumentCache,
    members: &Membership,
    key: &str,
) -> Vec<SocketAddr> {
    let layout = &documents.layout.load().1;
    layout
        .replicas_for(key, &layout.group(key).current)
        .into_iter()
        .filter_map(|disk| members.node_with_disk(disk))
        .map(|node| node.peer)
        .collect()
}
