//! How much of a chain is returned at once.

use yewcross_common::constants::{
    HISTORY_PAGE_BYTES, OPENED_HISTORY_BYTES, WIRE_VERSION_HISTORY_PAGES,
};

/// A limit on the part of a chain that a response carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryLimit {
    /// Largest sum of the turns' sizes in bytes.
    bytes: usize,
    /// Number of turns that are returned whatever their size.
    turns_min: usize,
}

impl HistoryLimit {
    /// The complete chain.
    pub const NONE: HistoryLimit = HistoryLimit {
        bytes: usize::MAX,
        turns_min: 0,
    };

    /// A page for a sender of this frame version: at least one turn.
    pub fn page(sender_version: u16) -> HistoryLimit {
        HistoryLimit::for_version(sender_version, HISTORY_PAGE_BYTES, 1)
    }

    /// The part that a sender of this frame version gets when it opens a turn; it may be empty.
    pub fn opened(sender_version: u16) -> HistoryLimit {
        HistoryLimit::for_version(sender_version, OPENED_HISTORY_BYTES, 0)
    }

    fn for_version(sender_version: u16, bytes: usize, turns_min: usize) -> HistoryLimit {
        if sender_version >= WIRE_VERSION_HISTORY_PAGES {
            HistoryLimit { bytes, turns_min }
        } else {
            HistoryLimit::NONE
        }
    }

    /// Whether a turn may follow `turns` others, if the sizes of all are `bytes` then.
    pub fn admits(self, turns: usize, bytes: usize) -> bool {
        turns < self.turns_min || bytes <= self.bytes
    }
}
