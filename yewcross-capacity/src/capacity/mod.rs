//! The cost model: computes what each mechanism costs a node at a given size of the tier, and up to
//! which size it stays within its limits.
//!
//! Message sizes are those of real messages, which are constructed here; intervals are the
//! constants that the daemons use; the processor time of a message is measured (see [`measure`]).

mod balancing;
mod configuration;
mod cost;
mod inputs;
mod measure;
mod mechanisms;
mod membership;
mod messages;
mod state;
mod table;

pub use cost::{Cost, DesignStatus, LimitSet, Mechanism};
pub use inputs::{Costs, DEFAULT_INPUTS, DailyEvents, DesignParameters, Inputs, Limits, Size};
pub use measure::measure;
pub use mechanisms::MECHANISMS;
pub use messages::MessageSizes;
pub use table::{TableRow, control_total, cost_table, exceeded_limits, format_table};
