//! Scenarios: a seed, a deployment, and the faults that are injected one after another.

use crate::rogue::Sin;
use strum::{EnumIter, EnumString, IntoStaticStr};

/// A way for things to go wrong. Each begins, lasts a while, and is undone.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Act {
    Calm,
    KillFront,
    KillCore,
    KillStore,
    PowerCore,
    PowerStore,
    PowerAllStores,
    LoseStoreDisk,
    LoseCoreDisk,
    FreezeFront,
    FreezeCore,
    FreezeStore,
    KillModel,
    KillLookup,
    LoseAnswers,
    BadStreams,
    Leaving,
    ListedLeaving,
    RollServers,
    OtherAtAddress,
    CoreSplitEven,
    CoreSplitOne,
    CoreCutFromFronts,
    SiteCut,
    OneWayCut,
    Weather,
    RacingPuts,
    PutsAndKills,
    RollNodes,
    StallDisk,
    FullDisk,
    RotStore,
    EmptyStore,
    Crowd,
    ClockJump,
    PlatformAway,
    CoreElsewhere,
    StoreElsewhere,
    RollUpgrade,
    Flood,
    BudgetMoves,
    TripStore,
    TripCore,
    TripStoreDisk,
    FillSlowly,
    FullAtStart,
    KillDuty,
    FreezeDuty,
    KillHome,
    KillOwner,
    FreezeOwner,
    StallOwner,
    LeavingHomeDies,
    ListedDutyDies,
    Withdraw,
    AddMachines,
    EmptyAndKill,
    CoreEmptyInSplit,
    SlowServers,
    SlowLinks,
    FreezeModel,
    UrgentCrowd,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub shape: String,
    pub acts: Vec<Act>,
    pub sessions: usize,
    pub budget: Option<u64>,
    /// Switches kv_share off, to compare.
    pub no_share: bool,
    /// Lost turns may be sent again.
    pub repeatable: bool,
    /// All programs spend from one budget.
    pub one_purse: bool,
    /// Puts rogues in the fronts' place.
    pub sin: Option<Sin>,
}

impl Plan {
    pub fn new(seed: u64, shape: &str, acts: &[Act]) -> Plan {
        Plan {
            seed,
            shape: shape.into(),
            acts: acts.to_vec(),
            sessions: 14,
            budget: None,
            no_share: false,
            repeatable: false,
            one_purse: false,
            sin: None,
        }
    }

    pub fn command(&self) -> String {
        let a: Vec<&str> = self.acts.iter().map(|a| a.into()).collect();
        let mut s = format!(
            "yewcross-lab sim --shape {} --acts {} --from {} --count 1 --trace",
            self.shape,
            a.join("+"),
            self.seed
        );
        self.budget
            .iter()
            .for_each(|b| s += &format!(" --budget {b}"));
        let flags = [
            (self.no_share, "no-share"),
            (self.repeatable, "repeatable"),
            (self.one_purse, "one-purse"),
        ];
        flags
            .into_iter()
            .filter(|f| f.0)
            .for_each(|f| s += &format!(" --{}", f.1));
        s
    }
}
