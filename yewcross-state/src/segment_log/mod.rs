//! The durable log of a store: frames of records, appended to segments.
//!
//! A frame is one batch, with one sync for it. A batch is acknowledged once its frame is synced, so
//! only the last frame written can be cut short by a crash; it is then a torn end, which is not
//! damage.
//!
//! [`read`] reads the segments at the start, `writer` appends batches, `compaction` removes the
//! oldest segments, and `restore` reads the log again after a failed write.

mod compaction;
mod reader;
mod restore;
mod writer;

pub use reader::{LogScan, read};
pub(crate) use writer::LogWriter;

use serde::{Deserialize, Serialize};
use yewcross_common::storage::TURN_LOG_FOLDER;
use yewcross_common::turn_log::{LedgerRecord, StoredTurn};

/// Bytes of a ledger record beside its program and entries, estimated.
const LEDGER_BYTES: usize = 64;

/// Bytes of a ledger's entry beside its turn's id, estimated.
const ENTRY_BYTES: usize = 10;

/// Bytes of the mark of a torn end, estimated.
const TORN_END_BYTES: usize = 24;

/// One record of the log. The order of the variants is part of the stored format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LogRecord {
    /// A turn.
    Turn(StoredTurn),
    /// Entries to add to a ledger; its epoch is a promise where it is above the one before.
    Ledger {
        /// The entries and the epoch.
        record: LedgerRecord,
        /// Time of the change, in ms of the cluster's median clock.
        changed_at_ms: u64,
    },
    /// A segment was found torn: what follows its end was never acknowledged.
    Torn(TornEnd),
}

/// Where a segment was cut short by a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TornEnd {
    /// The segment.
    pub segment: u64,
    /// Bytes of it, from its start, that are complete frames.
    pub valid_bytes: u64,
}

impl LogRecord {
    /// Its size, estimated.
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

/// The file of a segment.
pub fn path(segment: u64) -> String {
    format!("{TURN_LOG_FOLDER}/s-{segment:016x}")
}

/// The segment of a file's name.
fn segment_of(file_name: &str) -> Option<u64> {
    u64::from_str_radix(file_name.strip_prefix("s-")?, 16).ok()
}

/// The segment to write to after a start: one that nothing was written to before.
pub(crate) fn next_segment(scan: &LogScan) -> u64 {
    scan.segment_bytes
        .keys()
        .last()
        .map_or(1, |newest| newest + 1)
}
