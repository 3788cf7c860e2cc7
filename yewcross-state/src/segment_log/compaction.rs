//! Removes the oldest segments of a log that is much larger than its retained records.

use crate::segment_log::{LogRecord, path};
use crate::turn_store::TurnStore;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use yewcross_common::constants::{LOG_SLACK_BYTES, TRANSFER_BATCH_BYTES};
use yewcross_common::storage::TURN_LOG_FOLDER;

/// The oldest segment, and those of its records that are still retained.
struct OldestSegment {
    segment: u64,
    records: Vec<LogRecord>,
}

impl TurnStore {
    /// Rewrites the retained records of the oldest segment to the end of the log and removes the
    /// segment, until the log is small enough. Segments are removed strictly in order, because the
    /// mark of a torn end is in a later segment than the torn end itself.
    pub(crate) async fn compact(self: &Arc<Self>) {
        while let Some(oldest) = self.take_oldest_segment() {
            let is_rewritten = self.rewrite(oldest.records).await;
            if !is_rewritten || self.runtime.remove(&path(oldest.segment)).await.is_err() {
                return;
            }
            if let Err(error) = self.runtime.sync(TURN_LOG_FOLDER).await {
                return self.storage.mark_failed(&error);
            }
            self.log
                .lock()
                .unwrap()
                .segment_bytes
                .remove(&oldest.segment);
            self.counters.compacted.fetch_add(1, Relaxed);
        }
    }

    /// The oldest segment and its retained records. `None` if only the segment being written is left,
    /// or if the log is small enough and the segment contains retained records.
    fn take_oldest_segment(&self) -> Option<OldestSegment> {
        let live_bytes = self.index.lock().unwrap().turn_bytes as u64;
        let (segment, log_bytes) = {
            let log = self.log.lock().unwrap();
            let oldest = log.segment_bytes.keys().next().copied();
            (
                oldest.filter(|oldest| *oldest < log.segment)?,
                log.segment_bytes.values().sum::<u64>(),
            )
        };
        let mut index = self.index.lock().unwrap();
        let is_small_enough = log_bytes <= live_bytes + live_bytes / 2 + LOG_SLACK_BYTES;
        if is_small_enough && index.needs_segment(segment) {
            return None;
        }
        let records = index.take_segment_records(segment);
        Some(OldestSegment { segment, records })
    }

    /// Appends the records in small batches, which do not delay the syncs of requests. Returns
    /// whether all of them are durable.
    async fn rewrite(self: &Arc<Self>, records: Vec<LogRecord>) -> bool {
        let mut batch = vec![];
        let mut batch_bytes = 0;
        let mut is_rewritten = true;
        let mut remaining = records.len();
        for record in records {
            batch_bytes += record.bytes();
            batch.push(record);
            remaining -= 1;
            if batch_bytes >= TRANSFER_BATCH_BYTES || remaining == 0 {
                let written = self.append(std::mem::take(&mut batch));
                is_rewritten &= written.recv().await == Ok(true);
                batch_bytes = 0;
            }
        }
        is_rewritten
    }
}
