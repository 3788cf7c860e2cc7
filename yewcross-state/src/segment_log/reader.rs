//! Reads the segments of a log, and distinguishes torn ends from damage.

use crate::segment_log::{LogRecord, TornEnd, path, segment_of};
use std::collections::BTreeMap;
use std::io;
use yewcross_common::constants::DISK_FORMAT;
use yewcross_common::runtime::Runtime;
use yewcross_common::storage::{TURN_LOG_FOLDER, decode_first_frame};
use yewcross_common::turn_log::messages::decode;

/// Result of scanning the segments, except for their records.
#[derive(Default)]
pub struct LogScan {
    /// Size of each segment in bytes.
    pub segment_bytes: BTreeMap<u64, u64>,
    /// Torn ends that are not yet marked in the log.
    pub torn: Vec<TornEnd>,
    /// Segments with damage to acknowledged records.
    pub damaged: Vec<u64>,
}

/// The frames of a segment up to the first invalid one.
struct ValidFrames<'a> {
    bodies: Vec<&'a [u8]>,
    bytes: usize,
    /// Whether a valid frame follows the invalid one. This indicates damage, as a crash truncates only
    /// the last frame.
    is_followed_by_valid: bool,
}

/// The end of a segment's valid frames, followed by invalid bytes.
struct InvalidEnd {
    end: TornEnd,
    is_followed_by_valid: bool,
}

/// Reads all segments in order, one at a time, and calls `visit` with each record and its segment.
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
    /// Classifies invalid ends as torn or damaged. Only the last batch written can have been truncated
    /// before it was acknowledged. Every other invalid end is damage, unless an earlier startup found
    /// it at the end of the log and marked it as torn.
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

/// Lists the segments in ascending order, and syncs the newest one.
async fn list_segments(runtime: &Runtime) -> io::Result<Vec<u64>> {
    let mut segments: Vec<u64> = runtime
        .list(TURN_LOG_FOLDER)
        .await?
        .iter()
        .filter_map(|file_name| segment_of(file_name))
        .collect();
    segments.sort();
    if let Some(newest) = segments.last() {
        // A process that was killed may have left a batch unsynced. The records read here will be
        // acknowledged, so they must survive a power failure.
        runtime.sync(&path(*newest)).await?;
        runtime.sync(TURN_LOG_FOLDER).await?;
    }
    Ok(segments)
}

/// Decodes the frames from the start of a segment up to the first invalid one, and searches the rest
/// for a valid frame.
fn valid_frames(content: &[u8]) -> ValidFrames<'_> {
    let mut bodies = vec![];
    let mut bytes = 0;
    while let Some((body, frame_bytes)) = decode_first_frame(&content[bytes..]) {
        bodies.push(body);
        bytes += frame_bytes;
    }
    let version_prefix = DISK_FORMAT.to_le_bytes();
    let is_followed_by_valid = (bytes + 1..content.len()).any(|start| {
        content[start..].starts_with(&version_prefix)
            && decode_first_frame(&content[start..]).is_some()
    });
    ValidFrames {
        bodies,
        bytes,
        is_followed_by_valid,
    }
}
