//! Reloads a store's log after a write whose outcome is unknown.

use crate::segment_log::{LogRecord, LogScan, LogWriter, next_segment, path};
use crate::turn_store::{TurnIndex, TurnStore};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::DISK_RETRY_INTERVAL;
use yewcross_common::storage::encode_frame;
use yewcross_common::turn_log::messages::encode;

/// Interval at which a write in flight is polled for its completion, us.
const WRITE_POLL_US: u64 = DISK_RETRY_INTERVAL / 10;

impl TurnStore {
    /// Replaces the index in memory, which may be ahead of the disk, by the contents of the log. Must
    /// only be called while the disk is marked as failed, so that no request is answered in the
    /// meantime. If acknowledged bytes are missing, recovery becomes pending, as after a startup that
    /// finds damage.
    pub async fn reload_log(self: &Arc<Self>) -> io::Result<()> {
        while self.log.lock().unwrap().is_writing() {
            self.runtime.sleep(WRITE_POLL_US).await;
        }
        let acknowledged = self.log.lock().unwrap().segment_bytes.clone();
        let (index, scan) = TurnIndex::load(&self.runtime).await?;
        let is_damaged = !scan.damaged.is_empty() || is_truncated(&scan, &acknowledged);
        let segment = next_segment(&scan);
        let segment_bytes = self.write_torn_marks(segment, scan).await?;
        *self.index.lock().unwrap() = index;
        *self.log.lock().unwrap() = LogWriter::new(segment, segment_bytes);
        if is_damaged {
            self.runtime
                .log("acknowledged records of the turn log are lost; requesting repair from the other disks");
            self.recovery_pending.store(true, SeqCst);
        }
        Ok(())
    }

    /// Writes the marks of torn ends as the first records of the new segment, so that no segment is
    /// written after an unmarked torn end. Returns the size of each segment in bytes.
    async fn write_torn_marks(
        &self,
        segment: u64,
        scan: LogScan,
    ) -> io::Result<BTreeMap<u64, u64>> {
        let mut segment_bytes = scan.segment_bytes;
        if scan.torn.is_empty() {
            return Ok(segment_bytes);
        }
        let marks: Vec<LogRecord> = scan.torn.into_iter().map(LogRecord::Torn).collect();
        let frame = encode_frame(&encode(&marks));
        let frame_bytes = frame.len() as u64;
        self.runtime.append(&path(segment), frame).await?;
        segment_bytes.insert(segment, frame_bytes);
        Ok(segment_bytes)
    }
}

/// Whether a segment is missing or has fewer bytes than were acknowledged.
fn is_truncated(scan: &LogScan, acknowledged: &BTreeMap<u64, u64>) -> bool {
    acknowledged.iter().any(|(segment, bytes)| {
        scan.segment_bytes
            .get(segment)
            .is_none_or(|found| found < bytes)
    })
}
