//! More callers than the deployment is built for.

use crate::caller;
use crate::proof::cluster::{TestCluster, address};
use crate::topology::Topology;
use std::sync::Arc;

/// Turns of each of the added callers.
const SESSION_TURNS: usize = 2;

/// A machine with added callers.
struct Crowd {
    machine: &'static str,
    /// Index of its site.
    site: usize,
    /// Index of its address.
    host: usize,
    callers: usize,
    /// Number of the first caller's session.
    first_session: usize,
}

impl TestCluster {
    /// Sixty more callers come at once.
    pub(super) async fn crowd(self: &Arc<Self>) {
        let crowd = Crowd {
            machine: "crowd",
            site: 2,
            host: 902,
            callers: 60,
            first_session: 5000,
        };
        self.add_callers(crowd, self.topology.clone());
        self.sleep_seconds(6).await;
    }

    /// Ten callers a model server come at once, all with the second program.
    pub(super) async fn urgent_crowd(self: &Arc<Self>) {
        let crowd = Crowd {
            machine: "crowd",
            site: 3,
            host: 904,
            callers: 10 * self.model_servers(),
            first_session: 20_000,
        };
        let mut topology = (*self.topology).clone();
        let urgent = topology.workload.turns[1].program.clone();
        for turns in &mut topology.workload.turns {
            turns.weight = (turns.program == urgent).into();
        }
        self.add_callers(crowd, Arc::new(topology));
        self.sleep_seconds(6).await;
    }

    /// Forty callers a model server come at once.
    pub(super) async fn flood(self: &Arc<Self>) {
        let crowd = Crowd {
            machine: "flood",
            site: 1,
            host: 903,
            callers: 40 * self.model_servers(),
            first_session: 8000,
        };
        self.add_callers(crowd, self.topology.clone());
        self.sleep_seconds(10).await;
    }

    fn model_servers(&self) -> usize {
        let servers = self.topology.servers.iter();
        servers.filter(|server| server.is_model).count()
    }

    fn add_callers(&self, crowd: Crowd, topology: Arc<Topology>) {
        let site = &self.topology.sites[crowd.site];
        let ip = address(crowd.host, 0).ip();
        let machine = self.sim.add_machine(crowd.machine, site, ip);
        let runtime = self.sim.boot(machine);
        for caller in 0..crowd.callers {
            runtime.spawn(caller::run_session(
                runtime.clone(),
                topology.clone(),
                self.diary.clone(),
                crowd.first_session + caller,
                SESSION_TURNS,
            ));
        }
    }
}
