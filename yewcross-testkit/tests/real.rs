//! What a simulator cannot show: signals, frozen processes, real sockets and ports. Waits are for
//! conditions.

use serde_json::json;
use std::io::Write;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_common::process_settings::{Role, exit};
use yewcross_common::runtime::Runtime;
use yewcross_common::runtime::os::OsRuntime;
use yewcross_testkit::caller::{self, Outcome, RequestLog, TurnRequest};
use yewcross_testkit::fleet::Fleet;
use yewcross_testkit::stub_server::StubServerSettings;

fn dir(n: &str) -> PathBuf {
    let d = std::env::temp_dir().join(format!("yewcross-real-{n}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&d);
    std::fs::create_dir_all(&d).unwrap();
    d
}

fn ask(job: &str) -> TurnRequest {
    TurnRequest {
        program: "chargeback".into(),
        budget: "chargeback".into(),
        session: job.into(),
        job: job.into(),
        horizon_ms: 6000,
        text: "hello".into(),
        max_output: 100,
        stream: true,
    }
}

async fn until(runtime: &Runtime, secs: u64, what: &str, mut f: impl AsyncFnMut() -> bool) {
    let end = runtime.now() + secs * SEC;
    while !f().await {
        assert!(runtime.now() < end, "waited {secs} s for: {what}");
        runtime.sleep(30 * MS).await;
    }
}

#[test]
fn a_real_fleet_lives_through_signals() {
    let w = OsRuntime::start(".", 2);
    let d = dir("fleet");
    smol::block_on(async {
        let mut f = Fleet::prepare(&w, "small", &d, 0).unwrap();
        f.start_all().unwrap();
        f.bootstrap().await.unwrap();
        let fronts: Vec<_> = f
            .topology
            .nodes_with_role(Role::Front)
            .iter()
            .map(|n| (n.name.clone(), n.http))
            .collect();
        let (f1, f2) = (fronts[0].1, fronts[1].1);
        until(&w, 10, "the platform's list", async || {
            matches!(
                caller::send_turn(&w, f1, &ask("warm")).await.outcome,
                Outcome::Done
            ) && matches!(
                caller::send_turn(&w, f2, &ask("warm2")).await.outcome,
                Outcome::Done
            )
        })
        .await;

        let diary = Arc::new(RequestLog::default());
        (0..6).for_each(|i| {
            w.spawn(caller::run_session(
                w.clone(),
                f.topology.clone(),
                diary.clone(),
                i,
                1000,
            ))
        });

        // A store and a core are killed outright; a peer talks half a frame and goes quiet.
        let mut half =
            std::net::TcpStream::connect(f.topology.nodes_with_role(Role::Store)[1].peer).unwrap();
        half.write_all(&[0, 0, 0, 0, 200]).unwrap();
        f.kill("store1");
        f.kill("core2");
        let n0 = diary.records.lock().unwrap().len();
        until(&w, 12, "turns after the kills", async || {
            diary.records.lock().unwrap()[n0..]
                .iter()
                .filter(|s| s.kind == "turn" && s.outcome == Outcome::Done)
                .count()
                >= 5
        })
        .await;
        let st: Vec<_> = f
            .topology
            .nodes
            .iter()
            .filter(|n| ["store1", "core2"].contains(&n.name.as_str()))
            .cloned()
            .collect();
        st.iter().for_each(|n| f.start_node(n).unwrap());

        // A front frozen past its lease refuses as "not run" when it wakes, then serves again.
        f.signal("front1", "-STOP");
        let t0 = w.now();
        until(&w, 4, "the lease to pass", async || w.now() > t0 + 2 * SEC).await;
        f.signal("front1", "-CONT");
        until(&w, 5, "front1 to serve again", async || {
            f.get_json(f1, "/health")
                .await
                .is_some_and(|v| v["serving"] == json!(true))
        })
        .await;

        // Another server at a known server's address is never given a job.
        let b = f
            .topology
            .servers
            .iter()
            .find(|b| b.is_model)
            .cloned()
            .unwrap();
        f.kill(&b.server);
        let other = StubServerSettings {
            server: "x9".into(),
            ..b.clone()
        };
        f.start_stub_server(&other).unwrap();
        let n1 = diary.records.lock().unwrap().len();
        until(&w, 12, "turns beside the stranger", async || {
            diary.records.lock().unwrap()[n1..]
                .iter()
                .filter(|s| s.kind == "turn" && s.outcome == Outcome::Done)
                .count()
                >= 5
        })
        .await;
        let ran = f.get_json(other.addr, "/lab/runs").await.unwrap();
        assert_eq!(
            ran.as_array().map(|a| a.len()),
            Some(0),
            "the stranger ran {ran}"
        );

        // A reload changes nothing for callers, and a faulty file leaves the old in force.
        let good = std::fs::read_to_string(d.join("front1.toml")).unwrap();
        std::fs::write(d.join("front1.toml"), "name='other'\n").unwrap();
        f.signal("front1", "-HUP");
        f.signal("store2", "-HUP");
        f.signal("core1", "-HUP");
        let log = |n: &str| std::fs::read_to_string(d.join(format!("{n}.log"))).unwrap_or_default();
        until(&w, 5, "the reloads", async || {
            log("front1").contains("reload refused")
                && log("store2").contains("reloaded")
                && log("core1").contains("reloaded")
        })
        .await;
        std::fs::write(d.join("front1.toml"), good).unwrap();
        f.signal("front1", "-HUP");
        until(&w, 5, "the reload", async || {
            log("front1").contains("reloaded")
        })
        .await;
        assert!(matches!(
            caller::send_turn(&w, f1, &ask("reloaded")).await.outcome,
            Outcome::Done
        ));

        // A planned stop answers what it has read.
        diary.stop.store(true, SeqCst);
        let (tx, rx) = async_channel::unbounded();
        (0..12).for_each(|i| {
            let (w2, tx) = (w.clone(), tx.clone());
            w.spawn(async move {
                let s = caller::send_turn(&w2, f2, &ask(&format!("last{i}"))).await;
                let _ = tx.send(s).await;
            })
        });
        until(&w, 5, "the turns to be read", async || {
            f.get_json(f2, "/metrics")
                .await
                .is_some_and(|v| v["busy"].as_u64() > Some(6))
        })
        .await;
        f.signal("front2", "-TERM");
        let mut done = 0;
        for _ in 0..12 {
            let s = rx.recv().await.unwrap();
            assert!(!matches!(s.outcome, Outcome::Cut), "{s:?}");
            assert!(
                s.outcome != Outcome::Nothing || s.took < 100 * MS,
                "read and dropped: {s:?}"
            );
            done += (s.outcome == Outcome::Done) as usize;
        }
        assert!(done >= 6, "{done} of 12 were done");
        assert_eq!(f.wait_exit("front2"), Some(exit::OK));

        let seen = diary.records.lock().unwrap().clone();
        println!("{}", caller::summarize(&seen));
        let faults: Vec<_> = seen.iter().filter(|s| !s.fault.is_empty()).collect();
        assert!(faults.is_empty(), "{faults:?}");
    });
    let _ = std::fs::remove_dir_all(&d);
}

fn run(prog: &str, args: &[&str]) -> (Option<i32>, String) {
    let bin = PathBuf::from(env!("CARGO_BIN_EXE_yewcross-lab"))
        .parent()
        .unwrap()
        .join(prog);
    let o = Command::new(bin).args(args).output().unwrap();
    (
        o.status.code(),
        format!(
            "{}{}",
            String::from_utf8_lossy(&o.stdout),
            String::from_utf8_lossy(&o.stderr)
        ),
    )
}

#[test]
fn startup_files_are_checked_before_anything_is_bound() {
    let d = dir("startup");
    let at = |n: &str, t: &str| {
        let p = d.join(n);
        std::fs::write(&p, t).unwrap();
        p.display().to_string()
    };
    let hold = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let http = hold.local_addr().unwrap();
    let peer = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let good = at(
        "good",
        &format!(
            "name='a'\nrole='front'\nsite='z'\npeer='{peer}'\nhttp='{http}'\nseeds=['127.0.0.1:1']\nstart_timeout_ms=300\n"
        ),
    );
    let bad = at(
        "bad",
        "name='a b'\nrole='core'\nsite=''\npeer='0.0.0.0:1'\nhttp='0.0.0.0:1'\nseeds=[]\n",
    );
    let odd = at("odd", "name='a'\ncolour=3\n");
    assert_eq!(
        run("yewcross-front", &["--startup", &good, "--check"]).0,
        Some(exit::OK)
    );
    let (c, t) = run("yewcross-front", &["--startup", &bad]);
    assert_eq!((c, t.lines().count()), (Some(exit::BAD_STARTUP), 6), "{t}");
    assert_eq!(
        run("yewcross-front", &["--startup", &odd]).0,
        Some(exit::BAD_STARTUP)
    );
    assert_eq!(
        run("yewcross-control", &["--startup", &good, "--check"]).0,
        Some(exit::BAD_STARTUP)
    );
    assert_eq!(
        run("yewcross-control", &["--startup", "/nowhere"]).0,
        Some(exit::BAD_STARTUP)
    );
    assert_eq!(run("yewcross-front", &["--nope"]).0, Some(exit::USAGE));
    assert_eq!(
        run("yewcross-front", &["--startup", &good]).0,
        Some(exit::CANNOT_BIND)
    );
    drop(hold);
    assert_eq!(run("yewcross-front", &["--help"]).0, Some(exit::OK));
    let _ = std::fs::remove_dir_all(&d);
}

/// Each is refused at once, by its own exit code and reason, before anything is started.
#[test]
fn bad_arguments_are_refused() {
    let d = dir("args");
    let junk = d.join("junk");
    std::fs::write(&junk, "{").unwrap();
    let junk = junk.display().to_string();
    let cases: [(&str, &[&str], i32, &str); 12] = [
        (
            "yewcross-lab",
            &["sim", "--shape", "nope"],
            exit::USAGE,
            "no shape nope",
        ),
        (
            "yewcross-lab",
            &["sim", "--acts", "calm+nope"],
            exit::USAGE,
            "unknown act",
        ),
        (
            "yewcross-lab",
            &["sim", "--from", "18446744073709551615", "--count", "2"],
            exit::USAGE,
            "last seed",
        ),
        (
            "yewcross-lab",
            &["sim", "--count", "-1"],
            exit::USAGE,
            "count",
        ),
        (
            "yewcross-lab",
            &["grind", "--from", "18446744073709551615", "--count", "9"],
            exit::USAGE,
            "last seed",
        ),
        (
            "yewcross-lab",
            &["up", "--base", "65000"],
            exit::USAGE,
            "--base",
        ),
        (
            "yewcross-lab",
            &["up", "--shape", "nope"],
            1,
            "no shape nope",
        ),
        (
            "yewcross-lab",
            &["standin", "--spec", &junk],
            exit::BAD_STARTUP,
            "junk",
        ),
        (
            "yewcross-lab",
            &["platform", "--at", "nowhere", "--list", &junk],
            exit::USAGE,
            "--at",
        ),
        ("yewcross-plan", &["--nope"], exit::USAGE, "nope"),
        (
            "yewcross-plan",
            &["--checkpoint", &junk, "--without", "m1"],
            exit::BAD_STARTUP,
            "junk",
        ),
        (
            "yewcross-control",
            &["--startup", &junk, "--check"],
            exit::BAD_STARTUP,
            "junk",
        ),
    ];
    for (prog, args, code, why) in cases {
        let (c, t) = run(prog, args);
        assert!(
            c == Some(code) && t.contains(why) && !t.contains("panicked"),
            "{prog} {args:?}: {c:?} {t}"
        );
    }
    let _ = std::fs::remove_dir_all(&d);
}
