//! Sending a decided document to every node.
//!
//! Only decided documents are sent: what a majority of the core disks accepted under one ballot, as
//! `RegisterClient::change`, `read` and `newest` return it. A version is decided once, so a document
//! that arrives late, or from a process that has been superseded, is older than what its receiver
//! holds, or the same.
//!
//! The publisher sends to the other cores, and each core relays to its share of the other nodes: no
//! process sends to all. Versions that follow each other closely travel as one.

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

/// count. Attempts to send the complete document to a node whose answers are lost; after these the
/// node finds it by its own polls.
const FULL_SEND_ATTEMPTS: usize = 2;

/// The documents that this process is publishing.
#[derive(Default)]
pub struct PendingPublications {
    /// The version sent last, by document; an entry lasts while its document is being sent.
    last_sent: Mutex<BTreeMap<&'static str, Arc<DocumentVersion>>>,
}

/// What is sent to every node.
#[derive(Clone)]
pub(super) enum Announcement {
    /// A decided version of a document.
    Document {
        name: String,
        version: u64,
        /// How it differs from the version sent before; none where it is sent in full.
        change: Option<Arc<DocumentChange>>,
    },
    /// Servers that the platform shows as leaving.
    ServersLeaving(Arc<Vec<String>>),
}

/// What turns one version of a document into the next one sent.
pub(crate) struct DocumentChange {
    pub(crate) base: u64,
    pub(crate) base_digest: String,
    pub(crate) delta: Vec<u8>,
}

impl DocumentChange {
    /// None where the full document is hardly longer.
    fn between(before: &DocumentVersion, after: &DocumentVersion) -> Option<Arc<DocumentChange>> {
        if before.version == 0 {
            return None;
        }
        let delta = yewcross_common::documents::delta::encode(&before.content, &after.content);
        let is_worth_it = 2 * delta.len() < after.content.len();
        is_worth_it.then(|| {
            Arc::new(DocumentChange {
                base: before.version,
                base_digest: yewcross_common::hash::content_digest(&before.content),
                delta,
            })
        })
    }
}

/// Applies a decided document here and sends it to every node; a node that misses it finds it by
/// its own polls.
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

/// What was applied since the version sent last; none ends the sending.
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

/// Sends the applied version of a document to every node, in full.
pub fn publish_current(control: &Arc<Control>, name: &str) {
    let announcement = Announcement::Document {
        name: name.into(),
        version: control.documents.document(name).version,
        change: None,
    };
    send_to_all(control, announcement);
}

/// Marks servers as leaving and tells every node at once, where any of them was not marked yet.
pub fn publish_departures(control: &Arc<Control>, servers: Vec<String>) {
    if control.documents.mark_leaving(&servers) {
        send_to_all(control, Announcement::ServersLeaving(Arc::new(servers)));
    }
}

/// Sends to the other cores, which relay it, and to this process's own share of the nodes. The
/// share of a core that is not reached is served from here.
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
                send_to_share(&sender, &announcement, &relays, &core.name);
            }
        });
    }
    send_to_share(control, &announcement, &relays, &control.settings.name);
}

/// Sends what another process announced to this process's share of the nodes, where it is among
/// the relays.
pub(super) fn relay(control: &Arc<Control>, announcement: Announcement, relays: &[String]) {
    if relays.contains(&control.settings.name) {
        send_to_share(control, &announcement, relays, &control.settings.name);
    }
}

/// Sends to the nodes that fall to one of the relays.
fn send_to_share(
    control: &Arc<Control>,
    announcement: &Announcement,
    relays: &[String],
    relay: &str,
) {
    let falls_to_relay = |node: &Node| {
        let names = relays.iter().map(|name| name.as_str());
        yewcross_common::hash::rank_by_weight(&node.name, names).first() == Some(&relay)
    };
    let view = control.members.view.load();
    for node in view
        .values()
        .filter(|node| node.role != Role::Core && falls_to_relay(node))
    {
        let (sender, node, announcement) = (control.clone(), node.clone(), announcement.clone());
        control.runtime.spawn(async move {
            announcement.send(&sender, &node, &[]).await;
        });
    }
}

impl Announcement {
    /// Whether the node was reached.
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

/// Sends the change, and the full document to a node that could not apply it. That node has relayed
/// the change already, so the full document names no relays.
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

/// Sends the applied version, where that is the announced one or a newer one.
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
