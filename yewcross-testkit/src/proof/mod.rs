//! A simulated deployment, faults on a schedule, and checkers that judge what was recorded.

pub mod checks;
pub mod cluster;
pub mod evidence;
mod faults;
mod long_day;
mod run;
pub mod scenario;
mod sweep;
mod with_cluster;

pub use checks::{back_ms, judge};
pub use cluster::{Process, TestCluster, stranger};
pub use evidence::{Account, Ack, Cap, Departure, Disruption, Evidence, Withdrawal};
pub use long_day::{LongDay, Sizes, long_day};
pub use run::run;
pub use scenario::{Fault, Plan};
pub use sweep::{each, sweep};
pub use with_cluster::{with_cluster, with_cluster_of};
