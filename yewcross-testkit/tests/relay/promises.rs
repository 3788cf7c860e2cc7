//! Drawn troubles, many callers: whatever comes, what is promised holds.

use crate::rig::*;
use crate::server::*;
use yewcross_common::constants::*;
use yewcross_common::protocol::ListedServer;
use yewcross_common::runtime::*;

/// Many callers at once against servers that do anything: whatever is drawn, what is promised
/// holds.
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
                .map(|_| {
                    if rng.bool() {
                        Act::Good
                    } else {
                        [Act::Break(2), Act::Lose, Act::NotRun(503)][rng.usize(0..3)]
                    }
                })
                .collect();
            rig.act(&format!("model{i}"), &v);
        });
        let paths = ["/pure/x", "/once/x", "/once/x", "/kept/stream/x"];
        let plan: Vec<(String, String, u64)> = (0..60)
            .map(|i| {
                (
                    format!("t{i}"),
                    paths[rng.usize(0..paths.len())].to_string(),
                    rng.u64(0..3_000) * MS,
                )
            })
            .collect();
        let (p, crash) = (plan.clone(), rng.u64(500..2_500) * MS);
        let hs = rig.with(move |r, w| {
            Box::pin(async move {
                let fs: Vec<BoxFuture<'static, (usize, Answer)>> = p
                    .into_iter()
                    .enumerate()
                    .map(|(i, (id, path, at))| {
                        let (r, w) = (r.clone(), w.clone());
                        let f: BoxFuture<'static, (usize, Answer)> = Box::pin(async move {
                            w.sleep(at).await;
                            (
                                i,
                                call(
                                    &w,
                                    r.address,
                                    &id,
                                    &path,
                                    &[("patience".into(), "900".into())],
                                    "in",
                                )
                                .await,
                            )
                        });
                        f
                    })
                    .collect();
                let (n, rx) = (fs.len(), w.spawn_all(fs));
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
            assert!(
                runs <= if path.starts_with("/pure") { 3 } else { 1 },
                "{what}"
            );
            if h.status == 200 && h.whole {
                assert!(
                    runs >= 1 && h.heads["stamp"] == "1" && h.heads["try"] == *id,
                    "{what}"
                );
                assert!(
                    if path.starts_with("/kept") {
                        h.at.len() == 4
                    } else {
                        h.body == "good"
                    },
                    "{what}"
                );
                served += 1;
            }
            if h.status == 503 && !path.starts_with("/pure") {
                assert_eq!(runs, 0, "{what}");
                promised += 1;
            }
            assert!(h.took < 960 * MS, "{what}");
            if path.starts_with("/kept") {
                let s = rig.turn_log.settled.lock().unwrap();
                let ends: Vec<_> = s
                    .iter()
                    .filter(|x| x.0 == *id || x.0 == format!("kept {id}"))
                    .collect();
                assert_eq!(ends.len(), 1, "each open turn ends once: {what} {ends:?}");
                assert_eq!(
                    ends[0].0.starts_with("kept"),
                    h.whole && h.status == 200,
                    "{what}"
                );
                assert!(
                    ends[0].1 >= 2 * h.at.len() as u64 || h.status != 200,
                    "{what} {ends:?}"
                );
            }
        }
    }
    assert!(served > 2_000 && promised > 20, "{served} {promised}");
}

/// What one caller's try came to, and what servers know of it.
struct Ended {
    attempt: String,
    path: String,
    heard: Answer,
}

fn any_act(rng: &mut fastrand::Rng, acts: &[Act]) -> Act {
    acts[rng.usize(0..acts.len())]
}

/// Servers of every kind of fault, a front that stands still now and then, another server at a
/// server's address, a route that moves, callers that leave: what each caller got is held against
/// what the servers ran, by id.
fn play_everything(seed: u64) -> (Rig, Vec<Ended>) {
    let plain = [
        Act::Good,
        Act::Good,
        Act::Good,
        Act::Good,
        Act::Lose,
        Act::Silent,
        Act::Half,
        Act::NotRun(503),
        Act::NotRun(421),
        Act::SlowNotRun(150 * MS),
        Act::Fails(500),
        Act::Fails(503),
        Act::NoStamp,
        Act::OtherTry,
        Act::Garble,
        Act::Surplus,
        Act::Again,
        Act::Late,
        Act::ThenClose,
        Act::Endless,
        Act::OtherCoding,
        Act::Encoded,
        Act::OldVersion,
        Act::Interim(103),
        Act::Slow(300 * MS),
    ];
    let model = [
        Act::Good,
        Act::Good,
        Act::Good,
        Act::Counted,
        Act::Break(2),
        Act::Lose,
        Act::NotRun(503),
        Act::SlowNotRun(100 * MS),
    ];
    let rig = Rig::new(20_000 + seed, 3);
    let mut rng = fastrand::Rng::with_seed(seed);
    for i in 0..3 {
        let acts: Vec<Act> = (0..60).map(|_| any_act(&mut rng, &plain)).collect();
        rig.act(&format!("a{i}"), &acts);
        let acts: Vec<Act> = (0..60).map(|_| any_act(&mut rng, &model)).collect();
        rig.act(&format!("model{i}"), &acts);
    }
    let paths = ["/pure/x", "/once/x", "/once/x", "/kept/stream/x"];
    let plan: Vec<(String, String, u64, bool)> = (0..80)
        .map(|i| {
            (
                format!("t{i}"),
                paths[rng.usize(0..paths.len())].into(),
                rng.u64(0..3_000) * MS,
                rng.u8(0..10) == 0,
            )
        })
        .collect();
    let freezes: Vec<(u64, u64)> = (0..4)
        .map(|_| (rng.u64(100..700) * MS, rng.u64(5..400) * MS))
        .collect();
    let ended = rig.with(move |r, w| {
        Box::pin(async move {
            let fs: Vec<BoxFuture<'static, Option<Ended>>> = plan
                .into_iter()
                .map(|(attempt, path, at, leaves)| {
                    let (r, w) = (r.clone(), w.clone());
                    let f: BoxFuture<'static, Option<Ended>> = Box::pin(async move {
                        w.sleep(at).await;
                        let heads = [("patience".to_string(), "900".to_string())];
                        let ask = call(&w, r.address, &attempt, &path, &heads, "in");
                        let patience = if leaves {
                            w.random() % (60 * MS)
                        } else {
                            10 * SEC
                        };
                        let heard = w.timeout(patience, ask).await;
                        heard.map(|heard| Ended {
                            attempt,
                            path,
                            heard,
                        })
                    });
                    f
                })
                .collect();
            let (n, rx) = (fs.len(), w.spawn_all(fs));
            let front = r.sim.find("front");
            for (i, (pause, still)) in freezes.into_iter().enumerate() {
                w.sleep(pause).await;
                r.sim.freeze(front);
                w.sleep(still).await;
                match i {
                    // Another life at the address, which the list learns later.
                    0 => {
                        r.sim.kill(r.machines[0], false);
                        r.stand(
                            0,
                            &ListedServer {
                                server: "b7".into(),
                                ..r.listed(0, "a")
                            },
                        );
                    }
                    1 => r.list(
                        2,
                        &(1..3)
                            .flat_map(|i| [r.listed(i, "a"), r.listed(i, "model")])
                            .collect::<Vec<_>>(),
                    ),
                    2 => r.configure(2, routes()),
                    _ => {}
                }
                r.sim.thaw(front);
            }
            let mut v = vec![];
            for _ in 0..n {
                v.extend(rx.recv().await.unwrap());
            }
            v
        })
    });
    // What was refused and runs later is seen to run.
    rig.rest(5 * SEC);
    (rig, ended)
}

/// What went wrong with one try; nothing where all is well.
fn wrong(e: &Ended, runs: &[Run]) -> Option<String> {
    let (pure, kept) = (e.path.starts_with("/pure"), e.path.starts_with("/kept"));
    let mine: Vec<&Run> = runs.iter().filter(|r| r.attempt == e.attempt).collect();
    let servers: std::collections::BTreeSet<&str> =
        mine.iter().map(|r| r.server.as_str()).collect();
    let h = &e.heard;
    let events = |n: usize| {
        (0..n)
            .map(|i| format!("id: {i}\ndata: {}-{i}\n\n", e.attempt))
            .collect::<String>()
    };
    let why = match () {
        _ if mine.len() > if pure { 3 } else { 1 } || servers.len() != mine.len() => {
            "ran too often"
        }
        _ if mine.iter().any(|r| r.body != b"in" || r.target != e.path) => "ran changed",
        _ if mine.iter().any(|r| r.server == "b7") => "ran at another life",
        _ if !pure && matches!(h.status, 402 | 408 | 421 | 429 | 503) && !mine.is_empty() => {
            "was refused and ran"
        }
        _ if h.status == 200
            && (mine.is_empty()
                || h.heads["try"] != e.attempt
                || !h.heads.contains_key("stamp")) =>
        {
            "got another's answer"
        }
        _ if h.status == 200 && h.whole && !kept && h.body != "good" => "got other bytes",
        _ if h.status == 200 && kept && !events(4).starts_with(&h.body) => {
            "got events out of order"
        }
        _ if h.status == 200 && kept && h.whole && h.body != events(4) => "looks whole and is not",
        _ => return None,
    };
    Some(format!("{} {why}: {h:?}, {} runs", e.attempt, mine.len()))
}

#[test]
fn whatever_comes_together_the_promises_hold() {
    let (mut served, mut refused, mut lost) = (0, 0, 0);
    for seed in 0..60 {
        let (rig, ended) = play_everything(seed);
        let runs = rig.server_state.runs.lock().unwrap().clone();
        let bad: Vec<String> = ended.iter().filter_map(|e| wrong(e, &runs)).collect();
        assert!(bad.is_empty(), "seed {seed}: {bad:#?}");
        let count = |f: fn(u16) -> bool| ended.iter().filter(|e| f(e.heard.status)).count();
        served += count(|s| s == 200);
        refused += count(|s| s == 503);
        lost += count(|s| s == 502 || s == 504);
    }
    assert!(
        served > 1_500 && refused > 50 && lost > 200,
        "{served} served, {refused} refused, {lost} lost"
    );
}

/// The check above can fail: each wrong, put into a good play, is seen.
#[test]
fn every_wrong_of_a_try_is_seen() {
    let (rig, ended) = play_everything(1);
    let runs = rig.server_state.runs.lock().unwrap().clone();
    let of = |path: &str, status: u16| {
        let hit = |e: &&Ended| {
            e.path.starts_with(path) && e.heard.status == status && (status != 200 || e.heard.whole)
        };
        ended.iter().find(hit).unwrap()
    };
    let sees = |e: &Ended, word: &str, spoil: &dyn Fn(&mut Ended, &mut Vec<Run>)| {
        let heard = Answer {
            status: e.heard.status,
            heads: e.heard.heads.clone(),
            body: e.heard.body.clone(),
            whole: e.heard.whole,
            ..Answer::default()
        };
        let mut x = Ended {
            attempt: e.attempt.clone(),
            path: e.path.clone(),
            heard,
        };
        let mut runs = runs.clone();
        assert_eq!(wrong(&x, &runs), None);
        spoil(&mut x, &mut runs);
        assert!(
            wrong(&x, &runs).is_some_and(|w| w.contains(word)),
            "{word}: {:?}",
            wrong(&x, &runs)
        );
    };
    let run_of = |e: &Ended| runs.iter().position(|r| r.attempt == e.attempt).unwrap();
    let (once, turn) = (of("/once", 200), of("/kept", 200));
    sees(once, "too often", &|e, v| {
        v.push(v.iter().find(|r| r.attempt == e.attempt).unwrap().clone())
    });
    sees(once, "changed", &|_, v| v[run_of(once)].body.push(b'x'));
    sees(once, "another life", &|_, v| {
        v[run_of(once)].server = "b7".into()
    });
    sees(once, "refused and ran", &|e, _| e.heard.status = 503);
    sees(once, "another's answer", &|e, _| {
        _ = e.heard.heads.insert("try".into(), "nobody".into())
    });
    sees(once, "other bytes", &|e, _| e.heard.body.push('x'));
    sees(turn, "out of order", &|e, _| {
        e.heard.body = e.heard.body.replace("id: 1", "id: 2")
    });
    sees(turn, "looks whole", &|e, _| e.heard.body.truncate(20));
}
