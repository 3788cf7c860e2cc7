//! A simulated deployment: its machines, the operator, the platform's list, and what is written
//! down about them.

use crate::caller::Diary;
use crate::platform::Platform;
use crate::proof::evidence::{Account, Ack};
use crate::shape::{Shape, shape};
use crate::sim::Sim;
use crate::standin::{Ledger, Spec, Standin};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use yewcross_common::buffered_http::fetch;
use yewcross_common::constants::{MS, SEC, STORE_COPIES, WIRE_OLDEST};
use yewcross_common::process_settings::{ProcessSettings, Role};
use yewcross_common::runtime::Runtime;
use yewcross_control::Control;
use yewcross_proxy::Front;

pub enum Proc {
    Front(Arc<Front>),
    Control(Arc<Control>),
    Back(Arc<Standin>),
}

pub struct Lab {
    pub sim: Sim,
    pub sh: Arc<Shape>,
    pub ledger: Arc<Ledger>,
    pub diary: Arc<Diary>,
    pub op: Runtime,
    pub procs: Mutex<BTreeMap<String, Proc>>,
    pub platform: Mutex<Option<Arc<Platform>>>,
    pub acks: Mutex<Vec<Ack>>,
    pub hard: Mutex<Vec<(u64, String)>>,
    pub left: Mutex<Vec<(u64, String)>>,
    pub planned: Mutex<Vec<(u64, u64)>>,
    pub text: Mutex<Value>,
    pub accounts: Mutex<BTreeMap<String, Account>>,
    /// From when to when a server or a method was not allowed.
    pub banned: Mutex<Vec<(u64, u64, String)>>,
    pub(super) next_back: Mutex<usize>,
    /// Machines that speak an older version until they are upgraded.
    pub(super) old: Mutex<BTreeSet<String>>,
    /// Machines that came back at another address.
    pub(super) elsewhere: Mutex<BTreeMap<String, ProcessSettings>>,
}

pub(super) fn addr(n: usize, k: u16) -> SocketAddr {
    SocketAddr::new(
        IpAddr::from([10, 0, (n / 250) as u8, (n % 250) as u8 + 1]),
        1000 + k,
    )
}

pub fn stranger() -> SocketAddr {
    addr(899, 0)
}

impl Lab {
    pub fn new(seed: u64, name: &str) -> Arc<Lab> {
        Lab::of(seed, name, |_| ())
    }

    pub fn of(seed: u64, name: &str, twist: impl FnOnce(&mut Shape)) -> Arc<Lab> {
        let mut sh = shape(name, &addr).unwrap_or_else(|| panic!("no shape {name}"));
        twist(&mut sh);
        let sh = Arc::new(sh);
        let sim = Sim::new(seed, sh.gap);
        let m = sim.machine("operator", &sh.sites[0], addr(900, 0).ip());
        let op = sim.boot(m);
        let c = sim.machine("callers", &sh.sites[0], addr(901, 0).ip());
        sim.boot(c);
        sim.machine("platform", &sh.sites[0], sh.platform.ip());
        sh.nodes.iter().for_each(|n| {
            sim.machine(&n.name, &n.site, n.peer.ip());
        });
        sh.backs.iter().for_each(|b| {
            sim.machine(&b.server, &b.site, b.addr.ip());
        });
        let text = serde_json::from_str(&sh.config).unwrap_or_default();
        Arc::new(Lab {
            sim,
            sh,
            ledger: Default::default(),
            diary: Default::default(),
            op,
            procs: Default::default(),
            platform: Default::default(),
            acks: Default::default(),
            hard: Default::default(),
            left: Default::default(),
            planned: Default::default(),
            text: Mutex::new(text),
            accounts: Default::default(),
            banned: Default::default(),
            next_back: Mutex::new(50),
            old: Default::default(),
            elsewhere: Default::default(),
        })
    }

    pub fn boot(self: &Arc<Self>, name: &str) {
        let m = self.sim.find(name);
        self.sim.power_on(m);
        let w = self.sim.boot(m);
        let (me, n) = (self.clone(), name.to_string());
        if name == "platform" {
            let v = self
                .platform
                .lock()
                .unwrap()
                .as_ref()
                .map(|p| p.list())
                .unwrap_or(self.sh.listed());
            w.clone().spawn(async move {
                let p = Platform::start(&w, me.sh.platform, v).await.ok();
                *me.platform.lock().unwrap() = p;
            });
            return;
        }
        if let Some(st) = self.startup(name) {
            self.sim.set_costs(m, self.sh.charges.of(st.role));
            w.clone().spawn(async move {
                let p = match st.role {
                    Role::Front => Front::start(&w, st).await.ok().map(Proc::Front),
                    _ => Control::start(&w, st).await.ok().map(Proc::Control),
                };
                p.map(|p| me.procs.lock().unwrap().insert(n, p));
            });
            return;
        }
        if let Some(b) = self.sh.backs.iter().find(|x| x.server == name).cloned() {
            self.boot_back(w, b);
        }
    }

    pub(crate) fn boot_back(self: &Arc<Self>, runtime: Runtime, b: Spec) {
        let me = self.clone();
        runtime.clone().spawn(async move {
            let n = b.server.clone();
            let p = Standin::start(&runtime, b, me.ledger.clone())
                .await
                .ok()
                .map(Proc::Back);
            p.map(|p| me.procs.lock().unwrap().insert(n, p));
        });
    }

    pub(super) fn startup(&self, name: &str) -> Option<ProcessSettings> {
        let moved = self.elsewhere.lock().unwrap().get(name).cloned();
        let mut st = moved.or_else(|| self.sh.nodes.iter().find(|n| n.name == name).cloned());
        let old = self.old.lock().unwrap().contains(name);
        st.iter_mut()
            .filter(|_| old)
            .for_each(|s| s.wire = WIRE_OLDEST);
        st
    }

    pub fn hard(&self, what: &str) {
        let t = self.sim.now();
        self.hard.lock().unwrap().push((t, what.into()));
    }

    pub fn front(&self, n: &str) -> Option<Arc<Front>> {
        match self.procs.lock().unwrap().get(n) {
            Some(Proc::Front(f)) => Some(f.clone()),
            _ => None,
        }
    }

    pub fn control(&self, n: &str) -> Option<Arc<Control>> {
        match self.procs.lock().unwrap().get(n) {
            Some(Proc::Control(c)) => Some(c.clone()),
            _ => None,
        }
    }

    pub fn back(&self, n: &str) -> Option<Arc<Standin>> {
        match self.procs.lock().unwrap().get(n) {
            Some(Proc::Back(c)) => Some(c.clone()),
            _ => None,
        }
    }

    pub fn names(&self, r: Role) -> Vec<String> {
        self.sh.of(r).iter().map(|n| n.name.clone()).collect()
    }

    pub fn any(&self, r: Role) -> String {
        let v = self.names(r);
        v[self.sim.rand() as usize % v.len()].clone()
    }

    pub fn any_back(&self, model: bool) -> String {
        let v: Vec<&Spec> = self.sh.backs.iter().filter(|b| b.model == model).collect();
        v[self.sim.rand() as usize % v.len()].server.clone()
    }

    async fn http(
        &self,
        node: &str,
        verb: http_types::Method,
        path: &str,
        heads: &[(&str, String)],
        body: Vec<u8>,
    ) -> (u16, Value) {
        let Some(n) = self.startup(node) else {
            return (0, Value::Null);
        };
        match fetch(&self.op, n.http, verb, path, heads, body, 8 * SEC).await {
            Ok((s, _, b)) => (s, serde_json::from_slice(&b).unwrap_or(Value::Null)),
            Err(_) => (0, Value::Null),
        }
    }

    pub async fn found(&self) -> bool {
        let v =
            json!({"cores": self.names(Role::Core), "stores": self.names(Role::Store)}).to_string();
        for _ in 0..60 {
            let (s, _) = self
                .http(
                    "core1",
                    http_types::Method::Post,
                    "/v1/found",
                    &[],
                    v.clone().into_bytes(),
                )
                .await;
            if s == 200 {
                return true;
            }
            self.op.sleep(200 * MS).await;
        }
        false
    }

    /// Puts the present text with a mark of its own, through the named core.
    pub async fn put(&self, core: &str, base: u64, mark: &str) -> Ack {
        let mut t = self.text.lock().unwrap().clone();
        t["budgets"][format!("mark-{mark}")] = json!({"tokens": 0});
        let sent = self.sim.now();
        let h = [("if-match", format!("\"{base}\""))];
        let (s, v) = self
            .http(
                core,
                http_types::Method::Put,
                "/v1/config",
                &h,
                t.to_string().into_bytes(),
            )
            .await;
        let code = if s == 0 {
            0
        } else {
            v["code"].as_u64().unwrap_or(0) as u16
        };
        let a = Ack {
            sent,
            at: self.sim.now(),
            base,
            mark: mark.into(),
            code,
            version: v["version"].as_u64().unwrap_or(0),
        };
        self.sim.note(&format!(
            "put {mark} over {base} by {core}: {code} {}",
            a.version
        ));
        self.acks.lock().unwrap().push(a.clone());
        a
    }

    pub async fn version(&self) -> u64 {
        for c in self.names(Role::Core) {
            let (s, v) = self
                .http(&c, http_types::Method::Get, "/v1/config", &[], vec![])
                .await;
            if s == 200 {
                return v["version"].as_u64().unwrap_or(0);
            }
        }
        0
    }

    pub async fn post(&self, node: &str, path: &str) -> (u16, Value) {
        self.http(node, http_types::Method::Post, path, &[], vec![])
            .await
    }

    pub async fn get(&self, node: &str, path: &str) -> (u16, Value) {
        self.http(node, http_types::Method::Get, path, &[], vec![])
            .await
    }

    pub fn leave(&self, server: &str) {
        let t = self.sim.now();
        self.sim.note(&format!("{server} begins to leave"));
        self.left.lock().unwrap().push((t, server.into()));
        self.back(server).into_iter().for_each(|b| b.leaving(true));
    }

    /// Waits until every key has its full set of copies: one disk may be lost at a time.
    pub async fn whole(&self, secs: u64) -> bool {
        let end = self.sim.now() + secs * SEC;
        while self.sim.now() < end {
            let v: Vec<Arc<Control>> = self
                .procs
                .lock()
                .unwrap()
                .iter()
                .filter_map(|(n, p)| match p {
                    Proc::Control(c) if self.sim.is_up(self.sim.find(n)) => Some(c.clone()),
                    _ => None,
                })
                .collect();
            let l = v
                .iter()
                .map(|c| c.documents.layout.load().0)
                .max()
                .unwrap_or(0);
            let mut ok = !v.is_empty();
            for c in &v {
                let b = c.documents.layout.load();
                let seat =
                    b.1.store
                        .current
                        .iter()
                        .chain(&b.1.core.current)
                        .any(|d| *d == c.storage.disk_id);
                let here =
                    b.0 == l && b.1.store.previous.is_empty() && b.1.core.previous.is_empty();
                ok &=
                    here && (!seat || (c.swept.load(SeqCst) >= l && c.replica.keys().await.1 == 0));
            }
            if ok {
                return true;
            }
            self.op.sleep(250 * MS).await;
        }
        false
    }

    /// Starts a machine that was not there before and, where it has a disk, seats it.
    pub(super) async fn newcomer(self: &Arc<Self>, role: Role) -> String {
        let like = self.sh.of(role)[0].clone();
        let i = 700 + role as usize;
        let name = format!("{}-new", like.name);
        let st = ProcessSettings {
            name: name.clone(),
            site: self.sh.sites[3].clone(),
            peer: addr(i, 0),
            http: addr(i, 1),
            ..like
        };
        self.sim.machine(&name, &st.site, st.peer.ip());
        self.elsewhere.lock().unwrap().insert(name.clone(), st);
        self.boot(&name);
        self.op.sleep(3 * SEC).await;
        if role != Role::Front {
            let (c, v) = self.post("core1", &format!("/v1/disks/{name}/admit")).await;
            self.sim.note(&format!("admit {name}: {c} {v}"));
            self.whole(30).await;
        }
        name
    }

    /// A store can be emptied only where three are left.
    pub(super) async fn spare_store(self: &Arc<Self>) {
        if self.names(Role::Store).len() == STORE_COPIES {
            self.newcomer(Role::Store).await;
        }
    }

    pub(super) fn ids(&self, r: Role) -> Vec<usize> {
        self.names(r).iter().map(|n| self.sim.find(n)).collect()
    }
}
