//! The document that holds the operators' configuration.

use serde::{Deserialize, Serialize};

/// An accepted configuration order of an operator, identified by the digest of its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedOrder {
    /// The number that the operator gave to the order.
    pub number: u64,
    /// `hash::content_digest` of the configuration's text.
    pub digest: String,
    /// Time of acceptance in ms since 1970, by the median of the known clocks; never earlier than
    /// that of an order accepted before.
    #[serde(rename = "taken_ms")]
    pub accepted_ms: u64,
}

/// Value of the configuration register.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigDoc {
    /// The configuration in force, as the operator wrote it.
    pub text: String,
    /// Random id of the put, by which a proposer recognises whether a put of unknown outcome was
    /// decided.
    #[serde(rename = "put")]
    pub put_id: String,
    /// The operator's comment on the change.
    pub note: String,
    /// Superseded configurations, newest first: version, put id and text, where the tier numbers
    /// the versions. Documents written before `orders` was added hold the operator's number, the
    /// digest of the text and an empty string instead.
    #[serde(rename = "past")]
    pub superseded: Vec<(u64, String, String)>,
    /// The operator's number of the configuration in force; 0 where the tier numbers the versions.
    #[serde(default)]
    pub number: u64,
    /// The highest number among the accepted orders that were dropped from `orders`; 0 if none was.
    #[serde(default)]
    #[serde(rename = "forgotten")]
    pub highest_dropped: u64,
    /// The orders accepted before the one in force, newest first; limited by age and by count, and
    /// thereby in size.
    #[serde(default)]
    pub orders: Vec<AcceptedOrder>,
}

impl ConfigDoc {
    /// Decodes a register's value; an empty value is the document before the first order.
    pub fn decode(value: &[u8]) -> Result<ConfigDoc, serde_json::Error> {
        if value.is_empty() {
            return Ok(ConfigDoc::default());
        }
        serde_json::from_slice(value)
    }

    /// Encodes the document as JSON with one line for each accepted order, so that a delta contains
    /// only the new ones.
    pub fn encode(&self) -> Result<Vec<u8>, serde_json::Error> {
        let mut document = self.clone();
        let orders = std::mem::take(&mut document.orders);
        let mut json = serde_json::to_vec(&document)?;
        if orders.is_empty() {
            return Ok(json);
        }
        let empty_list = b"[]}";
        json.truncate(json.len() - empty_list.len());
        json.extend_from_slice(b"[\n");
        for (index, order) in orders.iter().enumerate() {
            if index > 0 {
                json.extend_from_slice(b",\n");
            }
            json.extend(serde_json::to_vec(order)?);
        }
        json.extend_from_slice(b"\n]}");
        Ok(json)
    }
}
