//! Fault injection: each fault begins, lasts a while, and is undone.

mod disks;
mod load;
mod network;
mod operations;
mod processes;
mod servers;

use super::cluster::TestCluster;
use super::scenario::Fault;
use std::sync::Arc;
use yewcross_common::constants::SEC;
use yewcross_common::process_settings::Role;

/// Seconds that all replicas have to be complete before a fault that costs one.
const REPLICATION_SECONDS: u64 = 30;

/// How a machine ends.
#[derive(Clone, Copy)]
enum Crash {
    /// Its process is killed.
    Process,
    /// It loses power.
    Power,
    /// It loses power and its disk.
    Disk,
}

impl Crash {
    /// Draws whether only the process ends or the power too.
    fn draw(cluster: &TestCluster) -> Crash {
        if cluster.sim.rand().is_multiple_of(2) {
            Crash::Power
        } else {
            Crash::Process
        }
    }
}

/// Whether the fault costs a replica, or an address, of data that must be elsewhere too.
fn needs_full_replication(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::LoseStoreDisk
            | Fault::LoseCoreDisk
            | Fault::RotStore
            | Fault::CoreElsewhere
            | Fault::StoreElsewhere
            | Fault::TripStoreDisk
            | Fault::CoreEmptyInSplit
    )
}

impl TestCluster {
    /// Injects the fault; returns once it is undone.
    pub async fn inject(self: Arc<Self>, fault: Fault) {
        let name: &str = fault.into();
        self.sim.append_log(&format!("act {name}"));
        if needs_full_replication(fault) && !self.wait_fully_replicated(REPLICATION_SECONDS).await {
            // The checkers look for this line.
            self.sim.append_log("not whole in time; act left out");
        } else {
            self.run_fault(fault).await;
        }
        self.sim.append_log(&format!("act {name} over"));
    }

    async fn run_fault(self: &Arc<Self>, fault: Fault) {
        match fault {
            Fault::Calm => {}
            Fault::KillFront => self.restart_any(Role::Front, Crash::Process, 3).await,
            Fault::KillCore => self.restart_any(Role::Core, Crash::Process, 3).await,
            Fault::KillStore => self.restart_any(Role::Store, Crash::Process, 3).await,
            Fault::PowerCore => self.restart_any(Role::Core, Crash::Power, 4).await,
            Fault::PowerStore => self.restart_any(Role::Store, Crash::Power, 4).await,
            Fault::LoseStoreDisk => self.restart_any(Role::Store, Crash::Disk, 2).await,
            Fault::LoseCoreDisk => self.restart_any(Role::Core, Crash::Disk, 2).await,
            Fault::PowerAllStores => self.power_all_stores().await,
            Fault::FreezeFront => self.freeze_node(Role::Front).await,
            Fault::FreezeCore => self.freeze_node(Role::Core).await,
            Fault::FreezeStore => self.freeze_node(Role::Store).await,
            Fault::RollNodes | Fault::RollUpgrade => self.roll_nodes().await,
            Fault::KillDuty | Fault::FreezeDuty | Fault::ListedDutyDies => {
                self.lose_role_holder(fault).await
            }
            Fault::KillHome | Fault::LeavingHomeDies => self.kill_polling_front(fault).await,
            Fault::KillOwner | Fault::FreezeOwner | Fault::StallOwner => {
                self.lose_session_owner(fault).await
            }
            Fault::ClockJump => self.step_clocks().await,
            Fault::PlatformAway => self.stop_platform().await,
            Fault::KillModel => self.restart_server(true).await,
            Fault::KillLookup => self.restart_server(false).await,
            Fault::LoseAnswers => self.lose_answers(fault).await,
            Fault::BadStreams => self.corrupt_streams(fault).await,
            Fault::Leaving => self.drain_model_server().await,
            Fault::ListedLeaving => self.list_model_server_draining().await,
            Fault::RollServers => self.replace_model_servers().await,
            Fault::OtherAtAddress => self.reuse_server_address().await,
            Fault::SlowServers => self.slow_servers().await,
            Fault::FreezeModel => self.freeze_model_server().await,
            Fault::CoreSplitEven | Fault::CoreSplitOne => self.partition_cores(fault).await,
            Fault::CoreCutFromFronts => self.partition_cores_from_fronts(fault).await,
            Fault::SiteCut => self.partition_site(fault).await,
            Fault::OneWayCut => self.block_one_way(fault).await,
            Fault::Weather => self.degrade_network().await,
            Fault::SlowLinks => self.delay_network().await,
            Fault::CoreEmptyInSplit => self.wipe_core_in_partition(fault).await,
            Fault::CoreElsewhere => self.move_to_other_address(Role::Core).await,
            Fault::StoreElsewhere => self.move_to_other_address(Role::Store).await,
            Fault::StallDisk | Fault::FullDisk => self.stall_or_fill_disk(fault).await,
            Fault::RotStore => self.corrupt_store().await,
            Fault::TripStore | Fault::TripCore | Fault::TripStoreDisk => {
                self.lose_power_at_sync(fault).await
            }
            Fault::FillSlowly => self.fill_disk_slowly().await,
            Fault::FullAtStart => self.start_on_full_disk().await,
            Fault::Crowd => self.crowd().await,
            Fault::UrgentCrowd => self.urgent_crowd().await,
            Fault::Flood => self.flood().await,
            Fault::RacingPuts => self.race_puts().await,
            Fault::PutsAndKills => self.kill_core_in_put().await,
            Fault::EmptyStore => self.drain_store().await,
            Fault::EmptyAndKill => self.drain_store_while_other_dies().await,
            Fault::Withdraw => self.withdraw().await,
            Fault::AddMachines => self.add_machines().await,
            Fault::BudgetMoves => self.change_budgets().await,
        }
    }

    async fn sleep_seconds(&self, seconds: u64) {
        self.operator.sleep(seconds * SEC).await;
    }

    async fn restart_any(self: &Arc<Self>, role: Role, crash: Crash, seconds: u64) {
        let node = self.any(role);
        self.restart(&node, crash, seconds).await;
    }

    async fn restart_server(self: &Arc<Self>, is_model: bool) {
        let server = self.any_server(is_model);
        self.restart(&server, Crash::Process, 2).await;
    }

    /// Ends a machine and starts it again after so many seconds.
    async fn restart(self: &Arc<Self>, name: &str, crash: Crash, seconds: u64) {
        let machine = self.sim.find(name);
        let loses_power = matches!(crash, Crash::Power | Crash::Disk);
        self.sim.kill(machine, loses_power);
        self.record_disruption(name);
        self.sleep_seconds(seconds).await;
        if matches!(crash, Crash::Disk) {
            self.sim.wipe_disk(machine);
        }
        self.boot(name);
    }

    /// Draws a core or a store.
    fn any_with_disk(&self) -> String {
        let role = if self.sim.rand().is_multiple_of(2) {
            Role::Core
        } else {
            Role::Store
        };
        self.any(role)
    }
}
