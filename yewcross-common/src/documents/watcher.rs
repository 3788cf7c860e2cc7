//! How a node keeps its documents new, and how a front proves that none newer is in force.

use crate::constants::*;
use crate::documents::cache::DocumentCache;
use crate::documents::departures;
use crate::membership::{MemberState, Membership, Node};
use crate::process_settings::Role;
use crate::protocol::{PeerRequest, PeerResponse};
use crate::register::majority;
use crate::runtime::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

pub struct DocumentWatcher {
    pub runtime: Runtime,
    pub members: Arc<Membership>,
    pub documents: Arc<DocumentCache>,
    name: String,
    is_front: bool,
    /// us between two questions where no lease is needed; 0: fronts serve under leases.
    poll_interval: u64,
    serving_until: AtomicU64,
    /// A core quorum has confirmed our configuration since this process started.
    pub confirmed: AtomicBool,
    rounds: AtomicU64,
    confirmations: Mutex<BTreeMap<String, u64>>,
    /// The digest of the leaving servers that each core told of last, by its name: a core tells
    /// them again only if they differ.
    leaving_digests: Mutex<BTreeMap<String, u64>>,
    was_serving: AtomicBool,
    /// us. When the question was sent that a core with a majority answered last; 0 before the
    /// first.
    confirmed_at: AtomicU64,
}

impl DocumentWatcher {
    pub fn new(
        members: &Arc<Membership>,
        documents: &Arc<DocumentCache>,
        name: &str,
        front: bool,
    ) -> Arc<DocumentWatcher> {
        DocumentWatcher::of(members, documents, name, front, 0)
    }

    /// Without leases: a front serves by what it holds, and one core is asked for news often enough
    /// for `apply` (us).
    pub fn without_leases(
        members: &Arc<Membership>,
        documents: &Arc<DocumentCache>,
        name: &str,
        front: bool,
        apply: u64,
    ) -> Arc<DocumentWatcher> {
        DocumentWatcher::of(members, documents, name, front, (apply / 5).max(50 * MS))
    }

    fn of(
        members: &Arc<Membership>,
        documents: &Arc<DocumentCache>,
        name: &str,
        front: bool,
        every: u64,
    ) -> Arc<DocumentWatcher> {
        let w = members.runtime.clone();
        Arc::new(DocumentWatcher {
            runtime: w.clone(),
            members: members.clone(),
            documents: documents.clone(),
            name: name.into(),
            is_front: front,
            poll_interval: every,
            serving_until: AtomicU64::new(0),
            confirmed: AtomicBool::new(false),
            rounds: AtomicU64::new(w.random() % 64),
            confirmations: Default::default(),
            leaving_digests: Mutex::default(),
            was_serving: AtomicBool::new(false),
            confirmed_at: AtomicU64::new(0),
        })
    }

    /// Whether this front may serve at this moment.
    pub fn may_serve(&self) -> bool {
        if self.poll_interval > 0 {
            return self.documents.config.load().0 > 0;
        }
        self.runtime.now() < self.serving_until.load(SeqCst)
    }

    /// us since a core in contact with a majority last told this node what is newest; none if none
    /// ever did.
    pub fn since_confirmation(&self) -> Option<u64> {
        let at = self.confirmed_at.load(SeqCst);
        (at > 0).then(|| self.runtime.now() - at)
    }

    /// What this front tells other fronts: its version, if it was ever proved.
    pub fn poll_response(&self) -> PeerResponse {
        let newest = self.documents.versions();
        PeerResponse::DocumentVersions {
            newest,
            authoritative: self.confirmed.load(SeqCst),
            behind: false,
            leaving: vec![],
        }
    }

    pub async fn fetch(&self, name: &str, more_than: u64) {
        let cores = self.members.nodes_of_role(Role::Core);
        let order: Vec<String> = crate::hash::ranked(name, cores.iter().map(|n| n.name.as_str()))
            .into_iter()
            .map(|s| s.to_string())
            .collect();
        for n in order
            .iter()
            .filter_map(|o| cores.iter().find(|c| c.name == *o))
        {
            let a = PeerRequest::ReadDecidedDocument {
                name: name.into(),
                hops: 0,
            };
            if let Ok((
                PeerResponse::Document {
                    version: seq,
                    epoch,
                },
                raw,
            )) = self.members.peers.request(n.peer, &a, &[], PEER_WAIT).await
            {
                if seq > 0 {
                    self.documents.apply(name, seq, epoch, raw);
                }
                if self.documents.document(name).version > more_than || seq <= more_than {
                    return;
                }
            }
        }
    }

    /// Asks one core at a time, those of our site every other time; wakes at once when cores become
    /// known.
    async fn poll_in_turn(self: &Arc<Self>) {
        let mut eager = self.poll_interval / 4;
        loop {
            let moved = self.members.changed.listen();
            let cores = self.cores_in_turn();
            match cores.is_empty() {
                false => {
                    let mut told = false;
                    for n in cores.iter().take(3) {
                        told = self.poll_core(n).await;
                        if told {
                            break;
                        }
                    }
                    let none =
                        self.documents.config.load().0 == 0 || self.documents.layout.load().0 == 0;
                    let us = if none {
                        eager
                    } else {
                        self.poll_interval * 9 / 10
                            + self.runtime.random() % (self.poll_interval / 5)
                    };
                    // Cores that have just begun know in a moment whether a majority answers them.
                    if told {
                        eager = (2 * eager).min(self.poll_interval);
                    }
                    self.runtime.sleep(us).await;
                }
                true => {
                    self.runtime.timeout(self.poll_interval, moved).await;
                }
            }
        }
    }

    fn cores_in_turn(&self) -> Vec<Node> {
        let nth = self.rounds.fetch_add(1, SeqCst) as usize;
        let mut all: Vec<Node> = self
            .members
            .nodes_of_role(Role::Core)
            .into_iter()
            .filter(|n| n.name != self.name && n.state == MemberState::Alive)
            .collect();
        let k = all.len().max(1);
        all.rotate_left(nth / 2 % k);
        if nth.is_multiple_of(2) {
            all.sort_by_key(|n| n.site != self.members.peers.site);
        }
        all
    }

    /// Whether the core answered, and a majority of core seats had answered it lately, and this
    /// node now holds what it told of. What any other core holds may be old: nothing is taken over
    /// from it.
    async fn poll_core(self: &Arc<Self>, n: &Node) -> bool {
        let have = self.documents.versions();
        let told_before = self
            .leaving_digests
            .lock()
            .unwrap()
            .get(&n.name)
            .copied()
            .unwrap_or(0);
        let a = PeerRequest::PollDocuments {
            known: have.clone(),
            front: false,
            leaving_digest: told_before,
        };
        let sent = self.runtime.now();
        let answer = self.members.peers.request(n.peer, &a, &[], SERVE_ASK).await;
        let Ok((
            PeerResponse::DocumentVersions {
                newest,
                authoritative: sure,
                behind,
                leaving: departed,
            },
            _,
        )) = answer
        else {
            return false;
        };
        if !departed.is_empty() {
            // Whoever says that a server leaves is right.
            self.documents.mark_leaving(&departed);
            self.leaving_digests
                .lock()
                .unwrap()
                .insert(n.name.clone(), departures::digest(&departed));
        }
        if !sure {
            return false;
        }
        self.confirmed_at.fetch_max(sent, SeqCst);
        for (d, s) in &newest {
            let more_than = have.iter().find(|h| h.0 == *d).map_or(0, |h| h.1);
            if *s <= more_than || (more_than > 0 && self.was_published(d, *s).await) {
                continue;
            }
            let a = PeerRequest::FetchDocument {
                name: d.clone(),
                newer_than: more_than,
            };
            if let Ok((
                PeerResponse::Document {
                    version: seq,
                    epoch,
                },
                raw,
            )) = self.members.peers.request(n.peer, &a, &[], PEER_WAIT).await
            {
                self.documents.apply(d, seq, epoch, raw);
            }
        }
        !behind
            && newest
                .iter()
                .all(|(d, s)| self.documents.document(d).version >= *s)
    }

    /// Whether the version comes by itself in a moment: what was just decided is on its way to
    /// every node as the few bytes that changed, and a whole document need not be asked for.
    async fn was_published(&self, name: &str, seq: u64) -> bool {
        let until = self.runtime.now() + self.poll_interval / 4;
        loop {
            let moved = self.documents.changed.listen();
            if self.documents.document(name).version >= seq {
                return true;
            }
            let left = until.saturating_sub(self.runtime.now());
            if left == 0 || self.runtime.timeout(left, moved).await.is_none() {
                return self.documents.document(name).version >= seq;
            }
        }
    }

    pub async fn run(self: Arc<Self>) {
        if self.poll_interval > 0 {
            return self.poll_in_turn().await;
        }
        loop {
            let t0 = self.runtime.now();
            self.round().await;
            self.runtime
                .sleep(
                    SERVE_ASK
                        .saturating_sub(self.runtime.now() - t0)
                        .max(10 * MS),
                )
                .await;
        }
    }

    async fn round(self: &Arc<Self>) {
        let mut cores = self.members.nodes_of_role(Role::Core);
        // Other fronts are asked only while the core's word is running out.
        let thin =
            self.serving_until.load(SeqCst) < self.runtime.now() + SERVE_LEASE - 2 * SERVE_ASK;
        let fronts: Vec<_> = if self.is_front && thin {
            self.members
                .nodes_of_role(Role::Front)
                .into_iter()
                .filter(|n| n.name != self.name)
                .collect()
        } else {
            vec![]
        };
        // A lease needs the word of some cores only, and a node without one needs but to hear of
        // news: they take turns, one more than needed at a time. All are asked while a lease runs
        // out.
        let n = cores.len();
        let few = if self.is_front {
            n - majority(n).min(n) + 2
        } else {
            1
        };
        if n > 0 && !(self.is_front && thin) {
            cores.rotate_left(self.rounds.fetch_add(1, SeqCst) as usize % n);
            cores.truncate(few);
        }
        let sent = self.runtime.now();
        let fs: Vec<BoxFuture<'static, _>> = cores
            .iter()
            .chain(&fronts)
            .map(|n| {
                let (p, n, a) = (
                    self.members.peers.clone(),
                    n.clone(),
                    PeerRequest::PollDocuments {
                        known: self.documents.versions(),
                        front: self.is_front,
                        leaving_digest: 0,
                    },
                );
                let f: BoxFuture<'static, _> = Box::pin(async move {
                    let r = p.request(n.peer, &a, &[], SERVE_ASK).await;
                    (n, r.ok())
                });
                f
            })
            .collect();
        let (k, rx) = (fs.len(), self.runtime.spawn_all(fs));
        let mut want: BTreeMap<String, u64> = BTreeMap::new();
        let have = self.documents.versions();
        for _ in 0..k {
            let Ok((
                n,
                Some((
                    PeerResponse::DocumentVersions {
                        newest,
                        authoritative: sure,
                        ..
                    },
                    _,
                )),
            )) = rx.recv().await
            else {
                continue;
            };
            let more: Vec<_> = newest
                .iter()
                .filter(|x| have.iter().any(|h| h.0 == x.0 && x.1 > h.1))
                .cloned()
                .collect();
            more.iter().for_each(|(d, s)| {
                let e = want.entry(d.clone()).or_default();
                *e = (*e).max(*s);
            });
            let blocks = more.iter().any(|x| x.0 == "config" || x.0 == "layout");
            if sure && !blocks && self.is_front {
                let id = if n.role == Role::Core {
                    n.disk
                } else {
                    format!("front {}", n.name)
                };
                self.confirmations.lock().unwrap().insert(id, sent);
                self.renew();
            }
        }
        for (d, s) in want {
            let me = self.clone();
            self.runtime.spawn(async move {
                if me.documents.document(&d).version < s {
                    me.fetch(&d, s - 1).await;
                }
            });
        }
    }

    /// The lease runs from the moment the deciding question was sent.
    fn renew(&self) {
        if self.documents.config.load().0 == 0 {
            return;
        }
        let h = self.confirmations.lock().unwrap();
        let l = self.documents.layout.load();
        let nth = |ids: Vec<String>, k: usize| {
            let mut v: Vec<u64> = ids.iter().filter_map(|i| h.get(i).cloned()).collect();
            v.sort_by(|a, b| b.cmp(a));
            if k == 0 { None } else { v.get(k - 1).cloned() }
        };
        let g = &l.1.core.current;
        let by_core = if g.is_empty() {
            None
        } else {
            nth(g.clone(), g.len() - majority(g.len()) + 1)
        };
        if by_core.is_some_and(|t| self.runtime.now() < t + SERVE_LEASE) {
            self.confirmed.store(true, SeqCst);
        }
        let named = &self.documents.config.load().1.fronts;
        let mine = named.contains(&self.name) && self.confirmed.load(SeqCst);
        let others = named
            .iter()
            .filter(|f| **f != self.name)
            .map(|f| format!("front {f}"))
            .collect();
        let by_front = if mine {
            nth(others, majority(named.len()) - 1)
        } else {
            None
        };
        let t = by_core.max(by_front).map(|t| t + SERVE_LEASE).unwrap_or(0);
        self.serving_until.fetch_max(t, SeqCst);
        let now = self.may_serve();
        if self.was_serving.swap(now, SeqCst) != now {
            self.runtime
                .log(if now { "serving" } else { "not serving" });
        }
    }

    /// A newer document came in: what was heard about the old one no longer counts.
    pub fn reset(&self) {
        self.confirmations.lock().unwrap().clear();
    }
}
