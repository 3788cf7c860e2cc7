//! Scenarios: a seed, a deployment, and the faults that are injected one after another.

use crate::protocol_violation::ProtocolViolation;
use strum::{EnumIter, EnumString, IntoStaticStr};

/// A way for things to go wrong. Each begins, lasts a while, and is undone. `--acts` takes the
/// names.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// None.
    Calm,
    /// A front is killed and started again.
    KillFront,
    /// A core is killed and started again.
    KillCore,
    /// A store is killed and started again.
    KillStore,
    /// A core loses power.
    PowerCore,
    /// A store loses power.
    PowerStore,
    /// All stores lose power at once.
    PowerAllStores,
    /// A store loses its disk.
    LoseStoreDisk,
    /// A core loses its disk.
    LoseCoreDisk,
    /// A front stops running for a while.
    FreezeFront,
    /// A core stops running for a while.
    FreezeCore,
    /// A store stops running for a while.
    FreezeStore,
    /// A model server is killed.
    KillModel,
    /// A lookup server is killed.
    KillLookup,
    /// Servers run requests and lose their answers.
    LoseAnswers,
    /// Model servers send malformed streams.
    BadStreams,
    /// A model server announces that it drains.
    Leaving,
    /// The platform lists a model server as draining.
    ListedLeaving,
    /// Every model server is replaced.
    RollServers,
    /// Another server appears at a known address.
    OtherAtAddress,
    /// Half of the cores are partitioned from the rest.
    CoreSplitEven,
    /// One core is partitioned from the rest.
    CoreSplitOne,
    /// Cores and fronts are partitioned.
    CoreCutFromFronts,
    /// A site is partitioned from the others.
    SiteCut,
    /// Some pairs of nodes lose one direction.
    OneWayCut,
    /// Frames are dropped, duplicated and delayed.
    Weather,
    /// Two operators put at once.
    RacingPuts,
    /// A core dies in the middle of a put.
    PutsAndKills,
    /// Every node is restarted in turn.
    RollNodes,
    /// A disk stalls.
    StallDisk,
    /// A disk is full.
    FullDisk,
    /// A store's files are corrupted.
    RotStore,
    /// A store is drained and removed.
    EmptyStore,
    /// Many more callers come.
    Crowd,
    /// Every calendar is stepped.
    ClockJump,
    /// The platform's list cannot be read.
    PlatformAway,
    /// A core comes back at another address.
    CoreElsewhere,
    /// A store comes back at another address.
    StoreElsewhere,
    /// Every node is upgraded in turn.
    RollUpgrade,
    /// Far more callers come.
    Flood,
    /// Budgets are raised and lowered.
    BudgetMoves,
    /// A store loses power at a sync.
    TripStore,
    /// A core loses power at a sync.
    TripCore,
    /// A store loses power at a sync, and then its disk.
    TripStoreDisk,
    /// A disk runs full.
    FillSlowly,
    /// A node starts on a full disk.
    FullAtStart,
    /// The holder of a singleton role dies.
    KillDuty,
    /// The holder of a singleton role stops running for a while.
    FreezeDuty,
    /// The front that polls a site's model servers dies.
    KillHome,
    /// The store that owns a session dies.
    KillOwner,
    /// The store that owns a session stops running for a while.
    FreezeOwner,
    /// The disk of the store that owns a session stalls.
    StallOwner,
    /// The front that polls a model server dies while that drains.
    LeavingHomeDies,
    /// The holder of a singleton role dies while a server is listed as draining.
    ListedDutyDies,
    /// A server, a method and a service are withdrawn for a while.
    Withdraw,
    /// Machines are added.
    AddMachines,
    /// A store is drained while another dies.
    EmptyAndKill,
    /// A core loses its disk while another is partitioned.
    CoreEmptyInSplit,
    /// Servers take much longer.
    SlowServers,
    /// The network takes much longer.
    SlowLinks,
    /// A model server stops running for a while.
    FreezeModel,
    /// Many more callers of the urgent program come.
    UrgentCrowd,
}

/// One run: what it is run on, and the faults.
#[derive(Clone, Debug)]
pub struct Plan {
    /// From which every choice is drawn.
    pub seed: u64,
    /// Name of the topology.
    pub topology: String,
    /// Injected one after another.
    pub faults: Vec<Fault>,
    /// Callers at once.
    pub sessions: usize,
    /// Tokens of each budget, if not as usual.
    pub budget: Option<u64>,
    /// Switches kv_share off, to compare.
    pub disable_kv_share: bool,
    /// Lost turns may be sent again.
    pub repeatable: bool,
    /// All programs spend from one budget.
    pub single_budget: bool,
    /// Replaces the fronts by ones that violate their protocol.
    pub violation: Option<ProtocolViolation>,
}

impl Plan {
    /// A plan with the usual load and budgets.
    pub fn new(seed: u64, topology: &str, faults: &[Fault]) -> Plan {
        Plan {
            seed,
            topology: topology.into(),
            faults: faults.to_vec(),
            sessions: 14,
            budget: None,
            disable_kv_share: false,
            repeatable: false,
            single_budget: false,
            violation: None,
        }
    }

    /// Names of the faults, joined by `+`.
    pub fn fault_names(&self) -> String {
        let names: Vec<&str> = self.faults.iter().map(|fault| fault.into()).collect();
        names.join("+")
    }

    /// The command that runs the plan again.
    pub fn command(&self) -> String {
        let mut command = format!(
            "yewcross-lab sim --shape {} --acts {} --from {} --count 1 --trace",
            self.topology,
            self.fault_names(),
            self.seed
        );
        if let Some(tokens) = self.budget {
            command += &format!(" --budget {tokens}");
        }
        let flags = [
            (self.disable_kv_share, "no-share"),
            (self.repeatable, "repeatable"),
            (self.single_budget, "one-purse"),
        ];
        for (is_set, flag) in flags {
            if is_set {
                command += &format!(" --{flag}");
            }
        }
        command
    }
}
