//! A plan is compared with what then happens.

use serde_json::json;
use std::collections::BTreeSet;
use std::sync::Arc;
use yewcross_capacity::{Change, Checkpoint, plan, take};
use yewcross_common::constants::*;
use yewcross_common::process_settings::Role;
use yewcross_control::layout::DiskChange;
use yewcross_testkit::caller::{self, Outcome, TurnRequest};
use yewcross_testkit::proof::{TestCluster, with_cluster_of};

async fn talk(lab: &Arc<TestCluster>, turns: std::ops::Range<usize>) -> Vec<caller::RequestRecord> {
    let fronts: Vec<_> = lab
        .topology
        .nodes_with_role(Role::Front)
        .iter()
        .map(|n| n.http)
        .collect();
    let mut v = vec![];
    for t in turns {
        for s in 0..10 {
            let a = TurnRequest {
                program: "chargeback".into(),
                budget: "chargeback".into(),
                session: format!("p{s}"),
                job: format!("p{s}-{t}"),
                horizon_ms: 6000,
                text: if t == 0 {
                    format!("{s} ").repeat(18_000)
                } else {
                    "more".into()
                },
                max_output: 16,
                stream: false,
            };
            let x = caller::send_turn(&lab.operator, fronts[s % fronts.len()], &a).await;
            assert_eq!(x.outcome, Outcome::Done, "{x:?}");
            v.push(x);
        }
        lab.operator.sleep(8 * SEC).await;
    }
    v
}

async fn checkpoint(lab: &Arc<TestCluster>) -> Checkpoint {
    take(
        &lab.operator,
        lab.topology.nodes_with_role(Role::Core)[0].http,
    )
    .await
    .unwrap()
}

#[test]
fn emptying_a_store_copies_exactly_what_was_planned() {
    with_cluster_of(
        "kowhai",
        11,
        |_| (),
        |lab| {
            Box::pin(async move {
                talk(&lab, 0..1).await;
                let before = checkpoint(&lab).await;
                let p = plan(&before, &Change::Disks(DiskChange::Remove("store2".into())));
                assert!(p.refused.is_empty() && p.copies.len() >= 5, "{}", p.text());
                assert_eq!(lab.post("core2", "/v1/disks/store2/empty").await.0, 200);
                let mut safe = false;
                for _ in 0..60 {
                    lab.operator.sleep(SEC).await;
                    safe = lab.get("core2", "/v1/disks/store2").await.1["safe_to_remove"]
                        == json!(true);
                    if safe {
                        break;
                    }
                }
                assert!(safe, "store2 did not become safe to remove");
                let after = checkpoint(&lab).await;
                let pairs = |c: &Checkpoint| -> BTreeSet<(String, String, u64)> {
                    let gone = before
                        .nodes
                        .iter()
                        .find(|n| n.name == "store2")
                        .map(|n| n.disk.clone())
                        .unwrap();
                    c.held
                        .iter()
                        .filter(|h| *h.0 != gone)
                        .flat_map(|(d, v)| v.iter().map(|h| (h.key.clone(), d.clone(), h.bytes)))
                        .collect()
                };
                let new: BTreeSet<_> = pairs(&after)
                    .difference(&pairs(&before))
                    .filter(|x| {
                        !yewcross_common::documents::cache::DOCUMENT_NAMES.contains(&x.0.as_str())
                    })
                    .cloned()
                    .collect();
                let said: BTreeSet<_> = p
                    .copies
                    .iter()
                    .map(|c| (c.key.clone(), c.to.clone(), c.bytes))
                    .collect();
                assert_eq!(new, said);
                println!(
                    "planned and made: {} copies, {} bytes within sites, {} across",
                    said.len(),
                    p.bytes_within,
                    p.bytes_across
                );
            })
        },
    );
}

#[test]
fn a_lost_server_sends_sessions_where_the_plan_said() {
    with_cluster_of(
        "kowhai",
        12,
        |_| (),
        |lab| {
            Box::pin(async move {
                talk(&lab, 0..2).await;
                let c = checkpoint(&lab).await;
                let busiest = (1..=12)
                    .map(|i| format!("m{i}"))
                    .max_by_key(|m| plan(&c, &Change::Without(m.clone())).homes.len())
                    .unwrap();
                let p = plan(&c, &Change::Without(busiest.clone()));
                assert!(
                    !p.homes.is_empty() && p.homes.iter().any(|m| m.is != "cold"),
                    "{}",
                    p.text()
                );
                lab.sim.kill(lab.sim.find(&busiest), false);
                lab.operator.sleep(3 * SEC).await;
                let seen = talk(&lab, 2..3).await;
                for m in &p.homes {
                    let s = seen
                        .iter()
                        .find(|s| m.what.ends_with(&format!("/{}", s.session)))
                        .unwrap();
                    println!(
                        "{}: planned {}, ran at {} reusing {} of {}",
                        m.what, m.is, s.server, s.reused, s.prompt
                    );
                    if m.is != "cold" {
                        assert_eq!(
                            (&s.server, 100 * s.reused / s.prompt >= KV_WARM_PERCENT),
                            (&m.is, true)
                        );
                    }
                }
            })
        },
    );
}

#[test]
fn a_configuration_is_refused_or_told_setting_by_setting() {
    with_cluster_of(
        "small",
        13,
        |_| (),
        |lab| {
            Box::pin(async move {
                let c = checkpoint(&lab).await;
                let seq = c.config_seq;
                assert_eq!(plan(&c, &Change::Config("{".into())).refused.len(), 1);
                let mut t: serde_json::Value = serde_json::from_str(&c.config).unwrap();
                t["families"]["talk"]["set"]["max_output"] = json!(77);
                let p = plan(&c, &Change::Config(t.to_string()));
                let got: BTreeSet<_> = p
                    .settings
                    .iter()
                    .map(|s| {
                        (
                            s.family.as_str(),
                            s.key.as_str(),
                            s.is.as_u64(),
                            s.from.as_str(),
                        )
                    })
                    .collect();
                let want = ["chargeback", "onboarding", "talk"]
                    .map(|f| (f, "max_output", Some(77), "talk"));
                assert_eq!(got, BTreeSet::from(want));
                t["fronts"] = json!(["front8", "front9"]);
                assert_eq!(
                    plan(&c, &Change::Config(t.to_string())).refused[0].path,
                    "fronts"
                );
                assert_eq!(plan(&c, &Change::Without("nobody".into())).refused.len(), 1);
                assert_eq!(lab.version().await, seq, "planning changed something");
            })
        },
    );
}

#[test]
fn bad_files_are_named_and_nothing_is_touched() {
    let bin = env!("CARGO_BIN_EXE_yewcross-plan");
    let run = |a: &[&str]| {
        let o = std::process::Command::new(bin).args(a).output().unwrap();
        (
            o.status.code(),
            String::from_utf8_lossy(&o.stderr).into_owned(),
        )
    };
    let f = std::env::temp_dir().join(format!("yewcross-plan-{}", std::process::id()));
    std::fs::write(&f, "{\"config_seq\": true}").unwrap();
    let p = f.display().to_string();
    let (c, e) = run(&["--checkpoint", &p, "--empty", "store1"]);
    assert!(c == Some(3) && e.contains(&p), "{c:?} {e}");
    let (c, e) = run(&["--checkpoint", &p, "--config", "/nowhere"]);
    assert!(c == Some(3) && e.contains("/nowhere"), "{c:?} {e}");
    assert_eq!(run(&["--checkpoint", &p]).0, Some(2));
    assert_eq!(run(&["--empty", "x"]).0, Some(2));
    assert_eq!(
        std::fs::read_to_string(&f).unwrap(),
        "{\"config_seq\": true}"
    );
    let _ = std::fs::remove_file(&f);
}
