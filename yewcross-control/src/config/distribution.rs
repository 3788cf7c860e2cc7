//! Sending a decided document to every node.
//!
//! Only decided documents are sent: what a majority of the core disks accepted under one epoch, as `RegisterClient::change`, `read` and
//! `newest` return it. A sequence number is decided once, so a document that comes late, or from a process that has been
//! superseded, is older than what its receiver holds, or the same.
//!
//! The sender tells the other cores, and each core tells its share of the other nodes: no process sends to all. Versions that
//! follow each other closely travel as one.

use crate::Control;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use yewcross::ask::{Ask, Tell};
use yewcross::book::Page;
use yewcross::consts::{PEER_WAIT, PUSH_EVERY};
use yewcross::member::Node;
use yewcross::register::Ballot;
use yewcross::startup::Role;
use yewcross::wire::Lost;

/// count. Times that the whole document is sent to a node whose answer is lost; it asks for news itself soon.
const SENT_WHOLE: usize = 2;

/// Documents on their way from this process.
#[derive(Default)]
pub struct Outbox {
    /// The version sent last, by document; a document stands here while it is being sent.
    sending: Mutex<BTreeMap<&'static str, Arc<Page>>>,
}

/// What is told to every node.
#[derive(Clone)]
pub enum Notice {
    /// A decided version of a document.
    Document { name: String, seq: u64, change: Option<Arc<Change>> },
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
    fn between(before: &Page, now: &Page) -> Option<Arc<Change>> {
        if before.seq == 0 {
            return None;
        }
        let delta = yewcross::delta::diff(&before.raw, &now.raw);
        let worth_it = 2 * delta.len() < now.raw.len();
        worth_it.then(|| Arc::new(Change { base: before.seq, base_digest: yewcross::hash::mark(&before.raw), delta }))
    }
}

/// Takes a decided document on hand and tells every node of it; whoever misses it asks for it soon.
pub fn push(c: &Arc<Control>, name: &'static str, seq: u64, document: Vec<u8>) {
    let before = c.book.page(name);
    c.book.adopt(name, seq, Ballot::default(), document);
    if c.outbox.sending.lock().unwrap().contains_key(name) {
        return;
    }
    c.outbox.sending.lock().unwrap().insert(name, before);
    let control = c.clone();
    c.w.go(async move {
        while let Some(notice) = next_notice(&control, name) {
            tell_all(&control, notice);
            control.w.sleep(PUSH_EVERY).await;
        }
    });
}

/// What has come since the version sent last; none ends the sending.
fn next_notice(c: &Control, name: &'static str) -> Option<Notice> {
    let mut sending = c.outbox.sending.lock().unwrap();
    let (now, sent) = (c.book.page(name), sending.get(name)?.clone());
    if now.seq <= sent.seq {
        sending.remove(name);
        return None;
    }
    sending.insert(name, now.clone());
    Some(Notice::Document { name: name.into(), seq: now.seq, change: Change::between(&sent, &now) })
}

/// Tells every node of the version on hand, whole.
pub fn tell_all_of(c: &Arc<Control>, name: &str) {
    tell_all(c, Notice::Document { name: name.into(), seq: c.book.page(name).seq, change: None });
}

/// Tells all nodes at once that the platform shows servers as leaving.
pub fn push_departures(c: &Arc<Control>, servers: Vec<String>) {
    if c.book.depart(&servers) {
        tell_all(c, Notice::Departed(Arc::new(servers)));
    }
}

/// Tells the other cores, which tell it on, and this process's own share of the nodes.
fn tell_all(c: &Arc<Control>, notice: Notice) {
    let view = c.members.view.load();
    let cores: Vec<Node> = view.values().filter(|node| node.role == Role::Core && node.name != c.st.name).cloned().collect();
    let mut relays: Vec<String> = cores.iter().map(|core| core.name.clone()).collect();
    relays.push(c.st.name.clone());
    let relays = Arc::new(relays);
    for core in cores {
        let (control, notice, relays) = (c.clone(), notice.clone(), relays.clone());
        c.w.go(async move {
            if !notice.tell(&control, &core, &relays).await {
                tell_share(&control, &notice, &relays, &core.name);
            }
        });
    }
    tell_share(c, &notice, &relays, &c.st.name);
}

/// Tells on what another process sent to all.
pub fn relay(c: &Arc<Control>, notice: Notice, relays: &[String]) {
    if relays.contains(&c.st.name) {
        tell_share(c, &notice, relays, &c.st.name);
    }
}

/// Tells the nodes that fall to one of the relays.
fn tell_share(c: &Arc<Control>, notice: &Notice, relays: &[String], relay: &str) {
    let falls_to_relay = |node: &Node| yewcross::hash::ranked(&node.name, relays.iter().map(|r| r.as_str())).first() == Some(&relay);
    let view = c.members.view.load();
    for node in view.values().filter(|node| node.role != Role::Core && falls_to_relay(node)) {
        let (control, node, notice) = (c.clone(), node.clone(), notice.clone());
        c.w.go(async move {
            notice.tell(&control, &node, &[]).await;
        });
    }
}

impl Notice {
    /// Whether the node was reached.
    async fn tell(&self, c: &Arc<Control>, node: &Node, relays: &[String]) -> bool {
        match self {
            Notice::Departed(servers) => {
                let question = Ask::Departed { servers: servers.to_vec(), relays: relays.to_vec() };
                c.peers.ask(node.peer, &question, &[], PEER_WAIT).await.is_ok()
            }
            Notice::Document { name, seq, change } => tell_document(c, node, name, *seq, change.as_deref(), relays).await,
        }
    }
}

async fn tell_document(c: &Arc<Control>, node: &Node, name: &str, seq: u64, change: Option<&Change>, relays: &[String]) -> bool {
    let mut relays = relays.to_vec();
    if let Some(change) = change {
        let patch = Ask::Patch {
            name: name.into(),
            seq,
            epoch: Ballot::default(),
            base: change.base,
            base_digest: change.base_digest.clone(),
            relays: std::mem::take(&mut relays),
        };
        match c.peers.ask(node.peer, &patch, &change.delta, PEER_WAIT).await {
            Ok((Tell::Adopted { seq: held }, _)) if held >= seq => return true,
            Ok(_) => {}
            Err(Lost::Unsent | Lost::Unknown) => return false,
        }
    }
    tell_whole(c, node, name, seq, relays).await
}

/// Sends the version on hand, where that is the one meant or a newer one.
async fn tell_whole(c: &Arc<Control>, node: &Node, name: &str, seq: u64, relays: Vec<String>) -> bool {
    let page = c.book.page(name);
    if page.seq < seq {
        return true;
    }
    let whole = Ask::Adopt { name: name.into(), seq: page.seq, epoch: Ballot::default(), relays };
    for _ in 0..SENT_WHOLE {
        match c.peers.ask(node.peer, &whole, &page.raw, PEER_WAIT).await {
            Ok(_) => return true,
            Err(Lost::Unsent) => return false,
            Err(Lost::Unknown) => {}
        }
    }
    false
}
