//! A simulated deployment, faults on a schedule, and checkers that judge what was written down.

pub mod checks;
pub mod evidence;
mod faults;
pub mod lab;
pub mod long_day;
pub mod run;
pub mod scenario;

pub use checks::{back_ms, judge};
pub use evidence::{Account, Ack, Cap, Evidence};
pub use lab::{Lab, Proc, stranger};
pub use long_day::{Sizes, long_day};
pub use run::{each, run, sweep};
pub use scenario::{Act, Plan};
