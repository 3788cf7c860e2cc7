//! What one core process does for all under the duty lease: it polls the platform's list and keeps
//! the seats.
//!
//! The lease's granter is `lease_granter`, its holder `lease_holder`, and the rules of both are
//! `lease`.

use crate::contact::Contact;
use crate::lease::*;
use crate::lease_granter::{GrantFile, begin_life, with_granter};
use crate::{Control, config, layout, lease_holder, platform_list, quorum_contact};
use event_listener::Event;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross_common::constants::*;
use yewcross_common::documents::cache::DocumentCache;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::lease::*;
use yewcross_common::runtime::*;
use yewcross_common::storage::DurableStorage;

pub const DUTIES: [&str; 2] = ["list", "layout"];

pub const LEASE_TIMES: LeaseTimes = LeaseTimes {
    length: LEASE_LENGTH,
    margin: LEASE_MARGIN,
};

pub struct Duties {
    pub candidate: Candidate,
    pub(crate) granter: Mutex<Granter>,
    pub holder: Mutex<Holder>,
    pub(crate) contact: Mutex<Contact>,
    pub(crate) had_contact: AtomicBool,
    pub(crate) kept: futures_util::lock::Mutex<GrantFile>,
    /// The term whose holder has fenced off all earlier ones.
    pub fenced: AtomicU64,
    /// us. A holder that could not take the documents does not stand again before this.
    pub unfit_until: AtomicU64,
    /// The holder that a core seat told of last, and when that was asked.
    pub(crate) told_holder: Mutex<Option<(Candidate, u64)>>,
    /// This process is about to stop and wants the lease no more.
    pub resigned: AtomicBool,
    /// The lease was taken, lost or released.
    pub changed: Event,
    /// Times that this process took the lease, and lost or gave up one that it held.
    pub taken: AtomicU64,
    pub lost: AtomicU64,
    /// Times that contact with a majority was lost.
    pub(crate) contact_lost: AtomicU64,
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
    pub async fn open(
        runtime: &Runtime,
        storage: &Arc<DurableStorage>,
        documents: &DocumentCache,
        process: u64,
        role: Role,
    ) -> io::Result<Duties> {
        let kept = GrantFile::read(storage).await?;
        let life = if role == Role::Core {
            begin_life(runtime, storage).await?
        } else {
            0
        };
        let fresh = documents.layout.load().0 == 0;
        Ok(Duties {
            candidate: Candidate {
                disk: storage.disk_id.clone(),
                process,
                life,
            },
            granter: Mutex::new(Granter::new(
                LEASE_TIMES,
                runtime.now(),
                kept.grant.clone(),
                fresh,
            )),
            holder: Mutex::new(Holder::new(LEASE_TIMES)),
            contact: Default::default(),
            had_contact: AtomicBool::new(false),
            kept: futures_util::lock::Mutex::new(kept),
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

/// Where the process is that holds the lease, as far as this seat granted it or was told lately;
/// none if it is this one.
pub fn holder_address(c: &Control) -> Option<SocketAddr> {
    let granted = with_granter(c, |granter, now| granter.holder(now).cloned());
    let told = || {
        c.duties
            .told_holder
            .lock()
            .unwrap()
            .clone()
            .filter(|(_, at)| c.runtime.now() < at + LEASE_LENGTH)
            .map(|told| told.0)
    };
    let holder = granted.or_else(told)?;
    let is_other = holder.disk != c.storage.disk_id;
    is_other
        .then(|| c.members.by_disk(&holder.disk).map(|node| node.peer))
        .flatten()
}

impl Control {
    /// The term of the lease that this process holds at this moment and under which it may act.
    /// Asked right before every act, so that a process that woke from a freeze does not act on an
    /// old lease.
    pub fn duty_term(&self) -> Option<u64> {
        let founded = self.founded.load(SeqCst);
        self.lease_term()
            .filter(|term| founded && self.duties.fenced.load(SeqCst) == *term)
    }

    /// The term of the lease that this process holds, whether or not it has taken the documents
    /// yet. It may propose.
    pub fn lease_term(&self) -> Option<u64> {
        let ready = !self.members.replaced.is_set() && !self.storage.failed.load(SeqCst);
        self.duties
            .holder
            .lock()
            .unwrap()
            .held(self.runtime.now())
            .filter(|_| ready)
    }

    /// Both duties lie with the holder of the one lease.
    pub fn on_duty(&self) -> bool {
        self.duty_term().is_some()
    }

    /// Whether what was planned under `term` may still be written over a document that was written
    /// under `written`.
    pub fn may_write(&self, term: u64, written: u64) -> bool {
        written <= term && self.duty_term() == Some(term)
    }
}

/// Keeps the seats: wakes when a machine comes, goes or returns, and when a change is under way.
async fn keep_seats(control: Arc<Control>) {
    let mut was = false;
    loop {
        let (adopted, members, lease) = (
            control.documents.changed.listen(),
            control.members.changed.listen(),
            control.duties.changed.listen(),
        );
        let now = control.on_duty();
        if was != now {
            was = now;
            control
                .runtime
                .log(if now { "on duty" } else { "off duty" });
        }
        let rest = if now {
            layout::maintain_replicas(&control).await
        } else {
            SEC
        };
        if rest > 0 {
            let any = futures_lite::future::or(lease, futures_lite::future::or(adopted, members));
            control.runtime.timeout(rest, any).await;
        }
    }
}

async fn keep_list(control: Arc<Control>) {
    loop {
        let lease = control.duties.changed.listen();
        // The list is read as soon as the lease is held: that a server leaves is told before
        // anything can be decided.
        if control.lease_term().is_some() {
            let rest = platform_list::poll(&control).await;
            control.runtime.sleep(rest).await;
        } else {
            control.runtime.timeout(SEC, lease).await;
        }
    }
}

async fn tend_layout(control: Arc<Control>) {
    loop {
        if control.on_duty() {
            layout::maintain_manual_layout(&control).await;
        }
        control.runtime.sleep(500 * MS).await;
    }
}

pub async fn run(control: Arc<Control>) {
    control
        .runtime
        .spawn(quorum_contact::keep_contact(control.clone()));
    control.runtime.spawn(lease_holder::run(control.clone()));
    control.runtime.spawn(keep_list(control.clone()));
    if control.options.tends {
        control
            .runtime
            .spawn(config::fetch_late_documents(control.clone()));
        control
            .runtime
            .spawn(layout::bootstrap_automatically(control.clone()));
        control.runtime.spawn(keep_seats(control.clone()));
    } else {
        control.founded.store(true, SeqCst);
        control.runtime.spawn(tend_layout(control.clone()));
    }
}

/// The machine and process that hold the lease, as far as this seat knows.
pub fn holder_name(control: &Control) -> Option<String> {
    let holder = with_granter(control, |granter, now| granter.holder(now).cloned())?;
    let l = control.documents.layout.load();
    let name =
        l.1.names
            .get(&holder.disk)
            .cloned()
            .unwrap_or(holder.disk.clone());
    Some(format!("{name}#{:x}", holder.process))
}

/// The lease and contact as an operator sees them.
pub fn status(control: &Control) -> Value {
    let (term, free_in) = with_granter(control, |granter, now| {
        (granter.term(), granter.free_at().saturating_sub(now) / MS)
    });
    json!({"holder": holder_name(control), "term": term, "free_in_ms": free_in, "held_here": control.duty_term(),
        "contact": control.has_quorum_contact()})
}

pub fn counters(control: &Control) -> Value {
    let d = &control.duties;
    json!({"taken": d.taken.load(SeqCst), "lost": d.lost.load(SeqCst), "contact_lost": d.contact_lost.load(SeqCst)})
}
