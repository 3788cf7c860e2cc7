//! Code shared by all nodes of the tier: the runtime, the transport between nodes, cluster
//! membership, replicated registers, the turn log, the documents cached by every node, durable
//! storage, and the messages exchanged between nodes.

pub mod adapter;
pub mod buffer_memory;
pub mod buffered_http;
pub mod configuration;
pub mod constants;
pub mod documents;
pub mod error_code;
pub mod hash;
pub mod membership;
pub mod notify;
pub mod overload;
pub mod process;
pub mod process_settings;
pub mod protocol;
pub mod register;
pub mod runtime;
pub mod storage;
pub mod streaming_http;
pub mod transport;
pub mod turn_log;
