//! HTTP client for single requests, each on a separate connection.

use crate::runtime::Runtime;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use smol_hyper::rt::FuturesIo;
use std::io;
use std::net::SocketAddr;

/// Connects, sends a request and reads the complete response, all within `timeout` µs. Adds a `Host`
/// header if there is none. A response body of more than `max_bytes` is an error.
pub async fn fetch(
    runtime: &Runtime,
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
    max_bytes: usize,
    timeout: u64,
) -> io::Result<Response<Bytes>> {
    if !request.headers().contains_key(header::HOST) {
        let host = HeaderValue::try_from(address.to_string()).map_err(invalid_data)?;
        request.headers_mut().insert(header::HOST, host);
    }
    runtime
        .timeout(timeout, send_request(runtime, address, request, max_bytes))
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

/// Opens a connection, sends the request and reads the complete response.
async fn send_request(
    runtime: &Runtime,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
) -> io::Result<Response<Bytes>> {
    let connection = runtime.connect(address).await?;
    let (mut sender, driver) = hyper::client::conn::http1::handshake(FuturesIo::new(connection))
        .await
        .map_err(invalid_data)?;
    let receive_response = async {
        let response = sender.send_request(request).await.map_err(invalid_data)?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, max_bytes)
            .collect()
            .await
            .map_err(invalid_data)?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    };
    let drive_connection = async {
        // An error of the connection is ignored here: it is also returned by the request.
        let _ = driver.await;
        std::future::pending().await
    };
    receive_response.or(drive_connection).await
}

/// Wraps an error as an I/O error of the kind `InvalidData`.
fn invalid_data(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
