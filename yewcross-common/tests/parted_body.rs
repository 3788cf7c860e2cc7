//! Bodies that are handed to a connection in parts.

use bytes::Bytes;
use hyper::body::Body;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use yewcross_common::constants::WRITE_PART_BYTES;
use yewcross_common::streaming_http::PartedBody;

/// Reads a body to its end and returns its parts; checks its announced length before each of them.
fn parts(mut body: PartedBody, total: usize) -> Vec<Bytes> {
    let mut context = Context::from_waker(Waker::noop());
    let mut parts: Vec<Bytes> = vec![];
    loop {
        let read: usize = parts.iter().map(Bytes::len).sum();
        assert_eq!(body.size_hint().exact(), Some((total - read) as u64));
        assert_eq!(body.is_end_stream(), read == total);
        match Pin::new(&mut body).poll_frame(&mut context) {
            Poll::Ready(Some(Ok(frame))) => parts.push(frame.into_data().unwrap()),
            Poll::Ready(None) => return parts,
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against connections to servers that kept a buffer of the size of the largest prompt they had
/// sent: their library copies each part whole, and keeps the copy's memory.
#[test]
fn a_large_body_is_handed_over_in_small_parts() {
    let total = 10 * WRITE_PART_BYTES + 1;
    let content: Vec<u8> = (0..total).map(|index| index as u8).collect();
    let parts = parts(PartedBody::from(Bytes::from(content.clone())), total);
    assert_eq!(parts.len(), 11);
    assert!(parts.iter().all(|part| part.len() <= WRITE_PART_BYTES));
    assert_eq!(parts.concat(), content);
}

#[test]
fn pieces_are_handed_over_in_order_and_empty_ones_are_left_out() {
    let pieces = ["first", "", "second", ""].map(Bytes::from);
    let parts = parts(pieces.into_iter().collect(), "firstsecond".len());
    assert_eq!(parts, ["first", "second"]);
}

#[test]
fn an_empty_body_has_no_part() {
    assert!(parts(PartedBody::from(Bytes::new()), 0).is_empty());
}
