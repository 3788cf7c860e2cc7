//! Stores that keep chains of turns and budgets, over the simulated world: several engines, several
//! fronts, one judge.

use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use yewcross_common::constants::*;
use yewcross_common::documents::cache::DocumentCache;
use yewcross_common::membership::Membership;
use yewcross_common::process_settings::{Bounds, ProcessSettings, Role};
use yewcross_common::protocol::*;
use yewcross_common::register::Ballot;
use yewcross_common::runtime::*;
use yewcross_common::storage::DurableStorage;
use yewcross_common::transport::*;
use yewcross_common::turn_log::client::TurnLogClient;
use yewcross_common::turn_log::messages::{decode, encode};
use yewcross_common::turn_log::*;
use yewcross_state::turn_store::TurnStore;
use yewcross_testkit::sim::{NetworkConditions, Sim};

struct Ear {
    members: Arc<Membership>,
    engine: Option<Arc<TurnStore>>,
}

impl RequestHandler for Ear {
    fn handle(self: Arc<Self>, p: Envelope) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            let (t, b) = match (p.decode::<PeerRequest>(), &self.engine) {
                (Some(PeerRequest::TurnLog), Some(e)) => {
                    (PeerResponse::TurnLog, e.handle(p.payload, p.version).await)
                }
                (Some(PeerRequest::TurnLog), None) | (None, _) => (
                    PeerResponse::Rejected(yewcross_common::error_code::Code::BadField),
                    vec![],
                ),
                (Some(a), _) => (self.members.handle(a).await, vec![]),
            };
            Reply {
                message: serde_json::to_vec(&t).unwrap_or_default(),
                payload: b,
            }
        })
    }
}

#[derive(Clone)]
struct Node {
    w: Runtime,
    book: Arc<DocumentCache>,
    disk: String,
    engine: Option<Arc<TurnStore>>,
    client: Option<Arc<TurnLogClient>>,
}

#[derive(Clone, Debug)]
struct Kept {
    turn: Turn,
    session: String,
}

#[derive(Default)]
struct Judge {
    /// Per program: its budget, and per turn what it may still put out or has put out.
    spend: BTreeMap<String, (u64, BTreeMap<String, u64>)>,
    /// Tokens that ended, by the time they were told to the client: late ones may still count at
    /// most.
    ended: BTreeMap<String, u64>,
    /// Turns asked for and not yet answered.
    asked: BTreeMap<String, String>,
    turns: BTreeMap<String, Kept>,
    acked: BTreeSet<String>,
    wrong: Vec<String>,
    opened: u64,
    away: u64,
    spent: u64,
    waits: Vec<u64>,
}

impl Judge {
    fn bad(&mut self, s: String) {
        self.wrong.push(s);
    }

    fn chain(&self, id: &str) -> Vec<Turn> {
        let (mut v, mut at) = (vec![], id.to_string());
        while let Some(k) = self.turns.get(&at) {
            at = k.turn.prev.clone();
            v.push(k.turn.clone());
        }
        v.reverse();
        v
    }
}

struct Town {
    sim: Sim,
    lost: usize,
    stores: Vec<String>,
    fronts: Vec<String>,
    nodes: Mutex<BTreeMap<String, Node>>,
    lay: Mutex<(u64, Layout)>,
    /// Newest layout that each machine has kept.
    had: Mutex<BTreeMap<String, u64>>,
    past: Mutex<BTreeMap<u64, Layout>>,
    apart: Mutex<BTreeSet<String>>,
    judge: Mutex<Judge>,
    running: AtomicUsize,
    next: AtomicUsize,
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::new([10, 0, 0, i as u8 + 1].into(), 700)
}

impl Town {
    fn new(seed: u64, stores: usize, fronts: usize, lost: usize) -> Arc<Town> {
        let sim = Sim::new(seed, 500);
        let names =
            |tag: &str, n: usize| -> Vec<String> { (1..=n).map(|i| format!("{tag}{i}")).collect() };
        let (s, f) = (names("store", stores), names("front", fronts));
        s.iter().chain(&f).enumerate().for_each(|(i, n)| {
            sim.add_machine(n, &format!("z{}", i % 4), addr(i).ip());
        });
        let t = Arc::new(Town {
            sim,
            lost,
            stores: s,
            fronts: f,
            nodes: Default::default(),
            lay: Default::default(),
            had: Default::default(),
            past: Default::default(),
            apart: Default::default(),
            judge: Default::default(),
            running: AtomicUsize::new(0),
            next: AtomicUsize::new(1),
        });
        t.stores.iter().chain(&t.fronts).for_each(|n| t.boot(n));
        t.pass(2000);
        let (mut l, mut sites) = (
            Layout {
                change_started: 1,
                ..Default::default()
            },
            BTreeMap::new(),
        );
        for n in &t.stores {
            let x = t.node(n).unwrap_or_else(|| panic!("{n} did not start"));
            l.store.current.push(x.disk.clone());
            sites.insert(x.disk.clone(), t.sim.site(t.sim.find(n)));
            l.names.insert(x.disk, n.clone());
        }
        l.sites = sites;
        t.decide(l);
        t.pass(1000);
        t
    }

    fn node(&self, n: &str) -> Option<Node> {
        self.nodes.lock().unwrap().get(n).cloned()
    }

    fn client(&self, f: usize) -> Arc<TurnLogClient> {
        self.node(&self.fronts[f % self.fronts.len()])
            .and_then(|n| n.client)
            .expect("a front that runs")
    }

    fn decide(&self, l: Layout) {
        let mut g = self.lay.lock().unwrap();
        *g = (g.0 + 1, l);
        self.past.lock().unwrap().insert(g.0, g.1.clone());
        self.sim.append_log(&format!(
            "layout {}: {:?} from {:?}",
            g.0, g.1.store.current, g.1.store.previous
        ));
    }

    fn boot(self: &Arc<Self>, name: &str) {
        let m = self.sim.find(name);
        self.sim.power_on(m);
        let w = self.sim.boot(m);
        let (me, name) = (self.clone(), name.to_string());
        let store = self.stores.contains(&name);
        let st = ProcessSettings {
            name: name.clone(),
            role: if store { Role::Store } else { Role::Front },
            site: self.sim.site(m),
            peer: addr(m),
            http: addr(m),
            seeds: (0..3).map(addr).collect(),
            data: String::new(),
            platform: None,
            threads: 1,
            wire: WIRE_VERSION,
            bootstrap: false,
            start_timeout_ms: yewcross_common::constants::START_TIMEOUT_MS,
            bounds: Bounds {
                lost: self.lost,
                ..Default::default()
            },
        };
        let had = self.had.lock().unwrap().get(&name).cloned();
        let past = had.and_then(|s| self.past.lock().unwrap().get(&s).cloned().map(|l| (s, l)));
        w.clone().spawn(async move {
            let vault = if store {
                DurableStorage::open(&w).await.ok()
            } else {
                None
            };
            let disk = vault
                .as_ref()
                .map(|v| v.disk_id.clone())
                .unwrap_or_default();
            let peers = PeerClient::new(&w, &st.name, &st.site, st.wire);
            let members = Membership::new(&w, &st, &peers, &disk);
            let book = DocumentCache::new(&w);
            past.into_iter().for_each(|(s, l)| {
                book.apply(
                    "layout",
                    s,
                    Ballot::default(),
                    serde_json::to_vec(&l).unwrap(),
                );
            });
            let engine = match &vault {
                Some(v) => TurnStore::start(&w, &st, &members, &book, v).await.ok(),
                None => None,
            };
            let client = (!store).then(|| {
                Arc::new(TurnLogClient::new(
                    &members,
                    &book,
                    &st,
                    &Default::default(),
                ))
            });
            let Ok(door) = w.bind(st.peer).await else {
                return;
            };
            w.spawn(peers.clone().serve(
                door,
                Arc::new(Ear {
                    members: members.clone(),
                    engine: engine.clone(),
                }),
            ));
            w.spawn(members.clone().run());
            me.nodes.lock().unwrap().insert(
                name,
                Node {
                    w,
                    book,
                    disk,
                    engine,
                    client,
                },
            );
        });
    }

    fn kill(&self, n: &str, power: bool) {
        self.nodes.lock().unwrap().remove(n);
        self.sim.kill(self.sim.find(n), power);
    }

    /// The disk is lost; the machine comes back with an empty one.
    fn wipe(&self, n: &str) {
        self.kill(n, true);
        self.sim.wipe_disk(self.sim.find(n));
        self.had.lock().unwrap().remove(n);
    }

    fn cut(&self, n: &str) {
        let m = self.sim.find(n);
        let all: Vec<usize> = self
            .stores
            .iter()
            .chain(&self.fronts)
            .map(|x| self.sim.find(x))
            .filter(|x| *x != m)
            .collect();
        self.sim.partition(&[m], &all);
        self.apart.lock().unwrap().insert(n.into());
    }

    /// Only half of the fronts see this store, and they see no other.
    fn side(&self, n: &str) {
        let m = self.sim.find(n);
        let half: Vec<usize> = self
            .fronts
            .iter()
            .skip(1)
            .step_by(2)
            .map(|f| self.sim.find(f))
            .collect();
        let rest: Vec<usize> = self
            .stores
            .iter()
            .chain(&self.fronts)
            .map(|x| self.sim.find(x))
            .filter(|x| *x != m && !half.contains(x))
            .collect();
        self.sim.partition(&[m], &rest);
        self.sim.partition(&half, &rest);
        self.fronts
            .iter()
            .skip(1)
            .step_by(2)
            .chain([&n.to_string()])
            .for_each(|x| _ = self.apart.lock().unwrap().insert(x.clone()));
    }

    fn freeze(&self, n: &str) {
        self.sim.freeze(self.sim.find(n));
        self.apart.lock().unwrap().insert(n.into());
    }

    fn calm(&self) {
        self.sim.heal();
        self.stores.iter().for_each(|n| {
            self.sim.thaw(self.sim.find(n));
            self.sim.disk(self.sim.find(n), |d| d.stalled = false);
        });
        self.apart.lock().unwrap().clear();
    }

    /// Carries the layout to whoever can be reached, and finishes changes of disks as the layout
    /// duty would.
    fn tend(&self) {
        let nodes = self.nodes.lock().unwrap().clone();
        let apart = self.apart.lock().unwrap().clone();
        let (seq, l) = self.lay.lock().unwrap().clone();
        if seq == 0 {
            return;
        }
        for (n, x) in nodes.iter().filter(|x| !apart.contains(x.0)) {
            // Now and then, so that some have it before others.
            if x.book.layout.load().0 < seq && self.sim.rand().is_multiple_of(4) {
                x.book.apply(
                    "layout",
                    seq,
                    Ballot::default(),
                    serde_json::to_vec(&l).unwrap(),
                );
                self.had.lock().unwrap().insert(n.clone(), seq);
            }
        }
        if l.store.previous.is_empty() {
            let lost = self.stores.iter().find_map(|n| {
                let x = nodes.get(n).filter(|_| !apart.contains(n))?;
                let was = l
                    .names
                    .iter()
                    .find(|y| y.1 == n && l.store.current.contains(y.0))?
                    .0
                    .clone();
                (was != x.disk).then(|| (was, x.disk.clone(), n.clone()))
            });
            if let Some((a, b, n)) = lost {
                self.change(
                    |g| {
                        g.iter_mut()
                            .filter(|d| **d == a)
                            .for_each(|d| *d = b.clone())
                    },
                    &[(b.clone(), n)],
                );
            }
            return;
        }
        let done = |d: &String| {
            nodes.iter().any(|(n, x)| {
                !apart.contains(n)
                    && x.disk == *d
                    && x.engine.as_ref().is_some_and(|e| e.sweep_status(seq).0)
            })
        };
        let k = l.store.previous.len();
        if l.store.previous.iter().filter(|d| done(d)).count() >= k - self.lost.min((k - 1) / 2) {
            let mut l = l;
            l.store.previous.clear();
            self.decide(l);
        }
    }

    fn change(&self, f: impl FnOnce(&mut Vec<String>), names: &[(String, String)]) {
        let mut l = self.lay.lock().unwrap().1.clone();
        l.store.previous = l.store.current.clone();
        f(&mut l.store.current);
        names.iter().for_each(|(d, n)| {
            l.names.insert(d.clone(), n.clone());
            l.sites.insert(d.clone(), self.sim.site(self.sim.find(n)));
        });
        self.decide(l);
    }

    fn pass(&self, ms: u64) {
        let end = self.sim.now() + ms * MS;
        while self.sim.now() < end {
            let to = (self.sim.now() + 20 * MS).min(end);
            self.sim.run(to, || false);
            self.tend();
        }
    }

    fn settled(&self) -> bool {
        let l = self.lay.lock().unwrap().clone();
        l.1.store.previous.is_empty()
            && self
                .nodes
                .lock()
                .unwrap()
                .values()
                .all(|x| x.book.layout.load().0 == l.0)
    }

    /// Waits until no change of disks is under way.
    fn until_settled(&self, ms: u64) -> bool {
        let end = self.sim.now() + ms * MS;
        self.pass(100);
        while self.sim.now() < end && !self.settled() {
            self.pass(20);
        }
        self.settled()
    }

    /// Waits until all sessions are over.
    fn finish(&self, ms: u64) {
        let end = self.sim.now() + ms * MS;
        while self.sim.now() < end && self.running.load(SeqCst) > 0 {
            self.pass(100);
        }
    }

    fn id(&self, tag: &str) -> String {
        format!("{tag}-{}", self.next.fetch_add(1, SeqCst))
    }

    fn open(&self, program: &str, turn: &str, max: u64) {
        let mut j = self.judge.lock().unwrap();
        let Some((b, m)) = j.spend.get_mut(program) else {
            return;
        };
        m.insert(turn.into(), max);
        let (b, sum) = (*b, m.values().sum::<u64>());
        if sum > b {
            j.bad(format!("{program} may put out {sum} of {b}"));
        }
    }

    fn end(&self, program: &str, turn: &str, used: u64) {
        let t = self.sim.now();
        let mut j = self.judge.lock().unwrap();
        j.spend
            .get_mut(program)
            .map(|x| x.1.insert(turn.into(), used));
        j.ended.insert(turn.into(), t);
    }

    /// A line of turns of one program through fronts picked anew each time.
    fn session(self: &Arc<Self>, p: Plan) {
        self.running.fetch_add(1, SeqCst);
        let me = self.clone();
        // Its client lives outside: a driver that no fault touches.
        let w = self.node(&self.fronts[0]).expect("a front").w;
        if let Some(b) = p.budget {
            self.judge
                .lock()
                .unwrap()
                .spend
                .entry(p.program.clone())
                .or_insert((b, BTreeMap::new()));
        }
        w.clone().spawn(async move {
            let (mut prev, mut done, mut tries) = (p.from.clone(), 0, 0);
            while done < p.turns && tries < p.turns * 3 + 20 {
                tries += 1;
                let c = me.client(w.random_index(me.fronts.len()));
                let id = me.id("t");
                let o = OpenTurn {
                    turn: id.clone(),
                    program: p.program.clone(),
                    prev: prev.clone(),
                    max_output_tokens: p.max,
                    budget: p.budget,
                };
                let t0 = w.now();
                me.judge
                    .lock()
                    .unwrap()
                    .asked
                    .insert(id.clone(), p.program.clone());
                let r = c.open(o.clone(), t0 + p.patience).await;
                me.judge.lock().unwrap().asked.remove(&id);
                match r {
                    Ok(x) => {
                        me.open(&p.program, &id, p.max);
                        let mut j = me.judge.lock().unwrap();
                        j.opened += 1;
                        j.waits.push(w.now() - t0);
                        let got: Vec<Turn> = x.chain.iter().map(|t| (**t).clone()).collect();
                        if got != j.chain(&prev) {
                            let s = format!(
                                "{id} after {prev}: chain of {} for {}",
                                got.len(),
                                j.chain(&prev).len()
                            );
                            j.bad(s);
                        }
                    }
                    Err(e) => {
                        if me.refused(&p, &id, &prev, e) {
                            break;
                        }
                        w.sleep(p.pause + 100 * MS).await;
                        continue;
                    }
                }
                w.sleep(p.run).await;
                let used = w.random() % (p.max + 1);
                let t = Turn {
                    id: id.clone(),
                    prev: prev.clone(),
                    input: Bytes::from(vec![b'i'; p.bytes]),
                    output: Bytes::from(format!("out of {id}")),
                    server: "m1".into(),
                    tokens: 10,
                    retain_ms: 600_000,
                };
                let session = p.program.clone();
                me.judge.lock().unwrap().turns.insert(
                    id.clone(),
                    Kept {
                        turn: t.clone(),
                        session,
                    },
                );
                match w.random_index(10) {
                    0 if p.settles => {
                        me.end(&p.program, &id, used);
                        c.settle(o, used);
                    }
                    // Neither: a front that crashed.
                    1 if p.settles => {}
                    _ => {
                        // All that it puts out is out: what it leaves of its most may be given to
                        // others from here on.
                        me.end(&p.program, &id, used);
                        let r = c.finish(o, t, used, w.now() + 3 * SEC).await;
                        if r.is_ok() {
                            me.judge.lock().unwrap().acked.insert(id.clone());
                            prev = id;
                            done += 1;
                        }
                    }
                }
                w.sleep(p.pause).await;
            }
            me.running.fetch_sub(1, SeqCst);
        });
    }

    /// Judges a refusal; `true` where the program is over.
    fn refused(&self, p: &Plan, id: &str, prev: &str, e: OpenTurnError) -> bool {
        let now = self.sim.now();
        let mut j = self.judge.lock().unwrap();
        let asked = j.asked.values().filter(|x| **x == p.program).count() as u64 * p.max;
        let sum = asked
            + j.spend.get(&p.program).map_or(0, |x| {
                let late = |id: &String| j.ended.get(id).is_none_or(|t| now < t + SEC);
                x.1.iter()
                    .map(|(id, n)| if late(id) { p.max.max(*n) } else { *n })
                    .sum::<u64>()
            });
        match e {
            OpenTurnError::BudgetSpent => {
                j.spent += 1;
                let b = p.budget.unwrap_or(u64::MAX);
                if p.strict && sum + p.max <= b {
                    j.bad(format!("{id} of {}: refused at {sum} of {b}", p.program));
                }
                return true;
            }
            OpenTurnError::UnknownTurn => j.bad(format!("{id}: {prev} is not known")),
            OpenTurnError::Unavailable | OpenTurnError::OutOfMemory => {
                j.away += 1;
                self.sim.append_log(&format!("{id} of {}: away", p.program));
            }
        }
        false
    }

    /// Asks for every kept turn through a front that has nothing on hand.
    fn read_back(self: &Arc<Self>) -> usize {
        let f = self.fronts.last().cloned().unwrap();
        self.kill(&f, false);
        self.boot(&f);
        self.until_settled(3000);
        self.pass(1500);
        let ids: Vec<String> = self.judge.lock().unwrap().acked.iter().cloned().collect();
        let n = ids.len();
        let x = self.node(&f).expect("the front");
        self.running.fetch_add(ids.len(), SeqCst);
        for id in ids {
            let (me, c, w) = (self.clone(), x.client.clone().unwrap(), x.w.clone());
            x.w.spawn(async move {
                let turn = me.id("read");
                let mut r = Err(OpenTurnError::Unavailable);
                for _ in 0..5 {
                    let o = OpenTurn {
                        turn: turn.clone(),
                        prev: id.clone(),
                        ..Default::default()
                    };
                    r = c.open(o, w.now() + 2 * SEC).await;
                    if !matches!(r, Err(OpenTurnError::Unavailable)) {
                        break;
                    }
                }
                let mut j = me.judge.lock().unwrap();
                match r {
                    Ok(x) => {
                        let got: Vec<Turn> = x.chain.iter().map(|t| (**t).clone()).collect();
                        let want = j.chain(&id);
                        if got != want {
                            j.bad(format!("{id}: read back {} of {}", got.len(), want.len()));
                        }
                    }
                    Err(e) => j.bad(format!("{id}: not read back: {e:?}")),
                }
                drop(j);
                me.running.fetch_sub(1, SeqCst);
            });
        }
        self.finish(60_000);
        n
    }

    fn syncs(&self) -> u64 {
        self.stores
            .iter()
            .map(|n| self.sim.disk(self.sim.find(n), |d| d.sync_count))
            .sum()
    }

    fn verdict(&self, what: &str) {
        let j = self.judge.lock().unwrap();
        let held = j
            .turns
            .values()
            .map(|k| &k.session)
            .collect::<BTreeSet<_>>()
            .len();
        println!(
            "{what}: {} opened, {} kept, {} away, {} spent, {held} programs, {} wrong",
            j.opened,
            j.acked.len(),
            j.away,
            j.spent,
            j.wrong.len()
        );
        if std::env::var("TRACE").is_ok() {
            self.sim
                .log()
                .iter()
                .for_each(|(t, n, l)| println!("{:>9} {n}: {l}", t / MS));
        }
        assert!(
            j.wrong.is_empty(),
            "{what}: {:#?}",
            &j.wrong[..j.wrong.len().min(12)]
        );
    }
}

#[derive(Clone)]
struct Plan {
    program: String,
    from: String,
    turns: usize,
    max: u64,
    budget: Option<u64>,
    bytes: usize,
    /// us that a turn runs, and that its client rests.
    run: u64,
    pause: u64,
    /// us that an opening may take.
    patience: u64,
    /// Some turns are settled without being kept, some not even that.
    settles: bool,
    /// A refusal must be right.
    strict: bool,
}

impl Plan {
    fn of(program: &str) -> Plan {
        Plan {
            program: program.into(),
            from: String::new(),
            turns: 6,
            max: 20,
            budget: Some(1_000),
            bytes: 500,
            run: 30 * MS,
            pause: 50 * MS,
            patience: 2 * SEC,
            settles: false,
            strict: true,
        }
    }
}

#[test]
fn a_chain_is_kept_and_handed_on() {
    let t = Town::new(1, 4, 3, 1);
    (0..10).for_each(|i| t.session(Plan::of(&format!("p{i}"))));
    (0..3).for_each(|_| {
        t.session(Plan {
            budget: None,
            ..Plan::of("")
        })
    });
    t.finish(20_000);
    assert_eq!(t.judge.lock().unwrap().acked.len(), 13 * 6);
    assert_eq!(t.read_back(), 78);
    t.verdict("plain");
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Kill,
    Power,
    Freeze,
    Cut,
    Wipe,
    /// As many stores as may be lost are on one side with some fronts.
    Side,
    /// Its disk hangs.
    Stall,
    All,
}

const FAULTS: [Fault; 8] = [
    Fault::Stall,
    Fault::Kill,
    Fault::Power,
    Fault::Freeze,
    Fault::Cut,
    Fault::Wipe,
    Fault::Side,
    Fault::All,
];

impl Town {
    /// Loses as many stores as may be lost, each in its own way, and brings them back whole before
    /// it ends.
    fn suffer(self: &Arc<Self>, kinds: &[Fault]) {
        let r = |n: u64| self.sim.rand() % n;
        let kind = kinds[r(kinds.len() as u64) as usize];
        if kind == Fault::All {
            self.stores.iter().for_each(|n| self.kill(n, true));
            self.pass(500 + r(1000));
            self.stores.iter().for_each(|n| self.boot(n));
        } else {
            let mut left = self.stores.clone();
            let hit: Vec<String> = (0..self.lost)
                .map(|_| left.swap_remove(r(left.len() as u64) as usize))
                .collect();
            for n in &hit {
                match kind {
                    Fault::Side => self.side(n),
                    Fault::Stall => self.sim.disk(self.sim.find(n), |d| d.stalled = true),
                    Fault::Kill => self.kill(n, false),
                    Fault::Power => self.kill(n, true),
                    Fault::Freeze => self.freeze(n),
                    Fault::Cut => self.cut(n),
                    _ => self.wipe(n),
                }
                self.pass(r(30));
            }
            self.pass(300 + r(4000));
            self.calm();
            hit.iter()
                .filter(|n| !self.sim.is_up(self.sim.find(n)))
                .for_each(|n| self.boot(n));
        }
        self.pass(1500);
        assert!(
            self.until_settled(20_000),
            "{kind:?}: the disks are not whole again"
        );
        self.pass(300);
    }
}

fn storm(
    seed: u64,
    stores: usize,
    lost: usize,
    rounds: usize,
    kinds: &[Fault],
    plans: &[Plan],
) -> Arc<Town> {
    let t = Town::new(seed, stores, 4, lost);
    if seed % 2 == 1 {
        t.sim.set_network_conditions(NetworkConditions {
            drop_per_mille: 5,
            duplicate_per_mille: 20,
            delay_per_mille: 20,
            max_jitter: 2 * MS,
        });
    }
    plans.iter().for_each(|p| t.session(p.clone()));
    t.pass(500);
    (0..rounds).for_each(|_| t.suffer(kinds));
    t.finish(120_000);
    assert_eq!(t.running.load(SeqCst), 0, "seed {seed}: sessions hang");
    let n = t.read_back();
    t.verdict(&format!("seed {seed}, {n} read back"));
    t
}

/// These seeds, or those named as `SEEDS=FIRST..LAST`.
fn seeds(d: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let v = std::env::var("SEEDS").ok();
    v.and_then(|s| {
        s.split_once("..")
            .and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?))
    })
    .unwrap_or(d)
}

fn shared(budget: u64, n: usize) -> Vec<Plan> {
    (0..n)
        .map(|_| Plan {
            budget: Some(budget),
            turns: 400,
            pause: 150 * MS,
            settles: true,
            strict: false,
            ..Plan::of("one")
        })
        .collect()
}

#[test]
fn a_budget_is_never_passed_whatever_is_lost() {
    for seed in seeds(100..112) {
        let t = storm(seed, 4, 1, 3, &FAULTS, &shared(8_000, 12));
        let j = t.judge.lock().unwrap();
        let sum: u64 = j.spend["one"].1.values().sum();
        println!("seed {seed}: {sum} of 8000 put out");
        assert!(
            sum > 7_600,
            "seed {seed}: refused at {sum}: what turns left of their most is not counted back"
        );
    }
    storm(120, 9, 2, 3, &FAULTS, &shared(8_000, 12));
}

#[test]
fn a_refusal_for_the_budget_is_right_while_nothing_is_lost() {
    let t = Town::new(2, 4, 4, 1);
    for i in 0..6 {
        (0..4).for_each(|_| {
            t.session(Plan {
                budget: Some(400),
                turns: 60,
                pause: 1200 * MS,
                ..Plan::of(&format!("p{i}"))
            })
        });
    }
    t.finish(200_000);
    t.verdict("refusals");
    assert_eq!(t.judge.lock().unwrap().spent, 24);
}

#[test]
fn what_was_kept_comes_back_whole_whatever_is_lost() {
    let plans: Vec<Plan> = (0..12)
        .map(|i| Plan {
            turns: 40,
            pause: 300 * MS,
            budget: (i % 3 > 0).then_some(100_000),
            ..Plan::of(&format!("p{i}"))
        })
        .collect();
    for seed in seeds(200..212) {
        storm(seed, 4, 1, 4, &FAULTS, &plans);
    }
    storm(220, 9, 2, 4, &FAULTS, &plans);
    storm(221, 3, 1, 4, &FAULTS, &plans);
}

#[test]
fn one_disk_after_the_other_may_be_lost() {
    let plans: Vec<Plan> = (0..10)
        .map(|i| Plan {
            turns: 25,
            ..Plan::of(&format!("p{i}"))
        })
        .collect();
    for seed in 300..304 {
        let t = Town::new(seed, 4, 4, 1);
        plans.iter().for_each(|p| t.session(p.clone()));
        t.finish(60_000);
        for n in t.stores.clone() {
            t.wipe(&n);
            t.pass(100);
            t.boot(&n);
            let t0 = t.sim.now();
            t.pass(1000);
            assert!(t.until_settled(10_000), "seed {seed}: {n} is not filled");
            println!(
                "{n} filled {} ms after it came back",
                (t.sim.now() - t0) / MS
            );
        }
        t.stores.iter().for_each(|n| t.kill(n, true));
        t.stores.iter().for_each(|n| t.boot(n));
        assert_eq!(t.read_back(), 250);
        t.verdict(&format!("seed {seed}"));
    }
}

/// What one store answers to one question, asked of it directly.
fn told(t: &Arc<Town>, n: &str, disk: &str, lay: u64, what: TurnLogOperation) -> TurnLogResponse {
    let x = t.node(n).expect("a store that runs");
    let got: Arc<Mutex<Option<TurnLogResponse>>> = Arc::default();
    let (g, a) = (
        got.clone(),
        encode(&TurnLogRequest {
            layout_version: lay,
            disk: disk.into(),
            timeout_us: SEC,
            operation: what,
        }),
    );
    x.w.spawn(async move {
        let b = x.engine.unwrap().handle(a, WIRE_VERSION).await;
        *g.lock().unwrap() = decode(&b);
    });
    t.pass(100);
    let v = got.lock().unwrap().take();
    v.expect("an answer")
}

#[test]
fn a_store_accepts_only_what_it_promised() {
    let t = Town::new(9, 4, 2, 1);
    let d = t.disk("store1");
    let ledger = |n, e: &[(&str, LedgerEntry)]| LedgerRecord {
        program: "p".into(),
        epoch: Ballot {
            number: n,
            proposer_id: 7,
        },
        entries: e.iter().map(|(k, e)| (k.to_string(), *e)).collect(),
        retain_ms: 1000,
    };
    let ask = |what| told(&t, "store1", &d, 1, what);
    let (open, done) = (("a", LedgerEntry::Open(5)), ("a", LedgerEntry::Done(2)));
    let e = |n| Ballot {
        number: n,
        proposer_id: 7,
    };
    assert_eq!(
        ask(TurnLogOperation::AppendEntries {
            ledger: ledger(1, &[open])
        }),
        TurnLogResponse::StaleEpoch(Ballot::default()),
        "nothing was promised"
    );
    assert_eq!(
        ask(TurnLogOperation::AcquireLedger {
            ledger: ledger(3, &[open])
        }),
        TurnLogResponse::LedgerAcquired(vec![("a".into(), LedgerEntry::Open(5))])
    );
    assert_eq!(
        ask(TurnLogOperation::AcquireLedger {
            ledger: ledger(2, &[])
        }),
        TurnLogResponse::StaleEpoch(e(3)),
        "a promise goes back"
    );
    assert_eq!(
        ask(TurnLogOperation::AppendEntries {
            ledger: ledger(2, &[])
        }),
        TurnLogResponse::StaleEpoch(e(3))
    );
    assert_eq!(
        ask(TurnLogOperation::AppendEntries {
            ledger: ledger(4, &[])
        }),
        TurnLogResponse::StaleEpoch(e(3)),
        "an epoch that was never promised"
    );
    assert_eq!(
        ask(TurnLogOperation::StoreTurns {
            rows: vec![],
            ledger: Some(ledger(9, &[done]))
        }),
        TurnLogResponse::Ok
    );
    assert_eq!(
        ask(TurnLogOperation::AppendEntries {
            ledger: ledger(3, &[open])
        }),
        TurnLogResponse::Ok
    );
    assert_eq!(
        ask(TurnLogOperation::AcquireLedger {
            ledger: ledger(4, &[])
        }),
        TurnLogResponse::LedgerAcquired(vec![("a".into(), LedgerEntry::Done(2))]),
        "what is done stands"
    );
    assert_eq!(
        told(
            &t,
            "store1",
            "another",
            1,
            TurnLogOperation::AcquireLedger {
                ledger: ledger(5, &[])
            }
        ),
        TurnLogResponse::Unavailable,
        "meant for another disk"
    );
    let row = |id: &str, prev: &str| {
        let turn = Turn {
            id: id.into(),
            prev: prev.into(),
            retain_ms: 60_000,
            ..Default::default()
        };
        StoredTurn {
            turn: Arc::new(turn),
            program: "p".into(),
            ended_at_ms: 1_790_000_000_000,
        }
    };
    assert_eq!(
        ask(TurnLogOperation::StoreTurns {
            rows: vec![row("y", "x")],
            ledger: None
        }),
        TurnLogResponse::MissingParent("x".into())
    );
    assert_eq!(
        ask(TurnLogOperation::FindHistory { id: "y".into() }),
        TurnLogResponse::NotStored,
        "what was refused is not kept"
    );
    assert_eq!(
        ask(TurnLogOperation::StoreTurns {
            rows: vec![row("x", ""), row("y", "x")],
            ledger: None
        }),
        TurnLogResponse::Ok
    );
    assert_eq!(
        ask(TurnLogOperation::FindHistory { id: "y".into() }),
        TurnLogResponse::History(vec![row("y", "x"), row("x", "")])
    );
    t.kill("store1", true);
    t.boot("store1");
    t.pass(500);
    let ask = |what| told(&t, "store1", &d, 1, what);
    assert_eq!(
        ask(TurnLogOperation::AppendEntries {
            ledger: ledger(3, &[])
        }),
        TurnLogResponse::StaleEpoch(e(4)),
        "a promise outlasts the power"
    );
    assert_eq!(
        ask(TurnLogOperation::FindHistory { id: "y".into() }),
        TurnLogResponse::History(vec![row("y", "x"), row("x", "")])
    );
    t.change(|_| (), &[]);
    assert!(t.until_settled(5_000));
    assert_eq!(
        ask(TurnLogOperation::FindHistory { id: "z".into() }),
        TurnLogResponse::NewerLayout(t.lay.lock().unwrap().0),
        "by a layout that is over"
    );
}

#[test]
fn an_owner_that_falls_silent_holds_a_turn_up_for_half_a_second() {
    for (seed, f) in [
        (700, Fault::Freeze),
        (701, Fault::Power),
        (702, Fault::Cut),
        (703, Fault::Stall),
        (704, Fault::Kill),
    ] {
        let t = Town::new(seed, 4, 4, 1);
        (0..20).for_each(|i| {
            t.session(Plan {
                turns: 40,
                pause: 60 * MS,
                patience: SEC,
                ..Plan::of(&format!("p{i}"))
            })
        });
        t.pass(1_000);
        t.judge.lock().unwrap().waits.clear();
        match f {
            Fault::Freeze => t.freeze("store2"),
            Fault::Power => t.kill("store2", true),
            Fault::Cut => t.cut("store2"),
            Fault::Stall => t.sim.disk(t.sim.find("store2"), |d| d.stalled = true),
            _ => t.kill("store2", false),
        }
        t.pass(2_500);
        let (n, away) = {
            let j = t.judge.lock().unwrap();
            (j.waits.iter().max().cloned().unwrap_or(0) / MS, j.away)
        };
        println!("{f:?}: longest opening {n} ms, {away} sent back");
        t.calm();
        t.finish(20_000);
        t.verdict(&format!("{f:?}"));
        assert!(away == 0 && n < 900, "{f:?}: {n} ms, {away} sent back");
    }
}

#[test]
fn a_torn_end_is_no_damage_however_often_the_power_goes() {
    let mut torn = 0;
    for seed in 800..803 {
        let t = Town::new(seed, 4, 3, 1);
        for round in 0..3 {
            (0..30).for_each(|i| {
                t.session(Plan {
                    turns: 30,
                    run: MS,
                    pause: MS,
                    budget: None,
                    ..Plan::of(&format!("p{round}-{i}"))
                })
            });
            t.sim
                .run(t.sim.now() + 20 * MS + t.sim.rand() % (40 * MS), || false);
            t.stores.iter().for_each(|n| t.kill(n, true));
            t.pass(200);
            t.stores.iter().for_each(|n| t.boot(n));
            t.pass(1_000);
            for n in &t.stores {
                let e = t.node(n).and_then(|x| x.engine).unwrap();
                assert!(
                    !e.recovery_pending.load(SeqCst),
                    "seed {seed}, round {round}: {n} takes a torn end for damage"
                );
                torn += e.metrics()["torn"];
            }
        }
        t.finish(60_000);
        t.read_back();
        t.verdict(&format!("seed {seed}, {torn} torn so far"));
    }
    assert!(torn > 2, "{torn} torn");
}

#[test]
fn what_is_enough_to_read_meets_what_is_enough_to_write() {
    arbtest::arbtest(|u| {
        let lost = u.int_in_range(0..=3)?;
        let mut l = Layout::default();
        let all: Vec<String> = (0..12).map(|i| format!("d{i}")).collect();
        for (i, d) in all.iter().enumerate() {
            // Three at least stay.
            let (now, old) = (i < 3 || u.ratio(1, 2)?, i < 3 || u.ratio(1, 2)?);
            l.store.current.extend(now.then(|| d.clone()));
            l.store.previous.extend(old.then(|| d.clone()));
        }
        if u.ratio(1, 3)? {
            l.store.previous.clear();
        }
        let s = StoreReplicas::of(1, &l, lost);
        let mut some = || -> arbtest::arbitrary::Result<BTreeSet<&String>> {
            let mut v = BTreeSet::new();
            for d in &all {
                if u.ratio(2, 3)? {
                    v.insert(d);
                }
            }
            Ok(v)
        };
        let (a, b) = (some()?, some()?);
        let has = |v: &BTreeSet<&String>, d: &str| v.iter().any(|x| *x == d);
        for g in [&l.store.current, &l.store.previous]
            .into_iter()
            .filter(|g| !g.is_empty())
        {
            let n = |v: &BTreeSet<&String>| g.iter().filter(|d| v.contains(d)).count();
            if s.is_write_quorum(|d| has(&a, d)) {
                assert!(
                    n(&a) > lost.min((g.len() - 1) / 2),
                    "it does not outlast the losses"
                );
                if s.is_read_quorum(|d| has(&b, d)) {
                    assert!(
                        g.iter().any(|d| a.contains(d) && b.contains(d)),
                        "they do not meet"
                    );
                }
            }
        }
        Ok(())
    });
}

#[test]
fn what_is_answered_outlasts_a_loss_of_power_in_that_moment() {
    for seed in 900..908 {
        let t = Town::new(seed, 4, 2, 1);
        let d = t.disk("store1");
        let epoch = Ballot {
            number: 5,
            proposer_id: 7,
        };
        let ledger = |e: &[(&str, LedgerEntry)]| LedgerRecord {
            program: "p".into(),
            epoch,
            entries: e.iter().map(|(k, e)| (k.to_string(), *e)).collect(),
            retain_ms: 100_000,
        };
        let turn = Turn {
            id: "x".into(),
            input: Bytes::from(vec![1; 9_000]),
            retain_ms: 600_000,
            ..Default::default()
        };
        let row = StoredTurn {
            turn: Arc::new(turn),
            program: "p".into(),
            ended_at_ms: 1_790_000_000_000,
        };
        let all = [
            TurnLogOperation::AcquireLedger {
                ledger: ledger(&[("a", LedgerEntry::Open(3))]),
            },
            TurnLogOperation::AppendEntries {
                ledger: ledger(&[("b", LedgerEntry::Open(4))]),
            },
            TurnLogOperation::StoreTurns {
                rows: vec![row.clone()],
                ledger: Some(ledger(&[("a", LedgerEntry::Done(1))])),
            },
        ];
        for what in all {
            let x = t.node("store1").expect("a store that runs");
            let done = Arc::new(AtomicUsize::new(0));
            let (n, a) = (
                done.clone(),
                encode(&TurnLogRequest {
                    layout_version: 1,
                    disk: d.clone(),
                    timeout_us: SEC,
                    operation: what,
                }),
            );
            x.w.spawn(async move {
                let b = x.engine.unwrap().handle(a, WIRE_VERSION).await;
                assert!(matches!(
                    decode(&b),
                    Some(TurnLogResponse::Ok | TurnLogResponse::LedgerAcquired(_))
                ));
                n.store(1, SeqCst);
            });
            t.sim.run(t.sim.now() + SEC, || done.load(SeqCst) > 0);
            t.kill("store1", true);
            t.boot("store1");
            t.pass(300);
        }
        assert_eq!(
            told(
                &t,
                "store1",
                &d,
                1,
                TurnLogOperation::FindHistory { id: "x".into() }
            ),
            TurnLogResponse::History(vec![row]),
            "seed {seed}"
        );
        let TurnLogResponse::LedgerAcquired(mut v) = told(
            &t,
            "store1",
            &d,
            1,
            TurnLogOperation::AcquireLedger {
                ledger: ledger(&[]),
            },
        ) else {
            panic!("seed {seed}: no promise")
        };
        v.sort_by(|a, b| a.0.cmp(&b.0));
        assert_eq!(
            v,
            [
                ("a".to_string(), LedgerEntry::Done(1)),
                ("b".to_string(), LedgerEntry::Open(4))
            ],
            "seed {seed}"
        );
    }
}

/// An owner whose promise was given by disks that have left must not count on them, even if a disk
/// that it never heard of hears its old question late.
#[test]
fn an_owner_asks_anew_when_its_disks_have_changed() {
    let mut seen = 0;
    for seed in 600..606 {
        let t = Town::new(seed, 4, 2, 1);
        let d: Vec<String> = t.stores.iter().map(|n| t.disk(n)).collect();
        t.change(|g| g.retain(|x| *x != d[3]), &[]);
        assert!(t.until_settled(5_000));
        let lay = || t.lay.lock().unwrap().0;
        let open = |n: usize, turn: &str, max, take| {
            let (program, turn, need) = ("p".to_string(), turn.to_string(), String::new());
            told(
                &t,
                &t.stores[n],
                &d[n],
                lay(),
                TurnLogOperation::OpenTurn {
                    program,
                    turn,
                    max_output_tokens: max,
                    budget: Some(100),
                    parent: need,
                    take_over: take,
                },
            )
        };
        t.kill("store2", true);
        assert_eq!(
            open(0, "a", 10, false),
            TurnLogResponse::Opened { rows: vec![] }
        );
        let promise = |n: &str| {
            t.node(n)
                .unwrap()
                .engine
                .unwrap()
                .index
                .lock()
                .unwrap()
                .ledgers["p"]
                .promised
        };
        let e = promise("store1");
        t.boot("store2");
        t.pass(3_000);
        let was = d[2].clone();
        t.change(
            |g| {
                g.iter_mut()
                    .filter(|x| **x == was)
                    .for_each(|x| *x = d[3].clone())
            },
            &[(d[3].clone(), "store4".into())],
        );
        assert!(t.until_settled(5_000));
        t.cut("store1");
        assert_eq!(
            open(1, "b", 85, true),
            TurnLogResponse::Opened { rows: vec![] }
        );
        t.calm();
        t.pass(3_000);
        if promise("store2") >= e {
            continue;
        }
        seen += 1;
        let late = LedgerRecord {
            program: "p".into(),
            epoch: e,
            entries: vec![],
            retain_ms: 1000,
        };
        assert!(matches!(
            told(
                &t,
                "store4",
                &d[3],
                lay(),
                TurnLogOperation::AcquireLedger { ledger: late }
            ),
            TurnLogResponse::LedgerAcquired(_)
        ));
        assert_ne!(
            open(0, "c", 10, true),
            TurnLogResponse::Opened { rows: vec![] },
            "seed {seed}: 105 of 100"
        );
    }
    assert!(seen > 0);
}

#[test]
fn syncs_a_turn_under_load() {
    for (stores, lost, rate) in [(4, 1, 100u64), (4, 1, 250), (9, 2, 250)] {
        let t = Town::new(5, stores, 4, lost);
        let n = (rate / 2) as usize;
        // Each line takes two turns a second.
        (0..n).for_each(|i| {
            t.session(Plan {
                turns: 20,
                run: 250 * MS,
                pause: 243 * MS,
                bytes: 4_000,
                ..Plan::of(&format!("p{i}"))
            });
            t.pass(7);
        });
        let (s0, t0, k0) = (t.syncs(), t.sim.now(), t.judge.lock().unwrap().acked.len());
        t.pass(5_000);
        let (s1, t1, k1) = (t.syncs(), t.sim.now(), t.judge.lock().unwrap().acked.len());
        t.finish(60_000);
        t.verdict("load");
        let mut w = t.judge.lock().unwrap().waits.clone();
        w.sort();
        let per = (s1 - s0) as f64 / (k1 - k0) as f64;
        let at = |q: usize| w[w.len() * q / 100] as f64 / 1000.0;
        println!(
            "{stores} stores, {:.0} turns/s: {per:.2} syncs a turn; opening ms: half {:.1}, 99 in 100 {:.1}, most {:.1}",
            (k1 - k0) as f64 * 1e6 / (t1 - t0) as f64,
            at(50),
            at(99),
            *w.last().unwrap() as f64 / 1000.0
        );
        // One for the owner and each that stands by it, at the opening and at the end.
        assert!(per < 2.0 * (lost as f64 + 1.0) + 0.2);
    }
}

impl Town {
    fn disk(&self, n: &str) -> String {
        self.node(n).expect("a store that runs").disk
    }

    fn records(&self, n: &str) -> usize {
        self.node(n)
            .and_then(|x| x.engine)
            .map_or(0, |e| e.index.lock().unwrap().turns.len())
    }
}

#[test]
fn disks_may_leave_come_and_be_replaced_while_turns_go_on() {
    for seed in seeds(400..406) {
        let t = Town::new(seed, 6, 4, 1);
        // Two of the six machines are spare at first.
        let (spare, also) = (t.disk("store5"), t.disk("store6"));
        t.change(|g| g.retain(|d| *d != spare && *d != also), &[]);
        assert!(t.until_settled(5_000));
        (0..10).for_each(|i| {
            t.session(Plan {
                turns: 60,
                pause: 100 * MS,
                budget: Some(100_000),
                ..Plan::of(&format!("p{i}"))
            })
        });
        (0..6).for_each(|_| {
            t.session(Plan {
                turns: 400,
                pause: 150 * MS,
                settles: true,
                strict: false,
                budget: Some(6_000),
                ..Plan::of("one")
            })
        });
        t.pass(2_000);
        t.change(
            |g| g.push(spare.clone()),
            &[(spare.clone(), "store5".into())],
        );
        assert!(
            t.until_settled(5_000),
            "seed {seed}: the added disk is not filled"
        );
        let gone = t.disk("store1");
        t.change(|g| g.retain(|d| *d != gone), &[]);
        assert!(
            t.until_settled(5_000),
            "seed {seed}: the leaving disk is not emptied"
        );
        t.wipe("store1");
        t.pass(1_000);
        let moved = t.disk("store2");
        t.change(
            |g| {
                g.iter_mut()
                    .filter(|d| **d == moved)
                    .for_each(|d| *d = also.clone())
            },
            &[(also.clone(), "store6".into())],
        );
        assert!(
            t.until_settled(5_000),
            "seed {seed}: the new disk is not filled"
        );
        t.wipe("store2");
        t.pass(500);
        // And only now one is lost for good.
        t.wipe("store3");
        t.finish(60_000);
        assert_eq!(t.running.load(SeqCst), 0);
        let n = t.read_back();
        t.verdict(&format!("seed {seed}, {n} read back"));
    }
}

#[test]
fn a_disk_is_filled_well_within_two_seconds() {
    let t = Town::new(6, 4, 3, 1);
    for i in 0..50 {
        t.session(Plan {
            turns: 40,
            run: MS,
            pause: 100 * MS,
            bytes: 30_000,
            budget: Some(100_000),
            ..Plan::of(&format!("p{i}"))
        });
        t.pass(1);
    }
    t.finish(120_000);
    let n = t.records("store2");
    assert!(n > 800, "{n}");
    t.wipe("store2");
    t.pass(100);
    let was = t.lay.lock().unwrap().0;
    let t0 = t.sim.now();
    t.boot("store2");
    while t.lay.lock().unwrap().0 == was {
        t.pass(20);
    }
    let t1 = t.sim.now();
    assert!(t.until_settled(10_000));
    let (back, took) = (t.records("store2"), (t.sim.now() - t1) / MS);
    println!(
        "{n} turns of 30 kB: {back} back {took} ms after the layout named the disk, {} ms after it came up",
        (t.sim.now() - t0) / MS
    );
    assert!(took < 2_000);
    t.kill("store1", true);
    t.pass(2000);
    t.read_back();
    t.verdict("filled");
}

#[test]
fn a_damaged_disk_says_neither_no_nor_yes_until_it_is_mended() {
    for seed in seeds(500..506) {
        let t = Town::new(seed, 4, 4, 1);
        (0..10).for_each(|i| {
            t.session(Plan {
                turns: 20,
                ..Plan::of(&format!("p{i}"))
            })
        });
        t.finish(60_000);
        let m = t.sim.find("store2");
        t.kill("store2", true);
        let hit = t.sim.disk(m, |d| d.flip_bit("chain/", seed * 7919));
        assert!(hit.is_some(), "nothing to damage");
        // Alone it cannot be mended, and answers for nothing that it does not hold.
        let others: Vec<String> = t
            .stores
            .iter()
            .filter(|n| *n != "store2")
            .cloned()
            .collect();
        others.iter().for_each(|n| t.kill(n, true));
        t.boot("store2");
        t.pass(300);
        let d = t.disk("store2");
        assert_eq!(
            told(
                &t,
                "store2",
                &d,
                1,
                TurnLogOperation::FindHistory { id: "never".into() }
            ),
            TurnLogResponse::Unavailable,
            "seed {seed}"
        );
        let ledger = LedgerRecord {
            program: "p0".into(),
            epoch: Ballot {
                number: 99,
                proposer_id: 1,
            },
            ..Default::default()
        };
        assert_eq!(
            told(
                &t,
                "store2",
                &d,
                1,
                TurnLogOperation::AcquireLedger { ledger }
            ),
            TurnLogResponse::Unavailable,
            "seed {seed}"
        );
        others.iter().for_each(|n| t.boot(n));
        t.pass(3_000);
        let e = t.node("store2").and_then(|x| x.engine).unwrap();
        assert!(!e.recovery_pending.load(SeqCst), "seed {seed}: not mended");
        t.wipe("store3");
        t.pass(2_000);
        t.read_back();
        t.verdict(&format!("seed {seed}"));
        assert!(
            t.sim.log().iter().any(|l| l.2.contains("damaged segment")),
            "seed {seed}: the damage went unseen"
        );
    }
}

#[test]
fn what_is_over_goes_and_what_follows_keeps_what_came_before() {
    let t = Town::new(7, 4, 3, 1);
    let c = t.client(1);
    let w = t.node("front1").unwrap().w;
    let seen: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let (me, s) = (t.clone(), seen.clone());
    w.clone().spawn(async move {
        let turn = |id: &str, prev: &str, keep: u64| Turn {
            id: id.into(),
            prev: prev.into(),
            input: Bytes::from_static(b"in"),
            output: Bytes::from_static(b"out"),
            retain_ms: keep,
            ..Default::default()
        };
        let o = |id: &str, prev: &str| OpenTurn {
            turn: id.into(),
            prev: prev.into(),
            ..Default::default()
        };
        let end = w.now() + 2 * SEC;
        // Alone, and followed by one that is kept longer.
        for (id, prev, keep) in [
            ("alone", "", 5_000),
            ("first", "", 5_000),
            ("second", "first", 200_000),
        ] {
            c.open(o(id, prev), end).await.unwrap();
            c.finish(o(id, prev), turn(id, prev, keep), 0, end)
                .await
                .unwrap();
        }
        w.sleep(100 * SEC).await;
        for id in ["alone", "first", "second", "never"] {
            let r = me
                .client(2)
                .open(o(&me.id("r"), id), w.now() + 2 * SEC)
                .await;
            s.lock().unwrap().push((
                id.into(),
                r.map(|x| x.chain.len().to_string())
                    .unwrap_or_else(|e| format!("{e:?}")),
            ));
        }
    });
    t.pass(110_000);
    let v = seen.lock().unwrap().clone();
    let want = [
        ("alone", "UnknownTurn"),
        ("first", "1"),
        ("second", "2"),
        ("never", "UnknownTurn"),
    ];
    assert_eq!(v, want.map(|(a, b)| (a.to_string(), b.to_string())));
}

#[test]
fn the_log_does_not_grow_beyond_what_lives() {
    let t = Town::new(8, 4, 3, 1);
    // 250 MB in all, each kept for ten minutes by its word, so only the clock can end it: here none
    // may be lost.
    for i in 0..50 {
        t.session(Plan {
            turns: 25,
            run: MS,
            pause: 20 * MS,
            bytes: 20_000,
            budget: None,
            ..Plan::of(&format!("p{i}"))
        });
    }
    t.finish(60_000);
    t.pass(5_000);
    let logs: u64 = t
        .stores
        .iter()
        .map(|n| t.sim.disk(t.sim.find(n), |d| d.bytes_under("chain/")))
        .sum();
    println!("{logs} bytes of log for {}", 2 * 50 * 25 * 20_000);
    assert!(logs < 3 * 50 * 25 * 20_000 + 4 * (LOG_SLACK_BYTES + SEGMENT_BYTES));
    t.pass(680_000);
    let logs: u64 = t
        .stores
        .iter()
        .map(|n| t.sim.disk(t.sim.find(n), |d| d.bytes_under("chain/")))
        .sum();
    println!("{logs} bytes of log when all is over");
    assert!(logs < 4 * 2 * SEGMENT_BYTES);
}

/// What a program's budget let through when all its turns are asked for at once while every store
/// starts anew.
fn rush(seed: u64) -> Arc<Town> {
    let t = Town::new(seed, 9, 4, 2);
    t.stores.iter().for_each(|n| t.kill(n, false));
    t.pass(700);
    let at_once = Plan {
        turns: 3,
        max: 135,
        budget: Some(270),
        run: 800 * MS,
        pause: 20 * MS,
        strict: false,
        ..Plan::of("rush")
    };
    (0..30).for_each(|_| t.session(at_once.clone()));
    t.stores.iter().for_each(|n| t.boot(n));
    t.finish(60_000);
    t
}

#[test]
fn what_an_unanswered_opening_left_is_weighed_against_the_budget() {
    seeds(600..612).for_each(|s| rush(s).verdict(&format!("seed {s}")));
}

#[test]
fn a_budget_long_at_rest_outlives_the_segments_of_the_log() {
    let t = Town::new(9, 4, 3, 1);
    let one = Plan {
        turns: 5,
        max: 20,
        budget: Some(100),
        ..Plan::of("rest")
    };
    t.session(one.clone());
    t.finish(20_000);
    for i in 0..50 {
        let p = Plan {
            turns: 25,
            run: MS,
            pause: 20 * MS,
            bytes: 20_000,
            budget: None,
            ..Plan::of(&format!("p{i}"))
        };
        t.session(p);
    }
    t.finish(60_000);
    t.pass(30_000);
    let held = |n: &str| {
        t.node(n)
            .and_then(|x| x.engine)
            .is_some_and(|e| e.index.lock().unwrap().ledgers.contains_key("rest"))
    };
    let before: Vec<String> = t.stores.iter().filter(|n| held(n)).cloned().collect();
    assert!(before.len() >= 2);
    t.stores.iter().for_each(|n| t.kill(n, true));
    t.pass(500);
    t.stores.iter().for_each(|n| t.boot(n));
    t.pass(3_000);
    let after: Vec<String> = t.stores.iter().filter(|n| held(n)).cloned().collect();
    assert_eq!(before, after);
    t.verdict("rest");
}
