//! Singleton tasks, which only the lease holder runs: polling the platform's server list and
//! maintaining the replica assignment.
//!
//! The state of the lease is also stored here. Its rules are in [`crate::lease`], the granter is in
//! `lease_granter` and the holder in `lease_holder`.

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

/// Names of the tasks in operators' responses.
pub const SINGLETON_TASKS: [&str; 2] = ["list", "layout"];

/// Length and margin of the lease.
pub const LEASE_TIMES: LeaseTimes = LeaseTimes {
    length: LEASE_LENGTH,
    margin: LEASE_MARGIN,
};

/// Interval at which a manually maintained layout is checked, in µs.
const MANUAL_LAYOUT_CHECK_INTERVAL: u64 = 500 * MS;

/// State of the lease in this process (as candidate, granter and holder), and of its singleton tasks.
pub struct SingletonTasks {
    /// This process as a candidate for the lease.
    pub(crate) candidate: Candidate,
    /// The granter of this disk.
    pub(crate) granter: Mutex<Granter>,
    /// The lease that this process holds or requests.
    pub(crate) holder: Mutex<Holder>,
    /// When each voter last answered this process.
    pub(crate) contact: Mutex<Contact>,
    /// Whether there was contact with a quorum at the last check.
    pub(crate) had_contact: AtomicBool,
    /// The granter's last persisted grant. The mutex prevents concurrent writes.
    pub(crate) grant_file: futures_util::lock::Mutex<GrantFile>,
    /// The term under which this process has fenced off all earlier holders.
    pub(crate) fenced_term: AtomicU64,
    /// Time in µs before which this process does not campaign, set when it could not fence the
    /// documents.
    pub(crate) ineligible_until: AtomicU64,
    /// The holder that a voter last reported, and when the request to that voter was sent, in µs.
    pub(crate) reported_holder: Mutex<Option<(Candidate, u64)>>,
    /// Whether this process is stopping and no longer campaigns.
    pub(crate) has_resigned: AtomicBool,
    /// Notified when the lease has been acquired, lost or released.
    pub(crate) lease_changed: Event,
    /// Number of times that this process acquired the lease.
    pub acquired: AtomicU64,
    /// Number of times that it lost or released a lease that it held.
    pub(crate) lost: AtomicU64,
    /// Number of times that contact with a quorum was lost.
    pub(crate) contact_lost: AtomicU64,
    /// By disk, the time since which the machine of a replica has been missing, in µs.
    pub(crate) missing_since: Mutex<BTreeMap<String, u64>>,
    /// When this process observed that the tier is bootstrapped, in µs.
    pub(crate) bootstrapped_at: AtomicU64,
    /// Number of requests sent to the platform's server list.
    pub(crate) list_polls: AtomicU64,
    /// Number of consecutive polls that the platform rejected.
    pub(crate) consecutive_rejections: AtomicU64,
    /// Entity tag of the last list polled.
    pub(crate) list_etag: Mutex<String>,
}

impl SingletonTasks {
    /// Reads the last grant from this disk and, in a core process, increments the disk's incarnation.
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
            ineligible_until: AtomicU64::new(0),
            reported_holder: Mutex::default(),
            has_resigned: AtomicBool::new(false),
            lease_changed: Event::new(),
            acquired: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            contact_lost: AtomicU64::new(0),
            missing_since: Mutex::default(),
            bootstrapped_at: AtomicU64::new(0),
            list_polls: AtomicU64::new(0),
            consecutive_rejections: AtomicU64::new(0),
            list_etag: Mutex::default(),
        })
    }
}

/// Address of the process that holds the lease, according to this disk's granter or else a recent
/// report of a voter; `None` if the holder is this process or unknown.
pub fn holder_address(control: &Control) -> Option<SocketAddr> {
    let granted = with_granter(control, |granter, now| granter.holder(now).cloned());
    let holder = granted.or_else(|| recently_reported_holder(control))?;
    if holder.disk == control.storage.disk_id {
        return None;
    }
    control
        .members
        .node_with_disk(&holder.disk)
        .map(|node| node.peer)
}

fn recently_reported_holder(control: &Control) -> Option<Candidate> {
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
    /// The term of the lease that this process holds now and may act under. Called right before every
    /// action, so that a process that was suspended does not act on an expired lease.
    pub fn acting_term(&self) -> Option<u64> {
        let is_bootstrapped = self.is_bootstrapped.load(SeqCst);
        self.lease_term().filter(|term| {
            is_bootstrapped && self.singleton_tasks.fenced_term.load(SeqCst) == *term
        })
    }

    /// The term of the lease that this process holds, whether or not it has fenced the documents yet.
    /// The holder may already propose, since fencing itself needs proposals.
    pub fn lease_term(&self) -> Option<u64> {
        let is_operational = !self.members.replaced.is_set() && !self.storage.failed.load(SeqCst);
        self.singleton_tasks
            .holder
            .lock()
            .unwrap()
            .held_term(self.runtime.now())
            .filter(|_| is_operational)
    }

    /// Whether this process holds the lease and may act under it, and so runs the singleton tasks.
    pub fn is_acting_holder(&self) -> bool {
        self.acting_term().is_some()
    }

    /// Whether a change planned under `term` may still replace a document that was written under
    /// `written_term`.
    pub fn may_write(&self, term: u64, written_term: u64) -> bool {
        written_term <= term && self.acting_term() == Some(term)
    }
}

/// Maintains the replica assignment while this process is the acting holder. Runs again when a machine
/// joins, leaves or returns, and at short intervals while a change is in progress.
async fn maintain_replicas(control: Arc<Control>) {
    let mut was_acting = false;
    loop {
        let documents_changed = control.documents.changed.listen();
        let members_changed = control.members.changed.listen();
        let lease_changed = control.singleton_tasks.lease_changed.listen();
        let is_acting = control.is_acting_holder();
        if was_acting != is_acting {
            was_acting = is_acting;
            let line = if is_acting {
                "acting as lease holder"
            } else {
                "no longer acting as lease holder"
            };
            control.runtime.log(line);
        }
        let delay = if is_acting {
            layout::maintain_replicas(&control).await
        } else {
            SEC
        };
        if delay > 0 {
            let any_change = futures_lite::future::or(
                lease_changed,
                futures_lite::future::or(documents_changed, members_changed),
            );
            control.runtime.timeout(delay, any_change).await;
        }
    }
}

/// Polls the platform's list while this process holds the lease. Polling starts before the documents
/// are fenced, because the notice that a server is draining is published without a decision.
async fn poll_platform_list(control: Arc<Control>) {
    loop {
        let lease_changed = control.singleton_tasks.lease_changed.listen();
        if control.lease_term().is_some() {
            let delay = platform_list::poll(&control).await;
            control.runtime.sleep(delay).await;
        } else {
            control.runtime.timeout(SEC, lease_changed).await;
        }
    }
}

/// Checks a manually maintained layout at a fixed interval while this process is the acting holder.
async fn maintain_manual_layout(control: Arc<Control>) {
    loop {
        if control.is_acting_holder() {
            layout::maintain_manual_layout(&control).await;
        }
        control.runtime.sleep(MANUAL_LAYOUT_CHECK_INTERVAL).await;
    }
}

/// Starts the background tasks of a core process.
pub async fn run(control: Arc<Control>) {
    let runtime = &control.runtime;
    runtime.spawn_essential(
        "quorum contact",
        quorum_contact::maintain_contact(control.clone()),
    );
    runtime.spawn_essential("lease", lease_holder::run(control.clone()));
    runtime.spawn_essential("server list", poll_platform_list(control.clone()));
    if control.options.maintains_layout {
        runtime.spawn_essential(
            "late documents",
            config::fetch_late_documents(control.clone()),
        );
        runtime.spawn_essential(
            "bootstrap",
            layout::bootstrap_automatically(control.clone()),
        );
        runtime.spawn_essential("replica assignment", maintain_replicas(control.clone()));
    } else {
        control.is_bootstrapped.store(true, SeqCst);
        runtime.spawn_essential(
            "replica assignment",
            maintain_manual_layout(control.clone()),
        );
    }
}

/// Name of the machine and number of the process that hold the lease, according to this disk's granter.
pub fn holder_name(control: &Control) -> Option<String> {
    let holder = with_granter(control, |granter, now| granter.holder(now).cloned())?;
    let adopted = control.documents.layout.load();
    let (_, layout) = &**adopted;
    let machine = layout.names.get(&holder.disk).unwrap_or(&holder.disk);
    Some(format!("{machine}#{:x}", holder.process))
}

/// State of the lease and of quorum contact, for an operator's status request.
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
    let tasks = &control.singleton_tasks;
    json!({
        "taken": tasks.acquired.load(SeqCst),
        "lost": tasks.lost.load(SeqCst),
        "contact_lost": tasks.contact_lost.load(SeqCst),
    })
}
