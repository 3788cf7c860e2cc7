//! The document that holds the operators' configuration.

use serde::{Deserialize, Serialize};

/// A configuration that an operator put and that was accepted, by the digest of its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedOrder {
    /// The operator's number of it.
    pub number: u64,
    /// `hash::content_digest` of the text.
    pub digest: String,
    /// ms since 1970 by the median of the known clocks; never below that of one accepted before.
    #[serde(rename = "taken_ms")]
    pub accepted_ms: u64,
}

/// What the configuration register holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigDoc {
    /// The configuration in force, as the operator wrote it.
    pub text: String,
    /// Drawn for each put: tells whether a put of unknown outcome was decided.
    #[serde(rename = "put")]
    pub put_id: String,
    /// The operator's note on the change.
    pub note: String,
    /// Newest first: version, put id and text of what was in force before, where the tier numbers
    /// the versions. Documents written before `orders` was added hold the operator's number, the
    /// text's digest and nothing.
    #[serde(rename = "past")]
    pub superseded: Vec<(u64, String, String)>,
    /// The operator's own number; 0 where the tier numbers the versions.
    #[serde(default)]
    pub number: u64,
    /// The highest number among the accepted orders that are no longer in `orders`; 0 while all
    /// are.
    #[serde(default)]
    #[serde(rename = "forgotten")]
    pub highest_dropped: u64,
    /// The operator's orders accepted before the one in force, newest first; bounded by age, by
    /// count and so in bytes.
    #[serde(default)]
    pub orders: Vec<AcceptedOrder>,
}

impl ConfigDoc {
    /// The document in a register's value; an empty value is the document before the first order.
    pub fn decode(value: &[u8]) -> Result<ConfigDoc, serde_json::Error> {
        if value.is_empty() {
            return Ok(ConfigDoc::default());
        }
        serde_json::from_slice(value)
    }

    /// JSON with a line for each taken order, so that only the new ones travel in a delta.
    pub fn encode(&self) -> Result<Vec<u8>, serde_json::Error> {
        let mut head = self.clone();
        let orders = std::mem::take(&mut head.orders);
        let mut json = serde_json::to_vec(&head)?;
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
