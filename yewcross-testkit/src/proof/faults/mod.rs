//! Fault injection: each act begins, lasts a while, and is undone.

mod disks;
mod load;
mod network;
mod orders;
mod processes;
mod servers;

use crate::proof::lab::Lab;
use crate::proof::scenario::Act;
use std::sync::Arc;
use yewcross_common::constants::SEC;
use yewcross_common::process_settings::Role;

impl Lab {
    /// Runs the act; returns once it is undone.
    pub async fn act(self: Arc<Self>, a: Act) {
        let s = self.sim.clone();
        let name: &str = a.into();
        s.note(&format!("act {name}"));
        match a {
            Act::Calm => {}
            Act::KillFront => self.restart(self.any(Role::Front), false, false, 3).await,
            Act::KillCore => self.restart(self.any(Role::Core), false, false, 3).await,
            Act::KillStore => self.restart(self.any(Role::Store), false, false, 3).await,
            Act::PowerCore => self.restart(self.any(Role::Core), true, false, 4).await,
            Act::PowerStore => self.restart(self.any(Role::Store), true, false, 4).await,
            Act::PowerAllStores => self.power_all_stores().await,
            Act::LoseStoreDisk
            | Act::LoseCoreDisk
            | Act::RotStore
            | Act::CoreElsewhere
            | Act::StoreElsewhere
            | Act::TripStoreDisk
            | Act::CoreEmptyInSplit
                if !self.whole(30).await =>
            {
                s.note("not whole in time; act left out")
            }
            Act::LoseStoreDisk => self.restart(self.any(Role::Store), true, true, 2).await,
            Act::LoseCoreDisk => self.restart(self.any(Role::Core), true, true, 2).await,
            Act::FreezeFront | Act::FreezeCore | Act::FreezeStore => self.freeze_node(a).await,
            Act::KillModel => self.restart(self.any_back(true), false, false, 2).await,
            Act::KillLookup => self.restart(self.any_back(false), false, false, 2).await,
            Act::LoseAnswers => self.lose_answers(a).await,
            Act::BadStreams => self.bad_streams(a).await,
            Act::Leaving => self.server_leaves().await,
            Act::ListedLeaving => self.listed_server_leaves().await,
            Act::RollServers => self.roll_servers().await,
            Act::OtherAtAddress => self.reuse_address().await,
            Act::CoreSplitEven | Act::CoreSplitOne => self.split_cores(a).await,
            Act::CoreCutFromFronts => self.cut_cores_from_fronts(a).await,
            Act::SiteCut => self.cut_zone(a).await,
            Act::OneWayCut => self.cut_one_way(a).await,
            Act::Weather => self.lossy_network().await,
            Act::RacingPuts => self.racing_puts().await,
            Act::PutsAndKills => self.puts_and_kills().await,
            Act::RollNodes | Act::RollUpgrade => self.roll_nodes().await,
            Act::StallDisk | Act::FullDisk => self.stall_or_fill_disk(a).await,
            Act::RotStore => self.corrupt_store().await,
            Act::EmptyStore => self.empty_store().await,
            Act::Crowd => self.crowd().await,
            Act::UrgentCrowd => self.urgent_crowd().await,
            Act::TripStore | Act::TripCore | Act::TripStoreDisk => self.trip_power(a).await,
            Act::FillSlowly => self.fill_slowly().await,
            Act::FullAtStart => self.full_at_start().await,
            Act::KillDuty | Act::FreezeDuty | Act::ListedDutyDies => self.kill_duty(a).await,
            Act::KillHome | Act::LeavingHomeDies => self.kill_home(a).await,
            Act::KillOwner | Act::FreezeOwner | Act::StallOwner => self.kill_owner(a).await,
            Act::Withdraw => self.withdraw().await,
            Act::AddMachines => self.add_machines().await,
            Act::EmptyAndKill => self.empty_and_kill().await,
            Act::CoreEmptyInSplit => self.wipe_core_in_split(a).await,
            Act::SlowServers => self.slow_servers().await,
            Act::SlowLinks => self.slow_links().await,
            Act::FreezeModel => self.freeze_model().await,
            Act::Flood => self.flood().await,
            Act::ClockJump => self.step_clocks().await,
            Act::CoreElsewhere | Act::StoreElsewhere => self.move_to_other_address(a).await,
            Act::BudgetMoves => self.move_budgets().await,
            Act::PlatformAway => self.platform_away().await,
        }
        s.note(&format!("act {name} over"));
    }

    async fn nap(&self, seconds: u64) {
        self.op.sleep(seconds * SEC).await;
    }

    /// Kills a machine, with its power or not, and starts it again after `rest` seconds, with its
    /// disk wiped or not.
    async fn restart(self: &Arc<Self>, n: String, power: bool, wipe: bool, rest: u64) {
        let m = self.sim.find(&n);
        self.sim.kill(m, power);
        self.hard(&n);
        self.nap(rest).await;
        if wipe {
            self.sim.wipe(m);
        }
        self.boot(&n);
    }
}
