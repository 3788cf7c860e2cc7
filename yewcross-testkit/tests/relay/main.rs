//! Routed requests through one front, against servers that misbehave: what each rule asks, counted
//! by runs per try.

mod answers;
mod attempts;
mod buffers;
mod front_shutdown;
mod promises;
mod requests;
mod resumption;
mod rig;
mod server;
mod stopping;
mod streams;
