pub mod ask;
pub mod book;
pub mod chain;
pub mod chain_client;
pub mod chain_wire;
pub mod code;
pub mod consts;
#[allow(clippy::all, dead_code, unused)]
#[rustfmt::skip]
pub mod frame_capnp;
pub mod delta;
pub mod departures;
pub mod event;
pub mod follow;
pub mod hash;
pub mod http;
pub mod lease;
pub mod member;
pub mod orders;
pub mod port;
pub mod reactor;
pub mod real;
pub mod register;
pub mod route;
pub mod startup;
pub mod tree;
pub mod vault;
pub mod web;
pub mod wire;
pub mod world;

/// The name that other modules still use.
pub use register as reg;
