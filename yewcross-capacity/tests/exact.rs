//! Plans are compared with the effects of the change in a simulated tier.

use serde_json::json;
use std::collections::BTreeSet;
use std::sync::Arc;
use yewcross_capacity::{Change, Checkpoint, plan, take_checkpoint};
use yewcross_common::constants::*;
use yewcross_common::process_settings::Role;
use yewcross_control::layout::DiskChange;
use yewcross_testkit::caller::{self, Outcome, TurnRequest};
use yewcross_testkit::proof::{TestCluster, with_cluster_of};

/// Runs these turns of ten sessions, distributed over all fronts, and checks that each succeeds.
async fn run_turns(
    cluster: &Arc<TestCluster>,
    turns: std::ops::Range<usize>,
) -> Vec<caller::RequestRecord> {
    let fronts: Vec<_> = cluster
        .topology
        .nodes_with_role(Role::Front)
        .iter()
        .map(|front| front.http)
        .collect();
    let mut results = vec![];
    for turn in turns {
        for session in 0..10 {
            let request = TurnRequest {
                program: "chargeback".into(),
                budget: "chargeback".into(),
                session: format!("p{session}"),
                job: format!("p{session}-{turn}"),
                horizon_ms: 6000,
                text: if turn == 0 {
                    format!("{session} ").repeat(18_000)
                } else {
                    "more".into()
                },
                max_output: 16,
                stream: false,
            };
            let result =
                caller::send_turn(&cluster.operator, fronts[session % fronts.len()], &request)
                    .await;
            assert_eq!(result.outcome, Outcome::Done, "{result:?}");
            results.push(result);
        }
        cluster.operator.sleep(8 * SEC).await;
    }
    results
}

async fn take_cluster_checkpoint(cluster: &Arc<TestCluster>) -> Checkpoint {
    take_checkpoint(
        &cluster.operator,
        cluster.topology.nodes_with_role(Role::Core)[0].http,
    )
    .await
    .unwrap()
}

#[test]
fn removing_a_store_copies_exactly_the_planned_replicas() {
    with_cluster_of(
        "kowhai",
        11,
        |_| (),
        |cluster| {
            Box::pin(async move {
                run_turns(&cluster, 0..1).await;
                let before = take_cluster_checkpoint(&cluster).await;
                let planned = plan(&before, &Change::Disks(DiskChange::Remove("store2".into())));
                assert!(
                    planned.rejections.is_empty() && planned.copies.len() >= 5,
                    "{}",
                    planned.text()
                );
                assert_eq!(cluster.post("core2", "/v1/disks/store2/empty").await.0, 200);
                let mut safe_to_remove = false;
                for _ in 0..60 {
                    cluster.operator.sleep(SEC).await;
                    safe_to_remove = cluster.get("core2", "/v1/disks/store2").await.1["safe_to_remove"]
                        == json!(true);
                    if safe_to_remove {
                        break;
                    }
                }
                assert!(safe_to_remove, "store2 is not safe to remove after 60 s");
                let after = take_cluster_checkpoint(&cluster).await;
                let stored_replicas = |checkpoint: &Checkpoint| -> BTreeSet<(String, String, u64)> {
                    let removed_disk = before
                        .nodes
                        .iter()
                        .find(|node| node.name == "store2")
                        .map(|node| node.disk.clone())
                        .unwrap();
                    checkpoint
                        .keys_by_disk
                        .iter()
                        .filter(|entry| *entry.0 != removed_disk)
                        .flat_map(|(disk, keys)| {
                            keys.iter()
                                .map(|stored| (stored.key.clone(), disk.clone(), stored.bytes))
                        })
                        .collect()
                };
                let copied: BTreeSet<_> = stored_replicas(&after)
                    .difference(&stored_replicas(&before))
                    .filter(|replica| {
                        !yewcross_common::documents::cache::DOCUMENT_NAMES
                            .contains(&replica.0.as_str())
                    })
                    .cloned()
                    .collect();
                let planned_copies: BTreeSet<_> = planned
                    .copies
                    .iter()
                    .map(|copy| (copy.key.clone(), copy.target_disk.clone(), copy.bytes))
                    .collect();
                assert_eq!(copied, planned_copies);
                println!(
                    "planned and made: {} copies, {} bytes within sites, {} between sites",
                    planned_copies.len(),
                    planned.bytes_within_sites,
                    planned.bytes_between_sites
                );
            })
        },
    );
}

#[test]
fn after_server_failure_sessions_resume_at_planned_servers() {
    with_cluster_of(
        "kowhai",
        12,
        |_| (),
        |cluster| {
            Box::pin(async move {
                run_turns(&cluster, 0..2).await;
                let before = take_cluster_checkpoint(&cluster).await;
                let server_with_most_sessions = (1..=12)
                    .map(|i| format!("m{i}"))
                    .max_by_key(|server| {
                        plan(&before, &Change::Failure(server.clone()))
                            .home_changes
                            .len()
                    })
                    .unwrap();
                let planned = plan(&before, &Change::Failure(server_with_most_sessions.clone()));
                assert!(
                    !planned.home_changes.is_empty()
                        && planned
                            .home_changes
                            .iter()
                            .any(|session| session.after != "cold"),
                    "{}",
                    planned.text()
                );
                cluster
                    .sim
                    .kill(cluster.sim.find(&server_with_most_sessions), false);
                cluster.operator.sleep(3 * SEC).await;
                let results = run_turns(&cluster, 2..3).await;
                for session in &planned.home_changes {
                    let result = results
                        .iter()
                        .find(|result| session.subject.ends_with(&format!("/{}", result.session)))
                        .unwrap();
                    println!(
                        "{}: planned {}, ran at {}, reused {} of {} prompt tokens",
                        session.subject, session.after, result.server, result.reused, result.prompt
                    );
                    if session.after != "cold" {
                        assert_eq!(
                            (
                                &result.server,
                                100 * result.reused / result.prompt >= KV_WARM_PERCENT
                            ),
                            (&session.after, true)
                        );
                    }
                }
            })
        },
    );
}

#[test]
fn invalid_configuration_is_rejected_and_changed_settings_are_listed() {
    with_cluster_of(
        "small",
        13,
        |_| (),
        |cluster| {
            Box::pin(async move {
                let checkpoint = take_cluster_checkpoint(&cluster).await;
                let config_version = checkpoint.config_version;
                assert_eq!(
                    plan(&checkpoint, &Change::Config("{".into()))
                        .rejections
                        .len(),
                    1
                );
                let mut config: serde_json::Value =
                    serde_json::from_str(&checkpoint.config).unwrap();
                config["families"]["talk"]["set"]["max_output"] = json!(77);
                let planned = plan(&checkpoint, &Change::Config(config.to_string()));
                let changed: BTreeSet<_> = planned
                    .changed_settings
                    .iter()
                    .map(|setting| {
                        (
                            setting.program_class.as_str(),
                            setting.key.as_str(),
                            setting.after.as_u64(),
                            setting.origin.as_str(),
                        )
                    })
                    .collect();
                let expected = ["chargeback", "onboarding", "talk"]
                    .map(|class| (class, "max_output", Some(77), "talk"));
                assert_eq!(changed, BTreeSet::from(expected));
                config["fronts"] = json!(["front8", "front9"]);
                assert_eq!(
                    plan(&checkpoint, &Change::Config(config.to_string())).rejections[0].path,
                    "fronts"
                );
                assert_eq!(
                    plan(&checkpoint, &Change::Failure("nobody".into()))
                        .rejections
                        .len(),
                    1
                );
                assert_eq!(
                    cluster.version().await,
                    config_version,
                    "planning changed the configuration"
                );
            })
        },
    );
}

#[test]
fn invalid_files_are_reported_and_not_modified() {
    let binary = env!("CARGO_BIN_EXE_yewcross-plan");
    let run = |args: &[&str]| {
        let output = std::process::Command::new(binary)
            .args(args)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    let file = std::env::temp_dir().join(format!("yewcross-plan-{}", std::process::id()));
    std::fs::write(&file, "{\"config_seq\": true}").unwrap();
    let path = file.display().to_string();
    let (exit_code, stderr) = run(&["--checkpoint", &path, "--empty", "store1"]);
    assert!(
        exit_code == Some(3) && stderr.contains(&path),
        "{exit_code:?} {stderr}"
    );
    let (exit_code, stderr) = run(&["--checkpoint", &path, "--config", "/nowhere"]);
    assert!(
        exit_code == Some(3) && stderr.contains("/nowhere"),
        "{exit_code:?} {stderr}"
    );
    assert_eq!(run(&["--checkpoint", &path]).0, Some(2));
    assert_eq!(run(&["--empty", "x"]).0, Some(2));
    assert_eq!(
        std::fs::read_to_string(&file).unwrap(),
        "{\"config_seq\": true}"
    );
    let _ = std::fs::remove_file(&file);
}
