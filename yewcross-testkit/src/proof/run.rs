//! Runs scenarios in the simulator and gathers their evidence.

use crate::caller;
use crate::caller::Heard;
use crate::proof::checks::{back_ms, judge};
use crate::proof::evidence::{Cap, Evidence};
use crate::proof::lab::{Lab, Proc};
use crate::proof::scenario::{Act, Plan};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use yewcross_common::constants::{MS, SEC};
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::ConfigDoc;

pub fn run(p: &Plan) -> Evidence {
    let lab = Lab::of(p.seed, &p.shape, |sh| {
        let one = sh.mix.turns[0].1.clone();
        sh.mix
            .turns
            .iter_mut()
            .filter(|_| p.one_purse)
            .for_each(|m| m.1 = one.clone());
    });
    {
        let mut t = lab.text.lock().unwrap();
        let talk = &mut t["families"]["talk"];
        if p.no_share {
            talk["set"]["kv_share"] = json!(false);
        }
        talk["set"]["repeatable"] = json!(p.repeatable);
        lab.sh.mix.turns.iter().for_each(|m| {
            let n = p.budget.unwrap_or(50_000_000);
            talk["under"][&m.0]["set"]["budget"] = json!(m.1);
            let mut g = lab.accounts.lock().unwrap();
            let a = g.entry(m.1.clone()).or_default();
            a.programs.insert(m.0.clone());
            a.turn = a.turn.max(m.5);
            a.caps = vec![Cap { from: 0, tokens: n }];
        });
        lab.accounts
            .lock()
            .unwrap()
            .iter()
            .for_each(|(b, a)| t["budgets"][b]["tokens"] = json!(a.caps[0].tokens));
    }
    if p.acts.contains(&Act::RollUpgrade) {
        lab.old
            .lock()
            .unwrap()
            .extend(lab.sh.nodes.iter().map(|n| n.name.clone()));
    }
    lab.boot("platform");
    lab.sh.backs.iter().for_each(|b| lab.boot(&b.server));
    lab.sh.nodes.iter().for_each(|n| lab.boot(&n.name));
    let (me, plan) = (lab.clone(), p.clone());
    let over = Arc::new(Mutex::new((false, false, 0u64)));
    let o = over.clone();
    lab.op.spawn(async move {
        me.op.sleep(1500 * MS).await;
        let ok = me.found().await && me.put("core1", 1, "first").await.code == 1000;
        o.lock().unwrap().1 = ok;
        me.op.sleep(4 * SEC).await;
        if let Some(sin) = plan.sin {
            for f in me.sh.of(Role::Front) {
                let m = me.sim.find(&f.name);
                me.sim.kill(m, false);
                let w = me.sim.boot(m);
                w.clone()
                    .spawn(crate::rogue::start(me.clone(), w, f.http, sin));
            }
            crate::rogue::prepare(&me, sin).await;
        }
        let w = me.sim.boot(me.sim.find("callers"));
        (0..plan.sessions).for_each(|i| {
            w.spawn(caller::session(
                w.clone(),
                me.sh.clone(),
                me.diary.clone(),
                i,
                100_000,
            ))
        });
        me.op.sleep(6 * SEC).await;
        for a in plan.acts {
            me.clone().act(a).await;
            me.op.sleep(SEC + me.sim.rand() % (3 * SEC)).await;
        }
        me.op.sleep(13 * SEC).await;
        // With all at rest a put must get through, whichever core it is sent to.
        if plan.sin.is_none() {
            let base = me.version().await;
            let up: Vec<String> = me
                .names(Role::Core)
                .into_iter()
                .filter(|n| me.sim.is_up(me.sim.find(n)))
                .collect();
            me.put(&up[me.sim.rand() as usize % up.len()], base, "last")
                .await;
            me.op.sleep(3 * SEC).await;
        }
        me.diary.stop.store(true, SeqCst);
        me.op.sleep(9 * SEC).await;
        let mut g = o.lock().unwrap();
        g.0 = true;
        g.2 = me.sim.now();
    });
    lab.sim.run(400 * SEC, || over.lock().unwrap().0);
    let got: Arc<Mutex<Option<(u64, ConfigDoc)>>> = Default::default();
    let history: Arc<Mutex<BTreeMap<u64, String>>> = Default::default();
    let (me, g2, h2) = (lab.clone(), got.clone(), history.clone());
    let fin = Arc::new(Mutex::new(false));
    let f2 = fin.clone();
    lab.op.spawn(async move {
        for c in me.names(Role::Core) {
            let (s, v) = me.get(&c, "/v1/config").await;
            if s == 200 {
                let d = ConfigDoc {
                    text: v["config"].to_string(),
                    put_id: v["put"].as_str().unwrap_or("").into(),
                    note: String::new(),
                    ..Default::default()
                };
                let top = v["version"].as_u64().unwrap_or(0);
                *g2.lock().unwrap() = Some((top, d));
                for k in 2..=top {
                    let (s, v) = me.get(&c, &format!("/v1/config/{k}")).await;
                    if s == 200 {
                        h2.lock().unwrap().insert(k, v["config"].to_string());
                    }
                }
                break;
            }
        }
        *f2.lock().unwrap() = true;
    });
    lab.sim
        .run(lab.sim.now() + 40 * SEC, || *fin.lock().unwrap());
    let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
    let mut kinds: BTreeMap<&str, (u64, u64, u64)> = BTreeMap::new();
    let mut odd = 0;
    let (mut msgs, mut near, mut far, mut syncs) = (0, 0, 0, 0);
    lab.procs.lock().unwrap().values().for_each(|p| {
        let t = match p {
            Proc::Front(f) => {
                f.counts
                    .all()
                    .into_iter()
                    .for_each(|(k, v)| *sums.entry(k).or_default() += v);
                &f.peers.metrics
            }
            Proc::Control(c) => {
                syncs += c.storage.syncs.load(SeqCst);
                &c.peers.metrics
            }
            Proc::Back(_) => return,
        };
        t.kinds.lock().unwrap().iter().for_each(|(k, v)| {
            let e = kinds.entry(k).or_default();
            *e = (e.0 + v.0, e.1 + v.1, e.2 + v.2);
        });
        odd += match p {
            Proc::Front(f) => f.peers.rejected_frames.load(SeqCst),
            Proc::Control(c) => c.peers.rejected_frames.load(SeqCst),
            Proc::Back(_) => 0,
        };
        msgs += t.sent.load(SeqCst);
        near += t.bytes_within.load(SeqCst);
        far += t.bytes_across.load(SeqCst);
    });
    let seen = lab.diary.seen.lock().unwrap().clone();
    let puts: Vec<u64> = lab
        .acks
        .lock()
        .unwrap()
        .iter()
        .filter(|a| a.code == 1000)
        .map(|a| (a.at - a.sent) / 1000)
        .collect();
    let knocks = lab.ledger.knocks.lock().unwrap().clone();
    let last: Vec<u64> = lab
        .left
        .lock()
        .unwrap()
        .iter()
        .map(|l| {
            let mine = knocks
                .iter()
                .filter(|k| k.1.starts_with(&format!("{} ", l.1)) && k.0 >= l.0)
                .map(|k| (k.0 - l.0) / 1000);
            mine.max().unwrap_or(0)
        })
        .collect();
    let counts = lab.sim.object_counts();
    let figures = json!({"callers": caller::sum(&seen), "fronts": sums, "messages": msgs, "bytes_within": near, "bytes_across": far,
        "syncs": syncs, "odd_frames": odd, "kinds": kinds, "in_force_ms": puts, "leaving_to_last_job_ms": last, "polls": lab.sim.polls(), "sizes": format!("{:?}", (counts.tasks, counts.connections, counts.files))});
    let end = over.lock().unwrap().2;
    let founded = over.lock().unwrap().1;
    let last = got.lock().unwrap().clone();
    Evidence {
        seen,
        runs: lab.ledger.runs.lock().unwrap().clone(),
        knocks: lab.ledger.knocks.lock().unwrap().clone(),
        left: lab.left.lock().unwrap().clone(),
        acks: lab.acks.lock().unwrap().clone(),
        hard: lab.hard.lock().unwrap().clone(),
        planned: lab.planned.lock().unwrap().clone(),
        log: lab.sim.log(),
        last,
        once: lab
            .sh
            .mix
            .turns
            .iter()
            .map(|t| t.0.clone())
            .filter(|_| !p.repeatable)
            .chain(["confirm".to_string()])
            .collect(),
        banned: lab.banned.lock().unwrap().clone(),
        history: history.lock().unwrap().clone(),
        doors: {
            let moved = lab.elsewhere.lock().unwrap();
            let all = lab.sh.nodes.iter().chain(moved.values());
            all.filter(|n| n.role == Role::Front)
                .map(|n| (n.http, (n.name.clone(), n.site.clone())))
                .collect()
        },
        whole: true,
        budgets: lab.accounts.lock().unwrap().clone(),
        capped: p.budget.is_some(),
        end,
        hash: lab.sim.hash(),
        fingerprint: lab.sim.fingerprint(),
        figures,
        founded,
        odd,
        moving: {
            let g = lab.procs.lock().unwrap();
            let v = g.iter().filter_map(|x| match x.1 {
                Proc::Control(c) if lab.sim.is_up(lab.sim.find(x.0)) => {
                    Some(c.documents.layout.load_full())
                }
                _ => None,
            });
            v.max_by_key(|l| l.0)
                .is_some_and(|l| !l.1.core.previous.is_empty() || !l.1.store.previous.is_empty())
        },
    }
}

/// Runs `f` over all items on all cores; returns how many came out bad.
pub fn each<T: Send>(items: Vec<T>, f: impl Fn(T) -> bool + Sync) -> usize {
    let n = std::thread::available_parallelism()
        .map(|n| n.get())
        .unwrap_or(1);
    let line = Mutex::new(items.into_iter().collect::<std::collections::VecDeque<_>>());
    let bad = std::sync::atomic::AtomicUsize::new(0);
    std::thread::scope(|s| {
        (0..n).for_each(|_| {
            s.spawn(|| {
                loop {
                    let Some(x) = line.lock().unwrap().pop_front() else {
                        return;
                    };
                    if !f(x) {
                        bad.fetch_add(1, SeqCst);
                    }
                }
            });
        })
    });
    bad.load(SeqCst)
}

/// Judges every plan; prints a line for each and the command that replays a bad one.
pub fn sweep(plans: Vec<Plan>, trace: bool) -> usize {
    each(plans, |p| {
        let e = run(&p);
        let v = judge(&e);
        let acts: Vec<&str> = p.acts.iter().map(|a| a.into()).collect();
        let word = if v.is_empty() { "holds" } else { "BROKEN" };
        let back = back_ms(&e)
            .map(|b| format!(" back {b} ms"))
            .unwrap_or_default();
        let mut out = format!(
            "seed {} {} {}: {word} hash {:016x} fingerprint {:032x}{back}",
            p.seed,
            p.shape,
            acts.join("+"),
            e.hash,
            e.fingerprint
        );
        if trace {
            e.log
                .iter()
                .for_each(|(t, n, l)| out += &format!("\n  {:>10.3} {n}: {l}", *t as f64 / 1e6));
            e.seen
                .iter()
                .filter(|s| s.heard != Heard::Done)
                .for_each(|s| {
                    out += &format!(
                        "\n  {:>10.3} {} {} {:?} took {} ms",
                        s.at as f64 / 1e6,
                        s.kind,
                        s.job,
                        s.heard,
                        s.took / 1000
                    )
                });
            out += &format!("\n  {}", e.figures);
        }
        v.iter().take(6).for_each(|x| out += &format!("\n  {x}"));
        if !v.is_empty() {
            out += &format!("\n  again: {}", p.command());
        }
        println!("{out}");
        v.is_empty()
    })
}
