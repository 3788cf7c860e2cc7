//! Faults of processes: kills, freezes, restarts, clocks.

use super::Crash;
use crate::proof::cluster::TestCluster;
use crate::proof::scenario::Fault;
use std::sync::Arc;
use yewcross_common::constants::{MS, SEC};
use yewcross_common::documents::cache::replicas_by_preference;
use yewcross_common::process_settings::Role;
use yewcross_control::Control;
use yewcross_proxy::Front;
use yewcross_proxy::server_table::designated_front;

/// us that a node has to stop in good order.
const STOP_TIMEOUT: u64 = 15 * SEC;
/// us from a node's stop to its start, and from there to the next one's stop.
const ROLL_DOWN_TIME: u64 = 300 * MS;
const ROLL_UP_TIME: u64 = 1200 * MS;
/// Sessions among which the owner's is drawn.
const SESSIONS: u64 = 14;
/// ms, the range of steps of a calendar.
const CLOCK_STEPS_MS: u64 = 20_000;

impl TestCluster {
    /// All stores lose power at once and come back.
    pub(super) async fn power_all_stores(self: &Arc<Self>) {
        let stores = self.names(Role::Store);
        self.record_disruption("all stores");
        for store in &stores {
            self.sim.kill(self.sim.find(store), true);
        }
        self.sleep_seconds(1).await;
        for store in &stores {
            self.boot(store);
        }
        self.record_disruption("all stores");
    }

    /// A node of the role stops running for 2 to 8 s, then goes on.
    pub(super) async fn freeze_node(self: &Arc<Self>, role: Role) {
        let node = self.any(role);
        let machine = self.sim.find(&node);
        self.sim.freeze(machine);
        self.record_disruption(&node);
        let duration = 2 * SEC + self.sim.rand() % (6 * SEC);
        self.operator.sleep(duration).await;
        self.sim.thaw(machine);
    }

    /// Every node is stopped in good order and started again, one after another.
    pub(super) async fn roll_nodes(self: &Arc<Self>) {
        for node in &self.topology.nodes {
            let node = &node.name;
            let began = self.sim.now();
            let machine = self.sim.find(node);
            // Held until the node is back: its connections close once the last reference is gone.
            let (front, control) = (self.front(node), self.control(node));
            self.stop_gracefully(front.clone(), control.clone()).await;
            self.sim.kill(machine, false);
            let stop = (began, self.sim.now());
            self.planned_stops.lock().unwrap().push(stop);
            self.operator.sleep(ROLL_DOWN_TIME).await;
            self.outdated.lock().unwrap().remove(node);
            self.boot(node);
            self.operator.sleep(ROLL_UP_TIME).await;
            drop((front, control));
        }
    }

    /// Stops a node, and waits until it has stopped or its time is over.
    async fn stop_gracefully(&self, front: Option<Arc<Front>>, control: Option<Arc<Control>>) {
        let (done, wait_done) = async_channel::bounded(1);
        let runtime = front
            .as_ref()
            .map(|front| front.runtime.clone())
            .or(control.as_ref().map(|control| control.runtime.clone()));
        if let Some(runtime) = runtime {
            let done = done.clone();
            runtime.spawn(async move {
                if let Some(front) = front {
                    front.stop().await;
                }
                if let Some(control) = control {
                    control.stop().await;
                }
                // Nobody waits any more once the time is over.
                let _ = done.try_send(());
            });
        }
        // `done` is kept here: a node that never started is waited for as long as one that hangs.
        self.operator.timeout(STOP_TIMEOUT, wait_done.recv()).await;
        drop(done);
    }

    /// The holder of a singleton role dies, freezes, or dies while a server is listed as draining.
    pub(super) async fn lose_role_holder(self: &Arc<Self>, fault: Fault) {
        let mut cores = self.names(Role::Core).into_iter();
        let holder = cores.find(|core| {
            self.control(core)
                .is_some_and(|control| control.is_acting_holder())
        });
        let node = holder.unwrap_or("core1".into());
        let server = self.any_server(true);
        let machine = self.sim.find(&node);
        if fault == Fault::FreezeDuty {
            self.sim.freeze(machine);
            self.record_disruption(&node);
            self.sleep_seconds(6).await;
            self.sim.thaw(machine);
            return;
        }
        let is_listed = fault == Fault::ListedDutyDies;
        self.list_as_draining(&server, is_listed);
        let loses_power = self.sim.rand().is_multiple_of(2);
        self.sim.kill(machine, loses_power);
        self.record_disruption(&node);
        if is_listed {
            // Known from its report at once, whoever polls the list; the list must not be needed
            // for it.
            self.drain_server(&server);
        }
        self.sleep_seconds(6).await;
        self.list_as_draining(&server, false);
        self.end_draining(&server);
        self.boot(&node);
    }

    /// The front that polls a site's model servers dies, alone or while one of them drains.
    pub(super) async fn kill_polling_front(self: &Arc<Self>, fault: Fault) {
        let server = self.any_server(true);
        let site = self
            .server_settings(&server)
            .map(|settings| settings.site)
            .unwrap_or_default();
        let fronts = self
            .front("front1")
            .map(|front| front.members.nodes_of_role(Role::Front))
            .unwrap_or_default();
        let front = designated_front(&fronts, "llm", &site).unwrap_or("front1".into());
        self.sim.kill(self.sim.find(&front), false);
        self.record_disruption(&front);
        if fault == Fault::LeavingHomeDies {
            self.drain_server(&server);
        }
        self.sleep_seconds(6).await;
        self.end_draining(&server);
        self.boot(&front);
    }

    /// The store that owns the key's register.
    fn owner(&self, key: &str) -> Option<String> {
        let control = self.control("store1")?;
        let replicas = replicas_by_preference(&control.documents, &control.members, key);
        let owner = replicas.first()?;
        let mut nodes = self.topology.nodes.iter();
        nodes
            .find(|node| node.peer == *owner)
            .map(|node| node.name.clone())
    }

    /// The store that owns a session's register dies, freezes, or its disk stalls.
    pub(super) async fn lose_session_owner(self: &Arc<Self>, fault: Fault) {
        let program = &self.topology.workload.turns[0].program;
        let key = format!("session/{program}/s{}", self.sim.rand() % SESSIONS);
        let store = self.owner(&key).unwrap_or("store1".into());
        let machine = self.sim.find(&store);
        self.record_disruption(&store);
        match fault {
            Fault::KillOwner => {
                let crash = Crash::draw(self);
                self.restart(&store, crash, 3).await;
            }
            Fault::FreezeOwner => {
                self.sim.freeze(machine);
                self.sleep_seconds(5).await;
                self.sim.thaw(machine);
            }
            _ => {
                self.sim.disk(machine, |disk| disk.stalled = true);
                self.sleep_seconds(5).await;
                self.sim.disk(machine, |disk| disk.stalled = false);
            }
        }
    }

    /// Every calendar is stepped by up to 10 s.
    pub(super) async fn step_clocks(self: &Arc<Self>) {
        for node in &self.topology.nodes {
            let machine = self.sim.find(&node.name);
            let step = (self.sim.rand() % CLOCK_STEPS_MS) as i64 - (CLOCK_STEPS_MS / 2) as i64;
            self.sim.set_clock_skew(machine, step);
        }
    }

    /// The platform's list cannot be read for 5 s.
    pub(super) async fn stop_platform(self: &Arc<Self>) {
        self.sim.kill(self.sim.find("platform"), false);
        self.sleep_seconds(5).await;
        self.boot("platform");
    }
}
