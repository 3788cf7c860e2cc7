//! Tasks of which one process in the tier runs each: the holder of the lease polls the platform's
//! server list and maintains the replica assignment.
//!
//! The state of the lease is kept here too. Its rules are in [`crate::lease`], its granter is
//! `lease_granter` and its holder `lease_holder`.

use crate::contact::Contact;
use crate::lease::{Granter, Holder, LeaseTimes};
use crate::lease_granter::{GrantFile, begin_incarnation, with_granter};
use crate::{Control, config, layout, lease_holder, platform_list, quorum_contact};
use event_listener::Event;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross_common::constants::{LEASE_LENGTH, LEASE_MARGIN, MS, SEC};
use yewcross_common::documents::cache::DocumentCache;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::lease::Candidate;
use yewcross_common::runtime::Runtime;
use yewcross_common::storage::DurableStorage;

/// Names of the tasks, as operators see them.
pub const SINGLETON_TASKS: [&str; 2] = ["list", "layout"];

/// Length and margin of the lease.
pub const LEASE_TIMES: LeaseTimes = LeaseTimes {
    length: LEASE_LENGTH,
    margin: LEASE_MARGIN,
};

/// us. How often a layout that is maintained manually is looked at.
const MANUAL_LAYOUT_CHECK: u64 = 500 * MS;

/// The lease as this process takes part in it, and what its singleton tasks remember.
pub struct SingletonTasks {
    /// This process as a candidate for the lease.
    pub(crate) candidate: Candidate,
    /// The granter of this disk.
    pub(crate) granter: Mutex<Granter>,
    /// What this process holds or asks for.
    pub(crate) holder: Mutex<Holder>,
    /// When voters answered this process.
    pub(crate) contact: Mutex<Contact>,
    /// Whether there was contact with a quorum at the last look.
    pub(crate) had_contact: AtomicBool,
    /// The granter's last grant on disk.
    pub(crate) grant_file: futures_util::lock::Mutex<GrantFile>,
    /// The term under which this process has fenced off all earlier holders.
    pub(crate) fenced_term: AtomicU64,
    /// us. A holder that could not take the documents does not compete again before this.
    pub(crate) unfit_until: AtomicU64,
    /// The holder that a voter reported last, and when that voter was asked.
    pub(crate) reported_holder: Mutex<Option<(Candidate, u64)>>,
    /// This process is about to stop and does not compete any more.
    pub(crate) resigned: AtomicBool,
    /// Notified when the lease was taken, lost or released.
    pub(crate) lease_changed: Event,
    /// How often this process took the lease.
    pub acquired: AtomicU64,
    /// How often it lost or gave up a lease that it held.
    pub(crate) lost: AtomicU64,
    /// How often contact with a quorum was lost.
    pub(crate) contact_lost: AtomicU64,
    /// By disk, since when the machine of a replica is missing, in us.
    pub(crate) missing: Mutex<BTreeMap<String, u64>>,
    /// us. When this process learned that the tier is bootstrapped.
    pub(crate) bootstrapped_at: AtomicU64,
    /// Polls of the platform's list.
    pub(crate) polls: AtomicU64,
    /// Polls rejected in a row.
    pub(crate) refused: AtomicU64,
    /// Entity tag of the list polled last.
    pub(crate) etag: Mutex<String>,
}

impl SingletonTasks {
    /// Reads the last grant that this disk has given, and counts this process on it.
    pub async fn open(
        runtime: &Runtime,
        storage: &Arc<DurableStorage>,
        documents: &DocumentCache,
        process: u64,
        role: Role,
    ) -> io::Result<SingletonTasks> {
        let grant_file = GrantFile::read(storage).await?;
        let incarnation = if role == Role::Core {
            begin_incarnation(runtime, storage).await?
        } else {
            0
        };
        let is_fresh = documents.layout.load().0 == 0;
        let last_grant = grant_file.grant.clone();
        let granter = Granter::new(LEASE_TIMES, runtime.now(), last_grant, is_fresh);
        Ok(SingletonTasks {
            candidate: Candidate {
                disk: storage.disk_id.clone(),
                process,
                incarnation,
            },
            granter: Mutex::new(granter),
            holder: Mutex::new(Holder::new(LEASE_TIMES)),
            contact: Mutex::default(),
            had_contact: AtomicBool::new(false),
            grant_file: futures_util::lock::Mutex::new(grant_file),
            fenced_term: AtomicU64::new(0),
            unfit_until: AtomicU64::new(0),
            reported_holder: Mutex::default(),
            resigned: AtomicBool::new(false),
            lease_changed: Event::new(),
            acquired: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            contact_lost: AtomicU64::new(0),
            missing: Mutex::default(),
            bootstrapped_at: AtomicU64::new(0),
            polls: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            etag: Mutex::default(),
        })
    }
}

/// Address of the process that holds the lease, as far as this disk granted it or a voter reported
/// it lately; `None` if it is this process.
pub fn holder_address(control: &Control) -> Option<SocketAddr> {
    let granted = with_granter(control, |granter, now| granter.holder(now).cloned());
    let holder = granted.or_else(|| lately_reported_holder(control))?;
    if holder.disk == control.storage.disk_id {
        return None;
    }
    control
        .members
        .node_with_disk(&holder.disk)
        .map(|node| node.peer)
}

fn lately_reported_holder(control: &Control) -> Option<Candidate> {
    let reported = control
        .singleton_tasks
        .reported_holder
        .lock()
        .unwrap()
        .clone();
    reported
        .filter(|(_, asked_at)| control.runtime.now() < asked_at + LEASE_LENGTH)
        .map(|(holder, _)| holder)
}

impl Control {
    /// The term of the lease that this process holds at this moment and may act under. Called right
    /// before every act, so that a process that was frozen does not act on an expired lease.
    pub fn acting_term(&self) -> Option<u64> {
        let is_bootstrapped = self.is_bootstrapped.load(SeqCst);
        self.lease_term().filter(|term| {
            is_bootstrapped && self.singleton_tasks.fenced_term.load(SeqCst) == *term
        })
    }

    /// The term of the lease that this process holds, whether or not it has taken the documents yet.
    /// It may propose.
    pub fn lease_term(&self) -> Option<u64> {
        let is_able = !self.members.replaced.is_set() && !self.storage.failed.load(SeqCst);
        self.singleton_tasks
            .holder
            .lock()
            .unwrap()
            .held_term(self.runtime.now())
            .filter(|_| is_able)
    }

    /// Whether this process runs the singleton tasks: it holds the lease and may act under it.
    pub fn is_acting_holder(&self) -> bool {
        self.acting_term().is_some()
    }

    /// Whether what was planned under `term` may still replace a document that was written under
    /// `written_term`.
    pub fn may_write(&self, term: u64, written_term: u64) -> bool {
        written_term <= term && self.acting_term() == Some(term)
    }
}

/// Maintains the replica assignment while this process is the acting holder. Wakes up when a machine
/// joins, leaves or returns, and often while a change is under way.
async fn maintain_replicas(control: Arc<Control>) {
    let mut was_acting = false;
    loop {
        let documents_changed = control.documents.changed.listen();
        let members_changed = control.members.changed.listen();
        let lease_changed = control.singleton_tasks.lease_changed.listen();
        let is_acting = control.is_acting_holder();
        if was_acting != is_acting {
            was_acting = is_acting;
            let line = if is_acting { "on duty" } else { "off duty" };
            control.runtime.log(line);
        }
        let rest = if is_acting {
            layout::maintain_replicas(&control).await
        } else {
            SEC
        };
        if rest > 0 {
            let any_change = futures_lite::future::or(
                lease_changed,
                futures_lite::future::or(documents_changed, members_changed),
            );
            control.runtime.timeout(rest, any_change).await;
        }
    }
}

/// Polls the platform's list while this process holds the lease. It begins before the documents are
/// taken: that a server is draining is published before anything can be decided.
async fn poll_platform_list(control: Arc<Control>) {
    loop {
        let lease_changed = control.singleton_tasks.lease_changed.listen();
        if control.lease_term().is_some() {
            let rest = platform_list::poll(&control).await;
            control.runtime.sleep(rest).await;
        } else {
            control.runtime.timeout(SEC, lease_changed).await;
        }
    }
}

async fn maintain_manual_layout(control: Arc<Control>) {
    loop {
        if control.is_acting_holder() {
            layout::maintain_manual_layout(&control).await;
        }
        control.runtime.sleep(MANUAL_LAYOUT_CHECK).await;
    }
}

/// Starts the tasks of a core process.
pub async fn run(control: Arc<Control>) {
    let runtime = &control.runtime;
    runtime.spawn(quorum_contact::keep_contact(control.clone()));
    runtime.spawn(lease_holder::run(control.clone()));
    runtime.spawn(poll_platform_list(control.clone()));
    if control.options.tends {
        runtime.spawn(config::fetch_late_documents(control.clone()));
        runtime.spawn(layout::bootstrap_automatically(control.clone()));
        runtime.spawn(maintain_replicas(control.clone()));
    } else {
        control.is_bootstrapped.store(true, SeqCst);
        runtime.spawn(maintain_manual_layout(control.clone()));
    }
}

/// Machine and process that hold the lease, as far as this disk's granter knows.
pub fn holder_name(control: &Control) -> Option<String> {
    let holder = with_granter(control, |granter, now| granter.holder(now).cloned())?;
    let adopted = control.documents.layout.load();
    let (_, layout) = &**adopted;
    let machine = layout.names.get(&holder.disk).unwrap_or(&holder.disk);
    Some(format!("{machine}#{:x}", holder.process))
}

/// The lease and the contact with a quorum, as an operator sees them.
pub fn status(control: &Control) -> Value {
    let (term, free_in_ms) = with_granter(control, |granter, now| {
        (granter.term(), granter.free_at().saturating_sub(now) / MS)
    });
    json!({
        "holder": holder_name(control),
        "term": term,
        "free_in_ms": free_in_ms,
        "held_here": control.acting_term(),
        "contact": control.has_quorum_contact(),
    })
}

/// Counts of lease and contact changes, for the metrics.
pub fn counters(control: &Control) -> Value {
    let counts = &control.singleton_tasks;
    json!({
        "taken": counts.acquired.load(SeqCst),
        "lost": counts.lost.load(SeqCst),
        "contact_lost": counts.contact_lost.load(SeqCst),
    })
}
