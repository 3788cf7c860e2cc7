//! Faults of model and lookup servers, and their replacement.

use crate::proof::cluster::{TestCluster, address};
use crate::proof::scenario::Fault;
use crate::stub_server::{StubFaults, StubServerSettings};
use std::sync::Arc;
use yewcross_common::constants::MS;
use yewcross_common::protocol::ListedServer;

/// Servers that lose answers, and answers that each loses.
const ANSWER_LOSERS: usize = 6;
const LOST_ANSWERS: u32 = 2;
/// Servers that corrupt streams, and streams that each corrupts.
const STREAM_CORRUPTERS: usize = 9;
const CORRUPT_STREAMS: u32 = 2;
/// Servers that are slow, and how many times as long they take.
const SLOW_SERVERS: usize = 4;
const SLOWDOWN: u32 = 8;
/// Index of the first model server's address.
const FIRST_MODEL_ADDRESS: usize = 100;

impl TestCluster {
    /// Changes the platform's list, if the platform runs.
    pub(super) fn edit_server_list(&self, edit: impl FnOnce(&mut Vec<ListedServer>)) {
        let platform = self.platform.lock().unwrap().clone();
        if let Some(platform) = platform {
            platform.update_servers(edit);
        }
    }

    /// Sets whether the platform lists the server as draining.
    pub(super) fn list_as_draining(&self, server: &str, is_draining: bool) {
        self.edit_server_list(|servers| {
            for listed in servers.iter_mut().filter(|listed| listed.server == server) {
                listed.leaving = is_draining;
            }
        });
    }

    /// Takes back that the server drains.
    pub(super) fn end_draining(&self, server: &str) {
        if let Some(server) = self.server(server) {
            server.set_draining(false);
        }
    }

    fn set_faults(&self, server: &str, faults: StubFaults) {
        if let Some(server) = self.server(server) {
            server.set_faults(faults);
        }
    }

    /// Servers run requests and lose their answers.
    pub(super) async fn lose_answers(self: &Arc<Self>, fault: Fault) {
        self.record_disruption(fault.into());
        for _ in 0..ANSWER_LOSERS {
            let faults = StubFaults {
                lost_answers: LOST_ANSWERS,
                ..Default::default()
            };
            let is_model = self.sim.rand().is_multiple_of(2);
            self.set_faults(&self.any_server(is_model), faults);
            self.operator.sleep(500 * MS).await;
        }
    }

    /// Model servers splice, truncate, misattribute, repeat and stall streams.
    pub(super) async fn corrupt_streams(self: &Arc<Self>, fault: Fault) {
        for index in 0..STREAM_CORRUPTERS {
            let mut faults = StubFaults::default();
            let kinds = [
                &mut faults.spliced_streams,
                &mut faults.truncated_streams,
                &mut faults.misattributed_answers,
                &mut faults.repeated_pieces,
                &mut faults.stalls,
                &mut faults.failed_imports,
            ];
            let kind = index % kinds.len();
            *kinds[kind] = CORRUPT_STREAMS;
            self.set_faults(&self.any_server(true), faults);
            self.operator.sleep(400 * MS).await;
        }
        self.record_disruption(fault.into());
    }

    /// A model server announces that it drains, and ends 6 s later.
    pub(super) async fn drain_model_server(self: &Arc<Self>) {
        let server = self.any_server(true);
        self.drain_server(&server);
        self.sleep_seconds(6).await;
        self.restart(&server, super::Crash::Process, 1).await;
    }

    /// The platform lists a model server as draining, and takes that back.
    pub(super) async fn list_model_server_draining(self: &Arc<Self>) {
        let server = self.any_server(true);
        let platform = self.platform.lock().unwrap().clone();
        self.list_as_draining(&server, true);
        // Knowable from the list once the platform's own pause has passed.
        let pause = platform.map_or(0, |platform| platform.min_interval);
        self.operator.sleep(pause).await;
        self.drain_server(&server);
        self.sleep_seconds(6).await;
        self.list_as_draining(&server, false);
        self.end_draining(&server);
    }

    /// Every model server is replaced by one of another name and address.
    pub(super) async fn replace_model_servers(self: &Arc<Self>) {
        let servers = self.topology.servers.iter();
        for replaced in servers.filter(|server| server.is_model) {
            self.drain_server(&replaced.server);
            self.sleep_seconds(4).await;
            self.sim.kill(self.sim.find(&replaced.server), true);
            let number = self.next_server_number();
            let settings = StubServerSettings {
                server: format!("m{number}"),
                addr: address(FIRST_MODEL_ADDRESS + number, 0),
                ..replaced.clone()
            };
            let machine =
                self.sim
                    .add_machine(&settings.server, &settings.site, settings.addr.ip());
            self.boot_server(self.sim.boot(machine), settings.clone());
            self.edit_server_list(|listed| {
                let replaced = |entry: &&mut ListedServer| entry.server == replaced.server;
                for entry in listed.iter_mut().filter(replaced) {
                    entry.server = settings.server.clone();
                    entry.addr = settings.addr;
                }
            });
        }
    }

    fn next_server_number(&self) -> usize {
        let mut latest = self.latest_server.lock().unwrap();
        *latest += 1;
        *latest
    }

    /// A server dies and another one appears at its address.
    pub(super) async fn reuse_server_address(self: &Arc<Self>) {
        let is_model = self.sim.rand().is_multiple_of(2);
        let server = self.any_server(is_model);
        self.sim.kill(self.sim.find(&server), true);
        self.record_disruption(&server);
        if let Some(settings) = self.server_settings(&server) {
            let other = StubServerSettings {
                server: "x9".into(),
                ..settings
            };
            let machine = self.sim.add_machine("x9", &other.site, other.addr.ip());
            self.boot_server(self.sim.boot(machine), other);
            self.sleep_seconds(8).await;
            self.sim.kill(machine, true);
        }
        self.boot(&server);
    }

    /// Servers take eight times as long.
    pub(super) async fn slow_servers(self: &Arc<Self>) {
        for _ in 0..SLOW_SERVERS {
            let faults = StubFaults {
                slowdown: SLOWDOWN,
                ..Default::default()
            };
            let is_model = !self.sim.rand().is_multiple_of(3);
            // The same process is slow and fast again, whatever is started meanwhile.
            let server = self.server(&self.any_server(is_model));
            if let Some(server) = &server {
                server.set_faults(faults);
            }
            self.sleep_seconds(3).await;
            if let Some(server) = &server {
                server.set_faults(StubFaults::default());
            }
        }
    }

    /// A model server stops running for 6 s, then goes on.
    pub(super) async fn freeze_model_server(self: &Arc<Self>) {
        let server = self.any_server(true);
        self.sim.freeze(self.sim.find(&server));
        self.record_disruption(&server);
        self.sleep_seconds(6).await;
        self.sim.thaw(self.sim.find(&server));
    }
}
