//! The encoding of one message between processes: a Cap'n Proto `Frame`.

use super::frame_capnp::frame;
use super::request_memory::RequestMemory;
use crate::constants::{MAX_FRAME_BYTES, WIRE_VERSION_MIN};
use capnp::message::ReaderOptions;
use futures_lite::io::AsyncRead;
use serde::Deserialize;

/// Size of a Cap'n Proto word in bytes.
const WORD_BYTES: usize = 8;

/// Words reserved for the fixed fields and the pointers of a frame.
const FRAME_OVERHEAD_WORDS: usize = 24;

/// A frame that was read.
pub(super) type FrameReader = capnp::message::Reader<capnp::serialize::OwnedSegments>;

/// A received message and its sender.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// Name of the sending node.
    pub from: String,
    /// Site of the sending node.
    pub site: String,
    /// The request or response, as JSON.
    pub message: Vec<u8>,
    /// Binary data sent with the message; empty if there is none.
    pub payload: Vec<u8>,
    /// Frame version that the sender used.
    pub version: u16,
    /// Memory for the message and its response; `None` without a limit.
    pub(super) memory: Option<RequestMemory>,
}

impl Envelope {
    /// The message decoded as a `T`; `None` if it is not a valid one.
    pub fn decode<T: for<'a> Deserialize<'a>>(&self) -> Option<T> {
        serde_json::from_slice(&self.message).ok()
    }

    /// Reserves memory for a response of up to `bytes` bytes before it is made; returns whether there is
    /// enough.
    pub async fn reserve_response(&self, bytes: usize) -> bool {
        match &self.memory {
            Some(memory) => memory.grow_to(bytes).await,
            None => true,
        }
    }
}

/// A frame of a version that this process supports.
pub(super) struct DecodedFrame {
    /// Request id, unique among the requests of the connection's client.
    pub(super) id: u64,
    /// Whether the frame is a response.
    pub(super) is_reply: bool,
    pub(super) envelope: Envelope,
}

/// Encodes a frame. `id` is the request id, which the response repeats; `sender` and `site` are the names
/// of the sending node and its site.
pub fn encode_frame(
    version: u16,
    id: u64,
    is_reply: bool,
    sender: &str,
    site: &str,
    message: &[u8],
    payload: &[u8],
) -> Vec<u8> {
    let content_bytes = message.len() + payload.len() + sender.len() + site.len();
    let words = content_bytes / WORD_BYTES + FRAME_OVERHEAD_WORDS;
    let allocator = capnp::message::HeapAllocator::new().first_segment_words(words as u32);
    let mut builder = capnp::message::Builder::new(allocator);
    let mut frame = builder.init_root::<frame::Builder>();
    frame.set_version(version);
    frame.set_id(id);
    frame.set_reply(is_reply);
    frame.set_from(sender);
    frame.set_site(site);
    frame.set_body(message);
    frame.set_blob(payload);
    capnp::serialize::write_message_to_words(&builder)
}

/// Reads the next frame; `None` at the end of the connection, or if the bytes are not a Cap'n Proto
/// message of permitted size.
pub(super) async fn read_frame<R: AsyncRead + Unpin>(reader: &mut R) -> Option<FrameReader> {
    capnp_futures::serialize::try_read_message(reader, reader_options())
        .await
        .ok()
        .flatten()
}

/// The limit on the size of a frame.
pub(super) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_FRAME_BYTES / WORD_BYTES));
    options
}

/// Decodes a frame; `None` if it is malformed, or if its version is newer than `newest_version` or older
/// than the oldest supported one.
pub(super) fn decode_frame(reader: &FrameReader, newest_version: u16) -> Option<DecodedFrame> {
    let frame = reader.get_root::<frame::Reader>().ok()?;
    let envelope = Envelope {
        from: frame.get_from().ok()?.to_string().ok()?,
        site: frame.get_site().ok()?.to_string().ok()?,
        message: frame.get_body().ok()?.to_vec(),
        payload: frame.get_blob().ok()?.to_vec(),
        version: frame.get_version(),
        memory: None,
    };
    (WIRE_VERSION_MIN..=newest_version)
        .contains(&frame.get_version())
        .then_some(DecodedFrame {
            id: frame.get_id(),
            is_reply: frame.get_reply(),
            envelope,
        })
}
