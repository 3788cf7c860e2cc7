//! The register alone, ground hard: every store machine changes the same few keys at once while
//! disks and links fail. What was acknowledged must stand once and in order, what was refused must
//! not stand.

use crate::proof::{Act, Lab};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use yewcross_common::constants::*;
use yewcross_common::process_settings::Role;
use yewcross_common::register::{ChangeError, Step};

#[derive(Clone, Debug)]
pub struct Op {
    pub id: u64,
    pub key: String,
    pub from: u64,
    pub to: Option<u64>,
    pub won: Option<Result<(), ChangeError>>,
}

pub struct Ground {
    pub ops: Vec<Op>,
    pub ends: BTreeMap<String, Option<Vec<u64>>>,
    pub hash: u64,
    pub log: Vec<(u64, String, String)>,
}

fn ids(v: &[u8]) -> Vec<u64> {
    v.chunks_exact(8)
        .map(|c| u64::from_le_bytes([c[0], c[1], c[2], c[3], c[4], c[5], c[6], c[7]]))
        .collect()
}

pub fn grind(seed: u64, acts: &[Act], keys: usize, secs: u64) -> Ground {
    on(Lab::new(seed, "disks"), acts, keys, secs)
}

/// A planted fault: disks that say they synced and did not, then power goes everywhere.
pub fn lying(seed: u64) -> Ground {
    let lab = Lab::new(seed, "disks");
    lab.names(Role::Store)
        .iter()
        .for_each(|n| lab.sim.disk(lab.sim.find(n), |d| d.lies = true));
    on(lab, &[Act::PowerAllStores], 3, 16)
}

fn on(lab: Arc<Lab>, acts: &[Act], keys: usize, secs: u64) -> Ground {
    lab.boot("platform");
    lab.sh.nodes.iter().for_each(|n| lab.boot(&n.name));
    let ops: Arc<Mutex<Vec<Op>>> = Default::default();
    let over = Arc::new(Mutex::new(false));
    let ends: Arc<Mutex<BTreeMap<String, Option<Vec<u64>>>>> = Default::default();
    let (me, o, ov, en, acts) = (
        lab.clone(),
        ops.clone(),
        over.clone(),
        ends.clone(),
        acts.to_vec(),
    );
    lab.op.spawn(async move {
        me.op.sleep(1500 * MS).await;
        me.found().await;
        me.op.sleep(SEC).await;
        let stop = me.sim.now() + secs * SEC;
        for n in me.names(Role::Store) {
            let (me, o) = (me.clone(), o.clone());
            let op = me.op.clone();
            op.spawn(async move { client(me, n, o, keys, stop).await });
        }
        me.op.sleep(SEC).await;
        for a in acts {
            me.clone().act(a).await;
            me.op.sleep(me.sim.rand() % SEC).await;
        }
        while me.sim.now() < stop {
            me.op.sleep(SEC).await;
        }
        me.op.sleep(8 * SEC).await;
        for k in 0..keys {
            let k = format!("k{k}");
            let mut got = None;
            for n in me.names(Role::Store) {
                if let Some(c) = me.control(&n).filter(|_| me.sim.is_up(me.sim.find(&n)))
                    && let Ok((_, _, v)) = c.registers.read(&k, 5 * SEC).await
                {
                    got = Some(ids(&v));
                    break;
                }
            }
            en.lock().unwrap().insert(k, got);
        }
        *ov.lock().unwrap() = true;
    });
    lab.sim.run(300 * SEC, || *over.lock().unwrap());

    Ground {
        ops: ops.lock().unwrap().clone(),
        ends: ends.lock().unwrap().clone(),
        hash: lab.sim.hash(),
        log: lab.sim.log(),
    }
}

/// Changes run as part of the machine's own life and die with it.
async fn client(lab: Arc<Lab>, node: String, ops: Arc<Mutex<Vec<Op>>>, keys: usize, stop: u64) {
    while lab.sim.now() < stop {
        lab.op.sleep(lab.sim.rand() % (60 * MS)).await;
        let Some(c) = lab
            .control(&node)
            .filter(|_| lab.sim.is_up(lab.sim.find(&node)))
        else {
            continue;
        };
        let key = format!("k{}", lab.sim.rand() as usize % keys);
        let id = {
            let mut g = ops.lock().unwrap();
            let id = g.len() as u64 + 1;
            g.push(Op {
                id,
                key: key.clone(),
                from: lab.sim.now(),
                to: None,
                won: None,
            });
            id
        };
        let (sim, o, w) = (lab.sim.clone(), ops.clone(), c.runtime.clone());
        let (dx, dr) = async_channel::bounded::<()>(1);
        w.spawn(async move {
            let r = c
                .registers
                .change(&key, 900 * MS, |_, v| {
                    if ids(v).contains(&id) {
                        return Step::Keep(());
                    }
                    let mut n = v.to_vec();
                    n.extend(id.to_le_bytes());
                    Step::Write(n, ())
                })
                .await;
            let mut g = o.lock().unwrap();
            let x = &mut g[id as usize - 1];
            x.to = Some(sim.now());
            x.won = Some(r);
            drop(g);
            let _ = dx.try_send(());
        });
        let _ = dr.recv().await;
    }
}

pub fn judge(g: &Ground) -> Vec<String> {
    let mut v = vec![];
    for (k, end) in &g.ends {
        let Some(end) = end else {
            v.push(format!("{k} cannot be read at the end"));
            continue;
        };
        let at: BTreeMap<u64, usize> = end.iter().enumerate().map(|(i, id)| (*id, i)).collect();
        if at.len() != end.len() {
            v.push(format!("{k} holds a change twice"));
        }
        let mine: Vec<&Op> = g.ops.iter().filter(|o| o.key == *k).collect();
        mine.iter()
            .for_each(|o| match (&o.won, at.contains_key(&o.id)) {
                (Some(Ok(())), false) => v.push(format!(
                    "{k}: change {} was acknowledged at {:?} and is lost",
                    o.id, o.to
                )),
                (Some(Err(ChangeError::NotDone)), true) => v.push(format!(
                    "{k}: change {} was refused at {:?} and stands",
                    o.id, o.to
                )),
                _ => {}
            });
        let by: BTreeMap<u64, &&Op> = mine.iter().map(|o| (o.id, o)).collect();
        let mut latest_start = (0u64, 0u64);
        for id in end {
            let Some(o) = by.get(id) else { continue };
            if o.to
                .is_some_and(|t| o.won == Some(Ok(())) && t < latest_start.0)
            {
                v.push(format!(
                    "{k}: change {id} ended before {} began, yet stands after it",
                    latest_start.1
                ));
            }
            latest_start = latest_start.max((o.from, *id));
        }
    }
    v
}

pub fn figures(g: &Ground) -> (usize, usize, usize, usize) {
    let n = |f: &dyn Fn(&Op) -> bool| g.ops.iter().filter(|o| f(o)).count();
    (
        g.ops.len(),
        n(&|o| o.won == Some(Ok(()))),
        n(&|o| o.won == Some(Err(ChangeError::NotDone))),
        n(&|o| o.won == Some(Err(ChangeError::Undecided))),
    )
}

pub const ROUGH: [Act; 12] = [
    Act::KillStore,
    Act::PowerStore,
    Act::PowerAllStores,
    Act::LoseStoreDisk,
    Act::FreezeStore,
    Act::StallDisk,
    Act::FullDisk,
    Act::RotStore,
    Act::OneWayCut,
    Act::Weather,
    Act::SiteCut,
    Act::ClockJump,
];

/// Three rough acts drawn by the seed.
pub fn draw(seed: u64) -> Vec<Act> {
    let mut r = fastrand::Rng::with_seed(seed);
    (0..3).map(|_| ROUGH[r.usize(0..ROUGH.len())]).collect()
}

pub fn sweep(seeds: Vec<u64>, trace: bool) -> usize {
    crate::proof::each(seeds, |seed| {
        let acts = draw(seed);
        let g = grind(seed, &acts, 3, 24);
        let v = judge(&g);
        let (n, won, no, unsure) = figures(&g);
        let mut out = format!(
            "seed {seed} {acts:?}: {} of {n} changes {won} won, {no} refused, {unsure} undecided",
            if v.is_empty() { "holds" } else { "BROKEN" }
        );
        if trace {
            g.log
                .iter()
                .for_each(|(t, n, l)| out += &format!("\n  {:>10.3} {n}: {l}", *t as f64 / 1e6));
        }
        v.iter().take(6).for_each(|x| out += &format!("\n  {x}"));
        if !v.is_empty() {
            out += &format!("\n  again: yewcross-lab grind --from {seed} --trace");
        }
        println!("{out}");
        v.is_empty()
    })
}
