//! What operators do while faults are under way: configurations, disks, machines.

use crate::proof::evidence::{Account, Cap};
use crate::proof::lab::{Lab, addr};
use crate::standin::Spec;
use serde_json::{Value, json};
use std::sync::Arc;
use yewcross_common::constants::{MS, SEC};
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::ListedServer;
use yewcross_common::runtime::BoxFuture;

/// A change to a whole configuration.
type Edit = Box<dyn Fn(&mut Value) + Send>;

impl Lab {
    /// Two operators put different configurations over the same version, three times.
    pub(super) async fn racing_puts(self: &Arc<Self>) {
        let s = self.sim.clone();
        for i in 0..3 {
            let base = self.version().await;
            let (a, b) = (self.any(Role::Core), self.any(Role::Core));
            let (x, y) = (self.clone(), self.clone());
            let (m, n) = (format!("a{i}-{}", s.now()), format!("b{i}-{}", s.now()));
            let fs: Vec<BoxFuture<'static, ()>> = vec![
                Box::pin(async move {
                    x.put(&a, base, &m).await;
                }),
                Box::pin(async move {
                    y.put(&b, base, &n).await;
                }),
            ];
            let rx = self.op.spawn_all(fs);
            let _ = rx.recv().await;
            let _ = rx.recv().await;
        }
    }

    /// A core is killed in the middle of a put, three times.
    pub(super) async fn puts_and_kills(self: &Arc<Self>) {
        let s = self.sim.clone();
        for i in 0..3 {
            let base = self.version().await;
            let c = self.any(Role::Core);
            let (x, core, m) = (self.clone(), c.clone(), format!("k{i}-{}", s.now()));
            self.op.spawn(async move {
                x.put(&core, base, &m).await;
            });
            self.op.sleep(s.rand() % (30 * MS)).await;
            self.restart(c, s.rand().is_multiple_of(2), false, 2).await;
            self.nap(4).await;
        }
    }

    /// An operator drains a store's disk and removes the machine once that is safe.
    pub(super) async fn empty_store(self: &Arc<Self>) {
        let s = self.sim.clone();
        self.spare_store().await;
        let n = self.any(Role::Store);
        let core = self.any(Role::Core);
        let (c, v) = self.post(&core, &format!("/v1/disks/{n}/empty")).await;
        s.note(&format!("empty {n}: {c} {v}"));
        for _ in 0..40 {
            self.nap(1).await;
            let (_, v) = self.get(&core, &format!("/v1/disks/{n}")).await;
            if v["safe_to_remove"] == json!(true) {
                s.note(&format!("{n} is safe to remove"));
                s.kill(s.find(&n), true);
                break;
            }
        }
    }

    /// A store's disk is drained while another store dies.
    pub(super) async fn empty_and_kill(self: &Arc<Self>) {
        let s = self.sim.clone();
        self.spare_store().await;
        let v = self.names(Role::Store);
        let k = s.rand() as usize % v.len();
        let (n, other) = (v[k].clone(), v[(k + 1) % v.len()].clone());
        let (c, r) = self.post("core1", &format!("/v1/disks/{n}/empty")).await;
        s.note(&format!("empty {n}: {c} {r}"));
        self.op.sleep(s.rand() % (2 * SEC)).await;
        self.restart(other, s.rand().is_multiple_of(2), false, 3)
            .await;
        for _ in 0..40 {
            self.nap(1).await;
            let (_, v) = self.get("core1", &format!("/v1/disks/{n}")).await;
            if v["safe_to_remove"] == json!(true) {
                s.note(&format!("{n} is safe to remove"));
                s.kill(s.find(&n), true);
                break;
            }
        }
    }

    /// A configuration withdraws a server, a method and a service, each for a while.
    pub(super) async fn withdraw(self: &Arc<Self>) {
        let s = self.sim.clone();
        let (svc, method, _) = self.sh.mix.lookups[0].clone();
        let gone = self.any_back(true);
        let left: Vec<String> = self
            .sh
            .backs
            .iter()
            .filter(|b| b.model && b.server != gone)
            .map(|b| b.server.clone())
            .collect();
        let was = self.text.lock().unwrap().clone();
        let mut cuts: Vec<(String, Edit)> = vec![];
        cuts.push((
            gone,
            Box::new(move |t| t["services"]["llm"]["allow"] = json!(left)),
        ));
        let (v, m) = (svc.clone(), method.clone());
        cuts.push((
            format!("{svc}/{method}"),
            Box::new(move |t| {
                t["services"][&v]["methods"]
                    .as_array_mut()
                    .into_iter()
                    .for_each(|a| a.retain(|x| *x != json!(m)))
            }),
        ));
        let v = svc.clone();
        cuts.push((
            format!("{svc}/"),
            Box::new(move |t| {
                t["services"].as_object_mut().into_iter().for_each(|o| {
                    o.remove(&v);
                })
            }),
        ));
        for (i, (what, cut)) in cuts.into_iter().enumerate() {
            cut(&mut self.text.lock().unwrap());
            let base = self.version().await;
            let a = self
                .put("core1", base, &format!("cut{i}-{}", s.now()))
                .await;
            self.nap(4).await;
            *self.text.lock().unwrap() = was.clone();
            let until = s.now();
            let base = self.version().await;
            self.put("core2", base, &format!("uncut{i}-{}", s.now()))
                .await;
            if a.code == 1000 {
                self.banned.lock().unwrap().push((a.at, until, what));
            }
            self.nap(1).await;
        }
    }

    /// A front, a store, a core and a model server are added.
    pub(super) async fn add_machines(self: &Arc<Self>) {
        let s = self.sim.clone();
        let st = self.newcomer(Role::Front).await;
        self.text.lock().unwrap()["fronts"]
            .as_array_mut()
            .into_iter()
            .for_each(|f| f.push(json!(st)));
        let base = self.version().await;
        self.put("core1", base, &format!("front{}", s.now())).await;
        self.newcomer(Role::Store).await;
        self.newcomer(Role::Core).await;
        let b = Spec {
            server: "m70".into(),
            addr: addr(703, 0),
            ..self.sh.backs[0].clone()
        };
        let k = s.machine(&b.server, &b.site, b.addr.ip());
        self.boot_back(s.boot(k), b.clone());
        let l = ListedServer {
            server: b.server,
            service: b.service,
            addr: b.addr,
            site: b.site,
            leaving: false,
        };
        let p = self.platform.lock().unwrap().clone();
        p.iter().for_each(|p| p.edit(|v| v.push(l.clone())));
        self.nap(4).await;
    }

    /// Budgets are raised by half, then lowered to a third.
    pub(super) async fn move_budgets(self: &Arc<Self>) {
        let s = self.sim.clone();
        // Raised by half, then lowered to a third, each time by a whole configuration.
        for (i, (up, down)) in [(3, 2), (1, 3)].into_iter().enumerate() {
            let was = self.accounts.lock().unwrap().clone();
            let is = |a: &Account| a.caps[0].tokens * up / down;
            let base = self.version().await;
            was.iter().for_each(|(b, a)| {
                self.text.lock().unwrap()["budgets"][b]["tokens"] = json!(is(a));
            });
            let a = self
                .put(
                    &self.any(Role::Core),
                    base,
                    &format!("purse{i}-{}", s.now()),
                )
                .await;
            // A raise may count from when it was sent, a lowering only from when it was
            // acknowledged.
            let from = if up > down {
                Some(a.sent)
            } else {
                Some(a.at).filter(|_| a.code == 1000)
            };
            self.accounts.lock().unwrap().values_mut().for_each(|x| {
                let tokens = is(x);
                from.iter()
                    .for_each(|f| x.caps.push(Cap { from: *f, tokens }));
            });
            self.nap(4).await;
        }
    }
}
