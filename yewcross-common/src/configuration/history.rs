//! How much of a session's history is kept.

use crate::constants::BYTES_PER_TOKEN;
use serde::{Deserialize, Serialize};

/// Which earlier turns of a session are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// All of them.
    All,
    /// The latest ones, so many.
    Turns(usize),
    /// The latest ones, as many as fit in so many tokens.
    Tokens(u64),
}

impl Rule {
    /// Removes the earliest lines of the history that the rule no longer keeps; each turn is a
    /// line, and the latest one always stays.
    pub fn trim(self, history: &mut Vec<u8>) {
        let start = match self {
            Rule::All => 0,
            Rule::Turns(turns) => start_of_latest(turns, &line_ends(history)),
            Rule::Tokens(tokens) => {
                let kept_bytes = (tokens as usize).saturating_mul(BYTES_PER_TOKEN);
                let excess_bytes = history.len().saturating_sub(kept_bytes);
                start_without(excess_bytes, &line_ends(history))
            }
        };
        history.drain(..start);
    }
}

/// Offsets behind the end of each line.
fn line_ends(history: &[u8]) -> Vec<usize> {
    history
        .iter()
        .enumerate()
        .filter(|(_, byte)| **byte == b'\n')
        .map(|(offset, _)| offset + 1)
        .collect()
}

/// Offset of the latest `turns` lines.
fn start_of_latest(turns: usize, line_ends: &[usize]) -> usize {
    line_ends
        .len()
        .checked_sub(turns.saturating_add(1))
        .map_or(0, |index| line_ends[index])
}

/// Offset of the first line behind at least `excess_bytes`; of the last line where there is none.
fn start_without(excess_bytes: usize, line_ends: &[usize]) -> usize {
    if excess_bytes == 0 {
        return 0;
    }
    let line_starts = &line_ends[..line_ends.len().saturating_sub(1)];
    line_starts
        .iter()
        .find(|start| **start >= excess_bytes)
        .or(line_starts.last())
        .copied()
        .unwrap_or(0)
}
