//! The retention of a session's history.

use crate::constants::BYTES_PER_TOKEN;
use serde::{Deserialize, Serialize};

/// Which earlier turns of a session are retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// All turns.
    All,
    /// The given number of latest turns.
    Turns(usize),
    /// The latest turns that fit into the given number of tokens.
    Tokens(u64),
}

impl Rule {
    /// Removes the earliest lines of the history that the rule does not retain. Each turn is a
    /// line; the latest one is always retained.
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

/// Offsets of the byte after each line.
fn line_ends(history: &[u8]) -> Vec<usize> {
    history
        .iter()
        .enumerate()
        .filter(|(_, byte)| **byte == b'\n')
        .map(|(offset, _)| offset + 1)
        .collect()
}

/// Offset at which the latest `turns` lines start.
fn start_of_latest(turns: usize, line_ends: &[usize]) -> usize {
    line_ends
        .len()
        .checked_sub(turns.saturating_add(1))
        .map_or(0, |index| line_ends[index])
}

/// Offset of the first line that starts after at least `excess_bytes`, or of the last line if there
/// is none.
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
