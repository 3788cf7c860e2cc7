//! The processing of a turn in the proxy, from the caller's request to the committed outcome.
//!
//! `answer` reads the request and writes the response. `drive` runs the turn through its phases:
//! `begin`; `selection` and `attempt`, until an attempt finishes; `commit`. `events` defines what
//! is reported to the caller, `state` what each phase passes to the next. The modules have no
//! circular imports.

mod answer;
mod attempt;
mod begin;
mod commit;
mod drive;
mod end_session;
mod events;
mod request;
mod selection;
mod state;

pub use answer::answer;
pub use end_session::end_session;
pub use events::TurnOutcome;
pub use request::tokens;

pub(crate) use request::is_valid_name;
