//! Reads the segments of a log, and tells a torn end from damage.

use crate::segment_log::{LogRecord, TornEnd, path, segment_of};
use std::collections::BTreeMap;
use std::io;
use yewcross_common::constants::DISK_FORMAT;
use yewcross_common::runtime::Runtime;
use yewcross_common::storage::{CHAIN_FOLDER, decode_first_frame};
use yewcross_common::turn_log::messages::decode;

/// What a scan of the segments found beside their records.
#[derive(Default)]
pub struct LogScan {
    /// Bytes in each segment.
    pub segment_bytes: BTreeMap<u64, u64>,
    /// Torn ends that the log does not mark as such yet.
    pub torn: Vec<TornEnd>,
    /// Segments with damage to what had been acknowledged.
    pub damaged: Vec<u64>,
}

/// A segment's frames from its start to the first that is not valid.
struct ValidFrames<'a> {
    bodies: Vec<&'a [u8]>,
    bytes: usize,
    /// A valid frame follows the invalid one: this is damage, as a crash tears only the last.
    is_followed_by_valid: bool,
}

struct InvalidEnd {
    end: TornEnd,
    is_followed_by_valid: bool,
}

/// Reads one segment at a time, and calls `visit` with each record and its segment.
pub async fn read(
    runtime: &Runtime,
    mut visit: impl FnMut(&LogRecord, u64),
) -> io::Result<LogScan> {
    let segments = list_segments(runtime).await?;
    let mut scan = LogScan::default();
    let mut invalid_ends: Vec<InvalidEnd> = vec![];
    let mut marked: Vec<TornEnd> = vec![];
    let mut newest_with_frames = None;
    for segment in segments {
        let content = runtime.read_file(&path(segment)).await?;
        let frames = valid_frames(&content);
        scan.segment_bytes.insert(segment, content.len() as u64);
        if frames.bytes < content.len() {
            invalid_ends.push(InvalidEnd {
                end: TornEnd {
                    segment,
                    valid_bytes: frames.bytes as u64,
                },
                is_followed_by_valid: frames.is_followed_by_valid,
            });
        }
        if !frames.bodies.is_empty() {
            newest_with_frames = Some(segment);
        }
        for body in frames.bodies {
            let Some(records) = decode::<Vec<LogRecord>>(body) else {
                scan.damaged.push(segment);
                continue;
            };
            for record in &records {
                match record {
                    LogRecord::Torn(end) => marked.push(*end),
                    record => visit(record, segment),
                }
            }
        }
    }
    scan.classify_invalid_ends(&invalid_ends, &marked, newest_with_frames);
    Ok(scan)
}

impl LogScan {
    /// Only the last batch written can have been cut short before it was acknowledged: every other
    /// invalid end is damage, unless a later start found it to be the last and marked it.
    fn classify_invalid_ends(
        &mut self,
        invalid_ends: &[InvalidEnd],
        marked: &[TornEnd],
        newest_with_frames: Option<u64>,
    ) {
        for invalid in invalid_ends {
            let is_marked = marked.contains(&invalid.end);
            let is_last = newest_with_frames.is_none_or(|newest| invalid.end.segment >= newest);
            if invalid.is_followed_by_valid || (!is_last && !is_marked) {
                self.damaged.push(invalid.end.segment);
            } else if !is_marked {
                self.torn.push(invalid.end);
            }
        }
    }
}

/// The segments in their order, the newest of them synced.
async fn list_segments(runtime: &Runtime) -> io::Result<Vec<u64>> {
    let mut segments: Vec<u64> = runtime
        .list(CHAIN_FOLDER)
        .await?
        .iter()
        .filter_map(|file_name| segment_of(file_name))
        .collect();
    segments.sort();
    if let Some(newest) = segments.last() {
        // A killed process may have left a batch unsynced: what is read here will be acknowledged,
        // so it must outlast a loss of power.
        runtime.sync(&path(*newest)).await?;
        runtime.sync(CHAIN_FOLDER).await?;
    }
    Ok(segments)
}

fn valid_frames(content: &[u8]) -> ValidFrames<'_> {
    let mut bodies = vec![];
    let mut bytes = 0;
    while let Some((body, frame_bytes)) = decode_first_frame(&content[bytes..]) {
        bodies.push(body);
        bytes += frame_bytes;
    }
    let format_mark = DISK_FORMAT.to_le_bytes();
    let is_followed_by_valid = (bytes + 1..content.len()).any(|start| {
        content[start..].starts_with(&format_mark)
            && decode_first_frame(&content[start..]).is_some()
    });
    ValidFrames {
        bodies,
        bytes,
        is_followed_by_valid,
    }
}
