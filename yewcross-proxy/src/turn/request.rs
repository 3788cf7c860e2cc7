//! The body of a turn request, and the checks that need no other node.

use super::events::Rejection;
use serde::{Deserialize, Serialize};
use yewcross_common::constants::{BYTES_PER_TOKEN, DEADLINE_MAX_MS, DEADLINE_MIN_MS};
use yewcross_common::error_code::Code;

/// Bytes. Longest name of a program or session, and longest id of a request.
const NAME_BYTES_MAX: usize = 128;

/// One message of a turn's prompt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Message {
    pub(super) role: String,
    pub(super) text: String,
}

/// The body of a turn request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TurnBody {
    pub(super) program: String,
    pub(super) session: String,
    /// The caller's id of the request.
    pub(super) job: String,
    /// ms within which the caller wants the response.
    pub(super) horizon_ms: u64,
    #[serde(default)]
    pub(super) budget: String,
    pub(super) messages: Vec<Message>,
    /// Most tokens of output.
    #[serde(default)]
    pub(super) max_output: Option<u64>,
    #[serde(default)]
    pub(super) stream: bool,
}

/// Whether the name is valid for a program, session or request: visible ASCII without `/` and
/// `|`, which separate the parts of keys.
pub(crate) fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= NAME_BYTES_MAX
        && name
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'/' && byte != b'|')
}

/// Checks the fields of a turn request.
pub(super) fn check(body: &TurnBody) -> Result<(), Rejection> {
    let bad_field = |name: &str| Err(Rejection::new(Code::BadField, name, 0));
    match body {
        _ if !is_valid_name(&body.program) => bad_field("program"),
        _ if !is_valid_name(&body.session) => bad_field("session"),
        _ if !is_valid_name(&body.job) => bad_field("job"),
        _ if body.messages.is_empty() => bad_field("messages"),
        _ if body.max_output == Some(0) => bad_field("max_output"),
        _ if !(DEADLINE_MIN_MS..=DEADLINE_MAX_MS).contains(&body.horizon_ms) => {
            let reason = format!("{DEADLINE_MIN_MS} to {DEADLINE_MAX_MS} ms");
            Err(Rejection::new(Code::BadHorizon, &reason, 0))
        }
        _ => Ok(()),
    }
}

/// Estimated number of tokens of a text of this many bytes.
pub fn tokens(bytes: usize) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}
