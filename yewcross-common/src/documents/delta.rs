//! Encodes the difference between two values, so that only the changes are sent between sites.
//!
//! Values are split into chunks after each line feed and each closing brace: documents are JSON,
//! possibly in a single line, and usually only one or two objects in them change.
//!
//! A delta is a sequence of runs, followed by a CRC-32 of the new value. A run consists of three
//! little-endian u32 numbers (offset and length of a range of the old value, and length of a
//! literal) and the bytes of the literal. The new value is the concatenation of the ranges and
//! literals.

use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Length of a number in a run's header, in bytes.
const NUMBER_LENGTH: usize = 4;
/// Length of a run's header, in bytes. A chunk that is not longer than this is cheaper as a
/// literal, unless it continues the preceding range.
const RUN_HEADER_LENGTH: usize = 3 * NUMBER_LENGTH;
/// Length of the checksum at the end, in bytes.
const CHECKSUM_LENGTH: usize = 4;
/// Size of the blocks in which the common prefix of both values is compared, in bytes.
const PREFIX_BLOCK_LENGTH: usize = 256;

fn ends_chunk(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'}')
}

fn chunks(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split_inclusive(ends_chunk)
}

/// Length of the common prefix of both values, up to the end of a chunk. Most values grow at their
/// end.
fn common_prefix_length(old: &[u8], new: &[u8]) -> usize {
    let equal_blocks = old
        .chunks(PREFIX_BLOCK_LENGTH)
        .zip(new.chunks(PREFIX_BLOCK_LENGTH))
        .take_while(|(old_block, new_block)| old_block == new_block)
        .count();
    let equal = (equal_blocks * PREFIX_BLOCK_LENGTH)
        .min(old.len())
        .min(new.len());
    old[..equal]
        .iter()
        .rposition(ends_chunk)
        .map_or(0, |end| end + 1)
}

/// Index of the old value's chunks after the common prefix.
struct ChunkIndex<'a> {
    old: &'a [u8],
    /// Offset of the first chunk of each hash.
    offsets: BTreeMap<u64, usize>,
}

impl ChunkIndex<'_> {
    fn new(old: &[u8], prefix_length: usize) -> ChunkIndex<'_> {
        let mut offsets = BTreeMap::new();
        let mut offset = prefix_length;
        for chunk in chunks(&old[prefix_length..]) {
            offsets.entry(xxh3_64(chunk)).or_insert(offset);
            offset += chunk.len();
        }
        ChunkIndex { old, offsets }
    }

    fn is_at(&self, offset: usize, chunk: &[u8]) -> bool {
        self.old[offset..].starts_with(chunk)
    }

    /// Offset of an equal chunk in the old value; `None` if there is none or a literal is cheaper.
    fn find(&self, chunk: &[u8]) -> Option<usize> {
        if chunk.len() <= RUN_HEADER_LENGTH {
            return None;
        }
        self.offsets
            .get(&xxh3_64(chunk))
            .copied()
            .filter(|offset| self.is_at(*offset, chunk))
    }
}

/// A range of the old value, and the literal bytes that follow it in the new value.
struct Run {
    offset: usize,
    length: usize,
    literal: Vec<u8>,
}

impl Run {
    fn new(offset: usize, length: usize) -> Run {
        Run {
            offset,
            length,
            literal: vec![],
        }
    }

    /// Offset of the byte after the range in the old value.
    fn end(&self) -> usize {
        self.offset + self.length
    }

    /// Whether the chunk continues the range.
    fn is_continued_by(&self, index: &ChunkIndex, chunk: &[u8]) -> bool {
        self.literal.is_empty() && index.is_at(self.end(), chunk)
    }

    fn write_to(&self, delta: &mut Vec<u8>) {
        for number in [self.offset, self.length, self.literal.len()] {
            delta.extend((number as u32).to_le_bytes());
        }
        delta.extend(&self.literal);
    }
}

/// Encodes the delta from `old` to `new`.
pub fn encode(old: &[u8], new: &[u8]) -> Vec<u8> {
    let prefix_length = common_prefix_length(old, new);
    let index = ChunkIndex::new(old, prefix_length);
    let mut delta = vec![];
    let mut run = Run::new(0, prefix_length);
    for chunk in chunks(&new[prefix_length..]) {
        if run.is_continued_by(&index, chunk) {
            run.length += chunk.len();
        } else if let Some(offset) = index.find(chunk) {
            run.write_to(&mut delta);
            run = Run::new(offset, chunk.len());
        } else {
            run.literal.extend(chunk);
        }
    }
    run.write_to(&mut delta);
    delta.extend(crc32fast::hash(new).to_le_bytes());
    delta
}

/// Returns the new value; `None` if the delta is malformed or was made against another old value.
pub fn apply(old: &[u8], delta: &[u8]) -> Option<Vec<u8>> {
    let runs_length = delta.len().checked_sub(CHECKSUM_LENGTH)?;
    let (mut runs, checksum) = delta.split_at_checked(runs_length)?;
    let mut new = vec![];
    while !runs.is_empty() {
        let (header, rest) = runs.split_at_checked(RUN_HEADER_LENGTH)?;
        let offset = header_number(header, 0)?;
        let length = header_number(header, 1)?;
        let (literal, rest) = rest.split_at_checked(header_number(header, 2)?)?;
        new.extend(old.get(offset..offset.checked_add(length)?)?);
        new.extend(literal);
        runs = rest;
    }
    (checksum == crc32fast::hash(&new).to_le_bytes()).then_some(new)
}

fn header_number(header: &[u8], index: usize) -> Option<usize> {
    let start = index * NUMBER_LENGTH;
    let bytes = header.get(start..start + NUMBER_LENGTH)?;
    Some(u32::from_le_bytes(bytes.try_into().ok()?) as usize)
}
