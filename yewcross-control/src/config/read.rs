//! Reading the newest configuration back.

use crate::api::ReadAnswer;
use crate::{Control, proposer};
use std::sync::Arc;
use yewcross_common::constants::READ_BACK_TIMEOUT;
use yewcross_common::protocol::ConfigDoc;

/// The newest decided configuration. Linearizable with the orders: a majority of the core disks is
/// asked each time.
pub async fn read_newest_configuration(control: &Arc<Control>) -> ReadAnswer {
    if control.documents.layout.load().0 == 0 {
        return ReadAnswer::Unavailable;
    }
    let Ok((version, epoch, content)) =
        proposer::read_newest_decided(control, "config", READ_BACK_TIMEOUT).await
    else {
        return ReadAnswer::Unavailable;
    };
    control
        .documents
        .apply("config", version, epoch, content.to_vec());
    // What cannot be read may hold an order: that no configuration was ever put is not known.
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
