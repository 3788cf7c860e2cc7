//! The durable log of a store: frames of records, appended to segment files.
//!
//! A frame contains one batch of records and is written with one sync. A batch is acknowledged only
//! after its frame is synced, so a crash can truncate only the last frame. Such a torn end does not
//! count as damage, since nothing acknowledged is lost.
//!
//! [`read`] reads the segments at startup, `writer` appends batches, `compaction` removes the oldest
//! segments, and `reload` reads the log again after a failed write.

mod compaction;
mod reader;
mod reload;
mod writer;

pub use reader::{LogScan, read};
pub(crate) use writer::LogWriter;

use serde::{Deserialize, Serialize};
use yewcross_common::storage::TURN_LOG_FOLDER;
use yewcross_common::turn_log::{LedgerRecord, StoredTurn};

/// Estimated size of a ledger record without its program and entries, in bytes.
const LEDGER_BYTES: usize = 64;

/// Estimated size of a ledger entry without its turn's id, in bytes.
const ENTRY_BYTES: usize = 10;

/// Estimated size of the mark of a torn end, in bytes.
const TORN_END_BYTES: usize = 24;

/// One record of the log. The order of the variants is part of the stored format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LogRecord {
    /// A turn.
    Turn(StoredTurn),
    /// Entries to merge into a ledger. The record's epoch counts as promised if it is higher than
    /// that of earlier records.
    Ledger {
        /// The entries and the epoch.
        record: LedgerRecord,
        /// Time of the change, in ms of the cluster's median clock.
        changed_at_ms: u64,
    },
    /// Marks a torn end of a segment: the bytes after it were never acknowledged.
    Torn(TornEnd),
}

/// The position at which a crash truncated a segment's last frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TornEnd {
    /// Number of the segment.
    pub segment: u64,
    /// Length of the segment's prefix of valid frames, in bytes.
    pub valid_bytes: u64,
}

impl LogRecord {
    /// Estimated size of the record in bytes.
    pub(crate) fn bytes(&self) -> usize {
        match self {
            LogRecord::Turn(stored) => stored.bytes(),
            LogRecord::Ledger { record, .. } => {
                let entries = record.entries.iter();
                LEDGER_BYTES
                    + record.program.len()
                    + entries
                        .map(|(turn, _)| turn.len() + ENTRY_BYTES)
                        .sum::<usize>()
            }
            LogRecord::Torn(_) => TORN_END_BYTES,
        }
    }
}

/// Path of a segment's file.
pub fn path(segment: u64) -> String {
    format!("{TURN_LOG_FOLDER}/s-{segment:016x}")
}

/// Number of the segment with this file name; `None` if the file is not a segment.
fn segment_of(file_name: &str) -> Option<u64> {
    u64::from_str_radix(file_name.strip_prefix("s-")?, 16).ok()
}

/// The segment to write to after startup: a new one, so that nothing is appended after a torn end.
pub(crate) fn next_segment(scan: &LogScan) -> u64 {
    scan.segment_bytes
        .keys()
        .last()
        .map_or(1, |newest| newest + 1)
}
