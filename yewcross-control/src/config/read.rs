//! Reading the newest configuration back.

use crate::Control;
use crate::api::*;
use std::sync::Arc;
use yewcross::ask::*;
use yewcross::consts::*;

pub async fn newest(c: &Arc<Control>) -> ReadAnswer {
    if c.book.layout.load().0 == 0 {
        return ReadAnswer::Away;
    }
    match c.owner.newest("config", PEER_WAIT).await {
        Ok((seq, epoch, raw)) => {
            c.book.adopt("config", seq, epoch, raw.to_vec());
            let d: ConfigDoc = serde_json::from_slice(&raw).unwrap_or_default();
            let n = if c.options.dialect.number(d.text.as_bytes()).is_some() { d.number } else { seq };
            if d.text.is_empty() { ReadAnswer::None } else { ReadAnswer::Text(n, d.text.into()) }
        }
        Err(_) => ReadAnswer::Away,
    }
}
