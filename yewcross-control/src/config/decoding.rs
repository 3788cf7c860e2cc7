//! Decoding decided documents.
//!
//! An empty value represents the document before its first version. Any other value that cannot be
//! decoded is an error and is never treated as an empty document: it may hold data that an older or
//! newer program version wrote and acknowledged, so it is neither replaced nor reported as absent.

use serde::de::DeserializeOwned;
use snafu::Snafu;
use yewcross_common::protocol::{ConfigDoc, ServerList};

/// A decided value cannot be decoded as a document of the expected kind.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("the decided {name} cannot be read: {reason}"))]
pub struct UnreadableDocument {
    /// The document's register name.
    pub name: &'static str,
    /// The decoder's error message.
    pub reason: String,
}

/// Decodes the configuration document from a register's value.
pub fn decode_configuration(value: &[u8]) -> Result<ConfigDoc, UnreadableDocument> {
    decode("config", value)
}

/// Decodes the platform's list of servers from a register's value.
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
