//! Reading the newest configuration back.

use crate::api::ReadAnswer;
use crate::{Control, proposer};
use std::sync::Arc;
use yewcross_common::constants::READ_BACK_WITHIN;
use yewcross_common::protocol::ConfigDoc;

/// The newest decided configuration: linearizable with the orders, for a majority of the core disks
/// is asked each time.
pub async fn newest(control: &Arc<Control>) -> ReadAnswer {
    if control.documents.layout.load().0 == 0 {
        return ReadAnswer::Away;
    }
    let Ok((seq, epoch, raw)) = proposer::newest(control, "config", READ_BACK_WITHIN).await else {
        return ReadAnswer::Away;
    };
    control.documents.apply("config", seq, epoch, raw.to_vec());
    let Ok(document) = ConfigDoc::decode(&raw) else {
        return ReadAnswer::Away;
    };
    if document.text.is_empty() {
        return ReadAnswer::None;
    }
    let numbered = control
        .options
        .dialect
        .number(document.text.as_bytes())
        .is_some();
    let version = if numbered { document.number } else { seq };
    ReadAnswer::Text(version, document.text.into())
}
