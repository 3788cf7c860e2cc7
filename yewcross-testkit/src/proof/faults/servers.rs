//! Faults of model and lookup servers, and their replacement.

use crate::proof::lab::{Lab, addr};
use crate::proof::scenario::Act;
use crate::standin::{Faults, Spec};
use std::sync::Arc;
use yewcross_common::constants::MS;

impl Lab {
    /// Servers run requests and lose their answers.
    pub(super) async fn lose_answers(self: &Arc<Self>, act: Act) {
        let s = self.sim.clone();
        let name: &str = act.into();
        self.hard(name);
        for _ in 0..6 {
            let f = Faults {
                lose: 2,
                ..Default::default()
            };
            self.back(&self.any_back(s.rand().is_multiple_of(2)))
                .into_iter()
                .for_each(|b| b.fault(f.clone()));
            self.op.sleep(500 * MS).await;
        }
    }

    /// Model servers splice, truncate, alter, repeat and stall streams.
    pub(super) async fn bad_streams(self: &Arc<Self>, act: Act) {
        let name: &str = act.into();
        for i in 0..9u32 {
            let mut f = Faults::default();
            *[
                &mut f.splice,
                &mut f.truncate,
                &mut f.mistake,
                &mut f.repeat,
                &mut f.stall,
                &mut f.fail_import,
            ][i as usize % 6] = 2;
            self.back(&self.any_back(true))
                .into_iter()
                .for_each(|b| b.fault(f.clone()));
            self.op.sleep(400 * MS).await;
        }
        self.hard(name);
    }

    /// A model server announces that it leaves, and ends 6 s later.
    pub(super) async fn server_leaves(self: &Arc<Self>) {
        let n = self.any_back(true);
        self.leave(&n);
        self.nap(6).await;
        self.restart(n, false, false, 1).await;
    }

    /// The platform lists a model server as leaving, and takes that back.
    pub(super) async fn listed_server_leaves(self: &Arc<Self>) {
        let n = self.any_back(true);
        let p = self.platform.lock().unwrap().clone();
        p.iter().for_each(|p| {
            p.edit(|v| {
                v.iter_mut()
                    .filter(|x| x.server == n)
                    .for_each(|x| x.leaving = true)
            })
        });
        // Knowable from the list once the platform's own pause has passed.
        self.op
            .sleep(p.as_ref().map(|p| p.pause).unwrap_or(0))
            .await;
        self.leave(&n);
        self.nap(6).await;
        p.iter().for_each(|p| {
            p.edit(|v| {
                v.iter_mut()
                    .filter(|x| x.server == n)
                    .for_each(|x| x.leaving = false)
            })
        });
        self.back(&n).into_iter().for_each(|b| b.leaving(false));
    }

    /// Every model server is replaced by one of another name and address.
    pub(super) async fn roll_servers(self: &Arc<Self>) {
        let s = self.sim.clone();
        for b in self.sh.backs.iter().filter(|b| b.model) {
            let n = b.server.clone();
            self.leave(&n);
            self.nap(4).await;
            let m = s.find(&n);
            s.kill(m, true);
            let i = {
                let mut g = self.next_back.lock().unwrap();
                *g += 1;
                *g
            };
            let spec = Spec {
                server: format!("m{i}"),
                addr: addr(100 + i, 0),
                ..b.clone()
            };
            let k = s.machine(&spec.server, &spec.site, spec.addr.ip());
            self.boot_back(s.boot(k), spec.clone());
            let p = self.platform.lock().unwrap().clone();
            p.iter().for_each(|p| {
                p.edit(|v| {
                    v.iter_mut().filter(|x| x.server == n).for_each(|x| {
                        x.server = spec.server.clone();
                        x.addr = spec.addr;
                    })
                })
            });
        }
    }

    /// A server dies and another one appears at its address.
    pub(super) async fn reuse_address(self: &Arc<Self>) {
        let s = self.sim.clone();
        let n = self.any_back(s.rand().is_multiple_of(2));
        let b = self.sh.backs.iter().find(|b| b.server == n).cloned();
        let m = s.find(&n);
        s.kill(m, true);
        self.hard(&n);
        if let Some(b) = b {
            let other = Spec {
                server: "x9".into(),
                ..b
            };
            let k = s.machine("x9", &other.site, other.addr.ip());
            self.boot_back(s.boot(k), other);
            self.nap(8).await;
            s.kill(k, true);
        }
        self.boot(&n);
    }

    /// Servers take eight times as long.
    pub(super) async fn slow_servers(self: &Arc<Self>) {
        let s = self.sim.clone();
        for _ in 0..4 {
            let f = Faults {
                slow: 8,
                ..Default::default()
            };
            let b = self.back(&self.any_back(!s.rand().is_multiple_of(3)));
            b.iter().for_each(|b| b.fault(f.clone()));
            self.nap(3).await;
            b.iter().for_each(|b| b.fault(Faults::default()));
        }
    }

    /// A model server stops running for 6 s, then goes on.
    pub(super) async fn freeze_model(self: &Arc<Self>) {
        let s = self.sim.clone();
        let n = self.any_back(true);
        s.freeze(s.find(&n));
        self.hard(&n);
        self.nap(6).await;
        s.thaw(s.find(&n));
    }
}
