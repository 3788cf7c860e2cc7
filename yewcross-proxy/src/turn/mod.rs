//! A turn's way through the proxy, from the caller's bytes to the committed outcome.
//!
//! `answer` reads the request and writes the response; `drive` takes the turn through its phases:
//! `begin`, `selection` and `attempt` until one finishes, `commit`. `events` is what they tell the
//! caller, `state` what a phase hands to the next. Nothing here is imported in a circle.

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
