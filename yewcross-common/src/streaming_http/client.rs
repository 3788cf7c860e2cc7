//! Single requests, each on a connection of its own.

use crate::runtime::Runtime;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use smol_hyper::rt::FuturesIo;
use std::io;
use std::net::SocketAddr;

/// Connects, sends a request and reads the response completely, all within `timeout` µs. A body of
/// more than `max_bytes` is an error.
pub async fn fetch(
    runtime: &Runtime,
    to: SocketAddr,
    mut request: Request<Full<Bytes>>,
    max_bytes: usize,
    timeout: u64,
) -> io::Result<Response<Bytes>> {
    if !request.headers().contains_key(header::HOST) {
        let host = HeaderValue::try_from(to.to_string()).map_err(invalid_data)?;
        request.headers_mut().insert(header::HOST, host);
    }
    runtime
        .timeout(timeout, exchange(runtime, to, request, max_bytes))
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

async fn exchange(
    runtime: &Runtime,
    to: SocketAddr,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
) -> io::Result<Response<Bytes>> {
    let connection = runtime.connect(to).await?;
    let (mut sender, driver) = hyper::client::conn::http1::handshake(FuturesIo::new(connection))
        .await
        .map_err(invalid_data)?;
    let respond = async {
        let response = sender.send_request(request).await.map_err(invalid_data)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, max_bytes)
            .collect()
            .await
            .map_err(invalid_data)?;
        Ok(Response::from_parts(head, body.to_bytes()))
    };
    let drive = async {
        // Its error also reaches the request, which decides the outcome.
        let _ = driver.await;
        std::future::pending().await
    };
    respond.or(drive).await
}

fn invalid_data(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
