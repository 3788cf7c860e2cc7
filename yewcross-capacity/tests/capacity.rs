//! The arithmetic of docs/CAPACITY.md: it is that page's, it scales as it should, and the
//! simulator's counters agree.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use yewcross_capacity::capacity::{
    Cost, GIVEN, Held, Inputs, MECHANISMS, Messages, Stand, passes, sum, table, text,
};
use yewcross_common::constants::SEC;
use yewcross_common::process_settings::{ProcessSettings, Role};
use yewcross_testkit::proof::{Process, TestCluster};

fn cost(i: &Inputs, name: &str) -> Cost {
    let m = MECHANISMS
        .iter()
        .find(|m| m.name == name)
        .unwrap_or_else(|| panic!("no {name}"));
    (m.cost)(i, &Messages::now())
}

#[test]
fn the_pages_table_is_made_from_the_given_inputs() {
    let page = std::fs::read_to_string(format!(
        "{}/../docs/CAPACITY.md",
        env!("CARGO_MANIFEST_DIR")
    ))
    .unwrap();
    let made = text(&table(&Inputs::read(GIVEN).unwrap()));
    let differs: Vec<&str> = made.lines().filter(|l| !page.contains(l)).collect();
    assert!(differs.is_empty(), "not on the page: {differs:#?}");
}

#[test]
fn what_is_kept_or_next_fits_alone_and_together() {
    let i = Inputs::read(GIVEN).unwrap();
    let lines = table(&i);
    let bad = |s: &[Stand]| {
        lines
            .iter()
            .filter(|l| s.contains(&l.stand) && !l.passes.is_empty())
            .map(|l| l.name)
            .collect::<Vec<_>>()
    };
    assert_eq!(bad(&[Stand::Kept, Stand::Next]), Vec::<&str>::new());
    assert_eq!(
        passes(&i, Held::Control, &sum(&lines)),
        Vec::<String>::new()
    );
    // Whatever is to be replaced, and whatever was weighed and is not taken for its cost, breaks.
    let today = lines.iter().filter(|l| l.stand == Stand::Today).count();
    assert_eq!(bad(&[Stand::Today]).len(), today);
}

/// Just below the size at which a mechanism is said to break it fits, and just above it does not.
#[test]
fn the_breaking_size_is_where_it_breaks() {
    let i = Inputs::read(GIVEN).unwrap();
    let (msg, lines) = (Messages::now(), table(&i));
    let mut tried = 0;
    for (m, l) in MECHANISMS
        .iter()
        .zip(&lines)
        .filter(|x| x.1.up_to > 0.001 && x.1.up_to < 64.0)
    {
        let at = |x: f64| {
            if m.held == Held::Control {
                i.times(x)
            } else {
                i.load(x)
            }
        };
        let fits = |x: f64| passes(&at(x), m.held, &(m.cost)(&at(x), &msg)).is_empty();
        assert!(
            fits(l.up_to * 0.999) && !fits(l.up_to * 1.001),
            "{} at {}",
            m.name,
            l.up_to
        );
        tried += 1;
    }
    println!("{tried} breaking sizes held");
    assert!(tried >= 12);
}

#[test]
fn wrong_inputs_are_named() {
    let i = |a: &str, b: &str| Inputs::read(&GIVEN.replacen(a, b, 1)).unwrap_err();
    assert!(i("servers = 3800", "servers = -1").contains("size.servers"));
    assert!(i("nodes = 410", "nodes = 10").contains("size.nodes"));
    assert!(i("zones = 16", "zones = 0").contains("size.zones"));
    assert!(i("servers = 3800", "sellers = 3800").contains("sellers"));
    assert!(Inputs::read("[size").is_err());
    let bin = env!("CARGO_BIN_EXE_yewcross-plan");
    let run = |a: &[&str]| {
        let o = std::process::Command::new(bin).args(a).output().unwrap();
        (
            o.status.code(),
            String::from_utf8_lossy(&o.stdout).into_owned(),
            String::from_utf8_lossy(&o.stderr).into_owned(),
        )
    };
    assert_eq!(
        run(&["capacity"]).1,
        text(&table(&Inputs::read(GIVEN).unwrap()))
    );
    let (c, _, e) = run(&["capacity", "--inputs", "/nowhere"]);
    assert!(c == Some(3) && e.contains("/nowhere"), "{c:?} {e}");
    assert!(run(&["capacity", "--json"]).1.starts_with('['));
}

/// Counters of a simulated tier at rest: per kind of question, how many a second all nodes asked,
/// and bytes of them.
struct Rest {
    nodes: f64,
    fronts: f64,
    cores: f64,
    servers: f64,
    kinds: BTreeMap<String, (f64, f64)>,
    polls: f64,
}

fn at_rest(seed: u64, more: usize) -> Rest {
    const SECS: u64 = 10;
    let lab = TestCluster::with_topology(seed, "kowhai", |sh| {
        let like: ProcessSettings = sh.nodes_with_role(Role::Front)[0].clone();
        (0..more).for_each(|i| {
            let at = |p: u16| {
                std::net::SocketAddr::from(([10, 7, (i / 200) as u8, (i % 200) as u8 + 1], p))
            };
            let site = sh.sites[i % sh.sites.len()].clone();
            sh.nodes.push(ProcessSettings {
                name: format!("front{}", 100 + i),
                site,
                peer: at(1000),
                http: at(1001),
                ..like.clone()
            });
        });
    });
    lab.boot_all();
    type Counts = (BTreeMap<&'static str, (u64, u64)>, u64);
    let count = |lab: &TestCluster| -> Counts {
        let mut c: Counts = Default::default();
        lab.processes.lock().unwrap().values().for_each(|p| {
            let peers = match p {
                Process::Front(f) => {
                    c.1 += f.counts.polls.load(SeqCst);
                    &f.peers
                }
                Process::Control(x) => &x.peers,
                Process::Server(_) => return,
            };
            peers
                .metrics
                .kinds
                .lock()
                .unwrap()
                .iter()
                .for_each(|(k, v)| {
                    let e = c.0.entry(k).or_default();
                    *e = (e.0 + v.0, e.1 + v.1 + v.2);
                });
        });
        c
    };
    let out: Arc<Mutex<Option<(Counts, Counts)>>> = Default::default();
    let (me, o) = (lab.clone(), out.clone());
    lab.operator.spawn(async move {
        me.operator.sleep(3 * SEC).await;
        me.bootstrap().await;
        me.put("core1", 1, "first").await;
        me.operator.sleep(10 * SEC).await;
        let a = count(&me);
        me.operator.sleep(SECS * SEC).await;
        *o.lock().unwrap() = Some((a, count(&me)));
    });
    lab.sim.run(300 * SEC, || out.lock().unwrap().is_some());
    let (a, b) = out.lock().unwrap().take().unwrap();
    let s = SECS as f64;
    let kinds = b.0.iter().map(|(k, v)| {
        let w = a.0.get(k).cloned().unwrap_or_default();
        (
            k.to_string(),
            ((v.0 - w.0) as f64 / s, (v.1 - w.1) as f64 / s),
        )
    });
    Rest {
        nodes: lab.topology.nodes.len() as f64,
        fronts: lab.topology.nodes_with_role(Role::Front).len() as f64,
        cores: lab.topology.nodes_with_role(Role::Core).len() as f64,
        servers: lab.topology.servers.len() as f64,
        kinds: kinds.collect(),
        polls: (b.1 - a.1) as f64 / s,
    }
}

/// Two sizes, at rest: what the arithmetic says of probes, leases and polls is what the simulator
/// counts.
#[test]
fn the_simulators_counters_agree_with_the_arithmetic() {
    let near = |what: &str, nodes: f64, got: f64, said: f64, by: f64| {
        println!("{nodes} nodes, {what}: counted {got:.1} a second, worked out {said:.1}");
        assert!(
            (got - said).abs() <= by * said,
            "{what} at {nodes} nodes: {got} and {said}"
        );
    };
    for (seed, more) in [(81, 0), (82, 43)] {
        let r = at_rest(seed, more);
        let kind = |k: &str| r.kinds.get(k).cloned().unwrap_or_default();
        let mut i = Inputs::read(GIVEN).unwrap();
        (i.size.nodes, i.size.control_machines, i.size.servers) =
            (r.nodes, r.nodes - r.fronts, r.servers);
        (i.day.failed, i.day.restarted, i.ours.stores) = (0.0, 0.0, 0.0);
        // Each exchange of probes is asked by one node and answered by another.
        let c = cost(&i, "membership: probes, whole tables on a change");
        near(
            "probes",
            r.nodes,
            kind("Probe").0,
            r.nodes * c.messages_s / 4.0,
            0.05,
        );
        // The counters leave out the frame of an answer and the packets' heads; names in the
        // simulator are shorter.
        let heads = 2.0 * 66.0 + Messages::now().frame;
        near(
            "bytes of probes",
            r.nodes,
            kind("Probe").1,
            r.nodes * (c.bytes_s / 2.0 - heads * c.messages_s / 4.0),
            0.15,
        );
        (i.size.nodes, i.size.control_machines) = (r.fronts + r.cores, r.cores);
        let c = cost(&i, "in force: leases of fronts (at a core)");
        // Control nodes ask one core as often.
        let control = (r.nodes - r.fronts) / 0.3;
        near(
            "leases",
            r.nodes,
            kind("Newer").0,
            r.cores * c.messages_s / 2.0 + control,
            0.1,
        );
        near("polls", r.nodes, r.polls, r.servers * 4.0, 0.05);
    }
}
