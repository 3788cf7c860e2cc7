//! What all nodes of the tier share: the runtime they run on, the transport between them,
//! membership, replicated registers, the documents that every node holds, durable storage, and the
//! messages that they exchange.

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
