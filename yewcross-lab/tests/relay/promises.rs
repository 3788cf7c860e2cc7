//! Drawn troubles, many callers: whatever comes, what is promised holds.

use crate::rig::*;
use crate::server::*;
use yewcross::consts::*;
use yewcross::world::*;

/// Many callers at once against servers that do anything: whatever is drawn, what is promised holds.
#[test]
fn whatever_servers_do_the_promises_hold() {
    let acts = [
        Act::Good,
        Act::Good,
        Act::Good,
        Act::Lose,
        Act::Silent,
        Act::Half,
        Act::NotRun(503),
        Act::NotRun(421),
        Act::Fails(500),
        Act::Fails(503),
        Act::NoStamp,
        Act::OtherTry,
        Act::Garble,
        Act::Surplus,
        Act::Late,
        Act::ThenClose,
        Act::Endless,
        Act::Slow(300 * MS),
    ];
    let (mut served, mut promised) = (0, 0);
    for seed in 0..80 {
        let rig = Rig::new(1_000 + seed, 3);
        let mut rng = fastrand::Rng::with_seed(seed);
        (0..3).for_each(|i| {
            let v: Vec<Act> = (0..30).map(|_| acts[rng.usize(0..acts.len())]).collect();
            rig.act(&format!("a{i}"), &v);
            let v: Vec<Act> = (0..30)
                .map(|_| if rng.bool() { Act::Good } else { [Act::Break(2), Act::Lose, Act::NotRun(503)][rng.usize(0..3)] })
                .collect();
            rig.act(&format!("model{i}"), &v);
        });
        let paths = ["/pure/x", "/once/x", "/once/x", "/kept/stream/x"];
        let plan: Vec<(String, String, u64)> =
            (0..60).map(|i| (format!("t{i}"), paths[rng.usize(0..paths.len())].to_string(), rng.u64(0..3_000) * MS)).collect();
        let (p, crash) = (plan.clone(), rng.u64(500..2_500) * MS);
        let hs = rig.with(move |r, w| {
            Box::pin(async move {
                let fs: Vec<Fut<'static, (usize, Heard)>> = p
                    .into_iter()
                    .enumerate()
                    .map(|(i, (id, path, at))| {
                        let (r, w) = (r.clone(), w.clone());
                        let f: Fut<'static, (usize, Heard)> = Box::pin(async move {
                            w.sleep(at).await;
                            (i, call(&w, r.door, &id, &path, &[("patience".into(), "900".into())], "in").await)
                        });
                        f
                    })
                    .collect();
                let (n, rx) = (fs.len(), w.fan(fs));
                w.sleep(crash).await;
                r.sim.kill(r.machines[0], crash % 2 == 0);
                let mut v = vec![];
                for _ in 0..n {
                    v.push(rx.recv().await.unwrap());
                }
                v
            })
        });
        for (i, h) in &hs {
            let (id, path, _) = &plan[*i];
            let runs = rig.runs(id).len();
            let what = format!("seed {seed} {id} {path}: {h:?}, {runs} runs");
            assert!(h.status != 0, "an answer came: {what}");
            assert!(runs <= if path.starts_with("/pure") { 3 } else { 1 }, "{what}");
            if h.status == 200 && h.whole {
                assert!(runs >= 1 && h.heads["stamp"] == "1" && h.heads["try"] == *id, "{what}");
                assert!(if path.starts_with("/kept") { h.at.len() == 4 } else { h.body == "good" }, "{what}");
                served += 1;
            }
            if h.status == 503 && !path.starts_with("/pure") {
                assert_eq!(runs, 0, "{what}");
                promised += 1;
            }
            assert!(h.took < 960 * MS, "{what}");
            if path.starts_with("/kept") {
                let s = rig.memory.settled.lock().unwrap();
                let ends: Vec<_> = s.iter().filter(|x| x.0 == *id || x.0 == format!("kept {id}")).collect();
                assert_eq!(ends.len(), 1, "each open turn ends once: {what} {ends:?}");
                assert_eq!(ends[0].0.starts_with("kept"), h.whole && h.status == 200, "{what}");
                assert!(ends[0].1 >= 2 * h.at.len() as u64 || h.status != 200, "{what} {ends:?}");
            }
        }
    }
    assert!(served > 2_000 && promised > 20, "{served} {promised}");
}
