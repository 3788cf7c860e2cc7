//! What a caller may ask, and the checks that need no other node.

use serde::{Deserialize, Serialize};
use yewcross_common::constants::{HORIZON_MAX, HORIZON_MIN, TOKEN_BYTES};
use yewcross_common::error_code::Code;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Message {
    pub role: String,
    pub text: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TurnBody {
    pub program: String,
    pub session: String,
    pub job: String,
    pub horizon_ms: u64,
    #[serde(default)]
    pub budget: String,
    pub messages: Vec<Message>,
    #[serde(default)]
    pub max_output: Option<u64>,
    #[serde(default)]
    pub stream: bool,
}

pub fn name_ok(s: &str) -> bool {
    !s.is_empty()
        && s.len() <= 128
        && s.bytes()
            .all(|b| b.is_ascii_graphic() && b != b'/' && b != b'|')
}

pub(super) fn check(b: &TurnBody) -> Result<(), (Code, String)> {
    let bad = |k: &str| Err((Code::BadField, k.to_string()));
    match b {
        _ if !name_ok(&b.program) => bad("program"),
        _ if !name_ok(&b.session) => bad("session"),
        _ if !name_ok(&b.job) => bad("job"),
        _ if b.messages.is_empty() => bad("messages"),
        _ if b.max_output == Some(0) => bad("max_output"),
        _ if !(HORIZON_MIN..=HORIZON_MAX).contains(&b.horizon_ms) => Err((
            Code::BadHorizon,
            format!("{HORIZON_MIN} to {HORIZON_MAX} ms"),
        )),
        _ => Ok(()),
    }
}

pub fn tokens(bytes: usize) -> u64 {
    bytes.div_ceil(TOKEN_BYTES) as u64
}
