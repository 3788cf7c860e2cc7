//! The runtime of one front and a list of servers, for tests of the choice between them.

use std::net::SocketAddr;
use yewcross_common::protocol::ListedServer;
use yewcross_common::runtime::Runtime;
use yewcross_testkit::sim::Sim;

/// A front in a world of its own.
pub fn front_runtime() -> (Sim, Runtime) {
    let sim = Sim::new(1, 1_000);
    let machine = sim.add_machine("front", "z", "10.0.0.1".parse().unwrap());
    let runtime = sim.boot(machine);
    (sim, runtime)
}

/// Lets us of virtual time pass.
pub fn advance(sim: &Sim, runtime: &Runtime, us: u64) {
    runtime.spawn(runtime.sleep(us + 1));
    sim.run(sim.now() + us, || false);
}

/// Servers of service `x`, in so many sites by turns.
pub fn servers(count: usize, sites: usize) -> Vec<ListedServer> {
    let addr: SocketAddr = "10.0.1.1:1".parse().unwrap();
    let server = |i: usize| ListedServer {
        server: format!("s{i}"),
        service: "x".into(),
        addr,
        site: format!("z{}", i % sites),
        leaving: false,
    };
    (0..count).map(server).collect()
}
