//! Reads a store's log again after a write of unknown outcome.

use crate::segment_log::{LogRecord, LogScan, LogWriter, next_segment, path};
use crate::turn_store::{TurnIndex, TurnStore};
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::DISK_RETRY_INTERVAL;
use yewcross_common::storage::encode_frame;
use yewcross_common::turn_log::messages::encode;

/// How often a write in flight is looked at, us.
const WRITE_POLL_US: u64 = DISK_RETRY_INTERVAL / 10;

impl TurnStore {
    /// Replaces what is in memory, which may be ahead of the disk, by what the log holds. Only
    /// called while the disk counts as failed, so that no request is answered meanwhile. Where
    /// bytes that were acknowledged are gone, recovery is pending, as after a start that finds
    /// damage.
    pub async fn reload_log(self: &Arc<Self>) -> io::Result<()> {
        while self.log.lock().unwrap().is_writing() {
            self.runtime.sleep(WRITE_POLL_US).await;
        }
        let acknowledged = self.log.lock().unwrap().segment_bytes.clone();
        let (index, scan) = TurnIndex::load(&self.runtime).await?;
        let is_damaged = !scan.damaged.is_empty() || is_shorter(&scan, &acknowledged);
        let segment = next_segment(&scan);
        let segment_bytes = self.write_torn_marks(segment, scan).await?;
        *self.index.lock().unwrap() = index;
        *self.log.lock().unwrap() = LogWriter::new(segment, segment_bytes);
        if is_damaged {
            self.runtime
                .log("the log lost acknowledged records; asking the other disks");
            self.recovery_pending.store(true, SeqCst);
        }
        Ok(())
    }

    /// Torn ends are marked before anything else is written behind them. Returns the bytes in each
    /// segment.
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

/// Whether a segment has fewer bytes than were acknowledged.
fn is_shorter(scan: &LogScan, acknowledged: &BTreeMap<u64, u64>) -> bool {
    acknowledged.iter().any(|(segment, bytes)| {
        scan.segment_bytes
            .get(segment)
            .is_none_or(|found| found < bytes)
    })
}
