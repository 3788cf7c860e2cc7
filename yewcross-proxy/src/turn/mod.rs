//! A turn's way through a front, from the caller's bytes to the kept outcome.

mod answer;
mod attempt;
mod commit;
mod drive;
mod end_session;
mod place;
mod request;
mod state;

pub use answer::{Event, Kept, answer};
pub use attempt::End;
pub use end_session::end;
pub use request::{Message, TurnBody, name_ok, tokens};
