//! What each mechanism costs at a given size, worked out from its own arithmetic, and the size at
//! which it breaks.
//!
//! Sizes of messages are those of real ones, put together here; intervals are the daemons' own
//! constants; what a message costs in processor time is measured (`measure`).

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

pub use cost::{Cost, Held, Mechanism, Stand};
pub use inputs::{Costs, Day, GIVEN, Inputs, Limits, Ours, Size};
pub use measure::measure;
pub use mechanisms::MECHANISMS;
pub use messages::Messages;
pub use table::{Line, passes, sum, table, text};
