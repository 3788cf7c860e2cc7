//! Sending a decided document to every node.
//!
//! Only decided documents are sent: what a majority of the core disks accepted under one epoch, as
//! `RegisterClient::change`, `read` and `newest` return it. A sequence number is decided once, so a
//! document that comes late, or from a process that has been superseded, is older than what its
//! receiver holds, or the same.
//!
//! The sender tells the other cores, and each core tells its share of the other nodes: no process
//! sends to all. Versions that follow each other closely travel as one.

use crate::Control;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use yewcross_common::constants::{PEER_WAIT, PUSH_EVERY};
use yewcross_common::documents::cache::DocumentVersion;
use yewcross_common::membership::Node;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::{PeerRequest, PeerResponse};
use yewcross_common::register::Ballot;
use yewcross_common::transport::SendError;

/// count. Times that the whole document is sent to a node whose answer is lost; it asks for news
/// itself soon.
const SENT_WHOLE: usize = 2;

/// Documents on their way from this process.
#[derive(Default)]
pub struct Outbox {
    /// The version sent last, by document; a document stands here while it is being sent.
    sending: Mutex<BTreeMap<&'static str, Arc<DocumentVersion>>>,
}

/// What is told to every node.
#[derive(Clone)]
pub enum Notice {
    /// A decided version of a document.
    Document {
        name: String,
        seq: u64,
        change: Option<Arc<Change>>,
    },
    /// Servers that the platform shows as leaving.
    Departed(Arc<Vec<String>>),
}

/// What turns one version of a document into the next one sent.
pub struct Change {
    pub base: u64,
    pub base_digest: String,
    pub delta: Vec<u8>,
}

impl Change {
    /// None where the whole document is hardly longer.
    fn between(before: &DocumentVersion, now: &DocumentVersion) -> Option<Arc<Change>> {
        if before.version == 0 {
            return None;
        }
        let delta = yewcross_common::documents::delta::encode(&before.content, &now.content);
        let worth_it = 2 * delta.len() < now.content.len();
        worth_it.then(|| {
            Arc::new(Change {
                base: before.version,
                base_digest: yewcross_common::hash::content_digest(&before.content),
                delta,
            })
        })
    }
}

/// Takes a decided document on hand and tells every node of it; whoever misses it asks for it soon.
pub fn push(c: &Arc<Control>, name: &'static str, seq: u64, document: Vec<u8>) {
    let before = c.documents.document(name);
    c.documents.apply(name, seq, Ballot::default(), document);
    if c.outbox.sending.lock().unwrap().contains_key(name) {
        return;
    }
    c.outbox.sending.lock().unwrap().insert(name, before);
    let control = c.clone();
    c.runtime.spawn(async move {
        while let Some(notice) = next_notice(&control, name) {
            tell_all(&control, notice);
            control.runtime.sleep(PUSH_EVERY).await;
        }
    });
}

/// What has come since the version sent last; none ends the sending.
fn next_notice(control: &Control, name: &'static str) -> Option<Notice> {
    let mut sending = control.outbox.sending.lock().unwrap();
    let (now, sent) = (control.documents.document(name), sending.get(name)?.clone());
    if now.version <= sent.version {
        sending.remove(name);
        return None;
    }
    sending.insert(name, now.clone());
    Some(Notice::Document {
        name: name.into(),
        seq: now.version,
        change: Change::between(&sent, &now),
    })
}

/// Tells every node of the version on hand, whole.
pub fn tell_all_of(control: &Arc<Control>, name: &str) {
    tell_all(
        control,
        Notice::Document {
            name: name.into(),
            seq: control.documents.document(name).version,
            change: None,
        },
    );
}

/// Tells all nodes at once that the platform shows servers as leaving.
pub fn push_departures(c: &Arc<Control>, servers: Vec<String>) {
    if c.documents.mark_leaving(&servers) {
        tell_all(c, Notice::Departed(Arc::new(servers)));
    }
}

/// Tells the other cores, which tell it on, and this process's own share of the nodes.
fn tell_all(c: &Arc<Control>, notice: Notice) {
    let view = c.members.view.load();
    let cores: Vec<Node> = view
        .values()
        .filter(|node| node.role == Role::Core && node.name != c.settings.name)
        .cloned()
        .collect();
    let mut relays: Vec<String> = cores.iter().map(|core| core.name.clone()).collect();
    relays.push(c.settings.name.clone());
    let relays = Arc::new(relays);
    for core in cores {
        let (control, notice, relays) = (c.clone(), notice.clone(), relays.clone());
        c.runtime.spawn(async move {
            if !notice.tell(&control, &core, &relays).await {
                tell_share(&control, &notice, &relays, &core.name);
            }
        });
    }
    tell_share(c, &notice, &relays, &c.settings.name);
}

/// Tells on what another process sent to all.
pub fn relay(c: &Arc<Control>, notice: Notice, relays: &[String]) {
    if relays.contains(&c.settings.name) {
        tell_share(c, &notice, relays, &c.settings.name);
    }
}

/// Tells the nodes that fall to one of the relays.
fn tell_share(c: &Arc<Control>, notice: &Notice, relays: &[String], relay: &str) {
    let falls_to_relay = |node: &Node| {
        yewcross_common::hash::ranked(&node.name, relays.iter().map(|r| r.as_str())).first()
            == Some(&relay)
    };
    let view = c.members.view.load();
    for node in view
        .values()
        .filter(|node| node.role != Role::Core && falls_to_relay(node))
    {
        let (control, node, notice) = (c.clone(), node.clone(), notice.clone());
        c.runtime.spawn(async move {
            notice.tell(&control, &node, &[]).await;
        });
    }
}

impl Notice {
    /// Whether the node was reached.
    async fn tell(&self, control: &Arc<Control>, node: &Node, relays: &[String]) -> bool {
        match self {
            Notice::Departed(servers) => {
                let question = PeerRequest::ServersLeaving {
                    servers: servers.to_vec(),
                    relays: relays.to_vec(),
                };
                control
                    .peers
                    .request(node.peer, &question, &[], PEER_WAIT)
                    .await
                    .is_ok()
            }
            Notice::Document { name, seq, change } => {
                tell_document(control, node, name, *seq, change.as_deref(), relays).await
            }
        }
    }
}

async fn tell_document(
    control: &Arc<Control>,
    node: &Node,
    name: &str,
    seq: u64,
    change: Option<&Change>,
    relays: &[String],
) -> bool {
    let mut relays = relays.to_vec();
    if let Some(change) = change {
        let patch = PeerRequest::PublishDelta {
            name: name.into(),
            version: seq,
            epoch: Ballot::default(),
            base: change.base,
            base_digest: change.base_digest.clone(),
            relays: std::mem::take(&mut relays),
        };
        match control
            .peers
            .request(node.peer, &patch, &change.delta, PEER_WAIT)
            .await
        {
            Ok((PeerResponse::DocumentApplied { version: held }, _)) if held >= seq => return true,
            Ok(_) => {}
            Err(SendError::NotSent | SendError::OutcomeUnknown) => return false,
        }
    }
    tell_whole(control, node, name, seq, relays).await
}

/// Sends the version on hand, where that is the one meant or a newer one.
async fn tell_whole(
    control: &Arc<Control>,
    node: &Node,
    name: &str,
    seq: u64,
    relays: Vec<String>,
) -> bool {
    let page = control.documents.document(name);
    if page.version < seq {
        return true;
    }
    let whole = PeerRequest::PublishDocument {
        name: name.into(),
        version: page.version,
        epoch: Ballot::default(),
        relays,
    };
    for _ in 0..SENT_WHOLE {
        match control
            .peers
            .request(node.peer, &whole, &page.content, PEER_WAIT)
            .await
        {
            Ok(_) => return true,
            Err(SendError::NotSent) => return false,
            Err(SendError::OutcomeUnknown) => {}
        }
    }
    false
}
