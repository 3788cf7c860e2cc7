//! What one node does for all, under a lease that a majority of the core granted.

use crate::{Control, config, layout};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross::ask::*;
use yewcross::consts::*;
use yewcross::http;
use yewcross::member::State;
use yewcross::port::Catalogue;
use yewcross::reg::*;
use yewcross::web;
use yewcross::world::*;

pub const DUTIES: [&str; 2] = ["list", "layout"];

#[derive(Default)]
pub struct Duties {
    /// As granter: who holds what until when, on our clock.
    given: Mutex<BTreeMap<String, (String, u64)>>,
    /// As holder: until when, on our clock.
    held: [AtomicU64; 2],
    /// Since when the machine of a seat is missing, us, as the keeper of the seats saw it.
    pub missing: Mutex<BTreeMap<String, u64>>,
    /// Since when the tier is founded, us.
    pub since: AtomicU64,
    pub polls: AtomicU64,
    /// Polls refused in a row.
    refused: AtomicU64,
    etag: Mutex<String>,
}

impl Duties {
    pub fn given(&self) -> BTreeMap<String, (String, u64)> {
        self.given.lock().unwrap().clone()
    }
}

/// Nothing is granted in the first lease length after a start: an earlier life may have granted it.
pub fn grant(c: &Control, name: &str, holder: &str) -> Tell {
    let t = c.w.now();
    if t < c.started + DUTY_LEASE || !c.book.layout.load().1.core.now.contains(&c.vault.id) {
        return Tell::Duty { granted: false };
    }
    let mut g = c.duties.given.lock().unwrap();
    let free = g.get(name).is_none_or(|(h, u)| h == holder || t > *u);
    if free {
        g.insert(name.into(), (holder.into(), t + DUTY_LEASE));
    }
    Tell::Duty { granted: free }
}

async fn renew(c: &Arc<Control>, i: usize) {
    let l = c.book.layout.load_full();
    if l.0 == 0 || !l.1.core.now.contains(&c.vault.id) {
        return;
    }
    let holder = format!("{}#{:x}", c.st.name, c.owner.me);
    let sent = c.w.now();
    let fs: Vec<Fut<'static, _>> =
        l.1.core
            .now
            .iter()
            .filter_map(|d| c.members.by_disk(d).map(|n| (d.clone(), n)))
            .map(|(d, n)| {
                let (me, h) = (c.clone(), holder.clone());
                let f: Fut<'static, _> = Box::pin(async move {
                    let a = Ask::Duty { name: DUTIES[i].into(), holder: h.clone() };
                    let r = if d == me.vault.id {
                        grant(&me, DUTIES[i], &h)
                    } else {
                        me.peers.ask(n.peer, &a, &[], DUTY_RENEW / 2).await.map(|x| x.0).unwrap_or(Tell::Ok)
                    };
                    matches!(r, Tell::Duty { granted: true })
                });
                f
            })
            .collect();
    let (k, rx) = (fs.len(), c.w.fan(fs));
    let mut yes = 0;
    for _ in 0..k {
        yes += (rx.recv().await == Ok(true)) as usize;
    }
    if yes >= majority(l.1.core.now.len()) {
        let was = c.duties.held[i].swap(sent + DUTY_LEASE - DUTY_MARGIN, SeqCst);
        if was < sent {
            c.w.log(&format!("duty {} taken", DUTIES[i]));
        }
    }
}

impl Control {
    /// Asked right before every act, so that a node that woke from a freeze does not act on an old lease.
    pub fn on_duty(&self, i: usize) -> bool {
        if self.options.tends {
            return self.first_in_line();
        }
        self.w.now() < self.duties.held[i].load(SeqCst)
    }

    /// A tier that keeps itself needs no lease: whatever a duty decides is bound to the version it was made from, so two
    /// who think it theirs cost time only. It falls to the first core seat that answers, on the side that has most.
    fn first_in_line(&self) -> bool {
        let l = self.book.layout.load();
        let view = self.members.view.load();
        let up = |d: &str| view.values().any(|n| n.disk == d && n.state == State::Alive);
        let seats = l.1.core.now.iter().map(|s| s.as_str());
        let n = seats.clone().filter(|d| up(d)).count();
        let first = yewcross::hash::ranked("duty", seats).into_iter().find(|d| up(d));
        self.founded.load(SeqCst) && n >= majority(l.1.core.now.len()) && first == Some(self.vault.id.as_str())
    }
}

/// Keeps the seats: wakes when a machine comes, goes or returns, and when a change is under way.
async fn keep_seats(c: Arc<Control>) {
    let mut was = false;
    loop {
        let (l, m) = (c.book.moved.listen(), c.members.moved.listen());
        let now = c.on_duty(1);
        if was != now {
            was = now;
            c.w.log(if now { "on duty" } else { "off duty" });
        }
        let rest = if now { layout::tend_seats(&c).await } else { SEC };
        if rest > 0 {
            c.w.within(rest, futures_lite::future::or(l, m)).await;
        }
    }
}

pub async fn run(c: Arc<Control>) {
    if c.options.tends {
        c.w.go(layout::found_self(c.clone()));
        c.w.go(keep_seats(c.clone()));
        loop {
            let (l, m) = (c.book.moved.listen(), c.members.moved.listen());
            if c.on_duty(0) {
                let rest = poll_list(&c).await;
                c.w.sleep(rest).await;
            } else {
                futures_lite::future::or(l, m).await;
            }
        }
    }
    c.founded.store(true, SeqCst);
    for (i, duty) in DUTIES.into_iter().enumerate() {
        let me = c.clone();
        c.w.go(async move {
            me.w.sleep(me.w.rand() % DUTY_RENEW).await;
            loop {
                if me.members.replaced.is_set() {
                    return;
                }
                // Others' turns come first to whoever ranks first, so that one of them gets a majority.
                let all = me.members.alive(yewcross::startup::Role::Core);
                let rank = yewcross::hash::ranked(duty, all.iter().map(|n| n.name.as_str())).iter().position(|n| *n == me.st.name);
                let held = me.on_duty(i);
                if held || rank == Some(0) || me.w.rand().is_multiple_of(4) {
                    renew(&me, i).await;
                }
                me.w.sleep(DUTY_RENEW + me.w.rand() % (100 * MS)).await;
            }
        });
    }
    let me = c.clone();
    c.w.go(async move {
        loop {
            let rest = if me.on_duty(0) { poll_list(&me).await } else { LIST_EVERY };
            me.w.sleep(rest).await;
        }
    });
    loop {
        if c.on_duty(1) {
            layout::tend_layout(&c).await;
        }
        c.w.sleep(500 * MS).await;
    }
}

/// Asks the platform, in its own time, and decides a list that differs. Returns how long to wait.
async fn poll_list(c: &Arc<Control>) -> u64 {
    let Some(to) = *c.platform.lock().unwrap() else { return SEC };
    if let Some(k) = c.options.catalogue.clone() {
        return poll_catalogue(c, to, &*k).await;
    }
    c.duties.polls.fetch_add(1, SeqCst);
    let tag = c.duties.etag.lock().unwrap().clone();
    let heads: Vec<(&str, String)> = if tag.is_empty() { vec![] } else { vec![("if-none-match", tag)] };
    let Ok((status, r, b)) = http::fetch(&c.w, to, http_types::Method::Get, "/servers", &heads, vec![], BACK_WAIT).await else {
        return LIST_EVERY;
    };
    let patience = r.header("retry-after").and_then(|v| v.as_str().parse::<u64>().ok()).map(|s| s.saturating_mul(SEC).min(LIST_PATIENCE));
    if status != 200 {
        return patience.unwrap_or(LIST_EVERY);
    }
    let Ok(list) = serde_json::from_slice::<List>(&b) else { return LIST_EVERY };
    if !c.on_duty(0) {
        return LIST_EVERY;
    }
    let got = c
        .owner
        .change("list", PEER_WAIT, |seq, v| {
            let old: List = serde_json::from_slice(v).unwrap_or_default();
            if old.rev >= list.rev && seq > 0 { Step::Keep(()) } else { Step::Write(serde_json::to_vec(&list).unwrap_or_default(), ()) }
        })
        .await;
    if got.is_ok()
        && let Ok((seq, epoch, raw)) = c.owner.read("list", PEER_WAIT).await
    {
        if seq > c.book.page("list").seq {
            config::carry(c, "list", seq, epoch, &raw).await;
        }
        *c.duties.etag.lock().unwrap() = r.header("etag").map(|v| v.as_str().to_string()).unwrap_or_default();
    }
    patience.unwrap_or(LIST_EVERY)
}

/// The same in a catalogue's own words, page by page; the tier numbers the lists. A list read after version `at` was known
/// replaces that one only: one that waited somewhere replaces nothing.
async fn poll_catalogue(c: &Arc<Control>, to: SocketAddr, k: &dyn Catalogue) -> u64 {
    let at = c.book.page("list").seq;
    let (mut servers, mut page) = (vec![], None);
    for _ in 0..LIST_PAGES {
        c.duties.polls.fetch_add(1, SeqCst);
        let mut q = hyper::Request::new(Default::default());
        let Ok(uri) = k.target(page.as_deref()).parse() else { return PAGES_EVERY };
        *q.uri_mut() = uri;
        let Ok(r) = web::fetch(&c.w, to, q, FRAME_MAX, PAGE_WAIT).await else { return PAGES_EVERY };
        if r.status() != 200 {
            let told = r.headers().get("retry-after").and_then(|v| v.to_str().ok()?.parse::<f64>().ok()).map(|s| (s.max(0.0) * 1e6) as u64);
            let n = c.duties.refused.fetch_add(1, SeqCst).min(3);
            return told.unwrap_or(PAGES_EVERY << n).min(PAGES_BACK_OFF);
        }
        let Ok((mut v, next)) = k.read(r.body()) else { return PAGES_EVERY };
        servers.append(&mut v);
        page = next;
        if page.is_none() {
            break;
        }
    }
    c.duties.refused.store(0, SeqCst);
    servers.sort_by(|a, b| a.server.cmp(&b.server));
    servers.dedup_by(|a, b| a.server == b.server);
    if page.is_some() || !c.on_duty(0) || (at > 0 && c.book.list.load().1.servers == servers) {
        return PAGES_EVERY;
    }
    let got = c
        .owner
        .change("list", PEER_WAIT, |seq, v| {
            let old: List = serde_json::from_slice(v).unwrap_or_default();
            if seq > at || old.servers == servers {
                return Step::Keep((seq, v.to_vec()));
            }
            let raw = lines(&List { rev: old.rev + 1, servers: servers.clone() });
            Step::Write(raw.clone(), (seq + 1, raw))
        })
        .await;
    if let Ok((seq, raw)) = got
        && seq > c.book.page("list").seq
    {
        config::push(c, "list", seq, raw);
    }
    PAGES_EVERY
}

/// A server a line, so that a change travels as the lines that changed.
fn lines(l: &List) -> Vec<u8> {
    let v: Vec<String> = l.servers.iter().map(|s| serde_json::to_string(s).unwrap_or_default()).collect();
    format!("{{\"rev\":{},\"servers\":[\n{}\n]}}", l.rev, v.join(",\n")).into_bytes()
}
