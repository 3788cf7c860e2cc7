//! The body that is sent to a server. A prompt that continues a chain of turns is not copied together: it
//! is sent from the texts of the turns.

use bytes::{Bytes, BytesMut};
use std::sync::Arc;
use yewcross_common::buffer_memory::Reservation;
use yewcross_common::constants::SMALL_BUFFER_BYTES;
use yewcross_common::streaming_http::PartedBody;
use yewcross_common::turn_log::Turn;

/// The body of a request. Its copies share the same memory.
#[derive(Clone)]
pub(super) struct Prompt {
    pieces: Arc<[Bytes]>,
    /// Memory of the turns of the chain; it stays reserved as long as any copy of the prompt exists.
    _memory: Option<Arc<Reservation>>,
}

impl From<Bytes> for Prompt {
    fn from(body: Bytes) -> Prompt {
        Prompt {
            pieces: Arc::new([body]),
            _memory: None,
        }
    }
}

impl Prompt {
    /// The inputs and outputs of the chain's turns in order, followed by the new input. `memory` is that
    /// of the chain.
    pub(super) fn of_chain(chain: &[Arc<Turn>], input: Bytes, memory: Reservation) -> Prompt {
        let earlier_pieces = chain.iter().flat_map(|turn| [&turn.input, &turn.output]);
        let pieces: Vec<Bytes> = earlier_pieces.cloned().chain([input]).collect();
        let bytes = pieces.iter().map(Bytes::len).sum::<usize>();
        let pieces = match pieces.len() {
            1 => pieces,
            _ if bytes <= SMALL_BUFFER_BYTES => vec![joined(&pieces, bytes)],
            _ => pieces,
        };
        Prompt {
            pieces: pieces.into(),
            _memory: Some(Arc::new(memory)),
        }
    }

    /// The prompt as the body of a request.
    pub(super) fn to_body(&self) -> PartedBody {
        self.pieces.iter().cloned().collect()
    }
}

/// Small pieces are written at once where they are joined.
fn joined(pieces: &[Bytes], bytes: usize) -> Bytes {
    let mut joined = BytesMut::with_capacity(bytes);
    pieces
        .iter()
        .for_each(|piece| joined.extend_from_slice(piece));
    joined.freeze()
}
