//! The size that a frame announces before its content: its memory is reserved before the frame is read,
//! since the reader allocates all of it at once.

use capnp::ErrorKind;
use capnp::message::ReaderOptions;
use futures_lite::{AsyncRead, AsyncReadExt};

/// Bytes of a word, the unit of a segment table.
const WORD_BYTES: usize = 8;

/// Longest segment table in bytes: one of 512 segments.
const SEGMENT_TABLE_BYTES_MAX: usize = 512 * 4 + WORD_BYTES;

/// The first bytes of a frame, which state its size.
pub(super) struct FrameStart {
    /// The bytes that were read, to be read again with the frame.
    pub(super) bytes: Vec<u8>,
    /// Size of the whole frame in bytes.
    pub(super) frame_bytes: usize,
}

/// What the first bytes of a frame state.
enum Announcement {
    FrameBytes(usize),
    /// More bytes are needed.
    Incomplete,
    /// They are not the start of a frame of permitted size.
    Invalid,
}

/// Reads the start of the next frame; `None` at the end of the connection, or if the bytes are not the
/// start of a frame of permitted size.
pub(super) async fn read_frame_start<R: AsyncRead + Unpin>(
    reader: &mut R,
    options: ReaderOptions,
) -> Option<FrameStart> {
    let mut bytes = vec![];
    while bytes.len() < SEGMENT_TABLE_BYTES_MAX {
        let mut word = [0; WORD_BYTES];
        reader.read_exact(&mut word).await.ok()?;
        bytes.extend_from_slice(&word);
        match announcement(&bytes, options) {
            Announcement::FrameBytes(frame_bytes) => {
                return Some(FrameStart { bytes, frame_bytes });
            }
            Announcement::Incomplete => {}
            Announcement::Invalid => return None,
        }
    }
    None
}

fn announcement(table: &[u8], options: ReaderOptions) -> Announcement {
    let mut rest = table;
    let Err(error) = capnp::serialize::read_message_from_flat_slice(&mut rest, options) else {
        // The table announces no content.
        return Announcement::FrameBytes(table.len());
    };
    match error.kind {
        ErrorKind::MessageEndsPrematurely(words, _) => {
            Announcement::FrameBytes(table.len() + words * WORD_BYTES)
        }
        ErrorKind::PrematureEndOfFile | ErrorKind::FailedToFillTheWholeBuffer => {
            Announcement::Incomplete
        }
        _ => Announcement::Invalid,
    }
}
