//! Decoding decided documents.
//!
//! An empty value stands for the document before its first version. Any other value that cannot be
//! decoded is an error and never taken for an empty document: it may hold what an older or newer
//! program wrote and has acknowledged, so it is neither replaced nor called absent.

use serde::de::DeserializeOwned;
use snafu::Snafu;
use yewcross_common::protocol::{ConfigDoc, ServerList};

/// A decided value that is not a document of its kind.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("the decided {name} cannot be read: {reason}"))]
pub struct UnreadableDocument {
    /// The document's name.
    pub name: &'static str,
    /// Why decoding failed.
    pub reason: String,
}

/// The configuration document in a register's value.
pub fn decode_configuration(value: &[u8]) -> Result<ConfigDoc, UnreadableDocument> {
    decode("config", value)
}

/// The platform's list of servers in a register's value.
pub fn decode_server_list(value: &[u8]) -> Result<ServerList, UnreadableDocument> {
    decode("list", value)
}

fn decode<Document: DeserializeOwned + Default>(
    name: &'static str,
    value: &[u8],
) -> Result<Document, UnreadableDocument> {
    if value.is_empty() {
        return Ok(Document::default());
    }
    serde_json::from_slice(value).map_err(|error| UnreadableDocument {
        name,
        reason: error.to_string(),
    })
}
