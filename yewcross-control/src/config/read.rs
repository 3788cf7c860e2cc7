//! Reads of the newest configuration.

use crate::api::ReadAnswer;
use crate::{Control, proposer};
use std::sync::Arc;
use yewcross_common::constants::READ_BACK_TIMEOUT;
use yewcross_common::protocol::ConfigDoc;

/// Reads the newest decided configuration. Reads are linearizable with the orders, because each one
/// queries a majority of the core disks.
pub async fn read_newest_configuration(control: &Arc<Control>) -> ReadAnswer {
    if control.documents.layout.load().0 == 0 {
        return ReadAnswer::Unavailable;
    }
    let Ok((version, ballot, content)) =
        proposer::read_newest_decided(control, "config", READ_BACK_TIMEOUT).await
    else {
        return ReadAnswer::Unavailable;
    };
    control
        .documents
        .apply("config", version, ballot, content.to_vec());
    // A document that cannot be decoded may contain an order. The answer `None`, that no
    // configuration was ever put, might therefore be false.
    let Ok(document) = ConfigDoc::decode(&content) else {
        return ReadAnswer::Unavailable;
    };
    if document.text.is_empty() {
        return ReadAnswer::None;
    }
    let text = document.text.as_bytes();
    let is_numbered_by_operator = control.options.configuration_format.number(text).is_some();
    let number = if is_numbered_by_operator {
        document.number
    } else {
        version
    };
    ReadAnswer::Text(number, document.text.into())
}
