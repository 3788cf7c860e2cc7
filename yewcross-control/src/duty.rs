//! What one core process does for all under the duty lease: it polls the platform's list and keeps the seats.
//!
//! This module is the granter's side of the lease, contact with a majority of core seats, and what the duties run. The
//! holder's side is `lease_holder`; the rules of both are `lease`.

use crate::contact::Contact;
use crate::lease::*;
use crate::{Control, config, layout, lease_holder, platform_list};
use event_listener::Event;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross::ask::*;
use yewcross::book::{Book, DOCS};
use yewcross::consts::*;
use yewcross::lease::*;
use yewcross::startup::Role;
use yewcross::vault::Vault;
use yewcross::world::*;

pub const DUTIES: [&str; 2] = ["list", "layout"];

pub const LEASE_TIMES: LeaseTimes = LeaseTimes { length: LEASE_LENGTH, margin: LEASE_MARGIN };

/// Name of the file that keeps the highest term granted.
const TERM_FILE: &str = "lease";

/// Name of the file that counts the processes that have started on the disk.
const LIFE_FILE: &str = "life";

/// The last grant on this disk, and the version of the file that says so.
struct GrantFile {
    version: u64,
    grant: KeptGrant,
}

/// Counts this process among those that have started on the disk; 0 where the disk cannot say or keep it.
async fn begin_life(w: &World, vault: &Vault) -> io::Result<u64> {
    let before = vault.load("local", LIFE_FILE).await?.map_or(0, |kept| kept.0);
    let life = before + 1;
    let kept = w.within(SYNC_WAIT, vault.keep("local", LIFE_FILE, life, &life.to_le_bytes())).await;
    Ok(if matches!(kept, Some(Ok(()))) { life } else { 0 })
}

/// Programs before the holder was kept wrote the term alone.
fn read_grant(body: &[u8]) -> KeptGrant {
    let term_alone = || <[u8; 8]>::try_from(body).map(u64::from_le_bytes).unwrap_or(0);
    serde_json::from_slice(body).unwrap_or_else(|_| KeptGrant { term: term_alone(), ..KeptGrant::default() })
}

pub struct Duties {
    pub candidate: Candidate,
    granter: Mutex<Granter>,
    pub holder: Mutex<Holder>,
    contact: Mutex<Contact>,
    had_contact: AtomicBool,
    kept: futures_util::lock::Mutex<GrantFile>,
    /// The term whose holder has fenced off all earlier ones.
    pub fenced: AtomicU64,
    /// us. A holder that could not take the documents does not stand again before this.
    pub unfit_until: AtomicU64,
    /// The holder that a core seat told of last, and when that was asked.
    told_holder: Mutex<Option<(Candidate, u64)>>,
    /// This process is about to stop and wants the lease no more.
    pub resigned: AtomicBool,
    /// The lease was taken, lost or released.
    pub changed: Event,
    /// Times that this process took the lease, and lost or gave up one that it held.
    pub taken: AtomicU64,
    pub lost: AtomicU64,
    /// Times that contact with a majority was lost.
    contact_lost: AtomicU64,
    /// Since when the machine of a seat is missing, us, as the keeper of the seats saw it.
    pub missing: Mutex<BTreeMap<String, u64>>,
    /// Since when the tier is founded, us.
    pub since: AtomicU64,
    pub polls: AtomicU64,
    /// Polls refused in a row.
    pub refused: AtomicU64,
    pub etag: Mutex<String>,
}

impl Duties {
    /// Reads the last grant that this disk has given.
    pub async fn open(w: &World, vault: &Vault, book: &Book, process: u64, role: Role) -> io::Result<Duties> {
        let kept = vault.load("local", TERM_FILE).await?;
        let grant = kept.as_ref().map(|(_, body)| read_grant(body)).unwrap_or_default();
        let version = kept.map_or(0, |x| x.0);
        let life = if role == Role::Core { begin_life(w, vault).await? } else { 0 };
        let fresh = book.layout.load().0 == 0;
        Ok(Duties {
            candidate: Candidate { disk: vault.id.clone(), process, life },
            granter: Mutex::new(Granter::new(LEASE_TIMES, w.now(), grant.clone(), fresh)),
            holder: Mutex::new(Holder::new(LEASE_TIMES)),
            contact: Default::default(),
            had_contact: AtomicBool::new(false),
            kept: futures_util::lock::Mutex::new(GrantFile { version, grant }),
            fenced: AtomicU64::new(0),
            unfit_until: AtomicU64::new(0),
            told_holder: Mutex::default(),
            resigned: AtomicBool::new(false),
            changed: Event::new(),
            taken: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            contact_lost: AtomicU64::new(0),
            missing: Default::default(),
            since: AtomicU64::new(0),
            polls: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            etag: Default::default(),
        })
    }
}

/// Runs `f` on this seat's granter, which first hears of the core seats as they are known now.
pub fn with_granter<T>(c: &Control, f: impl FnOnce(&mut Granter, u64) -> T) -> T {
    let l = c.book.layout.load();
    let mut granter = c.duties.granter.lock().unwrap();
    let now = c.w.now();
    granter.see_seats(now, seats_digest(&l.1), l.1.term, l.0 == 1);
    f(&mut granter, now)
}

/// Answers for this disk, which alone gives its grants.
pub async fn answer(c: &Control, ask: &LeaseAsk) -> LeaseTell {
    let verdict = if ask.granter == c.vault.id { decide(c, ask).await } else { Verdict::Refused(Refusal::OtherDisk) };
    if verdict == Verdict::Released {
        c.duties.changed.notify(usize::MAX);
    }
    let (term, holder) = with_granter(c, |granter, now| (granter.term(), granter.holder(now).cloned()));
    let holder = holder.filter(|_| ask.wants_holder);
    LeaseTell { granter: c.vault.id.clone(), term, verdict, versions: versions(c).await, holder }
}

async fn decide(c: &Control, ask: &LeaseAsk) -> Verdict {
    if c.vault.failed.load(SeqCst) {
        return Verdict::Refused(Refusal::DiskFailed);
    }
    if !has_seat(&c.book.layout.load().1, &c.vault.id) {
        return Verdict::Refused(Refusal::OtherSeats);
    }
    let (is_freed, verdict, to_keep) = with_granter(c, |granter, now| {
        let is_freed = granter.meet(&ask.candidate);
        let verdict = granter.answer(now, &ask.candidate, ask.seats, ask.call);
        (is_freed, verdict, granter.to_keep())
    });
    if is_freed {
        c.duties.changed.notify(usize::MAX);
    }
    if verdict == Verdict::Granted && !keep_grant(c, &to_keep).await {
        return Verdict::Refused(Refusal::DiskFailed);
    }
    verdict
}

/// Returns once the grant is on disk. Its extensions change nothing there, until they count in other seats.
async fn keep_grant(c: &Control, grant: &KeptGrant) -> bool {
    let mut kept = c.duties.kept.lock().await;
    if kept.grant == *grant || kept.grant.term > grant.term {
        return true;
    }
    let version = kept.version + 1;
    let body = serde_json::to_vec(grant).unwrap_or_default();
    if c.vault.keep("local", TERM_FILE, version, &body).await.is_err() {
        return false;
    }
    *kept = GrantFile { version, grant: grant.clone() };
    true
}

pub fn has_seat(l: &Layout, disk: &str) -> bool {
    l.core.now.iter().chain(&l.core.old).any(|d| d == disk)
}

async fn versions(c: &Control) -> Vec<(String, u64)> {
    let mut v = vec![];
    for document in DOCS {
        let on_disk = c.replica.peek(document).await.map_or(0, |slot| slot.seq);
        v.push((document.to_string(), on_disk.max(c.book.page(document).seq)));
    }
    v
}

/// Puts one question to one seat. Its answer counts as contact.
pub async fn ask_seat(c: &Arc<Control>, disk: &str, call: LeaseCall) -> Option<LeaseTell> {
    let seats = seats_digest(&c.book.layout.load().1);
    let wants_holder = with_granter(c, |granter, now| granter.holder(now).is_none());
    let ask = LeaseAsk { granter: disk.into(), candidate: c.duties.candidate.clone(), seats, call, wants_holder };
    let sent = c.w.now();
    let tell = if disk == c.vault.id {
        answer(c, &ask).await
    } else {
        let peer = c.members.by_disk(disk)?.peer;
        match c.peers.ask(peer, &Ask::Lease(ask), &[], LEASE_WAIT).await {
            Ok((Tell::Lease(tell), _)) => tell,
            _ => return None,
        }
    };
    let speaks_for_disk = tell.granter == disk && !matches!(tell.verdict, Verdict::Refused(Refusal::OtherDisk | Refusal::DiskFailed));
    if !speaks_for_disk {
        return None;
    }
    c.duties.contact.lock().unwrap().heard(disk, sent, &tell.versions);
    if let Some(holder) = &tell.holder {
        *c.duties.told_holder.lock().unwrap() = Some((holder.clone(), sent));
    }
    Some(tell)
}

/// Where the process is that holds the lease, as far as this seat granted it or was told lately; none if it is this one.
pub fn holder_address(c: &Control) -> Option<SocketAddr> {
    let granted = with_granter(c, |granter, now| granter.holder(now).cloned());
    let told = || c.duties.told_holder.lock().unwrap().clone().filter(|(_, at)| c.w.now() < at + LEASE_LENGTH).map(|told| told.0);
    let holder = granted.or_else(told)?;
    let is_other = holder.disk != c.vault.id;
    is_other.then(|| c.members.by_disk(&holder.disk).map(|node| node.peer)).flatten()
}

/// Puts one question to several seats at once.
pub fn ask_seats(c: &Arc<Control>, disks: Vec<String>, call: LeaseCall) -> async_channel::Receiver<Option<LeaseTell>> {
    let questions = disks
        .into_iter()
        .map(|disk| {
            let me = c.clone();
            let question: Fut<'static, _> = Box::pin(async move { ask_seat(&me, &disk, call).await });
            question
        })
        .collect();
    c.w.fan(questions)
}

/// All core seats, new and old.
pub fn all_seats(g: &Group) -> Vec<String> {
    let mut v = g.now.clone();
    v.extend(g.old.iter().filter(|d| !g.now.contains(d)).cloned());
    v
}

/// us. A core that has not heard a majority of core seats for this long gives no news and takes no orders: half of the time
/// in which a configuration is to be in force everywhere, so that whoever follows still has the other half.
pub fn contact_bound(apply_ms: u64) -> u64 {
    (apply_ms * MS / 2).max(200 * MS)
}

impl Control {
    /// The term of the lease that this process holds at this moment and under which it may act. Asked right before every
    /// act, so that a process that woke from a freeze does not act on an old lease.
    pub fn duty_term(&self) -> Option<u64> {
        let founded = self.founded.load(SeqCst);
        self.lease_term().filter(|term| founded && self.duties.fenced.load(SeqCst) == *term)
    }

    /// The term of the lease that this process holds, whether or not it has taken the documents yet. It may propose.
    pub fn lease_term(&self) -> Option<u64> {
        let ready = !self.members.replaced.is_set() && !self.vault.failed.load(SeqCst);
        self.duties.holder.lock().unwrap().held(self.w.now()).filter(|_| ready)
    }

    /// Both duties lie with the holder of the one lease.
    pub fn on_duty(&self, _duty: usize) -> bool {
        self.duty_term().is_some()
    }

    /// Whether what was planned under `term` may still be written over a document that was written under `written`.
    pub fn may_write(&self, term: u64, written: u64) -> bool {
        written <= term && self.duty_term() == Some(term)
    }

    /// Whether a majority of the core seats answered this process lately; of both sets while core seats change. Whatever
    /// was decided before the bound is then known here at least by number.
    pub fn has_quorum_contact(&self) -> bool {
        let since = self.duties.contact.lock().unwrap().since(&self.book.layout.load().1.core);
        since > 0 && self.w.now() < since + contact_bound(self.st.bounds.apply)
    }

    /// The newest version of a document that any core seat was heard to hold.
    pub fn version_heard(&self, document: &str) -> u64 {
        self.duties.contact.lock().unwrap().version(document)
    }
}

/// Whether a majority of the core seats answers this process; asked anew where it didn't lately. Takes `QUORUM_WAIT` at most.
pub async fn reach_quorum(c: &Arc<Control>) -> bool {
    if c.has_quorum_contact() {
        return true;
    }
    let seats = all_seats(&c.book.layout.load().1.core);
    let (asked, answers) = (seats.len(), ask_seats(c, seats, LeaseCall::Look));
    let met = async {
        for _ in 0..asked {
            if answers.recv().await.is_err() || c.has_quorum_contact() {
                return;
            }
        }
    };
    c.w.within(QUORUM_WAIT, met).await;
    c.has_quorum_contact()
}

/// Asks a majority of the core seats, in turns, three times in the bound; all seats once a round left it short, since with as
/// many missing as are tolerated the turns alone would leave it short again and again.
async fn keep_contact(c: Arc<Control>) {
    let every = contact_bound(c.st.bounds.apply) / 3;
    let mut turn = c.w.rand() as usize % 64;
    loop {
        let layout = c.book.layout.load_full();
        let others: Vec<String> = all_seats(&layout.1.core).into_iter().filter(|d| *d != c.vault.id).collect();
        c.duties.contact.lock().unwrap().retain(&layout.1.core);
        let heard_at = c.duties.contact.lock().unwrap().since(&layout.1.core);
        let last_round_was_enough = c.w.now() < heard_at + every * 3 / 2;
        let asked = seats_in_turn(&layout.1.core, others, &c.vault.id, turn, last_round_was_enough);
        turn += 1;
        if has_seat(&layout.1, &c.vault.id) {
            ask_seat(&c, &c.vault.id, LeaseCall::Look).await;
        }
        // The holder's renewals are its heartbeat.
        if c.lease_term().is_none() {
            ask_seats(&c, asked, LeaseCall::Look);
        }
        let rest = if c.has_quorum_contact() { every } else { every / 2 };
        let moved = c.book.moved.listen();
        match layout.0 {
            0 => futures_lite::future::or(moved, c.w.sleep(every)).await,
            _ => c.w.sleep(rest).await,
        }
        note_contact(&c);
    }
}

/// As many as a majority needs, in turns; all where the last round was not enough, or while core seats change.
fn seats_in_turn(g: &Group, mut others: Vec<String>, own: &str, turn: usize, last_round_was_enough: bool) -> Vec<String> {
    if others.is_empty() || !last_round_was_enough || !g.old.is_empty() {
        return others;
    }
    let needed = yewcross::register::majority(g.now.len()) - g.now.iter().any(|d| d == own) as usize;
    let n = others.len();
    others.rotate_left(turn % n);
    others.truncate(needed);
    others
}

fn note_contact(c: &Control) {
    let now = c.has_quorum_contact();
    if c.duties.had_contact.swap(now, SeqCst) == now {
        return;
    }
    if !now {
        c.duties.contact_lost.fetch_add(1, SeqCst);
    }
    c.w.log(if now { "contact with a majority of core seats" } else { "no contact with a majority of core seats" });
}

/// Keeps the seats: wakes when a machine comes, goes or returns, and when a change is under way.
async fn keep_seats(c: Arc<Control>) {
    let mut was = false;
    loop {
        let (adopted, members, lease) = (c.book.moved.listen(), c.members.moved.listen(), c.duties.changed.listen());
        let now = c.on_duty(1);
        if was != now {
            was = now;
            c.w.log(if now { "on duty" } else { "off duty" });
        }
        let rest = if now { layout::tend_seats(&c).await } else { SEC };
        if rest > 0 {
            let any = futures_lite::future::or(lease, futures_lite::future::or(adopted, members));
            c.w.within(rest, any).await;
        }
    }
}

async fn keep_list(c: Arc<Control>) {
    loop {
        let lease = c.duties.changed.listen();
        // The list is read as soon as the lease is held: that a server leaves is told before anything can be decided.
        if c.lease_term().is_some() {
            let rest = platform_list::poll(&c).await;
            c.w.sleep(rest).await;
        } else {
            c.w.within(SEC, lease).await;
        }
    }
}

async fn tend_layout(c: Arc<Control>) {
    loop {
        if c.on_duty(1) {
            layout::tend_layout(&c).await;
        }
        c.w.sleep(500 * MS).await;
    }
}

pub async fn run(c: Arc<Control>) {
    c.w.go(keep_contact(c.clone()));
    c.w.go(lease_holder::run(c.clone()));
    c.w.go(keep_list(c.clone()));
    if c.options.tends {
        c.w.go(config::find_late_documents(c.clone()));
        c.w.go(layout::found_self(c.clone()));
        c.w.go(keep_seats(c.clone()));
    } else {
        c.founded.store(true, SeqCst);
        c.w.go(tend_layout(c.clone()));
    }
}

/// The machine and process that hold the lease, as far as this seat knows.
pub fn holder_name(c: &Control) -> Option<String> {
    let holder = with_granter(c, |granter, now| granter.holder(now).cloned())?;
    let l = c.book.layout.load();
    let name = l.1.names.get(&holder.disk).cloned().unwrap_or(holder.disk.clone());
    Some(format!("{name}#{:x}", holder.process))
}

/// The lease and contact as an operator sees them.
pub fn status(c: &Control) -> Value {
    let (term, free_in) = with_granter(c, |granter, now| (granter.term(), granter.free_at().saturating_sub(now) / MS));
    json!({"holder": holder_name(c), "term": term, "free_in_ms": free_in, "held_here": c.duty_term(),
        "contact": c.has_quorum_contact()})
}

pub fn counters(c: &Control) -> Value {
    let d = &c.duties;
    json!({"taken": d.taken.load(SeqCst), "lost": d.lost.load(SeqCst), "contact_lost": d.contact_lost.load(SeqCst)})
}
