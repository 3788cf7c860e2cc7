//! Faults of processes: kills, freezes, restarts, clocks.

use crate::proof::lab::Lab;
use crate::proof::scenario::Act;
use std::sync::Arc;
use yewcross_common::constants::{MS, SEC};
use yewcross_common::process_settings::Role;

impl Lab {
    /// All stores lose power at once and come back.
    pub(super) async fn power_all_stores(self: &Arc<Self>) {
        let s = self.sim.clone();
        let v = self.names(Role::Store);
        self.hard("all stores");
        v.iter().for_each(|n| s.kill(s.find(n), true));
        self.nap(1).await;
        v.iter().for_each(|n| self.boot(n));
        self.hard("all stores");
    }

    /// A node of the kind that `act` names stops running for 2 to 8 s, then goes on.
    pub(super) async fn freeze_node(self: &Arc<Self>, act: Act) {
        let s = self.sim.clone();
        let r = match act {
            Act::FreezeFront => Role::Front,
            Act::FreezeCore => Role::Core,
            _ => Role::Store,
        };
        let n = self.any(r);
        let m = s.find(&n);
        s.freeze(m);
        self.hard(&n);
        self.op.sleep(2 * SEC + s.rand() % (6 * SEC)).await;
        s.thaw(m);
    }

    /// Every node is stopped in good order and started again, one after another.
    pub(super) async fn roll_nodes(self: &Arc<Self>) {
        let s = self.sim.clone();
        for n in self.sh.nodes.iter().map(|n| n.name.clone()) {
            let t0 = s.now();
            let m = s.find(&n);
            let (f, c) = (self.front(&n), self.control(&n));
            let (dx, dr) = async_channel::bounded(1);
            let w = f
                .as_ref()
                .map(|f| f.runtime.clone())
                .or(c.as_ref().map(|c| c.runtime.clone()));
            w.into_iter().for_each(|w| {
                let (f, c, dx) = (f.clone(), c.clone(), dx.clone());
                w.spawn(async move {
                    if let Some(f) = f {
                        f.stop().await;
                    }
                    if let Some(c) = c {
                        c.stop().await;
                    }
                    let _ = dx.try_send(());
                })
            });
            self.op.timeout(15 * SEC, dr.recv()).await;
            s.kill(m, false);
            self.planned.lock().unwrap().push((t0, s.now()));
            self.op.sleep(300 * MS).await;
            self.old.lock().unwrap().remove(&n);
            self.boot(&n);
            self.op.sleep(1200 * MS).await;
        }
    }

    /// The holder of a duty dies, freezes, or dies while a server is listed as leaving.
    pub(super) async fn kill_duty(self: &Arc<Self>, act: Act) {
        let s = self.sim.clone();
        let holder = self
            .names(Role::Core)
            .into_iter()
            .find(|n| self.control(n).is_some_and(|c| c.is_acting_holder()));
        let n = holder.unwrap_or("core1".into());
        let server = self.any_back(true);
        let p = self.platform.lock().unwrap().clone();
        let listed = |on: bool| {
            p.iter().for_each(|p| {
                p.edit(|v| {
                    v.iter_mut()
                        .filter(|x| x.server == server)
                        .for_each(|x| x.leaving = on)
                })
            })
        };
        let m = s.find(&n);
        if act == Act::FreezeDuty {
            s.freeze(m);
            self.hard(&n);
            self.nap(6).await;
            s.thaw(m);
            return;
        }
        listed(act == Act::ListedDutyDies);
        s.kill(m, s.rand().is_multiple_of(2));
        self.hard(&n);
        if act == Act::ListedDutyDies {
            // Known from its report at once, whoever polls the list; the list must not be needed
            // for it.
            self.leave(&server);
        }
        self.nap(6).await;
        listed(false);
        self.back(&server)
            .into_iter()
            .for_each(|b| b.leaving(false));
        self.boot(&n);
    }

    /// The front that polls a zone's model servers dies, alone or while one of them leaves.
    pub(super) async fn kill_home(self: &Arc<Self>, act: Act) {
        let s = self.sim.clone();
        let server = self.any_back(true);
        let site = self
            .sh
            .backs
            .iter()
            .find(|b| b.server == server)
            .map(|b| b.site.clone())
            .unwrap_or_default();
        let fronts: Vec<_> = self
            .front("front1")
            .map(|f| f.members.nodes_of_role(Role::Front))
            .unwrap_or_default();
        let n =
            yewcross_proxy::server_table::home_of(&fronts, "llm", &site).unwrap_or("front1".into());
        s.kill(s.find(&n), false);
        self.hard(&n);
        if act == Act::LeavingHomeDies {
            self.leave(&server);
        }
        self.nap(6).await;
        self.back(&server)
            .into_iter()
            .for_each(|b| b.leaving(false));
        self.boot(&n);
    }

    /// The store that owns a session's register dies, freezes, or its disk stalls.
    pub(super) async fn kill_owner(self: &Arc<Self>, act: Act) {
        let s = self.sim.clone();
        let program = &self.sh.mix.turns[0].0;
        let key = format!("session/{program}/s{}", s.rand() % 14);
        let at = self.control("store1").and_then(|c| {
            yewcross_common::documents::cache::replicas_by_preference(
                &c.documents,
                &c.members,
                &key,
            )
            .first()
            .cloned()
        });
        let n = self
            .sh
            .nodes
            .iter()
            .find(|n| Some(n.peer) == at)
            .map(|n| n.name.clone())
            .unwrap_or("store1".into());
        let m = s.find(&n);
        self.hard(&n);
        match act {
            Act::KillOwner => return self.restart(n, s.rand().is_multiple_of(2), false, 3).await,
            Act::FreezeOwner => {
                s.freeze(m);
                self.nap(5).await;
                s.thaw(m);
            }
            _ => {
                s.disk(m, |d| d.stalled = true);
                self.nap(5).await;
                s.disk(m, |d| d.stalled = false);
            }
        }
    }

    /// Every wall clock is stepped by up to 10 s.
    pub(super) async fn step_clocks(self: &Arc<Self>) {
        let s = self.sim.clone();
        self.sh
            .nodes
            .iter()
            .for_each(|n| s.set_clock_skew(s.find(&n.name), (s.rand() % 20_000) as i64 - 10_000));
    }

    /// The platform's list cannot be read for 5 s.
    pub(super) async fn platform_away(self: &Arc<Self>) {
        let s = self.sim.clone();
        s.kill(s.find("platform"), false);
        self.nap(5).await;
        self.boot("platform");
    }
}
