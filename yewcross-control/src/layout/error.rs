//! Why a change of the replica assignment was rejected.

use snafu::Snafu;
use yewcross_common::error_code::Code;
use yewcross_common::process_settings::Role;

/// Reasons why an operator's bootstrap or change of disks was not carried out.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum LayoutError {
    /// The bootstrap names a machine that is not known in that role, or has no disk.
    #[snafu(display("{machine} is not a known {role:?} machine with a disk"))]
    UnknownMachine { machine: String, role: Role },
    /// The bootstrap names too few machines.
    #[snafu(display("at least three core and three store machines are needed"))]
    TooFewMachines,
    /// A core machine did not accept the first layout.
    #[snafu(display("{machine} is founded otherwise or cannot be reached"))]
    BootstrapRejected { machine: String },
    /// It is unknown whether the first documents were decided.
    #[snafu(display("founding is not yet decided; send it again"))]
    BootstrapUndecided,
    /// The change is not possible in the current layout.
    #[snafu(display("{source}"), context(false))]
    Invalid { source: DiskChangeError },
    /// There is no layout to change.
    #[snafu(display(""))]
    NotBootstrapped,
    /// It is unknown whether the change was decided.
    #[snafu(display(""))]
    ChangeUndecided,
    /// No majority of the core disks answered; nothing was changed.
    #[snafu(display(""))]
    NoMajority,
}

impl LayoutError {
    /// The error code of the operator's response.
    pub fn code(&self) -> Code {
        match self {
            LayoutError::UnknownMachine { .. }
            | LayoutError::TooFewMachines
            | LayoutError::Invalid { .. } => Code::BadLayout,
            LayoutError::BootstrapRejected { .. } => Code::Conflict,
            LayoutError::BootstrapUndecided | LayoutError::ChangeUndecided => Code::Undecided,
            LayoutError::NotBootstrapped => Code::NotFounded,
            LayoutError::NoMajority => Code::NoMajority,
        }
    }
}

/// Reasons why a change of disks is not possible in a layout.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DiskChangeError {
    /// The disk or machine to be removed is not a replica.
    #[snafu(display("{disk} has no seat"))]
    NotAReplica { disk: String },
    /// The disk or machine to be added is not known, or has no disk.
    #[snafu(display("{disk} is not a live machine with a disk"))]
    NotLive { disk: String },
    /// Manual changes are made one at a time.
    #[snafu(display("another change of disks is under way"))]
    AnotherUnderWay,
    /// The machine to be added has the role of the other group.
    #[snafu(display("a core seat needs a core machine, a store seat a store machine"))]
    OtherRole,
    /// The group would have fewer than the minimum number of replicas.
    #[snafu(display("too few disks would be left"))]
    TooFewLeft,
}
