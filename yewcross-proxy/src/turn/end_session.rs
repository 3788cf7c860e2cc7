//! The end of a session: its history is forgotten and its replica dropped.

use crate::turn::request::name_ok;
use crate::{Front, kv};
use http_types::Response;
use serde::Deserialize;
use serde_json::json;
use std::sync::Arc;
use yewcross_common::buffered_http::{BufferedRequest, refuse, reply};
use yewcross_common::constants::BACK_SOON;
use yewcross_common::error_code::Code;
use yewcross_common::protocol::{PeerRequest, PeerResponse};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EndBody {
    program: String,
    session: String,
}

/// The session is over: its history is forgotten and its replica dropped.
pub async fn end(front: Arc<Front>, j: BufferedRequest) -> Response {
    let b: EndBody = match serde_json::from_slice(&j.body) {
        Ok(b) => b,
        Err(e) => return refuse(Code::BadBody, &e.to_string(), 0),
    };
    if !name_ok(&b.program) || !name_ok(&b.session) {
        return refuse(Code::BadField, "program or session", 0);
    }
    let Some(p) = front
        .documents
        .config
        .load()
        .1
        .families
        .get(&b.program)
        .cloned()
    else {
        return refuse(Code::UnknownProgram, &b.program, 0);
    };
    let key = format!("session/{}/{}", b.program, b.session);
    match front
        .store(&key, &PeerRequest::EndSession { key: key.clone() }, &[], 3)
        .await
    {
        Some((PeerResponse::SessionEnded { cache: kv }, _)) => {
            let pushed = front.replicas.lock().unwrap().remove(&key);
            front.spares.forget(&key);
            front.hand.lock().unwrap().remove(&key);
            for at in kv.replica.into_iter().chain(pushed).chain(kv.home) {
                kv::drop_at(&front, &p.eff.service, &key, &at.server).await;
            }
            reply(200, &json!({"code": Code::Done.number(), "ended": true}))
        }
        Some((PeerResponse::Rejected(c), _)) => refuse(c, "", c.back()),
        _ => refuse(Code::StoreAway, "", BACK_SOON),
    }
}
