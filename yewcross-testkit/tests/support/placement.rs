//! One front's world and a list of servers, for tests of the choice between them.

use std::net::SocketAddr;
use yewcross_common::protocol::ListedServer;
use yewcross_common::runtime::*;
use yewcross_testkit::sim::Sim;

pub fn world() -> (Sim, Runtime) {
    let sim = Sim::new(1, 1_000);
    let m = sim.machine("front", "z", "10.0.0.1".parse().unwrap());
    let w = sim.boot(m);
    (sim, w)
}

/// Lets us of virtual time pass.
pub fn rest(sim: &Sim, runtime: &Runtime, us: u64) {
    runtime.spawn(runtime.sleep(us + 1));
    sim.run(sim.now() + us, || false);
}

/// Servers of service `x`, in so many zones by turns.
pub fn servers(count: usize, zones: usize) -> Vec<ListedServer> {
    let addr: SocketAddr = "10.0.1.1:1".parse().unwrap();
    let server = |i: usize| ListedServer {
        server: format!("s{i}"),
        service: "x".into(),
        addr,
        site: format!("z{}", i % zones),
        leaving: false,
    };
    (0..count).map(server).collect()
}
