//! Stub servers, callers, local fleets and the simulator, for tests and measurements of the tier.

pub mod caller;
pub mod fleet;
pub mod history;
pub mod http_transcript;
pub mod platform;
pub mod proof;
pub mod protocol_violation;
pub mod register_stress;
pub mod routed;
pub mod sim;
pub mod stub_server;
pub mod tier;
pub mod topology;
