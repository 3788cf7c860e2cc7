//! The newest decided version of each document on this node.

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
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

/// The text forms of all document names.
pub const DOCUMENT_NAMES: [&str; 3] = [
    DocumentName::Configuration.as_str(),
    DocumentName::Layout.as_str(),
    DocumentName::ServerList.as_str(),
];

/// Version of the layout that a bootstrap writes.
pub const FIRST_LAYOUT_VERSION: u64 = 1;

/// One version of a document. Version 0 is the empty document of a node that has not received any.
#[derive(Clone, Debug, Default)]
pub struct DocumentVersion {
    /// The register version in which the document was decided.
    pub version: u64,
    /// The ballot under which it was decided; zero if the sender did not have it.
    pub ballot: Ballot,
    /// The document's bytes.
    pub content: Arc<Vec<u8>>,
}

/// The reason why a received document has not become the current one.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DocumentRejected {
    /// A name that is not in [`DOCUMENT_NAMES`].
    #[snafu(display("unknown document name"))]
    UnknownName,
    /// The current version is the same or newer.
    #[snafu(display("current version {current} is the same or newer"))]
    NotNewer { current: u64 },
    /// The current version is the same with different content. Only decided documents are sent, so
    /// one of the two was never decided.
    #[snafu(display("current version {current} has different content"))]
    Conflicting { current: u64 },
    /// The content cannot be parsed.
    #[snafu(display("the content cannot be parsed"))]
    Unreadable,
    /// The delta was made against another version or other content than the current one.
    #[snafu(display("the delta was made against another base than the current version {current}"))]
    OtherBase { current: u64 },
    /// The delta is malformed, or its result fails the checksum.
    #[snafu(display("the delta is malformed or its result fails the checksum"))]
    BadDelta,
}

/// The current version of each document, with its content as sent and in parsed form.
pub struct DocumentCache {
    runtime: Runtime,
    /// Held while a document is applied, so that documents are applied one at a time.
    apply_lock: Mutex<()>,
    format: Arc<dyn ConfigurationFormat>,
    /// Notified when a document has been applied or a server has been marked as leaving.
    pub changed: Event,
    /// Number of documents rejected as [`DocumentRejected::Conflicting`]; more than 0 is a defect
    /// of this program.
    pub conflicts: AtomicU64,
    /// Current versions, indexed by [`DocumentName`].
    versions: [ArcSwap<DocumentVersion>; 3],
    /// The configuration in force and its version; version 0 until an operator has put a
    /// configuration.
    pub config: ArcSwap<(u64, Configuration)>,
    /// The layout in force and its version.
    pub layout: ArcSwap<(u64, Layout)>,
    /// The server list in force and its version. Every server that was reported as leaving is
    /// marked in it.
    pub server_list: ArcSwap<(u64, ServerList)>,
    departures: Mutex<Departures>,
    /// Whether the current layout is a first one that this disk has accepted and that is not known to
    /// be decided.
    has_proposed_layout: AtomicBool,
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
            has_proposed_layout: AtomicBool::new(false),
        })
    }

    /// Name and current version of every document. A first layout that is not known to be decided
    /// does not count once there is a configuration: it may have to be replaced.
    pub fn versions(&self) -> Vec<(String, u64)> {
        let is_configured = self.document(DocumentName::Configuration.as_str()).version > 0;
        let may_be_replaced = is_configured && self.has_proposed_layout();
        let version_of = |name| match name {
            DocumentName::Layout if may_be_replaced => 0,
            _ => self.current(name).load().version,
        };
        DocumentName::ALL
            .into_iter()
            .map(|name| (name.to_string(), version_of(name)))
            .collect()
    }

    /// Applies a first layout that this disk has accepted. The decided first layout replaces it if it
    /// is another one.
    pub fn apply_proposed_layout(&self, content: Vec<u8>) -> bool {
        let layout = DocumentName::Layout.as_str();
        let is_applied = self.apply(layout, FIRST_LAYOUT_VERSION, Ballot::default(), content);
        if is_applied {
            self.has_proposed_layout.store(true, SeqCst);
        }
        is_applied
    }

    /// Whether the current layout is a first one that this disk has accepted and that is not known to
    /// be decided.
    pub fn has_proposed_layout(&self) -> bool {
        self.has_proposed_layout.load(SeqCst)
            && self.current(DocumentName::Layout).load().version == FIRST_LAYOUT_VERSION
    }

    /// Records that the current layout is decided.
    pub fn confirm_layout(&self) {
        self.has_proposed_layout.store(false, SeqCst);
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
    /// send it, in which case only the delta's own checksum is compared.
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

    /// Applies a document and returns whether it has become the current one; see
    /// [`DocumentCache::try_apply`].
    pub fn apply(&self, name: &str, version: u64, ballot: Ballot, content: Vec<u8>) -> bool {
        self.try_apply(name, version, ballot, content).is_ok()
    }

    /// Makes a decided document the current one unless it is older. The version alone identifies
    /// the content: a version is decided once, although the ballot under which it is stored may
    /// increase. Therefore the ballots are not compared.
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
        let is_decided_layout = name == DocumentName::Layout
            && version == FIRST_LAYOUT_VERSION
            && version == current.version
            && self.has_proposed_layout.swap(false, SeqCst);
        if is_decided_layout && *current.content != content {
            return Ok(());
        }
        if version > 0 && version == current.version && *current.content != content {
            self.conflicts.fetch_add(1, SeqCst);
            self.runtime.log(&format!(
                "document {name} version {version} rejected: its content differs from the current content of the same version"
            ));
            return Err(DocumentRejected::Conflicting { current: version });
        }
        if version <= current.version {
            return Err(DocumentRejected::NotNewer {
                current: current.version,
            });
        }
        Ok(())
    }

    /// Parses the document and puts it in force; `None` if it cannot be parsed.
    fn put_in_force(&self, name: DocumentName, version: u64, content: &[u8]) -> Option<()> {
        match name {
            DocumentName::Configuration => {
                let document: ConfigDoc = serde_json::from_slice(content).ok()?;
                // The document written by the bootstrap has no text: no operator has put a
                // configuration yet.
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

    /// Logs the version and, for a configuration, the digest of the text as sent by the operator.
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

    /// Marks servers that the platform reports as leaving: they are not used any more, even if a
    /// later list contains them. Returns whether any of them was not marked before.
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
            .log(&format!("marked servers as leaving: {}", servers.join(" ")));
        self.changed.notify(usize::MAX);
        true
    }

    /// The servers known to be leaving; empty if `digest` shows that the requester already has
    /// exactly these.
    pub fn leaving_servers_unless(&self, digest: u64) -> Vec<String> {
        let departures = self.departures.lock().unwrap();
        if departures.digest() == digest {
            vec![]
        } else {
            departures.servers()
        }
    }
}

/// Addresses of the live nodes that replicate a key, most preferred first.
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
