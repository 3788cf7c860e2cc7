//! Distribution of decided documents to every node.
//!
//! Only decided documents are sent: values that a majority of the core disks accepted under one
//! ballot, as the read and change functions of `RegisterClient` return them. Each version is
//! decided once, so a document that arrives late, or from a process that has been superseded, is at
//! most as new as the receiver's copy.
//!
//! The publisher sends to the other cores, and each core relays to the nodes assigned to it, so
//! that no process has to send to all nodes. Versions decided within one `PUBLISH_INTERVAL` are
//! sent as one update.

use crate::Control;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use yewcross_common::constants::{PEER_REQUEST_TIMEOUT, PUBLISH_INTERVAL};
use yewcross_common::documents::cache::DocumentVersion;
use yewcross_common::membership::Node;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::register::Ballot;
use yewcross_common::transport::SendError;

/// Number of attempts to send the complete document to a node whose responses are lost. After that
/// the node receives the document by its own polling.
const FULL_SEND_ATTEMPTS: usize = 2;

/// The documents that this process is publishing.
#[derive(Default)]
pub struct PendingPublications {
    /// The version sent last, by document name. An entry is removed once no newer version is left
    /// to send.
    last_sent: Mutex<BTreeMap<&'static str, Arc<DocumentVersion>>>,
}

/// An update that is sent to every node.
#[derive(Clone)]
pub(super) enum Announcement {
    /// A decided version of a document.
    Document {
        name: String,
        version: u64,
        /// The difference from the version sent before; `None` if the document is sent in full.
        change: Option<Arc<DocumentChange>>,
    },
    /// Servers that the platform reports as leaving.
    ServersLeaving(Arc<Vec<String>>),
}

/// A delta from one version of a document to the next version sent.
pub(crate) struct DocumentChange {
    /// The version that the delta applies to.
    pub(crate) base: u64,
    pub(crate) base_digest: String,
    pub(crate) delta: Vec<u8>,
}

impl DocumentChange {
    /// Computes the change from `before` to `after`. Returns `None` if there is no earlier version,
    /// or if the delta is at least half as long as the full document.
    fn between(before: &DocumentVersion, after: &DocumentVersion) -> Option<Arc<DocumentChange>> {
        if before.version == 0 {
            return None;
        }
        let delta = yewcross_common::documents::delta::encode(&before.content, &after.content);
        let is_compact = 2 * delta.len() < after.content.len();
        is_compact.then(|| {
            Arc::new(DocumentChange {
                base: before.version,
                base_digest: yewcross_common::hash::content_digest(&before.content),
                delta,
            })
        })
    }
}

/// Applies a decided document locally and sends it to every node. A node that misses it receives it
/// by its own polling.
pub fn publish(control: &Arc<Control>, name: &'static str, version: u64, content: Vec<u8>) {
    let before = control.documents.document(name);
    control
        .documents
        .apply(name, version, Ballot::default(), content);
    let last_sent = &control.publications.last_sent;
    if last_sent.lock().unwrap().contains_key(name) {
        return;
    }
    last_sent.lock().unwrap().insert(name, before);
    let publisher = control.clone();
    control.runtime.spawn(async move {
        while let Some(announcement) = next_announcement(&publisher, name) {
            send_to_all(&publisher, announcement);
            publisher.runtime.sleep(PUBLISH_INTERVAL).await;
        }
    });
}

/// The change applied since the version sent last; `None` if there is no newer version to send.
fn next_announcement(control: &Control, name: &'static str) -> Option<Announcement> {
    let mut last_sent = control.publications.last_sent.lock().unwrap();
    let newest = control.documents.document(name);
    let sent = last_sent.get(name)?.clone();
    if newest.version <= sent.version {
        last_sent.remove(name);
        return None;
    }
    last_sent.insert(name, newest.clone());
    Some(Announcement::Document {
        name: name.into(),
        version: newest.version,
        change: DocumentChange::between(&sent, &newest),
    })
}

/// Sends the locally applied version of a document to every node, in full.
pub fn publish_current(control: &Arc<Control>, name: &str) {
    let announcement = Announcement::Document {
        name: name.into(),
        version: control.documents.document(name).version,
        change: None,
    };
    send_to_all(control, announcement);
}

/// Marks servers as leaving. If any of them was not marked yet, notifies every node immediately.
pub fn publish_departures(control: &Arc<Control>, servers: Vec<String>) {
    if control.documents.mark_leaving(&servers) {
        send_to_all(control, Announcement::ServersLeaving(Arc::new(servers)));
    }
}

/// Sends an announcement to the other cores, which relay it, and to the nodes assigned to this
/// process. If a core cannot be reached, this process sends to the nodes assigned to that core.
fn send_to_all(control: &Arc<Control>, announcement: Announcement) {
    let view = control.members.view.load();
    let other_cores: Vec<Node> = view
        .values()
        .filter(|node| node.role == Role::Core && node.name != control.settings.name)
        .cloned()
        .collect();
    let mut relays: Vec<String> = other_cores.iter().map(|core| core.name.clone()).collect();
    relays.push(control.settings.name.clone());
    let relays = Arc::new(relays);
    for core in other_cores {
        let sender = control.clone();
        let announcement = announcement.clone();
        let relays = relays.clone();
        control.runtime.spawn(async move {
            if !announcement.send(&sender, &core, &relays).await {
                send_to_assigned_nodes(&sender, &announcement, &relays, &core.name);
            }
        });
    }
    send_to_assigned_nodes(control, &announcement, &relays, &control.settings.name);
}

/// Relays another process's announcement to the nodes assigned to this process, if this process is
/// among the relays.
pub(super) fn relay_announcement(
    control: &Arc<Control>,
    announcement: Announcement,
    relays: &[String],
) {
    if relays.contains(&control.settings.name) {
        send_to_assigned_nodes(control, &announcement, relays, &control.settings.name);
    }
}

/// Sends an announcement to the nodes that rendezvous hashing assigns to the relay `relay_name`.
fn send_to_assigned_nodes(
    control: &Arc<Control>,
    announcement: &Announcement,
    relays: &[String],
    relay_name: &str,
) {
    let is_assigned_to_relay = |node: &Node| {
        let names = relays.iter().map(|name| name.as_str());
        yewcross_common::hash::rank_by_weight(&node.name, names).first() == Some(&relay_name)
    };
    let view = control.members.view.load();
    for node in view
        .values()
        .filter(|node| node.role != Role::Core && is_assigned_to_relay(node))
    {
        let (sender, node, announcement) = (control.clone(), node.clone(), announcement.clone());
        control.runtime.spawn(async move {
            announcement.send(&sender, &node, &[]).await;
        });
    }
}

impl Announcement {
    /// Sends the announcement to a node. Returns whether the node responded.
    async fn send(&self, control: &Arc<Control>, node: &Node, relays: &[String]) -> bool {
        match self {
            Announcement::ServersLeaving(servers) => {
                let request = PeerRequest::ServersLeaving {
                    servers: servers.to_vec(),
                    relays: relays.to_vec(),
                };
                control
                    .peers
                    .request(node.peer, &request, &[], PEER_REQUEST_TIMEOUT)
                    .await
                    .is_ok()
            }
            Announcement::Document {
                name,
                version,
                change: None,
            } => send_in_full(control, node, name, *version, relays.to_vec()).await,
            Announcement::Document {
                name,
                version,
                change: Some(change),
            } => send_change(control, node, name, *version, change, relays).await,
        }
    }
}

/// Sends the change, and then the full document if the node could not apply the change. That node
/// has already relayed the change, so the full document is sent without relays.
async fn send_change(
    control: &Arc<Control>,
    node: &Node,
    name: &str,
    version: u64,
    change: &DocumentChange,
    relays: &[String],
) -> bool {
    let request = PeerRequest::PublishDelta {
        name: name.into(),
        version,
        ballot: Ballot::default(),
        base: change.base,
        base_digest: change.base_digest.clone(),
        relays: relays.to_vec(),
    };
    match control
        .peers
        .request(node.peer, &request, &change.delta, PEER_REQUEST_TIMEOUT)
        .await
    {
        Ok((PeerResponse::DocumentApplied { version: applied }, _)) if applied >= version => true,
        Ok(_) => send_in_full(control, node, name, version, vec![]).await,
        Err(SendError::NotSent | SendError::OutcomeUnknown) => false,
    }
}

/// Sends the locally applied version in full, if it is at least as new as `version`.
async fn send_in_full(
    control: &Arc<Control>,
    node: &Node,
    name: &str,
    version: u64,
    relays: Vec<String>,
) -> bool {
    let document = control.documents.document(name);
    if document.version < version {
        return true;
    }
    let request = PeerRequest::PublishDocument {
        name: name.into(),
        version: document.version,
        ballot: Ballot::default(),
        relays,
    };
    for _ in 0..FULL_SEND_ATTEMPTS {
        match control
            .peers
            .request(node.peer, &request, &document.content, PEER_REQUEST_TIMEOUT)
            .await
        {
            Ok(_) => return true,
            Err(SendError::NotSent) => return false,
            Err(SendError::OutcomeUnknown) => {}
        }
    }
    false
}
