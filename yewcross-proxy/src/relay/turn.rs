//! The turn of a request: it is opened in the turn log before the request is sent, and settled
//! however the request ends.

use std::sync::Arc;
use yewcross_common::adapter::RequestMeta;
use yewcross_common::configuration::route::{Mode, Route};
use yewcross_common::hash::rendezvous_weight;
use yewcross_common::turn_log::{OpenTurn, Turn, TurnLogService};

/// A turn that is open in the turn log. Dropping it reports the tokens used to the turn log, unless
/// the turn was stored.
pub(super) struct OpenedTurn {
    pub(super) turn_log: Arc<dyn TurnLogService>,
    /// The request that opened the turn.
    pub(super) open_turn: OpenTurn,
    /// Tokens in each event of the service that executes the request.
    pub(super) tokens_per_event: u64,
    /// The turn was stored, which also settled its tokens.
    pub(super) is_settled: bool,
    /// Events forwarded to the caller.
    pub(super) forwarded_events: u64,
}

impl Drop for OpenedTurn {
    fn drop(&mut self) {
        if !self.is_settled {
            self.turn_log.settle(
                self.open_turn.clone(),
                self.forwarded_events * self.tokens_per_event,
            );
        }
    }
}

/// Whether the turn log is needed for the request: the route retains its turns, or its tokens count
/// against a budget.
pub(super) fn needs_turn_log(route: &Route, meta: &RequestMeta) -> bool {
    route.retained
        || (route.mode == Mode::Stream && meta.budget.is_some() && !meta.program.is_empty())
}

/// The request that opens the turn in the turn log.
pub(super) fn open_turn_request(route: &Route, meta: &RequestMeta) -> OpenTurn {
    OpenTurn {
        turn: meta.attempt.clone(),
        program: meta.program.clone(),
        prev: if route.retained {
            meta.previous_turn.clone()
        } else {
            String::new()
        },
        max_output_tokens: meta.max_output_tokens,
        budget: meta.budget,
    }
}

/// Where the caller states no segments of its prompt, each turn of the chain becomes one segment.
pub(super) fn set_prompt_parts(meta: &mut RequestMeta, chain: &[Arc<Turn>]) {
    if meta.prompt_segments.is_empty() {
        let mut tokens_before = 0;
        meta.prompt_segments = chain
            .iter()
            .map(|turn| {
                (
                    rendezvous_weight(&turn.id, "turn"),
                    turn.tokens
                        .saturating_sub(std::mem::replace(&mut tokens_before, turn.tokens)),
                )
            })
            .collect();
        meta.prompt_segments.push((
            rendezvous_weight(&meta.attempt, "turn"),
            meta.prompt_tokens.saturating_sub(tokens_before),
        ));
    }
}
