//! A turn's part in a request: what is opened at the stores before it is sent, and settled however
//! it ends.

use bytes::{Bytes, BytesMut};
use std::sync::Arc;
use yewcross_common::adapter::RequestMeta;
use yewcross_common::configuration::route::{Mode, Route};
use yewcross_common::hash::rendezvous_weight;
use yewcross_common::turn_log::{OpenTurn, Turn, TurnLogService};

/// The turn that is open at the stores; however it ends, they hear of it.
pub(super) struct OpenedTurn {
    pub(super) chains: Arc<dyn TurnLogService>,
    pub(super) open: OpenTurn,
    /// Tokens in each event of the service that runs it.
    pub(super) tokens_per_event: u64,
    /// The stores have kept it; nothing is left to settle.
    pub(super) done: bool,
    /// Events passed on to the caller.
    pub(super) events: u64,
}

impl Drop for OpenedTurn {
    fn drop(&mut self) {
        if !self.done {
            self.chains
                .settle(self.open.clone(), self.events * self.tokens_per_event);
        }
    }
}

/// Whether the stores have to hear of the request: its turn is kept, or its tokens count against a
/// budget.
pub(super) fn is_accounted(r: &Route, m: &RequestMeta) -> bool {
    r.retained || (r.mode == Mode::Stream && m.budget.is_some() && !m.program.is_empty())
}

/// What the stores are asked before the request goes to a server.
pub(super) fn open_request(r: &Route, m: &RequestMeta) -> OpenTurn {
    OpenTurn {
        turn: m.attempt.clone(),
        program: m.program.clone(),
        prev: if r.retained {
            m.previous_turn.clone()
        } else {
            String::new()
        },
        max_output_tokens: m.max_output_tokens,
        budget: m.budget,
    }
}

/// The chain's inputs and outputs in turn, and the new input last.
pub(super) fn prompt(chain: &[Arc<Turn>], input: &Bytes) -> Bytes {
    if chain.is_empty() {
        return input.clone();
    }
    let n = chain
        .iter()
        .map(|t| t.input.len() + t.output.len())
        .sum::<usize>()
        + input.len();
    let mut b = BytesMut::with_capacity(n);
    chain.iter().for_each(|t| {
        b.extend_from_slice(&t.input);
        b.extend_from_slice(&t.output);
    });
    b.extend_from_slice(input);
    b.freeze()
}

/// Where the caller names no parts of its prompt, the turns of its chain are the parts.
pub(super) fn name_parts(m: &mut RequestMeta, chain: &[Arc<Turn>]) {
    if m.prompt_segments.is_empty() {
        let mut had = 0;
        m.prompt_segments = chain
            .iter()
            .map(|t| {
                (
                    rendezvous_weight(&t.id, "turn"),
                    t.tokens
                        .saturating_sub(std::mem::replace(&mut had, t.tokens)),
                )
            })
            .collect();
        m.prompt_segments.push((
            rendezvous_weight(&m.attempt, "turn"),
            m.prompt_tokens.saturating_sub(had),
        ));
    }
}
