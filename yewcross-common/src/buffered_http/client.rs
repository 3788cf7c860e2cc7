//! HTTP client for requests to other servers.

use crate::constants::MAX_FRAME_BYTES;
use crate::runtime::{Connection, Runtime};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::{Body, Method, Request, Response, Url};
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;

/// Sends a request on an open connection and reads the head of the response. The connection can be
/// reused once the body has been read completely.
pub async fn send_request(
    connection: &Connection,
    method: Method,
    path: &str,
    headers: &[(&str, String)],
    body: Vec<u8>,
) -> io::Result<Response> {
    let url = Url::parse(&format!("http://{}{}", connection.peer, path)).map_err(invalid_data)?;
    let mut request = Request::new(method, url);
    for (name, value) in headers {
        request.insert_header(*name, value.as_str());
    }
    request.set_body(Body::from_bytes(body));
    connection.limit_reads(u64::MAX);
    async_h1::connect(connection.clone(), request)
        .await
        .map_err(invalid_data)
}

/// Converts an error to an I/O error of the kind `InvalidData`.
fn invalid_data(error: impl Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}

/// Reads a complete response body. Fails with `UnexpectedEof` if the body has more than `max_bytes`
/// bytes or its length differs from the `Content-Length` header.
pub async fn read_response_body(response: &mut Response, max_bytes: usize) -> io::Result<Vec<u8>> {
    let expected = response.len();
    let mut bytes = Vec::new();
    response
        .take_body()
        .take(max_bytes as u64 + 1)
        .read_to_end(&mut bytes)
        .await?;
    if bytes.len() > max_bytes || expected.is_some_and(|length| length != bytes.len()) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(bytes)
}

/// Connects, sends a request and reads the complete response, all within `timeout` µs. Returns the
/// status, the response without its body, and the body.
pub async fn fetch(
    runtime: &Runtime,
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, String)],
    request_body: Vec<u8>,
    timeout: u64,
) -> io::Result<(u16, Response, Vec<u8>)> {
    runtime
        .timeout(timeout, async {
            let mut connection = runtime.connect(address).await?;
            let mut response =
                send_request(&connection, method, path, headers, request_body).await?;
            let response_body = read_response_body(&mut response, MAX_FRAME_BYTES).await?;
            // The response is complete, so an error on closing the connection has no effect.
            let _ = connection.close().await;
            Ok((response.status().into(), response, response_body))
        })
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}
