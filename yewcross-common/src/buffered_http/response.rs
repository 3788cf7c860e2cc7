//! Construction of responses: JSON documents, error responses, and bodies sent in chunks.

use crate::error_code::Code;
use async_channel::Receiver;
use futures_lite::io::BufReader;
use futures_lite::{AsyncRead, Stream};
use http_types::{Body, Response, StatusCode};
use serde::Serialize;
use serde_json::json;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Time by which the caller must have received a response, in µs (monotonic). Attached to the response
/// as an extension.
pub(super) struct SendDeadline(pub(super) u64);

/// Sets the time by which the caller must have received a response, in µs (monotonic).
pub fn with_send_deadline(mut response: Response, deadline: u64) -> Response {
    response.ext_mut().insert(SendDeadline(deadline));
    response
}

/// Creates a response with a JSON document as its body.
pub fn json_response(status: u16, document: &impl Serialize) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    let json = serde_json::to_vec(document).unwrap_or_default();
    response.set_body(Body::from_bytes(json));
    response.insert_header("content-type", "application/json");
    response
}

/// Creates an error response. `reason` adds details to the text of the code; `retry_after` is the
/// value of the `Retry-After` header in seconds, 0 for no header.
pub fn error_response(code: Code, reason: &str, retry_after: u64) -> Response {
    let execution: &str = code.execution().into();
    let name: &str = code.into();
    let mut response = json_response(
        code.http(),
        &json!({
            "code": code.number(),
            "name": name,
            "ran": execution,
            "text": code.text(),
            "why": reason,
            "retry_after": retry_after,
        }),
    );
    if retry_after > 0 {
        response.insert_header("retry-after", retry_after.to_string());
    }
    response
}

/// Creates a response of newline-delimited JSON whose body is sent in chunks, as the channel yields
/// them. The body ends when the channel is closed.
pub fn ndjson_stream_response(chunks: Receiver<Vec<u8>>) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    let reader = BufReader::new(ChunkReader {
        chunks: Box::pin(chunks),
        chunk: vec![],
        bytes_read: 0,
    });
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", "application/x-ndjson");
    response
}

/// Reads the chunks of a channel as a continuous byte stream.
struct ChunkReader {
    chunks: Pin<Box<Receiver<Vec<u8>>>>,
    /// The chunk being read.
    chunk: Vec<u8>,
    /// Number of bytes of the chunk that have been read.
    bytes_read: usize,
}

impl AsyncRead for ChunkReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.bytes_read == self.chunk.len() {
            let Some(chunk) = ready!(self.chunks.as_mut().poll_next(cx)) else {
                return Poll::Ready(Ok(0));
            };
            self.chunk = chunk;
            self.bytes_read = 0;
        }
        let unread = &self.chunk[self.bytes_read..];
        let count = buf.len().min(unread.len());
        buf[..count].copy_from_slice(&unread[..count]);
        self.bytes_read += count;
        Poll::Ready(Ok(count))
    }
}
