//! A day of many short sessions, to see that nothing grows without bound.

use crate::caller;
use crate::proof::evidence::Evidence;
use crate::proof::lab::Lab;
use crate::proof::scenario::Act;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use yewcross_common::buffered_http::fetch;
use yewcross_common::constants::{MS, SEC};
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::ConfigDoc;

/// Sizes at a moment of a long day: tasks, wires, files on all disks, keys held, log lines.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub at: u64,
    pub tasks: usize,
    pub files: usize,
    pub lines: usize,
    pub done: usize,
}

/// Many short sessions, some ended by their callers and some just left, with a fault at the day's
/// end.
pub fn long_day(seed: u64, secs: u64) -> (Vec<Sizes>, Evidence) {
    let lab = Lab::new(seed, "small");
    {
        let mut t = lab.text.lock().unwrap();
        t["families"]["talk"]["set"]["keep_ms"] = json!(15_000);
        t["services"]
            .as_object_mut()
            .into_iter()
            .flatten()
            .for_each(|s| s.1["keep_ms"] = json!(15_000));
    }
    lab.boot("platform");
    lab.sh.backs.iter().for_each(|b| lab.boot(&b.server));
    lab.sh.nodes.iter().for_each(|n| lab.boot(&n.name));
    let (me, over) = (lab.clone(), Arc::new(Mutex::new(false)));
    let o = over.clone();
    let sizes: Arc<Mutex<Vec<Sizes>>> = Default::default();
    let sz = sizes.clone();
    lab.op.spawn(async move {
        me.op.sleep(1500 * MS).await;
        me.found().await;
        me.put("core1", 1, "first").await;
        me.op.sleep(4 * SEC).await;
        let w = me.sim.boot(me.sim.find("callers"));
        for i in 0..8 {
            let (w2, me) = (w.clone(), me.clone());
            w.spawn(async move {
                let mut n = 0;
                while !me.diary.stop.load(SeqCst) {
                    n += 1;
                    let id = 1000 * (i + 1) + n;
                    caller::session(w2.clone(), me.sh.clone(), me.diary.clone(), id, 3).await;
                    if n % 2 == 0 {
                        for p in me.sh.mix.turns.iter() {
                            let v = json!({"program": p.0, "session": format!("s{id}")})
                                .to_string()
                                .into_bytes();
                            let to = me.sh.of(Role::Front)[0].http;
                            let _ = fetch(
                                &w2,
                                to,
                                http_types::Method::Post,
                                "/v1/session/end",
                                &[],
                                v,
                                SEC,
                            )
                            .await;
                        }
                    }
                }
            });
        }
        for k in 0..4 {
            me.op.sleep(secs * SEC / 4).await;
            let counts = me.sim.object_counts();
            let s = Sizes {
                at: me.sim.now(),
                tasks: counts.tasks,
                files: counts.files,
                lines: me.sim.log().len(),
                done: me.diary.seen.lock().unwrap().len(),
            };
            sz.lock().unwrap().push(s);
            if k == 1 {
                // Frozen for longer than records are kept.
                let m = me.sim.find("store2");
                me.sim.freeze(m);
                me.hard("store2");
                me.op.sleep(30 * SEC).await;
                me.sim.thaw(m);
            }
            if k == 2 {
                me.clone().act(Act::PowerStore).await;
            }
        }
        me.diary.stop.store(true, SeqCst);
        me.op.sleep(9 * SEC).await;
        *o.lock().unwrap() = true;
    });
    lab.sim.run((secs + 120) * SEC, || *over.lock().unwrap());
    let e = Evidence {
        seen: lab.diary.seen.lock().unwrap().clone(),
        runs: lab.ledger.runs.lock().unwrap().clone(),
        knocks: vec![],
        left: vec![],
        acks: vec![],
        hard: lab.hard.lock().unwrap().clone(),
        planned: vec![],
        log: lab.sim.log(),
        last: Some((2, ConfigDoc::default())),
        once: lab
            .sh
            .mix
            .turns
            .iter()
            .map(|t| t.0.clone())
            .chain(["confirm".to_string()])
            .collect(),
        banned: vec![],
        history: BTreeMap::new(),
        doors: BTreeMap::new(),
        whole: false,
        budgets: BTreeMap::new(),
        capped: false,
        end: lab.sim.now(),
        hash: lab.sim.hash(),
        fingerprint: lab.sim.fingerprint(),
        figures: Value::Null,
        founded: true,
        odd: 0,
        moving: false,
    };
    let s = sizes.lock().unwrap().clone();
    (s, e)
}
