//! The cost model: docs/CAPACITY.md contains its table, the largest sizes that fit are computed
//! correctly, and the computed rates match the counters of the simulator.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use yewcross_capacity::capacity::{
    Cost, DEFAULT_INPUTS, DesignStatus, Inputs, LimitSet, MECHANISMS, MessageSizes, control_total,
    cost_table, exceeded_limits, format_table,
};
use yewcross_common::constants::SEC;
use yewcross_common::process_settings::{ProcessSettings, Role};
use yewcross_testkit::proof::{Process, TestCluster};

fn cost_of(inputs: &Inputs, name: &str) -> Cost {
    let mechanism = MECHANISMS
        .iter()
        .find(|mechanism| mechanism.name == name)
        .unwrap_or_else(|| panic!("no mechanism is named {name}"));
    (mechanism.cost)(inputs, &MessageSizes::compute())
}

#[test]
fn capacity_page_contains_the_table_of_the_default_inputs() {
    let page = std::fs::read_to_string(format!(
        "{}/../docs/CAPACITY.md",
        env!("CARGO_MANIFEST_DIR")
    ))
    .unwrap();
    let text = format_table(&cost_table(&Inputs::parse(DEFAULT_INPUTS).unwrap()));
    let missing: Vec<&str> = text.lines().filter(|line| !page.contains(line)).collect();
    assert!(
        missing.is_empty(),
        "docs/CAPACITY.md lacks these lines of the table: {missing:#?}"
    );
}

#[test]
fn kept_and_planned_mechanisms_fit_individually_and_in_total() {
    let inputs = Inputs::parse(DEFAULT_INPUTS).unwrap();
    let rows = cost_table(&inputs);
    let exceeding = |statuses: &[DesignStatus]| {
        rows.iter()
            .filter(|row| statuses.contains(&row.status) && !row.exceeded.is_empty())
            .map(|row| row.name)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        exceeding(&[DesignStatus::Kept, DesignStatus::Next]),
        Vec::<&str>::new()
    );
    assert_eq!(
        exceeded_limits(&inputs, LimitSet::Control, &control_total(&rows)),
        Vec::<String>::new()
    );
    // Every mechanism that is to be replaced exceeds a limit.
    let to_be_replaced = rows
        .iter()
        .filter(|row| row.status == DesignStatus::Today)
        .count();
    assert_eq!(exceeding(&[DesignStatus::Today]).len(), to_be_replaced);
}

/// A mechanism fits at 0.999 times its maximum factor and does not fit at 1.001 times.
#[test]
fn max_factor_is_the_largest_that_fits() {
    let inputs = Inputs::parse(DEFAULT_INPUTS).unwrap();
    let (sizes, rows) = (MessageSizes::compute(), cost_table(&inputs));
    let mut checked = 0;
    for (mechanism, row) in MECHANISMS
        .iter()
        .zip(&rows)
        .filter(|pair| pair.1.max_factor > 0.001 && pair.1.max_factor < 64.0)
    {
        let scaled = |factor: f64| {
            if mechanism.limit_set == LimitSet::Control {
                inputs.scaled(factor)
            } else {
                inputs.with_scaled_load(factor)
            }
        };
        let fits = |factor: f64| {
            exceeded_limits(
                &scaled(factor),
                mechanism.limit_set,
                &(mechanism.cost)(&scaled(factor), &sizes),
            )
            .is_empty()
        };
        assert!(
            fits(row.max_factor * 0.999) && !fits(row.max_factor * 1.001),
            "{}: {} is not the maximum factor",
            mechanism.name,
            row.max_factor
        );
        checked += 1;
    }
    println!("maximum factors checked: {checked}");
    assert!(checked >= 12);
}

#[test]
fn invalid_inputs_are_reported() {
    let error_after =
        |old: &str, new: &str| Inputs::parse(&DEFAULT_INPUTS.replacen(old, new, 1)).unwrap_err();
    assert!(error_after("servers = 3800", "servers = -1").contains("size.servers"));
    assert!(error_after("nodes = 410", "nodes = 10").contains("size.nodes"));
    assert!(error_after("zones = 16", "zones = 0").contains("size.zones"));
    assert!(error_after("servers = 3800", "sellers = 3800").contains("sellers"));
    assert!(Inputs::parse("[size").is_err());
    let binary = env!("CARGO_BIN_EXE_yewcross-plan");
    let run = |args: &[&str]| {
        let output = std::process::Command::new(binary)
            .args(args)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stdout).into_owned(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    assert_eq!(
        run(&["capacity"]).1,
        format_table(&cost_table(&Inputs::parse(DEFAULT_INPUTS).unwrap()))
    );
    let (exit_code, _, stderr) = run(&["capacity", "--inputs", "/nowhere"]);
    assert!(
        exit_code == Some(3) && stderr.contains("/nowhere"),
        "{exit_code:?} {stderr}"
    );
    assert!(run(&["capacity", "--json"]).1.starts_with('['));
}

/// Rates in a simulated tier without load.
struct IdleRates {
    nodes: f64,
    fronts: f64,
    cores: f64,
    servers: f64,
    /// Requests per second and their bytes per second, over all nodes, by kind of request.
    requests: BTreeMap<String, (f64, f64)>,
    /// Polls of servers per second, over all fronts.
    polls: f64,
}

/// Runs a tier with this many additional fronts and counts for ten seconds, from ten seconds after
/// its configuration was submitted.
fn measure_idle_rates(seed: u64, additional_fronts: usize) -> IdleRates {
    const SECONDS: u64 = 10;
    let cluster = TestCluster::with_topology(seed, "kowhai", |topology| {
        let template: ProcessSettings = topology.nodes_with_role(Role::Front)[0].clone();
        (0..additional_fronts).for_each(|i| {
            let address = |port: u16| {
                std::net::SocketAddr::from(([10, 7, (i / 200) as u8, (i % 200) as u8 + 1], port))
            };
            let site = topology.sites[i % topology.sites.len()].clone();
            topology.nodes.push(ProcessSettings {
                name: format!("front{}", 100 + i),
                site,
                peer: address(1000),
                http: address(1001),
                ..template.clone()
            });
        });
    });
    cluster.boot_all();
    type Counts = (BTreeMap<&'static str, (u64, u64)>, u64);
    let read_counts = |cluster: &TestCluster| -> Counts {
        let mut counts: Counts = Default::default();
        cluster
            .processes
            .lock()
            .unwrap()
            .values()
            .for_each(|process| {
                let peers = match process {
                    Process::Front(front) => {
                        counts.1 += front.counts.polls.load(SeqCst);
                        &front.peers
                    }
                    Process::Control(node) => &node.peers,
                    Process::Server(_) => return,
                };
                peers
                    .metrics
                    .kinds
                    .lock()
                    .unwrap()
                    .iter()
                    .for_each(|(kind, added)| {
                        let total = counts.0.entry(kind).or_default();
                        *total = (total.0 + added.0, total.1 + added.1 + added.2);
                    });
            });
        counts
    };
    let result: Arc<Mutex<Option<(Counts, Counts)>>> = Default::default();
    let (task_cluster, task_result) = (cluster.clone(), result.clone());
    cluster.operator.spawn(async move {
        task_cluster.operator.sleep(3 * SEC).await;
        task_cluster.bootstrap().await;
        task_cluster.put("core1", 1, "first").await;
        task_cluster.operator.sleep(10 * SEC).await;
        let before = read_counts(&task_cluster);
        task_cluster.operator.sleep(SECONDS * SEC).await;
        *task_result.lock().unwrap() = Some((before, read_counts(&task_cluster)));
    });
    cluster
        .sim
        .run(300 * SEC, || result.lock().unwrap().is_some());
    let (before, after) = result.lock().unwrap().take().unwrap();
    let seconds = SECONDS as f64;
    let requests = after.0.iter().map(|(kind, end)| {
        let start = before.0.get(kind).cloned().unwrap_or_default();
        (
            kind.to_string(),
            (
                (end.0 - start.0) as f64 / seconds,
                (end.1 - start.1) as f64 / seconds,
            ),
        )
    });
    IdleRates {
        nodes: cluster.topology.nodes.len() as f64,
        fronts: cluster.topology.nodes_with_role(Role::Front).len() as f64,
        cores: cluster.topology.nodes_with_role(Role::Core).len() as f64,
        servers: cluster.topology.servers.len() as f64,
        requests: requests.collect(),
        polls: (after.1 - before.1) as f64 / seconds,
    }
}

/// In idle tiers of two sizes, the computed rates of probes, leases and polls match the counters of
/// the simulator.
#[test]
fn computed_rates_match_simulator_counters() {
    let assert_near = |rate: &str, nodes: f64, counted: f64, computed: f64, tolerance: f64| {
        println!("{nodes} nodes, {rate}: counted {counted:.1} per second, computed {computed:.1}");
        assert!(
            (counted - computed).abs() <= tolerance * computed,
            "{rate} at {nodes} nodes: counted {counted} per second, computed {computed}"
        );
    };
    for (seed, additional_fronts) in [(81, 0), (82, 43)] {
        let idle = measure_idle_rates(seed, additional_fronts);
        let requests = |kind: &str| idle.requests.get(kind).cloned().unwrap_or_default();
        let mut inputs = Inputs::parse(DEFAULT_INPUTS).unwrap();
        (
            inputs.size.nodes,
            inputs.size.control_machines,
            inputs.size.servers,
        ) = (idle.nodes, idle.nodes - idle.fronts, idle.servers);
        (
            inputs.day.failed,
            inputs.day.restarted,
            inputs.design.stores,
        ) = (0.0, 0.0, 0.0);
        // In each exchange, one node sends the probe and another one responds.
        let cost = cost_of(&inputs, "membership: probes, whole tables on a change");
        assert_near(
            "probes",
            idle.nodes,
            requests("Probe").0,
            idle.nodes * cost.messages_s / 4.0,
            0.05,
        );
        // The counters include neither the frame of a response nor the packet headers. The names in
        // the simulator are shorter than those in the message sizes.
        let header_bytes = 2.0 * 66.0 + MessageSizes::compute().empty_frame;
        assert_near(
            "bytes of probes",
            idle.nodes,
            requests("Probe").1,
            idle.nodes * (cost.bytes_s / 2.0 - header_bytes * cost.messages_s / 4.0),
            0.15,
        );
        (inputs.size.nodes, inputs.size.control_machines) = (idle.fronts + idle.cores, idle.cores);
        let cost = cost_of(&inputs, "in force: leases of fronts (at a core)");
        // Control nodes query one core at the same interval, every 0.3 s.
        let control_queries = (idle.nodes - idle.fronts) / 0.3;
        assert_near(
            "leases",
            idle.nodes,
            requests("Newer").0,
            idle.cores * cost.messages_s / 2.0 + control_queries,
            0.1,
        );
        assert_near("polls", idle.nodes, idle.polls, idle.servers * 4.0, 0.05);
    }
}
