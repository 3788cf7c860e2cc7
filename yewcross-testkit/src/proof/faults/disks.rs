//! Faults of disks: stalled, full, corrupted, power lost at a sync.

use crate::proof::lab::Lab;
use crate::proof::scenario::Act;
use std::sync::Arc;
use yewcross_common::constants::{MS, SEC};
use yewcross_common::process_settings::Role;

impl Lab {
    /// A core's or store's disk stalls, or is full, for 6 s.
    pub(super) async fn stall_or_fill_disk(self: &Arc<Self>, act: Act) {
        let s = self.sim.clone();
        let name: &str = act.into();
        let n = self.any(if s.rand().is_multiple_of(2) {
            Role::Core
        } else {
            Role::Store
        });
        let m = s.find(&n);
        let on = |v: bool| {
            s.disk(m, |d| {
                if act == Act::StallDisk {
                    d.stalled = v
                } else {
                    d.full = v
                }
            })
        };
        on(true);
        self.hard(name);
        self.nap(6).await;
        on(false);
        if act == Act::FullDisk {
            self.restart(n, false, false, 1).await;
        }
    }

    /// Three files of a stopped store are corrupted.
    pub(super) async fn corrupt_store(self: &Arc<Self>) {
        let s = self.sim.clone();
        let n = self.any(Role::Store);
        let m = s.find(&n);
        s.kill(m, false);
        (0..3).for_each(|_| {
            let r = s.rand();
            let f = s.disk(m, |d| d.corrupt(r));
            s.note(&format!("rot {f:?}"));
        });
        self.hard(&n);
        self.nap(1).await;
        self.boot(&n);
    }

    /// Power goes at a drawn sync, or up to 3 ms after: at a promise, an acceptance, a reservation,
    /// a commit, a put.
    pub(super) async fn trip_power(self: &Arc<Self>, act: Act) {
        let s = self.sim.clone();
        for i in 0..if act == Act::TripStoreDisk { 1 } else { 3 } {
            let n = self.any(if act == Act::TripCore {
                Role::Core
            } else {
                Role::Store
            });
            let m = s.find(&n);
            let after = (
                1 + s.rand() % 40,
                [0, s.rand() % 3000][s.rand() as usize % 2],
            );
            s.disk(m, |d| d.trip = Some(after));
            if act == Act::TripCore {
                let (me, base) = (self.clone(), self.version().await);
                let core = [n.clone(), self.any(Role::Core)][s.rand() as usize % 2].clone();
                s.disk(m, |d| d.trip = Some((1 + after.0 % 6, after.1)));
                self.op.spawn(async move {
                    me.put(&core, base, &format!("trip{i}-{}", me.sim.now()))
                        .await;
                });
            }
            let end = s.now() + 6 * SEC;
            while s.is_up(m) && s.now() < end {
                self.op.sleep(5 * MS).await;
            }
            s.disk(m, |d| d.trip = None);
            if !s.is_up(m) {
                self.hard(&n);
                self.nap(2).await;
                if act == Act::TripStoreDisk {
                    s.wipe(m);
                }
                self.boot(&n);
            }
            self.nap(4).await;
        }
    }

    /// A store's disk runs full while it works.
    pub(super) async fn fill_slowly(self: &Arc<Self>) {
        let s = self.sim.clone();
        let n = self.any(Role::Store);
        let m = s.find(&n);
        s.disk(m, |d| d.room = Some(100_000));
        self.nap(8).await;
        self.hard(&n);
        s.disk(m, |d| d.room = None);
        self.restart(n, false, false, 1).await;
    }

    /// A node starts on a full disk.
    pub(super) async fn full_at_start(self: &Arc<Self>) {
        let s = self.sim.clone();
        let n = self.any(if s.rand().is_multiple_of(2) {
            Role::Core
        } else {
            Role::Store
        });
        let m = s.find(&n);
        s.kill(m, true);
        self.hard(&n);
        s.disk(m, |d| d.full = true);
        self.boot(&n);
        self.nap(5).await;
        s.disk(m, |d| d.full = false);
        self.restart(n, false, false, 1).await;
    }
}
