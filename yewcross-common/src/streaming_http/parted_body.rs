//! A body of bytes that are completely available, handed to its connection in parts of limited size.
//!
//! hyper copies what it is handed into a buffer of the connection and keeps that buffer, at its largest
//! size, for as long as the connection lives.

use crate::constants::WRITE_PART_BYTES;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The part of a body that was not handed over yet.
#[derive(Debug, Default)]
pub struct PartedBody {
    /// None of them is empty.
    pieces: VecDeque<Bytes>,
    /// Sum of their lengths.
    remaining: usize,
}

impl From<Bytes> for PartedBody {
    fn from(bytes: Bytes) -> PartedBody {
        [bytes].into_iter().collect()
    }
}

impl FromIterator<Bytes> for PartedBody {
    fn from_iter<Pieces: IntoIterator<Item = Bytes>>(pieces: Pieces) -> PartedBody {
        let mut body = PartedBody::default();
        for piece in pieces.into_iter().filter(|piece| !piece.is_empty()) {
            body.remaining += piece.len();
            body.pieces.push_back(piece);
        }
        body
    }
}

impl Body for PartedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(mut piece) = self.pieces.pop_front() else {
            return Poll::Ready(None);
        };
        let part = piece.split_to(piece.len().min(WRITE_PART_BYTES));
        self.remaining -= part.len();
        if !piece.is_empty() {
            self.pieces.push_front(piece);
        }
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining as u64)
    }
}
