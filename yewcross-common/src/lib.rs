//! Code shared by all nodes of the tier: the runtime, the transport between nodes, membership,
//! replicated registers and the turn log, the documents that every node caches, durable storage, and
//! the messages that nodes exchange.

pub mod adapter;
pub mod buffered_http;
pub mod configuration;
pub mod constants;
pub mod documents;
pub mod error_code;
pub mod hash;
pub mod membership;
pub mod notify;
pub mod process_settings;
pub mod protocol;
pub mod register;
pub mod runtime;
pub mod storage;
pub mod streaming_http;
pub mod transport;
pub mod turn_log;
